"""Interfaces to outside systems and the registries of their adapters.

A new form of an outside system is a new class with a registering decorator.
"""

from __future__ import annotations

import abc
import dataclasses
import enum
import typing

from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.settings import settings as settings_module


@dataclasses.dataclass(frozen=True)
class LogRecord:
    """One record of a stream."""

    offset: ids.Offset
    body: dict


@dataclasses.dataclass(frozen=True)
class LogPage:
    """Result of one read.

    Attributes:
        records: Records from the asked offset on, in order.
        oldest: Offset of the oldest record that is kept.
        next: Offset that the next append will get.
    """

    records: tuple[LogRecord, ...]
    oldest: ids.Offset
    next: ids.Offset


class LogService(abc.ABC):
    """Append-only streams with offsets."""

    @abc.abstractmethod
    def append(self, stream: str, body: dict) -> ids.Offset:
        """Appends a record and returns its offset.

        Raises:
            exceptions.LogUnavailableError: The append had no effect.
            exceptions.LogAnswerLostError: The append may have had effect.
        """

    @abc.abstractmethod
    def read(
        self, stream: str, start: ids.Offset, wait_s: float = 0.0
    ) -> LogPage:
        """Reads from an offset on, waiting for a record if there is none.

        Raises:
            exceptions.LogUnavailableError: The log did not answer.
        """


@dataclasses.dataclass(frozen=True)
class ListedInstance:
    """One entry of the instance list."""

    instance: ids.InstanceId
    failure_domain: ids.FailureDomain
    peer_address: str
    http_address: str
    is_leaving: bool = False


class InstanceList(abc.ABC):
    """The platform's list of instances, which lags behind reality."""

    @abc.abstractmethod
    def list_instances(self) -> list[ListedInstance]:
        """Lists the instances.

        Raises:
            exceptions.PlatformError: The list did not answer.
        """


class WeightStore(abc.ABC):
    """Versions of models."""

    @abc.abstractmethod
    def get_latest(self, model: ids.ModelName) -> ids.Version:
        """Latest version of a model.

        Raises:
            exceptions.PlatformError: The store did not answer or refused.
        """


@dataclasses.dataclass(frozen=True)
class EngineState:
    """What an engine says of itself; a lagging figure is marked in its doc.

    Attributes:
        version: Version that new tokens come from.
        fence: Highest fencing token seen, 0 for an engine without fencing.
        swapping_to: Version being loaded, None when idle.
        running: Requests in the batch (lags).
        waiting: Requests not yet admitted (lags).
    """

    version: ids.Version
    fence: ids.FencingToken = ids.FencingToken(0)
    swapping_to: typing.Optional[ids.Version] = None
    running: int = 0
    waiting: int = 0


@dataclasses.dataclass(frozen=True)
class CompletionRequest:
    """A generation at an engine."""

    request_id: ids.RequestId
    prompt: str
    max_tokens: int


@dataclasses.dataclass(frozen=True)
class TokenChunk:
    """A part of a streamed answer.

    Attributes:
        text: Generated text.
        token_count: Tokens in this part.
        version: Version that the engine names for them.
    """

    text: str
    token_count: int
    version: ids.Version


class Engine(abc.ABC):
    """One replica of a model engine."""

    @abc.abstractmethod
    def stream(
        self,
        request: CompletionRequest,
        timeout_s: float,
        batch_s: float = 0.05,
    ) -> typing.Iterator[TokenChunk]:
        """Generates; ends normally only after the engine's end marker.

        Args:
            request: What to generate.
            timeout_s: Longest silence of the engine, in seconds.
            batch_s: Pause between reads after the first, in seconds.

        Raises:
            exceptions.NotRunError: No byte left for the engine.
            exceptions.RanAndFailedError: The engine reported an error.
            exceptions.MayHaveRunError: Anything else.
        """

    @abc.abstractmethod
    def cancel(self, request_id: ids.RequestId) -> None:
        """Cancels a generation, best effort."""

    @abc.abstractmethod
    def get_state(self) -> EngineState:
        """Reads state and load report.

        Raises:
            exceptions.PlatformError: The engine did not answer.
        """

    @abc.abstractmethod
    def load_version(
        self,
        model: ids.ModelName,
        version: ids.Version,
        fence: ids.FencingToken,
    ) -> None:
        """Orders a version; returns once the order is taken, not done.

        Raises:
            exceptions.FenceRejectedError: The engine saw a newer token.
            exceptions.PlatformError: The order may have had effect.
        """


