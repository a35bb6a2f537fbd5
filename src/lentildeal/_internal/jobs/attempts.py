"""One attempt to run an item at a replica."""

from __future__ import annotations

import enum
import typing

from lentildeal._internal.adapters import platform_base
from lentildeal._internal import exceptions
from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.models import jobs
from lentildeal._internal.network import client_connections
from lentildeal._internal.network import sse
from lentildeal._internal.network import target_connections
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import decimals

# The runner stops an unresponsive attempt long before this. The timeout only
# bounds reads of attempts that the runner no longer tracks.
SOCKET_TIMEOUT_S = 20.0
UNPROCESSABLE_STATUS = 422
FAILED_STATUS = 500
# Memory for the text of an attempt, and for each of its events beside the
# data. The store takes no larger texts.
MAX_TEXT_BYTES = 2 * 1024 * 1024
EVENT_OVERHEAD_BYTES = 32
# The time after which to connect again says nothing about a text.
IGNORED_FIELDS = frozenset(('retry',))


class AttemptOutcome(str, enum.Enum):
    """Outcome of an attempt."""

    COMPLETE = 'complete'
    FAILED = 'failed'
    NOT_RUN = 'not_run'
    IMPOSSIBLE = 'impossible'
    BROKEN = 'broken'
    # The replica went down when it had the item.
    CRASHED = 'crashed'


