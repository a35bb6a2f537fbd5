"""Settings of a daemon: addresses, failure domain, platform and limits."""

from __future__ import annotations

import dataclasses
import enum
import ipaddress
import pathlib
import typing

from lentildeal._internal.config import jsonc
from lentildeal._internal.config import schema
from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.utils import options


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """Connection to one service of the platform."""

    url: str = options.option('Base URL, "http://ip:port".')
    adapter: str = options.option('Registered protocol adapter.', 'http')
    timeout_ms: int = options.option(
        'Time limit of one call, in milliseconds.', 2000, minimum=1
    )


@dataclasses.dataclass(frozen=True)
class Platform:
    """Services of the platform."""

    log: Endpoint = options.option('Log service.')
    instances: Endpoint = options.option('Instance list.')
    weights: Endpoint = options.option('Weight store.')


@dataclasses.dataclass(frozen=True)
class Timing:
    """Intervals and time limits, all in milliseconds."""

    heartbeat_ms: int = options.option(
        'Interval of heartbeats.', 500, minimum=10
    )
    suspect_ms: int = options.option(
        'Silence after which a member is suspect.', 2000, minimum=20
    )
    dead_ms: int = options.option(
        'Silence after which a member is dead.', 5000, minimum=40
    )
    leave_ms: int = options.option(
        'Time between announcing a stop and refusing new work.',
        2000,
        minimum=0,
        maximum=3000,
    )
    drain_ms: int = options.option(
        'Longest wait for requests in flight during a planned stop.',
        600_000,
        minimum=0,
    )
    log_poll_ms: int = options.option(
        'Longest wait of one read of the log for new records.',
        1000,
        minimum=10,
    )
    instances_poll_ms: int = options.option(
        'Interval of reading the instance list until it names this daemon;'
        ' 30 times as long from then on.',
        2000,
        minimum=10,
    )
    weights_poll_ms: int = options.option(
        'Interval of polling the weight store for the latest version.',
        5000,
        minimum=10,
    )
    claim_interval_ms: int = options.option(
        'Shortest time between two appends of idempotency claims.',
        0,
        minimum=0,
    )
    relay_batch_ms: int = options.option(
        'Interval of reading a streamed response after its first bytes.',
        50,
        minimum=0,
    )


@dataclasses.dataclass(frozen=True)
class Limits:
    """Bounds on the load of one daemon."""

    request_bytes: int = options.option(
        'Largest request body, in bytes.', 16 * 1024 * 1024, minimum=1024
    )
    connections: int = options.option(
        'Most concurrent connections of callers.', 10_000, minimum=1
    )
    head_timeout_ms: int = options.option(
        'Time for the head of a request from its first byte, in milliseconds.',
        4000,
        minimum=100,
    )
    replica_bytes: int = options.option(
        'Bytes of the bodies of live calls that one replica has from this'
        ' daemon at a time; a single body may be larger.',
        32 * 1024 * 1024,
        minimum=1024,
    )
    queue_length: int = options.option(
        'Most queued requests for one replica.', 1000, minimum=1
    )


@dataclasses.dataclass(frozen=True)
class Snapshots:
    """When a snapshot of the text in effect is appended to the log.

    The log drops records that are older than its retention, so both values
    have to be well below the retention.
    """

    records: int = options.option(
        'Records after which a snapshot is appended.', 200, minimum=1
    )
    interval_ms: int = options.option(
        'Time after which a snapshot is appended, in milliseconds.',
        600_000,
        minimum=100,
    )


@dataclasses.dataclass(frozen=True)
class Logging:
    """Log output."""

    level: str = options.option(
        'Lowest level: "DEBUG", "INFO", "WARNING" or "ERROR".', 'INFO'
    )


