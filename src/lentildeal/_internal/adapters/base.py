"""Interfaces to external systems and registries of their adapters.

A new adapter is a subclass that is registered with a decorator.
"""

from __future__ import annotations

import abc
import dataclasses
import typing

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
        records: Records from the requested offset on, in order.
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
            exceptions.LogAnswerLostError: The append may have had an effect.
        """

    @abc.abstractmethod
    def read(
        self, stream: str, start: ids.Offset, wait_s: float = 0.0
    ) -> LogPage:
        """Reads from an offset on; waits for a record if there is none.

        Raises:
            exceptions.LogUnavailableError: The log did not respond.
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
    """The platform's list of instances, which may be out of date."""

    @abc.abstractmethod
    def list_instances(self) -> list[ListedInstance]:
        """Lists the instances.

        Raises:
            exceptions.PlatformError: The list could not be read.
        """


class WeightStore(abc.ABC):
    """Versions of models."""

    @abc.abstractmethod
    def get_latest(self, model: ids.ModelName) -> ids.Version:
        """Returns the latest version of a model.

        Raises:
            exceptions.PlatformError: The store did not respond, or refused
                the request.
        """


@dataclasses.dataclass(frozen=True)
class EngineState:
    """State that an engine reports.

    Attributes:
        version: Version that generates new tokens.
        fence: Highest fencing token seen, 0 for an engine without fencing.
        swapping_to: Version being loaded, None when idle.
        running: Requests in the batch; may be out of date.
        waiting: Requests not yet admitted; may be out of date.
    """

    version: ids.Version
    fence: ids.FencingToken = ids.FencingToken(0)
    swapping_to: typing.Optional[ids.Version] = None
    running: int = 0
    waiting: int = 0


@dataclasses.dataclass(frozen=True)
class CompletionRequest:
    """Request to generate a text."""

    request_id: ids.RequestId
    prompt: str
    max_tokens: int


@dataclasses.dataclass(frozen=True)
class TokenChunk:
    """A part of a streamed response.

    Attributes:
        text: Generated text.
        token_count: Tokens in this part.
        version: Version that generated these tokens.
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
        """Yields generated text; ends only after the engine's end marker.

        Args:
            request: What to generate.
            timeout_s: Longest wait for each read, in seconds.
            batch_s: Pause between reads after the first, in seconds.

        Raises:
            exceptions.NotRunError: No byte was sent to the engine.
            exceptions.RanAndFailedError: The engine reported an error.
            exceptions.MayHaveRunError: Any other failure.
        """

    @abc.abstractmethod
    def cancel(self, request_id: ids.RequestId) -> None:
        """Cancels a generation, best effort."""

    @abc.abstractmethod
    def get_state(self) -> EngineState:
        """Reads the state of the engine.

        Raises:
            exceptions.PlatformError: The engine did not respond.
        """

    @abc.abstractmethod
    def load_version(
        self,
        model: ids.ModelName,
        version: ids.Version,
        fence: ids.FencingToken,
    ) -> None:
        """Orders a version; returns once the order is accepted.

        Raises:
            exceptions.FenceRejectedError: The engine saw a newer token.
            exceptions.PlatformError: The order may have had an effect.
        """


T = typing.TypeVar('T')


class Registry(typing.Generic[T]):
    """Adapter classes of one kind of external system, by name."""

    def __init__(self, system: str) -> None:
        self._system = system
        self._adapters: dict[str, type[T]] = {}

    def register(self, name: str) -> typing.Callable[[type[T]], type[T]]:
        """Returns a class decorator that adds an adapter."""

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


# Constructors of the first three take a ``settings.Endpoint``, those of
# engines the address "ip:port" of a replica.
log_services: Registry[LogService] = Registry('log service')
instance_lists: Registry[InstanceList] = Registry('instance list')
weight_stores: Registry[WeightStore] = Registry('weight store')
engines: Registry[Engine] = Registry('engine')


def make_log_service(settings: settings_module.Settings) -> LogService:
    """Makes the adapter that the settings name."""
    endpoint = settings.platform.log
    return log_services.make(endpoint.adapter, endpoint)