class Attempt:
    """Sends an item to a replica and collects its events.

    Attributes:
        replica: Replica that runs the item.
        started_s: When the attempt started.
        heard_s: When the last data was received.
        run_events: Number of events of this attempt.
        reason: Why the attempt failed, if it did.
    """

    def __init__(
        self,
        platform: platform_base.Platform,
        connections: target_connections.TargetConnections,
        replica: deployment.Replica,
        progress: jobs.Progress,
        min_version: ids.Version,
        on_info: typing.Callable[[platform_base.ResponseInfo], None],
    ) -> None:
        self.replica = replica
        self.started_s = clock.monotonic_s()
        self.last_received_s = self.started_s
        self.run_events = 0
        self.first_event_s: typing.Optional[float] = None
        self.reason = ''
        self._platform = platform
        self._connections = connections
        self._min_version = min_version
        self._on_info = on_info
        self._events = list(progress.events)
        self._last_event_id = progress.last_event_id
        self._versions = set(progress.versions)
        self._version: typing.Optional[ids.Version] = None
        self._start = progress
        self._text_bytes = 0
        self._is_complete = False

    @property
    def progress(self) -> jobs.Progress:
        """All events so far, including those of earlier attempts.

        Without the first event of the text while nothing confirms its id:
        the text would go on after the wrong event if it was spoiled.
        """
        if len(self._events) == 1 and not self._is_complete:
            return self._start
        return jobs.Progress(
            tuple(self._events), self._last_event_id, self.versions
        )

    @property
    def versions(self) -> tuple[int, ...]:
        """Versions of all events so far, ascending."""
        return tuple(sorted(self._versions))

    @property
    def event_count(self) -> int:
        """Number of events so far, including earlier attempts."""
        return len(self._events)

    @property
    def pace_s(self) -> typing.Optional[float]:
        """Seconds per event of this attempt, None before two events."""
        if self.run_events < 2:
            return None
        return (self.last_received_s - self.first_event_s) / (
            self.run_events - 1
        )

    def run(
        self,
        host: str,
        item: jobs.Item,
        account: typing.Optional[ids.AccountName] = None,
    ) -> AttemptOutcome:
        """Runs the item and returns the outcome; sets ``reason``.

        Args:
            host: Host of the job's route.
            item: Item to run.
            account: Client account of the job, None without one.
        """
        headers = [*item.headers.items(), ('Host', host)]
        headers += self._platform.make_headers(
            self.replica,
            request_id=item.item_id,
            resume_after=self._last_event_id,
            account=account,
        )
        try:
            response = self._connections.send(
                self.replica.address,
                'POST',
                item.path,
                headers,
                item.body,
                read_timeout_s=SOCKET_TIMEOUT_S,
                is_repeatable=True,
                request_id=item.item_id,
            )
        except exceptions.NotRunError as error:
            self.reason = error.message
            return AttemptOutcome.NOT_RUN
        except exceptions.TargetCrashedError as error:
            self.reason = error.message
            return AttemptOutcome.CRASHED
        except exceptions.MayHaveRunError as error:
            self.reason = error.message
            return AttemptOutcome.BROKEN
        self.last_received_s = clock.monotonic_s()
        try:
            return self._read(response, item)
        except exceptions.TruncatedAnswerError as error:
            self.reason = error.message
            return AttemptOutcome.BROKEN
        finally:
            # No effect after a complete response, as its connection was
            # returned to the pool.
            response.abandon()

    def _read(
        self, response: client_connections.Response, item: jobs.Item
    ) -> AttemptOutcome:
        info = self._platform.read_response(response.status, response.headers)
        # Only a refusal may lack the request ID.
        may_lack_id = info.is_not_run and info.request_id is None
        if info.request_id != item.item_id and not may_lack_id:
            self.reason = f'response to another request, {info.request_id}'
            return AttemptOutcome.BROKEN
        # Reported before the body is read, as the load is outdated within
        # seconds.
        self._on_info(info)
        if response.status == 200:
            # A replica that has nothing left to generate names no version.
            is_resumed = self._last_event_id is not None
            has_version = info.version is not None
            if (
                not has_version
                and not is_resumed
                or (has_version and info.version < self._min_version)
            ):
                self.reason = f'version {info.version} is too old'
                return AttemptOutcome.BROKEN
            self._version = info.version
            return self._read_events(response)
        self.reason = f'status {response.status}'
        if info.is_not_run:
            response.read_ignored()
            return AttemptOutcome.NOT_RUN
        response.read()
        if response.status == UNPROCESSABLE_STATUS:
            return AttemptOutcome.IMPOSSIBLE
        # Other errors, such as those of an intermediary, say nothing about
        # the item.
        if response.status == FAILED_STATUS:
            return AttemptOutcome.FAILED
        return AttemptOutcome.BROKEN

    def _read_events(
        self, response: client_connections.Response
    ) -> AttemptOutcome:
        parser = sse.EventParser()
        for chunk in response.iter_chunks():
            for event in parser.feed_events(chunk):
                self._handle_event(event)
        if parser.has_partial_event:
            self.reason = 'the stream ended within an event'
            return AttemptOutcome.BROKEN
        if not response.has_delimited_body:
            self.reason = 'the stream ended without an end marker'
            return AttemptOutcome.BROKEN
        self._is_complete = True
        return AttemptOutcome.COMPLETE

    def _handle_event(self, event: sse.Event) -> None:
        if event.is_empty and event.fields.keys() <= IGNORED_FIELDS:
            return
        event_id = self._read_id(event)
        self._update_version(event)
        if self._version is None:
            raise exceptions.TruncatedAnswerError(
                f'event {event.event_id} has no version'
            )
        now_s = clock.monotonic_s()
        if self.first_event_s is None:
            self.first_event_s = now_s
        self.last_received_s = now_s
        self.run_events += 1
        self._events.append(event.data)
        self._last_event_id = event_id
        self._versions.add(self._version)
        self._text_bytes += len(event.data) + EVENT_OVERHEAD_BYTES
        if self._text_bytes > MAX_TEXT_BYTES:
            raise exceptions.TruncatedAnswerError(
                f'the text is longer than {MAX_TEXT_BYTES} bytes'
            )

    def _update_version(self, event: sse.Event) -> None:
        """Reads the version of an event that changes it.

        Raises:
            exceptions.InvalidAnswerError: The event has a field that is not
                known, or a value that can't be read. It may have been the
                version.
        """
        fields = event.fields.keys() - IGNORED_FIELDS
        if not fields:
            return
        changed = self._platform.read_event_version(event.fields)
        if changed is None or len(fields) > 1:
            raise exceptions.InvalidAnswerError(
                f'event {event.event_id} has the fields'
                f' {", ".join(sorted(fields))!r:.80}'
            )
        self._version = changed

    def _read_id(self, event: sse.Event) -> str:
        """Returns the id of an event, the next one in order.

        Raises:
            exceptions.InvalidAnswerError: It has no data, is spoiled, or is
                not the next one.
        """
        number = decimals.read_decimal(event.event_id or '')
        defect = event.defect
        if event.data is None:
            defect = 'no data'
        elif number is None:
            defect = 'no number as its id'
        if defect:
            raise exceptions.InvalidAnswerError(
                f'event {event.event_id!r:.80} has {defect}'
            )
        last_id = self._last_event_id
        if last_id is not None and number != int(last_id) + 1:
            raise exceptions.InvalidAnswerError(
                f'event {number} received after {last_id}'
            )
        return str(number)