@dataclasses.dataclass(frozen=True)
class Store:
    """The platform's store, and the guarantees that callers rely on."""

    address: str = options.option('Address "ip:port" of the store.')
    adapter: str = options.option('Registered platform adapter.', 'platform')
    record_bytes: int = options.option(
        'Largest record, in bytes.', 262_144, minimum=1024
    )
    call_bytes: int = options.option(
        'Most bytes of records in one append.', 2_097_152, minimum=1024
    )
    retention_s: float = options.option(
        'Time for which the store keeps a record, in seconds.', 300, minimum=1
    )
    status_s: float = options.option(
        'Time for which the result of a job can be read, in seconds.',
        120,
        minimum=1,
    )
    lease_ms: int = options.option(
        'Shortest time between orders of two lease holders to one replica.',
        3000,
        minimum=1,
    )
    drain_ms: int = options.option(
        'Time after which a leaving replica gets no more work.',
        2000,
        minimum=1,
    )
    requires_fence: bool = options.option(
        'Whether replicas reject orders with an older fencing token.', True
    )


class DutyKind(str, enum.Enum):
    """Kinds of calls to the platform that one daemon at a time may make."""

    USAGE_REPORT = 'usage_report'
    AUTOSCALE = 'autoscale'


@dataclasses.dataclass(frozen=True)
class Duties:
    """Calls to the platform that only one daemon at a time may make."""

    address: str = options.option('Address "ip:port" for these calls.')
    kinds: list[str] = options.option(
        'Kinds of calls that the platform expects: "usage_report" and'
        ' "autoscale"; others are ignored.',
        factory=lambda: [kind.value for kind in DutyKind],
    )
    calls_per_s: float = options.option(
        'Calls a second that the platform accepts from all daemons together.',
        50.0,
        minimum=0.1,
    )
    window_s: float = options.option(
        'Length of a window of usage reports, in seconds.', 5.0, minimum=0.1
    )
    due_s: float = options.option(
        'Time from the end of a window until its report is due, in seconds.',
        10.0,
        minimum=0.1,
    )

    def has(self, kind: DutyKind) -> bool:
        """Whether the platform expects calls of a kind."""
        return kind.value in self.kinds


@dataclasses.dataclass(frozen=True)
class Resources:
    """Resources of the instance."""

    processor_share: float = options.option(
        'Share of a processor that the daemon may use.', 1.0, minimum=0.01
    )
    processor_speed: float = options.option(
        'Speed of a processor, as a multiple of a reference core.',
        1.0,
        minimum=0.01,
    )
    memory_mb: typing.Optional[int] = options.option(
        'Memory of the instance, in megabytes. Load is shed so that the daemon'
        ' stays below it; without it, only bodies in receipt are bounded.',
        None,
        minimum=64,
    )
    descriptors: typing.Optional[int] = options.option(
        'File descriptors that the daemon may open. Idle connections are'
        ' closed before it has none left; without it, only "connections"'
        ' bounds them.',
        None,
        minimum=128,
    )

    @property
    def cores(self) -> float:
        """Processor capacity, in reference cores."""
        return self.processor_share * self.processor_speed


@dataclasses.dataclass(frozen=True)
class Hedging:
    """Extra copies of live calls that may be repeated."""

    share_of_requests: float = options.option(
        'Most extra copies, as a share of the requests that may be repeated;'
        ' 0 turns them off, and a second attempt is made after half of the'
        ' objective.',
        0.0,
        minimum=0,
        maximum=1,
    )
    share_of_slots: float = options.option(
        'Most slots of a replica that extra copies of this daemon take at the'
        ' same time, as a share; at least one.',
        0.2,
        minimum=0,
        maximum=0.5,
    )


