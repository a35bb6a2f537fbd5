"""Structured log lines: one for each decision and change of belief.

All kinds of lines are declared here with their fields, so that docs/logs.md
can be generated and can't differ from what is written.
"""

from __future__ import annotations

import dataclasses
import json
import typing

from loguru import logger
import prometheus_client

from lentildeal._internal.utils import clock

# Lines a second over a longer time; a calm day writes about 60.
LINES_PER_S = 300.0
# Lines that may come at once, as when a daemon takes over a large job.
BURST_LINES = 1000.0

_events_total = prometheus_client.Counter(
    'lentildeal_events_total', 'Events by name.', ['event']
)
_dropped_total = prometheus_client.Counter(
    'lentildeal_log_lines_dropped_total',
    'Log lines dropped because of the rate bound or a blocked reader.',
)


@dataclasses.dataclass(frozen=True)
class EventKind:
    """One kind of line.

    Attributes:
        name: Value of the field "event".
        doc: What has happened.
        fields: Names of the other fields, with their meaning.
    """

    name: str
    doc: str
    fields: dict[str, str]


_kinds: dict[str, EventKind] = {}


def define(name: str, doc: str, **fields: str) -> None:
    """Declares a kind of line."""
    _kinds[name] = EventKind(name, doc, fields)


def iter_kinds() -> typing.Iterator[EventKind]:
    """Yields all kinds by name."""
    return (_kinds[name] for name in sorted(_kinds))


class _RateBound:
    """Token bucket of lines."""

    def __init__(self) -> None:
        self._tokens = BURST_LINES
        self._updated_s = clock.monotonic_s()
        self.dropped = 0

    def try_take(self) -> bool:
        now_s = clock.monotonic_s()
        grown = (now_s - self._updated_s) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + grown)
        self._updated_s = now_s
        if self._tokens < 1.0:
            self.count_dropped()
            return False
        self._tokens -= 1.0
        return True

    def count_dropped(self) -> None:
        self.dropped += 1
        _dropped_total.inc()


_bound = _RateBound()
_common: dict[str, typing.Any] = {}


def set_common(**fields: typing.Any) -> None:
    """Sets fields that every line has."""
    _common.update(fields)


def note_dropped() -> None:
    """Counts a line that the output could not take."""
    _bound.count_dropped()


def emit(name: str, **fields: typing.Any) -> None:
    """Writes a line, unless the rate bound is reached.

    Raises:
        KeyError: The kind or a field is not declared.
    """
    kind = _kinds[name]
    unknown = fields.keys() - kind.fields.keys()
    if unknown:
        raise KeyError(f'event {name} has no fields {sorted(unknown)}')
    _events_total.labels(name).inc()
    if not _bound.try_take():
        return
    if _bound.dropped:
        fields['dropped_before'] = _bound.dropped
        _bound.dropped = 0
    line = {
        'at_s': round(clock.unix_s(), 3),
        'steady_s': round(clock.monotonic_s(), 3),
        **_common,
        'event': name,
        **fields,
    }
    logger.info(json.dumps(line, separators=(',', ':'), default=str))


