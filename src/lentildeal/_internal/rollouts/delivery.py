"""Stream of events that a trainer reads."""

from __future__ import annotations

import json
import typing

from lentildeal._internal import exceptions
from lentildeal._internal.models import samples
from lentildeal._internal.rollouts import entries
from lentildeal._internal.rollouts import steps
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import wakeup

CONTENT_TYPE = 'application/jsonl'
# Trainers expect a line at least every second.
KEEPALIVE_S = 0.5


class StreamClosedError(exceptions.LentildealError):
    """The stream ends before the step is complete."""

    default_remedy = 'attach again with a higher attachment number'


class EventStream:
    """Iterates over the lines of a step.

    The server requests the next line after it has written the previous one,
    so an event is chosen, and the staleness of a sample checked, only when
    it can be written. The stream of an incomplete step ends with an
    exception, which leaves the response without its last chunk, so the
    trainer never mistakes it for a complete one.
    """

    def __init__(
        self,
        state: steps.StepState,
        changed: wakeup.Wakeup,
        on_end: typing.Callable[[], None],
    ) -> None:
        self._state = state
        self._changed = changed
        self._on_end: typing.Optional[typing.Callable[[], None]] = on_end
        self._close_reason: typing.Optional[str] = None
        self._idle_s = 0.0
        self._lines = self._iter_lines()

    @property
    def idle_s(self) -> float:
        """Time without an event to write, in seconds."""
        return self._idle_s

    def __iter__(self) -> EventStream:
        return self

    def __next__(self) -> bytes:
        return next(self._lines)

    def close(self) -> None:
        """Called by the server when the stream ends for any reason."""
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end()

    def abort(self, reason: str) -> None:
        """Ends the stream with StreamClosedError before its end event."""
        self._close_reason = reason
        self._changed.set()

    def _iter_lines(self) -> typing.Iterator[bytes]:
        while True:
            if self._close_reason is not None:
                raise StreamClosedError(self._close_reason)
            delivery = self._state.take_delivery()
            if delivery is not None:
                yield _format_line(_to_event(delivery))
            elif self._state.is_complete:
                break
            elif not self._wait():
                yield _format_line({'event': 'keepalive'})
        yield _format_line(
            {'event': 'end', 'delivered': self._state.delivered}
        )

    def _wait(self) -> bool:
        """Waits for a change, returns False after KEEPALIVE_S without one."""
        started_s = clock.monotonic_s()
        is_changed = self._changed.wait(KEEPALIVE_S)
        self._idle_s += clock.monotonic_s() - started_s
        return is_changed


def _format_line(event: dict) -> bytes:
    return json.dumps(event, separators=(',', ':')).encode() + b'\n'


def _to_event(delivery: entries.Delivery) -> dict:
    if delivery.sample is None:
        return {'event': 'version', 'version': delivery.version}
    return {
        'event': 'sample',
        'cursor': delivery.cursor,
        'sample': _to_json(delivery.sample),
    }


def _to_json(sample: samples.Sample) -> dict:
    document = {
        'id': sample.sample_id,
        'group': sample.group,
        'index': sample.index,
        'text': sample.text,
        'token_count': sample.token_count,
        'score': sample.score,
        'segments': [
            {'version': s.version, 'start': s.start, 'end': s.end}
            for s in sample.segments
        ],
    }
    if sample.is_score_failed:
        document['score_failed'] = True
    return document