@dataclasses.dataclass(frozen=True)
class Settings:
    """The settings file of a daemon."""

    instance: ids.InstanceId = options.option('Unique name of the instance.')
    failure_domain: ids.FailureDomain = options.option(
        'Failure domain that the instance is in.'
    )
    http_address: str = options.option(
        'Address "ip:port" for callers, trainers and operators.'
    )
    peer_address: typing.Optional[str] = options.option(
        'Address "ip:port" for other daemons; required without "store".', None
    )
    platform: typing.Optional[Platform] = options.option(
        'Services of a stand-alone deployment; required without "store".',
        None,
    )
    store: typing.Optional[Store] = options.option(
        'Store of a platform deployment, instead of "platform".', None
    )
    duties: typing.Optional[Duties] = options.option(
        'Calls that the platform expects from one daemon at a time.', None
    )
    ready_address: typing.Optional[str] = options.option(
        'Address "ip:port" of readiness checks; default "http_address".',
        None,
    )
    metrics_address: typing.Optional[str] = options.option(
        'Address "ip:port" of metrics; default "http_address".', None
    )
    peer_bind_address: typing.Optional[str] = options.option(
        'Address "ip:port" to listen on for other daemons, if it differs from'
        ' "peer_address", for instance behind address translation.',
        None,
    )
    timing: Timing = options.option('Intervals.', factory=Timing)
    limits: Limits = options.option('Bounds.', factory=Limits)
    resources: Resources = options.option(
        'Resources of the instance.', factory=Resources
    )
    hedging: Hedging = options.option(
        'Extra copies of live calls.', factory=Hedging
    )
    snapshots: Snapshots = options.option(
        'Snapshots of the text in effect.', factory=Snapshots
    )
    logging: Logging = options.option('Log output.', factory=Logging)


_ADDRESSES = (
    'http_address',
    'peer_address',
    'peer_bind_address',
    'ready_address',
    'metrics_address',
)


def load(path: pathlib.Path) -> Settings:
    """Reads and checks a settings file.

    Raises:
        exceptions.SettingsError: The file is missing or has faults.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.SettingsError(
            f'settings file {path} is not readable: {error}'
        ) from error
    return parse(text, str(path))


def parse(text: str, source: str = 'settings') -> Settings:
    """Decodes settings.

    Raises:
        exceptions.SettingsError: The text has faults.
    """
    try:
        settings = schema.load(Settings, text)
    except jsonc.TextFaultsError as error:
        raise exceptions.SettingsError(f'{source}: {error}') from error
    _check(settings, source)
    return settings


def split_address(address: str) -> tuple[str, int]:
    """Splits "ip:port" into IP address and port.

    Raises:
        ValueError: The address is not an IP address with a port.
    """
    host, _, port = address.rpartition(':')
    ipaddress.ip_address(host.strip('[]'))
    number = int(port)
    if not 0 <= number <= 65535:
        raise ValueError(f'port {number} is out of range')
    return host.strip('[]'), number


def _check_deployment(settings: Settings, source: str) -> None:
    if settings.store is not None and settings.platform is not None:
        raise exceptions.SettingsError(
            f'{source}: both "store" and "platform" are set',
            remedy='keep "store" on a platform, otherwise "platform"',
        )
    if settings.store is not None:
        return
    for name in ('platform', 'peer_address'):
        if getattr(settings, name) is None:
            raise exceptions.SettingsError(
                f'{source}: required key "{name}" is missing',
                remedy=f'add "{name}", or "store" on a platform',
            )


def _check(settings: Settings, source: str) -> None:
    _check_deployment(settings, source)
    for name in _ADDRESSES:
        address = getattr(settings, name)
        if address is None:
            continue
        try:
            split_address(address)
        except ValueError as error:
            raise exceptions.SettingsError(
                f'{source}: {name}: {address!r} is not valid: {error}',
                remedy='write an IP number and a port, as in "10.0.0.5:8000"',
            ) from error
    timing = settings.timing
    if not timing.heartbeat_ms < timing.suspect_ms < timing.dead_ms:
        raise exceptions.SettingsError(
            f'{source}: timing: heartbeat_ms, suspect_ms and dead_ms must grow'
            f' ({timing.heartbeat_ms}, {timing.suspect_ms}, {timing.dead_ms})',
            remedy='keep several heartbeats within suspect_ms',
        )