define('started', 'The daemon serves.')
define('stopping', 'A planned stop begins.')
define(
    'stopped',
    'The daemon ends.',
    in_flight='Requests that were cut off.',
)
define(
    'log_caught_up',
    'The work log has been read to its end.',
    offset='Offset read up to.',
    elapsed_ms='Time since the start, in milliseconds.',
)
define('settings_reloaded', 'Changed settings are in effect.')
define(
    'settings_refused',
    'The settings file has faults; the settings in effect stay.',
    reason='The faults.',
)
define('readiness', 'Readiness changed.', ready='Whether it is ready.')
define(
    'dependency_lost',
    'A dependency does not answer.',
    dependency='Its name.',
    reason='Why the last call failed.',
)
define(
    'dependency_regained',
    'A dependency answers again.',
    dependency='Its name.',
)
define(
    'record_ignored',
    'A record of others is not in its published form.',
    stream='Stream of the record.',
    key='Key of the record.',
    reason='What is wrong.',
)
define('text_applied', 'A text is in force.', version='Its version.')
define(
    'version_named',
    'A trainer named a version.',
    model='Model.',
    version='Version.',
)
define(
    'replica_changed',
    'The entry of a replica changed.',
    replica='Replica.',
    state='"ready", "leaving" or "gone".',
    versions='Version by model.',
)
define(
    'duty_claimed',
    'This daemon took a duty over.',
    duty='Name of the duty.',
    term='Offset of the claim.',
    previous='Holder before.',
)
define(
    'duty_lost',
    'This daemon no longer holds a duty.',
    duty='Name of the duty.',
    term='Term that ended.',
    reason='Why.',
)
define(
    'call_answered',
    'A live call got an answer of a replica.',
    request='Request id.',
    route='Route.',
    status='Status sent to the caller.',
    replica='Replica that answered.',
    attempts='Attempts made.',
    elapsed_ms='Time since the request was read, in milliseconds.',
)
define(
    'call_failed',
    'A live call ended without an answer of a replica.',
    request='Request id.',
    route='Route.',
    status='Status sent to the caller.',
    reason='What decided it.',
    attempts='Attempts made.',
    elapsed_ms='Time since the request was read, in milliseconds.',
    text_version='Version of the text in force.',
)
define(
    'attempt_failed',
    'An attempt at a replica failed.',
    request='Request or item id.',
    replica='Replica.',
    reason='What happened.',
    elapsed_ms='Time since the attempt began, in milliseconds.',
)
define(
    'job_accepted',
    'A job is in the work log.',
    job='Job id.',
    model='Model.',
    step='Step of the trainer.',
    items='Number of items.',
    offset='Offset of the job.',
    elapsed_ms='Time since the request was read, in milliseconds.',
)
define(
    'job_refused',
    'A job was not accepted.',
    job='Job id.',
    status='Status sent to the trainer.',
    reason='What decided it.',
    elapsed_ms='Time since the request was read, in milliseconds.',
)
define(
    'job_ended',
    'A trainer ended a job.',
    job='Job id.',
    listed='Results listed until then.',
)
define(
    'job_opened',
    'This daemon runs the items of a job.',
    job='Job id.',
    term='Term of the duty; it orders the daemons that ran the job.',
    waiting='Items to run.',
    resumed='Items that have a checkpoint.',
)
define(
    'job_open_retried',
    'The items of a job could not be read and are read again.',
    job='Job id.',
    reason='Why.',
)
define(
    'item_started',
    'An item was sent to a replica.',
    item='Item id.',
    job='Job id.',
    replica='Replica.',
    version='Version that the replica is known to hold.',
    attempt='Number of the attempt.',
    after_event='Event after which it goes on.',
)
define(
    'item_moved',
    'An item was taken from a slow or silent replica.',
    item='Item id.',
    job='Job id.',
    replica='Replica.',
    reason='What decided it.',
    events='Events kept.',
)
define(
    'item_ended',
    'An item has a result.',
    item='Item id.',
    job='Job id.',
    state='"done" or "given_up".',
    versions='Versions that generated it.',
    attempts='Attempts made.',
    elapsed_ms='Time since this daemon took the item, in milliseconds.',
)
define(
    'order_sent',
    'A replica was ordered to load a version.',
    replica='Replica.',
    model='Model.',
    version='Version.',
    fence='Fencing token.',
    expected='Expected count of orders.',
    outcome='Answer.',
)
define(
    'version_loaded',
    'A replica confirmed a version.',
    replica='Replica.',
    model='Model.',
    version='Version.',
    elapsed_ms='Time since the order, in milliseconds.',
)
define(
    'append_retried',
    'Records are appended again.',
    records='Number of records.',
    reason='Why.',
)
