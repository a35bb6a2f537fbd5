"""What a platform publishes: routes, services, named versions, replicas."""

from __future__ import annotations

import dataclasses
import enum
import typing

from lentildeal._internal.models import ids


class RouteKind(str, enum.Enum):
    """What may be done with requests of a route."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'
    ROLLOUT = 'rollout'


class ReplicaState(str, enum.Enum):
    """Whether a replica takes new work."""

    READY = 'ready'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True)
class Share:
    """Part of a route's requests that a service gets."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Requests of one host and path prefix.

    Attributes:
        name: Name in the published text.
        host: Host of the requests, in lower case.
        path_prefix: Prefix that begins and ends with a slash.
        kind: What may be done with the requests.
        shares: Services and their weights.
        timeout_s: Longest time that a caller is kept waiting, in seconds.
        objective_s: Time within which an answer is on time, in seconds.
        max_attempts: Most replicas that one request may be sent to.
        deadline_s: Time in which all results of a job are due, in seconds.
        give_up_s: Time after which an item may be given up, in seconds.
        is_single_version: Whether one version has to generate a sample.
        is_resumable: Whether a stream may go on at another replica.
    """

    name: ids.RouteName
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout_s: float
    objective_s: float
    max_attempts: int
    deadline_s: float = 0.0
    give_up_s: float = 0.0
    is_single_version: bool = False
    is_resumable: bool = False


@dataclasses.dataclass(frozen=True)
class Service:
    """A set of replicas.

    Attributes:
        name: Name in the published text.
        models: Models that the replicas hold; empty for a plain service.
        slots: Requests that an engine runs at once, 0 for a plain service.
        max_connections: Most connections to one replica.
        tokens_per_event: Tokens that an engine sends in one event.
    """

    name: ids.ServiceName
    models: tuple[ids.ModelName, ...]
    slots: int
    max_connections: int
    tokens_per_event: int = 1


@dataclasses.dataclass(frozen=True)
class IngressLimits:
    """Bounds on what a caller may send."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 32 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class PublishedText:
    """The text in force: routes, services and limits of one version."""

    version: int
    routes: tuple[Route, ...]
    services: dict[ids.ServiceName, Service]
    limits: IngressLimits

    def find_route(self, host: str, path: str) -> typing.Optional[Route]:
        """Route with the longest prefix of a path, None without one."""
        host = host.lower()
        matches = [
            route
            for route in self.routes
            if route.host == host and path.startswith(route.path_prefix)
        ]
        return max(matches, key=lambda r: len(r.path_prefix), default=None)

    def iter_engine_services(self) -> typing.Iterator[Service]:
        """Services whose replicas hold models."""
        return (s for s in self.services.values() if s.models)


@dataclasses.dataclass(frozen=True)
class Replica:
    """One replica as its entry in the store describes it.

    Attributes:
        replica_id: Identifier of this start of the replica.
        service: Service that it belongs to.
        address: Address "ip:port".
        failure_domain: Failure domain that it is in.
        slots: Requests that it runs at once.
        state: Whether it takes new work.
        versions: Version of each model that it holds.
        started_ms: Unix time of its start, in milliseconds.
    """

    replica_id: ids.ReplicaId
    service: ids.ServiceName
    address: ids.ReplicaAddress
    failure_domain: ids.FailureDomain
    slots: int
    state: ReplicaState
    versions: dict[ids.ModelName, ids.Version]
    started_ms: int = 0


# Changes that a directory stream announces.
@dataclasses.dataclass(frozen=True)
class TextChange:
    """A version of the published text."""

    text: PublishedText


@dataclasses.dataclass(frozen=True)
class VersionAnnouncement:
    """A trainer has named a version of its model."""

    model: ids.ModelName
    version: ids.Version


@dataclasses.dataclass(frozen=True)
class ReplicaChange:
    """A replica's entry has changed; None if it was removed."""

    replica_id: ids.ReplicaId
    replica: typing.Optional[Replica]


Change = typing.Union[TextChange, VersionAnnouncement, ReplicaChange]