T = typing.TypeVar('T')


class Registry(typing.Generic[T]):
    """Adapter classes of one kind of outside system, by name."""

    def __init__(self, system: str) -> None:
        self._system = system
        self._adapters: dict[str, type[T]] = {}

    def register(self, name: str) -> typing.Callable[[type[T]], type[T]]:
        """Class decorator that adds an adapter."""

        def add(cls: type[T]) -> type[T]:
            self._adapters[name] = cls
            return cls

        return add

    def names(self) -> list[str]:
        """Names of all adapters."""
        return sorted(self._adapters)

    def make(self, name: str, *arguments: typing.Any) -> T:
        """Makes an adapter.

        Raises:
            KeyError: No adapter has that name.
        """
        if name not in self._adapters:
            raise KeyError(
                f'no {self._system} adapter "{name}"; known: {self.names()}'
            )
        return self._adapters[name](*arguments)


# Adapters of the first three take a ``settings.Endpoint``; engines take the
# replica's address "ip:port".
log_services: Registry[LogService] = Registry('log service')
instance_lists: Registry[InstanceList] = Registry('instance list')
weight_stores: Registry[WeightStore] = Registry('weight store')
engines: Registry[Engine] = Registry('engine')


def make_log_service(settings: settings_module.Settings) -> LogService:
    """Makes the adapter that the settings name."""
    endpoint = settings.platform.log
    return log_services.make(endpoint.adapter, endpoint)


@dataclasses.dataclass(frozen=True)
class RawRecord:
    """One record of a stream of bytes."""

    offset: ids.Offset
    body: bytes


@dataclasses.dataclass(frozen=True)
class RawPage:
    """Result of one read of a stream of bytes.

    Attributes:
        records: Records from the asked offset on, in order.
        end: Offset that the next append will get.
    """

    records: tuple[RawRecord, ...]
    end: ids.Offset


@dataclasses.dataclass(frozen=True)
class KeyedRecord:
    """The newest record of a key; no value if the key was dropped."""

    key: str
    value: typing.Optional[bytes]


class RecordStore(abc.ABC):
    """Streams of bytes, and streams that keep the newest record of a key."""

    @abc.abstractmethod
    def append(
        self,
        stream: str,
        bodies: typing.Sequence[bytes],
        *,
        timeout_s: typing.Optional[float] = None,
    ) -> ids.Offset:
        """Appends records, all or none; returns the offset of the first.

        Raises:
            exceptions.LogUnavailableError: The append had no effect.
            exceptions.LogAnswerLostError: The append may take effect, also
                later.
        """

    @abc.abstractmethod
    def read(
        self,
        stream: str,
        start: ids.Offset,
        *,
        wait_s: float = 0.0,
        limit_bytes: int = 262_144,
    ) -> RawPage:
        """Reads from an offset on; waits for a record if there is none.

        Raises:
            exceptions.LogTrimmedError: The records were dropped.
            exceptions.LogUnavailableError: The store did not answer.
        """

    @abc.abstractmethod
    def read_newest(self, stream: str) -> tuple[list[KeyedRecord], ids.Offset]:
        """Reads the newest record of each key.

        Returns:
            The records, and the offset to read on from.

        Raises:
            exceptions.LogUnavailableError: The store did not answer.
        """

    @abc.abstractmethod
    def decode_keyed(self, body: bytes) -> KeyedRecord:
        """Splits a record of a keyed stream.

        Raises:
            exceptions.UnreadableRecordError: It is not in that form.
        """


