"""The federation text as typed values. The field docs make the reference."""

from __future__ import annotations

import dataclasses
import enum
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.utils import options


class TargetKind(str, enum.Enum):
    """Form of a target; selects the registered adapter."""

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

    kind: TargetKind = options.option('Form: "engine" or "service".')
    replicas: dict[ids.FailureDomain, list[ids.ReplicaAddress]] = (
        options.option('Addresses "ip:port" of the replicas by domain.')
    )
    model: typing.Optional[ids.ModelName] = options.option(
        'Model that the engines serve; required for kind "engine".', None
    )
    concurrency: int = options.option(
        'Most requests in flight at one replica.', 8, minimum=1
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
        'Share of requests answered whole within the deadline.',
        0.999,
        minimum=0.0,
        maximum=0.999999,
    )


@dataclasses.dataclass(frozen=True)
class Service:
    """A service that live callers use."""

    club: ids.ClubName = options.option('Club that offers the service.')
    target: ids.TargetName = options.option('Target that answers.')
    idempotent: bool = options.option(
        'Whether a call may be repeated without harm.', False
    )
    deadline_ms: int = options.option(
        'Deadline of a call that names none, in milliseconds.',
        2000,
        minimum=1,
    )
    depends_on: list[ids.ServiceName] = options.option(
        'Services that this one needs.', factory=list
    )
    objective: ServiceObjective = options.option(
        'Service-level objective.', factory=ServiceObjective
    )


@dataclasses.dataclass(frozen=True)
class TrainerObjective:
    """Service-level objective of a trainer."""

    step_seconds: float = options.option(
        'Time within which a step is whole, in seconds.', 1140.0, minimum=0.1
    )
    on_time: float = options.option(
        'Share of steps that are whole in time.',
        0.99,
        minimum=0.0,
        maximum=0.999999,
    )
    idle_share: float = options.option(
        'Largest share of time the trainer waits for samples.',
        0.1,
        minimum=0.0,
        maximum=1.0,
    )


@dataclasses.dataclass(frozen=True)
class Trainer:
    """A trainer that is fed with samples."""

    club: ids.ClubName = options.option('Club that the trainer belongs to.')
    model: ids.ModelName = options.option('Model that generates samples.')
    scoring: typing.Optional[ids.ServiceName] = options.option(
        'Service that scores samples.', None
    )
    group_size: int = options.option(
        'Samples generated for one prompt.', 8, minimum=1
    )
    samples_per_step: int = options.option(
        'Samples that make a step whole.', 64, minimum=1
    )
    staleness_bound: int = options.option(
        'Most versions by which a sample may be behind at delivery.',
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
        "Part of the club's budget; those of a club sum to 1 at most.",
        1.0,
        minimum=0.001,
        maximum=1.0,
    )
    objective: TrainerObjective = options.option(
        'Service-level objective.', factory=TrainerObjective
    )


@dataclasses.dataclass(frozen=True)
class FederationText:
    """The whole published text."""

    format: int = options.option('Format of the text; 1.', minimum=1)
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
        """Yields domain and address of each replica of a target."""
        for domain, addresses in self.targets[target].replicas.items():
            for address in addresses:
                yield domain, address

    def target_of_model(
        self, model: ids.ModelName
    ) -> typing.Optional[ids.TargetName]:
        """Names the target whose engines serve a model, if there is one."""
        for name, target in self.targets.items():
            if target.model == model:
                return name
        return None
