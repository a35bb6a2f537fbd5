"""Published state of a platform: routes, services, versions, replicas."""

from __future__ import annotations

import dataclasses
import enum
import typing

from lentildeal._internal.models import ids


class RouteKind(str, enum.Enum):
    """How requests of a route may be handled."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'
    ROLLOUT = 'rollout'


class ReplicaState(str, enum.Enum):
    """Whether a replica accepts new work."""

    READY = 'ready'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True)
class Share:
    """Weight of one service in the requests of a route."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Requests of one host and path prefix.

    Attributes:
        name: Name in the published text.
        host: Host of the requests, in lower case.
        path_prefix: Prefix that begins and ends with a slash.
        kind: How the requests may be handled.
        shares: Services and their weights.
        timeout_s: Longest time that a caller waits for a response, in
            seconds.
        objective_s: Latency up to which a response is on time, in seconds.
        max_attempts: Maximum number of replicas that one request is sent
            to.
        deadline_s: Time within which all results of a job are due, in
            seconds.
        max_item_age_s: Age of its job from which an item may be given up, in
            seconds.
        is_single_version: Whether a single version must generate a whole
            sample.
        is_resumable: Whether a stream may continue at another replica.
        is_public: Whether its requests need no key of an account.
        priority: Rank of its requests, 0 is the highest.
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
    max_item_age_s: float = 0.0
    is_single_version: bool = False
    is_resumable: bool = False
    is_public: bool = False
    priority: int = 0


@dataclasses.dataclass(frozen=True)
class Account:
    """A client account.

    Attributes:
        name: Name in the published text.
        keys: Keys by which its clients identify themselves. Secret: they must
            not appear in a log, a metric, an error or a request to a replica.
        priority: Rank of its requests, 0 is the highest; None for the
            priority of the route.
    """

    name: ids.AccountName
    keys: frozenset[str] = dataclasses.field(repr=False)
    priority: typing.Optional[int] = None


@dataclasses.dataclass(frozen=True)
class Scaling:
    """Bounds and prices of the replicas that may be ordered for a service.

    Attributes:
        min_replicas: Fewest replicas in a failure domain.
        max_replicas: Most replicas in a failure domain, of both kinds.
        start_s: Time until an ordered replica serves, in seconds.
        spot_price: Price of a replica that may be reclaimed, as a share of
            the price of one that may not.
        prices: Price of a replica for a second in each failure domain.
    """

    min_replicas: int
    max_replicas: int
    start_s: float
    spot_price: float
    prices: dict[ids.FailureDomain, float]


@dataclasses.dataclass(frozen=True)
class Service:
    """A set of replicas.

    Attributes:
        name: Name in the published text.
        models: Models that the replicas serve; empty for a service without
            models.
        slots: Requests that an engine runs concurrently; 0 for a service
            without models.
        max_connections: Maximum number of connections to one replica.
        tokens_per_event: Tokens that an engine sends in one event.
        scaling: Bounds of its ordered replicas, None if none are ordered.
        health_path: Path of status checks, empty without one.
    """

    name: ids.ServiceName
    models: tuple[ids.ModelName, ...]
    slots: int
    max_connections: int
    tokens_per_event: int = 1
    scaling: typing.Optional[Scaling] = None
    health_path: str = ''


@dataclasses.dataclass(frozen=True)
class IngressLimits:
    """Limits on the size of a request."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 32 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class PublishedText:
    """One version of the published text.

    Attributes:
        version: Version, which grows.
        routes: Routes of requests.
        services: Services by name.
        limits: Limits on the size of a request.
        accounts: Client accounts by name, None if requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[ids.ServiceName, Service]
    limits: IngressLimits
    accounts: typing.Optional[dict[ids.AccountName, Account]] = None

    def find_route(self, host: str, path: str) -> typing.Optional[Route]:
        """Returns the route with the longest matching prefix, if any."""
        host = host.lower()
        matches = [
            route
            for route in self.routes
            if route.host == host and path.startswith(route.path_prefix)
        ]
        return max(matches, key=lambda r: len(r.path_prefix), default=None)

    def iter_engine_services(self) -> typing.Iterator[Service]:
        """Yields the services whose replicas serve models."""
        return (s for s in self.services.values() if s.models)


@dataclasses.dataclass(frozen=True)
class Replica:
    """One replica as its entry in the store describes it.

    Attributes:
        replica_id: Identifier, new at each start of the replica.
        service: Service that it belongs to.
        address: Address "ip:port".
        failure_domain: Failure domain that it is in.
        slots: Requests that it runs concurrently.
        state: Whether it accepts new work.
        versions: Loaded version of each model.
        started_ms: Unix time of its start, in milliseconds.
        is_spot: Whether it may be reclaimed at short notice.
    """

    replica_id: ids.ReplicaId
    service: ids.ServiceName
    address: ids.ReplicaAddress
    failure_domain: ids.FailureDomain
    slots: int
    state: ReplicaState
    versions: dict[ids.ModelName, ids.Version]
    started_ms: int = 0
    is_spot: bool = False


# Changes that a directory stream publishes.
@dataclasses.dataclass(frozen=True)
class TextChange:
    """A new version of the published text."""

    text: PublishedText


@dataclasses.dataclass(frozen=True)
class VersionAnnouncement:
    """A trainer has announced a version of its model."""

    model: ids.ModelName
    version: ids.Version


@dataclasses.dataclass(frozen=True)
class ReplicaChange:
    """A replica's entry has changed; None if it was removed."""

    replica_id: ids.ReplicaId
    replica: typing.Optional[Replica]


Change = typing.Union[TextChange, VersionAnnouncement, ReplicaChange]