@dataclasses.dataclass(frozen=True)
class ReplicaReport:
    """What a replica says of itself.

    Attributes:
        versions: Version of each model.
        is_busy: Whether an order is in progress.
        order_count: Orders accepted since the replica started.
    """

    versions: dict[ids.ModelName, ids.Version]
    is_busy: bool
    order_count: int


@dataclasses.dataclass(frozen=True)
class ReplicaLoad:
    """Load that a replica reports with an answer."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True)
class AnswerFacts:
    """What the head of a replica's answer says besides its status.

    Attributes:
        request_id: Request that it answers, None if it names none.
        is_not_run: Whether the replica did not run the request.
        version: Version of the weights, None if it names none.
        load: Load of the replica, None if it reports none.
    """

    request_id: typing.Optional[str]
    is_not_run: bool
    version: typing.Optional[ids.Version]
    load: typing.Optional[ReplicaLoad]


class OrderOutcome(str, enum.Enum):
    """Answer of a replica to an order."""

    ACCEPTED = 'accepted'
    HOLDS_ALREADY = 'holds_already'
    CONFLICT = 'conflict'
    FENCED = 'fenced'
    REFUSED = 'refused'


class Platform(abc.ABC):
    """A platform with a store, a directory and replicas."""

    store: RecordStore
    # Streams that announce texts, versions and replicas.
    directory_streams: tuple[str, ...]

    @abc.abstractmethod
    def reload(self, settings: settings_module.Settings) -> None:
        """Applies changed settings."""

    @abc.abstractmethod
    def decode_change(
        self, stream: str, record: KeyedRecord
    ) -> typing.Optional[deployment.Change]:
        """Decodes a directory record; None for one of no interest.

        Raises:
            exceptions.UnreadableRecordError: It is not in its published form.
        """

    @abc.abstractmethod
    def make_headers(
        self,
        replica: deployment.Replica,
        *,
        request_id: typing.Optional[str] = None,
        deadline_s: typing.Optional[float] = None,
        resume_after: typing.Optional[str] = None,
    ) -> list[tuple[str, str]]:
        """Makes the headers that this system sets on a request.

        Args:
            replica: The only replica that may run the request.
            request_id: Identifier, if the caller's headers hold none.
            deadline_s: Time that is left, in seconds.
            resume_after: Identifier of the event to go on after.
        """

    @abc.abstractmethod
    def read_answer(
        self, status: int, headers: typing.Mapping[str, str]
    ) -> AnswerFacts:
        """Reads the head of an answer; names of headers in lower case."""

    @abc.abstractmethod
    def read_event_version(
        self, fields: typing.Mapping[str, str]
    ) -> typing.Optional[ids.Version]:
        """Version that begins with an event, None without a change."""

    @abc.abstractmethod
    def get_report(self, replica: deployment.Replica) -> ReplicaReport:
        """Asks a replica for its state.

        Raises:
            exceptions.PlatformError: It did not answer.
        """

    @abc.abstractmethod
    def order_version(
        self,
        replica: deployment.Replica,
        order: VersionOrder,
    ) -> OrderOutcome:
        """Orders a replica to load a version.

        Raises:
            exceptions.PlatformError: The order may take effect, also later.
        """


@dataclasses.dataclass(frozen=True)
class VersionOrder:
    """An order to load a version.

    Attributes:
        model: Model to change.
        version: Version to load.
        keeps_runs: Whether runs go on under the new version; otherwise they
            finish first.
        holder: Instance that orders.
        fence: Fencing token of its duty.
        expected_orders: Count of accepted orders at which it is valid.
    """

    model: ids.ModelName
    version: ids.Version
    keeps_runs: bool
    holder: ids.InstanceId
    fence: ids.FencingToken
    expected_orders: int


platforms: Registry[Platform] = Registry('platform')


def make_platform(settings: settings_module.Settings) -> Platform:
    """Makes the platform adapter that the settings name."""
    return platforms.make(settings.store.adapter, settings)
