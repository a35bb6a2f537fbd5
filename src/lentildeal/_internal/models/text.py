"""The federation text as typed values.

The documentation of the fields is the source of the generated reference.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.utils import options


class TargetKind(str, enum.Enum):
    """Kind of a target; selects the registered adapter."""

    ENGINE = 'engine'
    SERVICE = 'service'


@dataclasses.dataclass(frozen=True)
class Club:
    """A member of the federation."""

    weight: float = options.option(
        'Share of the rollout budget relative to the other clubs.',
        1.0,
        minimum=0.001,
    )


@dataclasses.dataclass(frozen=True)
class Target:
    """A target with its replicas."""

    kind: TargetKind = options.option('Kind: "engine" or "service".')
    replicas: dict[ids.FailureDomain, list[ids.ReplicaAddress]] = (
        options.option(
            'Addresses "ip:port" of the replicas by failure domain.'
        )
    )
    model: typing.Optional[ids.ModelName] = options.option(
        'Model that the engines serve; required for kind "engine".', None
    )
    concurrency: int = options.option(
        'Maximum number of in-flight requests at one replica.', 8, minimum=1
    )
    checks_fencing: bool = options.option(
        'Whether replicas refuse orders with an older fencing token.', False
    )
    adapter: str = options.option(
        'Registered protocol adapter of the replicas.', 'http'
    )


@dataclasses.dataclass(frozen=True)
class ServiceObjective:
    """Service-level objective of a live service."""

    on_time: float = options.option(
        'Share of requests with a complete response by the deadline.',
        0.999,
        minimum=0.0,
        maximum=0.999999,
    )


@dataclasses.dataclass(frozen=True)
class Service:
    """A service that live callers use."""

    club: ids.ClubName = options.option('Club that offers the service.')
    target: ids.TargetName = options.option('Target that serves the requests.')
    idempotent: bool = options.option(
        'Whether a call may be repeated without harm.', False
    )
    deadline_ms: int = options.option(
        'Deadline of a call that sets none, in milliseconds.',
        2000,
        minimum=1,
    )
    depends_on: list[ids.ServiceName] = options.option(
        'Services that this one depends on.', factory=list
    )
    objective: ServiceObjective = options.option(
        'Service-level objective.', factory=ServiceObjective
    )


@dataclasses.dataclass(frozen=True)
class TrainerObjective:
    """Service-level objective of a trainer."""

    step_seconds: float = options.option(
        'Time within which a step is complete, in seconds.',
        1140.0,
        minimum=0.1,
    )
    on_time: float = options.option(
        'Share of steps that are complete in time.',
        0.99,
        minimum=0.0,
        maximum=0.999999,
    )
    idle_share: float = options.option(
        'Maximum share of time the trainer waits for samples.',
        0.1,
        minimum=0.0,
        maximum=1.0,
    )


@dataclasses.dataclass(frozen=True)
class Trainer:
    """A trainer that receives samples."""

    club: ids.ClubName = options.option('Club that the trainer belongs to.')
    model: ids.ModelName = options.option('Model that generates samples.')
    scoring: typing.Optional[ids.ServiceName] = options.option(
        'Service that scores samples.', None
    )
    group_size: int = options.option(
        'Samples generated for one prompt.', 8, minimum=1
    )
    samples_per_step: int = options.option(
        'Samples that complete a step.', 64, minimum=1
    )
    staleness_bound: int = options.option(
        'Maximum number of versions a sample may lag behind at delivery.',
        1,
        minimum=0,
    )
    staleness_weight: float = options.option(
        'Weight of staleness against idle time, 0 for idle time only.',
        0.5,
        minimum=0.0,
        maximum=1.0,
    )
    share_of_club: float = options.option(
        "Share of the club's budget; all of a club sum to at most 1.",
        1.0,
        minimum=0.001,
        maximum=1.0,
    )
    objective: TrainerObjective = options.option(
        'Service-level objective.', factory=TrainerObjective
    )


@dataclasses.dataclass(frozen=True)
class FederationText:
    """The complete published text."""

    format: int = options.option(
        'Format version of the text; always 1.', minimum=1
    )
    federation: str = options.option('Name of the federation.')
    clubs: dict[ids.ClubName, Club] = options.option('Clubs by name.')
    targets: dict[ids.TargetName, Target] = options.option('Targets by name.')
    services: dict[ids.ServiceName, Service] = options.option(
        'Services by name.', factory=dict
    )
    trainers: dict[ids.TrainerName, Trainer] = options.option(
        'Trainers by name.', factory=dict
    )

    def iter_replicas(
        self, target: ids.TargetName
    ) -> typing.Iterator[tuple[ids.FailureDomain, ids.ReplicaAddress]]:
        """Yields failure domain and address of each replica of a target."""
        for domain, addresses in self.targets[target].replicas.items():
            for address in addresses:
                yield domain, address

    def target_of_model(
        self, model: ids.ModelName
    ) -> typing.Optional[ids.TargetName]:
        """Returns the name of the target that serves a model, if any."""
        for name, target in self.targets.items():
            if target.model == model:
                return name
        return None
