"""Interface of a platform with a store, a directory and replicas."""

from __future__ import annotations

import abc
import dataclasses
import enum
import typing

from lentildeal._internal.adapters import base
from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.settings import settings as settings_module


@dataclasses.dataclass(frozen=True)
class RawRecord:
    """One record of a byte stream, not decoded."""

    offset: ids.Offset
    body: bytes


@dataclasses.dataclass(frozen=True)
class StorePage:
    """Result of one read of a byte stream.

    Attributes:
        records: Records from the requested offset on, in order.
        end: Offset that the next append will get.
    """

    records: tuple[RawRecord, ...]
    end: ids.Offset


@dataclasses.dataclass(frozen=True)
class KeyedRecord:
    """The newest record of a key; no value if the key was deleted."""

    key: str
    value: typing.Optional[bytes]


class RecordStore(abc.ABC):
    """Byte streams, and keyed streams with the newest record of each key."""

    @abc.abstractmethod
    def append(
        self,
        stream: str,
        bodies: typing.Sequence[bytes],
        *,
        timeout_s: typing.Optional[float] = None,
    ) -> ids.Offset:
        """Appends records atomically; returns the offset of the first.

        Raises:
            exceptions.LogUnavailableError: The append had no effect.
            exceptions.LogAnswerLostError: The append may have taken effect, or
                may still take effect later.
        """

    @abc.abstractmethod
    def read(
        self,
        stream: str,
        start: ids.Offset,
        *,
        wait_s: float = 0.0,
        limit_bytes: int = 262_144,
    ) -> StorePage:
        """Reads from an offset on; waits for a record if there is none.

        Raises:
            exceptions.LogTrimmedError: The records were dropped.
            exceptions.LogUnavailableError: The store did not respond.
        """

    @abc.abstractmethod
    def read_newest(self, stream: str) -> tuple[list[KeyedRecord], ids.Offset]:
        """Reads the newest record of each key.

        Returns:
            The records, and the offset to continue reading from.

        Raises:
            exceptions.LogUnavailableError: The store did not respond.
        """

    @abc.abstractmethod
    def decode_keyed(self, body: bytes) -> KeyedRecord:
        """Splits a record of a keyed stream into key and value.

        Raises:
            exceptions.UnreadableRecordError: The record has no valid key.
        """


@dataclasses.dataclass(frozen=True)
class ReplicaReport:
    """State that a replica reports.

    Attributes:
        versions: Version of each model.
        is_busy: Whether an order is being carried out.
        order_count: Orders accepted since the replica started.
        is_leaving: Whether the replica will leave and wants no more requests.
    """

    versions: dict[ids.ModelName, ids.Version]
    is_busy: bool
    order_count: int
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True)
class ReplicaLoad:
    """Load that a replica reports with a response.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait there.
        slots: Requests that it runs concurrently.
        work_factor: How long work takes there now, 1.0 is usual; None if it
            does not say.
    """

    running: int
    waiting: int
    slots: int
    work_factor: typing.Optional[float] = None


@dataclasses.dataclass(frozen=True)
class ResponseInfo:
    """Information from the headers of a replica's response.

    Attributes:
        request_id: Request of this response, None if not reported.
        is_not_run: Whether the replica did not run the request.
        version: Version of the weights, None if not reported.
        load: Load of the replica, None if not reported.
        signature: Text by which the caller can verify that the replica
            made the response, None if not reported.
        rate_limit: Requests a second that the replica accepts from all
            daemons together, None without a limit.
        is_misdirected: Whether the request was meant for another replica or
            version; then the replica is not the one that was addressed.
        is_leaving: Whether the replica will leave and wants no more requests.
    """

    request_id: typing.Optional[str]
    is_not_run: bool
    version: typing.Optional[ids.Version]
    load: typing.Optional[ReplicaLoad]
    signature: typing.Optional[str] = None
    rate_limit: typing.Optional[float] = None
    is_misdirected: bool = False
    is_leaving: bool = False


class OrderOutcome(str, enum.Enum):
    """Response of a replica to an order."""

    ACCEPTED = 'accepted'
    ALREADY_LOADED = 'holds_already'
    CONFLICT = 'conflict'
    FENCED = 'fenced'
    REFUSED = 'refused'


class Platform(abc.ABC):
    """A platform with a store, a directory and replicas."""

    store: RecordStore
    # Streams with published texts, versions and replicas.
    directory_streams: tuple[str, ...]

    @abc.abstractmethod
    def reload(self, settings: settings_module.Settings) -> None:
        """Applies changed settings."""

    @abc.abstractmethod
    def decode_change(
        self, stream: str, record: KeyedRecord
    ) -> typing.Optional[deployment.Change]:
        """Decodes a directory record; None for an irrelevant record.

        Raises:
            exceptions.UnreadableRecordError: The record is not valid.
        """

    @abc.abstractmethod
    def make_headers(
        self,
        replica: deployment.Replica,
        *,
        request_id: typing.Optional[str] = None,
        deadline_s: typing.Optional[float] = None,
        resume_after: typing.Optional[str] = None,
        account: typing.Optional[ids.AccountName] = None,
    ) -> list[tuple[str, str]]:
        """Makes the headers that the daemon adds to a request.

        Args:
            replica: The only replica that may run the request.
            request_id: Identifier, if the headers of the caller have none.
            deadline_s: Remaining time, in seconds.
            resume_after: Identifier of the event after which to resume.
            account: Client account of the request, None for none.
        """

    @abc.abstractmethod
    def read_response(
        self, status: int, headers: typing.Mapping[str, str]
    ) -> ResponseInfo:
        """Reads the headers of a response; their names are in lower case."""

    @abc.abstractmethod
    def read_event_version(
        self, fields: typing.Mapping[str, str]
    ) -> typing.Optional[ids.Version]:
        """Returns the version from an event on, None without a change."""

    @abc.abstractmethod
    def get_report(self, replica: deployment.Replica) -> ReplicaReport:
        """Reads the state of a replica.

        Raises:
            exceptions.PlatformError: The replica did not respond.
        """

    @abc.abstractmethod
    def get_load(
        self, replica: deployment.Replica, health_path: str
    ) -> typing.Optional[ReplicaLoad]:
        """Asks a replica for its load, None if it does not report it.

        Args:
            replica: The replica.
            health_path: Path of the status checks of its service.

        Raises:
            exceptions.PlatformError: The replica did not respond.
        """

    def report_usage(self, report: UsageReport, duty: DutyTerm) -> DutyOutcome:
        """Reports the use of a window; called by the holder of the duty only.

        Raises:
            exceptions.PlatformError: The call may have taken effect, or may
                still take effect later.
        """
        raise NotImplementedError

    def order_replicas(
        self, order: ReplicaOrder, duty: DutyTerm
    ) -> DutyOutcome:
        """Orders replicas; called by the holder of the duty only.

        Raises:
            exceptions.PlatformError: The call may have taken effect, or may
                still take effect later.
        """
        raise NotImplementedError

    @abc.abstractmethod
    def order_version(
        self,
        replica: deployment.Replica,
        order: VersionOrder,
    ) -> OrderOutcome:
        """Orders a replica to load a version.

        Raises:
            exceptions.PlatformError: The order may have taken effect, or may
                still take effect later.
        """


@dataclasses.dataclass(frozen=True)
class VersionOrder:
    """An order to load a version.

    Attributes:
        model: Model to change.
        version: Version to load.
        keep_running: Whether running requests continue with the new version;
            otherwise they finish first.
        holder: Instance that sends the order, which holds the lease.
        fence: Fencing token of the lease.
        expected_orders: Number of accepted orders at which the order is valid.
    """

    model: ids.ModelName
    version: ids.Version
    keep_running: bool
    holder: ids.InstanceId
    fence: ids.FencingToken
    expected_orders: int


class DutyOutcome(str, enum.Enum):
    """Answer of the platform to a call that only one daemon may make."""

    DONE = 'done'
    # The platform has seen a higher token, or has no such replicas now.
    REFUSED = 'refused'
    THROTTLED = 'throttled'


@dataclasses.dataclass(frozen=True)
class DutyTerm:
    """Holder of a duty.

    Attributes:
        holder: Instance that holds the lease.
        fence: Fencing token of the lease.
    """

    holder: ids.InstanceId
    fence: ids.FencingToken


@dataclasses.dataclass(frozen=True)
class UsageReport:
    """Requests that replicas began to run in a window.

    Attributes:
        window: Number of the window.
        counts: Requests of each account.
    """

    window: int
    counts: typing.Mapping[ids.AccountName, int]


@dataclasses.dataclass(frozen=True)
class ReplicaOrder:
    """Number of replicas wanted, absolute, so that a repeat is harmless.

    Attributes:
        service: Service of the replicas.
        failure_domain: Where they run.
        count: Number wanted.
        is_spot: Whether these are replicas that may be reclaimed.
    """

    service: ids.ServiceName
    failure_domain: ids.FailureDomain
    count: int
    is_spot: bool = False


platforms: base.Registry[Platform] = base.Registry('platform')


def make_platform(settings: settings_module.Settings) -> Platform:
    """Makes the platform adapter that the settings name."""
    return platforms.make(settings.store.adapter, settings)
