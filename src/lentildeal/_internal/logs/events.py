"""Structured log lines: one for each decision and change of state.

All events are declared here with their fields, so that docs/logs.md can be
generated and matches what is written.
"""

from __future__ import annotations

import dataclasses
import json
import typing

from loguru import logger
import prometheus_client

from lentildeal._internal.utils import clock

# Sustained rate limit. Normal operation writes about 60 lines a second.
MAX_LINES_PER_S = 300.0
# Burst limit, for instance when a daemon takes over a large job.
MAX_BURST_LINES = 1000.0

_events_total = prometheus_client.Counter(
    'lentildeal_events_total', 'Events by name.', ['event']
)
_dropped_total = prometheus_client.Counter(
    'lentildeal_log_lines_dropped_total',
    'Log lines dropped because of the rate limit or a blocked reader.',
)


@dataclasses.dataclass(frozen=True)
class EventKind:
    """Declaration of an event.

    Attributes:
        name: Value of the field "event".
        doc: Description of the event.
        fields: Descriptions of the other fields, by name.
    """

    name: str
    doc: str
    fields: dict[str, str]


_kinds: dict[str, EventKind] = {}


def define(name: str, doc: str, **fields: str) -> None:
    """Declares an event and its fields."""
    _kinds[name] = EventKind(name, doc, fields)


def iter_kinds() -> typing.Iterator[EventKind]:
    """Yields all declared events, sorted by name."""
    return (_kinds[name] for name in sorted(_kinds))


class _RateLimiter:
    """Token bucket that limits the rate of lines."""

    def __init__(self) -> None:
        self._tokens = MAX_BURST_LINES
        self._updated_s = clock.monotonic_s()
        self.dropped = 0

    def try_acquire(self) -> bool:
        now_s = clock.monotonic_s()
        refilled = (now_s - self._updated_s) * MAX_LINES_PER_S
        self._tokens = min(MAX_BURST_LINES, self._tokens + refilled)
        self._updated_s = now_s
        if self._tokens < 1.0:
            self.count_dropped()
            return False
        self._tokens -= 1.0
        return True

    def count_dropped(self) -> None:
        self.dropped += 1
        _dropped_total.inc()


_rate_limiter = _RateLimiter()
_common_fields: dict[str, typing.Any] = {}


def set_common(**fields: typing.Any) -> None:
    """Sets fields that are added to every line."""
    _common_fields.update(fields)


def record_dropped_line() -> None:
    """Counts a line that the output dropped."""
    _rate_limiter.count_dropped()


def emit(name: str, **fields: typing.Any) -> None:
    """Writes a line, unless the rate limit is exceeded.

    Args:
        name: Name of a declared event.
        **fields: Values of its fields.

    Raises:
        KeyError: The event or a field is not declared.
    """
    kind = _kinds[name]
    unknown = fields.keys() - kind.fields.keys()
    if unknown:
        raise KeyError(f'event {name} has no fields {sorted(unknown)}')
    _events_total.labels(name).inc()
    if not _rate_limiter.try_acquire():
        return
    if _rate_limiter.dropped:
        fields['dropped_before'] = _rate_limiter.dropped
        _rate_limiter.dropped = 0
    line = {
        'at_s': round(clock.unix_s(), 3),
        'steady_s': round(clock.monotonic_s(), 3),
        **_common_fields,
        'event': name,
        **fields,
    }
    logger.info(json.dumps(line, separators=(',', ':'), default=str))


define('started', 'The daemon started to serve.')
define('stopping', 'A planned stop began.')
define(
    'stopped',
    'The daemon stopped.',
    in_flight='In-flight requests that were aborted.',
)
define(
    'log_caught_up',
    'The work log was read to its end.',
    offset='Offset up to which it was read.',
    elapsed_ms='Time since the start, in milliseconds.',
)
define('settings_reloaded', 'Changed settings are in effect.')
define(
    'settings_refused',
    'The settings file is not valid; the current settings stay in effect.',
    reason='What is not valid.',
)
define(
    'clients_shed',
    'Requests were refused or connections closed to bound what clients use;'
    ' at most one line a second for each cause.',
    cause='"memory", "too_large", "connections", "descriptors",'
    ' "slow_head", "slow_reader".',
    count='Number since the last line of this cause.',
    held_bytes='Memory that is held for clients.',
    connections='Open connections of clients.',
)
define('readiness', 'Readiness changed.', ready='Whether the daemon is ready.')
define(
    'dependency_lost',
    'A dependency does not respond.',
    dependency='Its name.',
    reason='Why the last call failed.',
)
define(
    'dependency_regained',
    'A dependency responds again.',
    dependency='Its name.',
)
define(
    'record_ignored',
    'A record written by another system is malformed.',
    stream='Stream of the record.',
    key='Key of the record.',
    reason='What is wrong with the record.',
)
define(
    'work_failed',
    'An unexpected error ended one piece of work; the others go on. At most'
    ' one line in ten seconds for the same error.',
    work='What was done.',
    subject='Item, job, record or service that it was done for.',
    reason='The error.',
)
define(
    'item_lost',
    'An item was given up because its request cannot be read from the store.',
    item='The item.',
    job='Its job.',
    reason='Why it cannot be read.',
)
define(
    'job_not_opened',
    'A job was accepted some seconds ago and no daemon runs its items.',
    job='The job.',
    model='Its model.',
    step='Step of its trainer.',
    cause='"no_holder": no daemon holds the lease of the model; "no_text":'
    ' the published text of its acceptance was not read; "not_loaded": its'
    ' items were not read from the store.',
    reason='The same in words.',
    waited_ms='Time for which this daemon has seen it wait, in milliseconds.',
)
define(
    'record_dropped',
    'A record that cannot be stored was dropped, so that others can be.',
    record='Its type.',
    reason='What is wrong with it.',
    job='Its job, if any.',
    index='Position of its item in the job, if any.',
)
define(
    'text_applied',
    'A version of the published text took effect.',
    version='Its version.',
)
define(
    'log_records_skipped',
    'Records were dropped by the store before the daemon read them.',
    stream='Stream of the records.',
    first='Offset of the first record that was not read.',
    next='Offset at which reading continues.',
)
define(
    'item_restarted',
    'An item is generated anew, as no replica can continue its text.',
    item='The item.',
    job='Its job.',
    version='Version that generated the text.',
    events='Events of the text, which are discarded.',
)
define(
    'text_too_large',
    'The text of an item does not fit into one append; it is not stored.',
    item='The item.',
    job='Its job.',
    characters='Length of the text.',
)
define(
    'text_outdated',
    'A job was accepted under a published text that the daemon has not read.',
    version='Version that the daemon knows.',
    required='Version under which the job was accepted.',
)
define(
    'text_read_failed',
    'The newest published text could not be read; the read is repeated.',
    reason='Error.',
)
define(
    'requests_unauthenticated',
    'Requests were refused because of their key, at most one line a second for'
    ' each cause. Keys are never logged.',
    cause='missing_key, unknown_key, repeated_key (401); no_text, stale_text'
    ' (503).',
    count='Requests since the last line with this cause.',
    text_version='Version of the text in effect, empty without one.',
)
define(
    'version_named',
    'A trainer announced a version.',
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
    'replica_limit_changed',
    'A replica named another request limit, or named none any more.',
    replica='Replica.',
    limit='Requests a second that it accepts from all daemons, null for any.',
    previous='The same before.',
    source='"answer" if the replica answered this daemon, "log" if another.',
)
define(
    'limited_requests_sent',
    'This daemon sent requests to a replica that named a request limit.',
    replica='Replica.',
    limit='Requests a second that it accepts from all daemons.',
    sent='Requests of this daemon in the last second.',
    wait_ms='Time until the next live request may be sent, in milliseconds.',
)
define(
    'duty_claimed',
    'This daemon claimed a lease.',
    duty='Name of the lease.',
    term='Offset of the claim.',
    previous='Previous lease holder.',
)
define(
    'duty_lost',
    'This daemon no longer holds a lease.',
    duty='Name of the lease.',
    term='Term that ended.',
    reason='Why.',
)
define(
    'duty_call',
    'This daemon made a call to the platform that only one daemon may make.',
    duty='Name of the lease.',
    subject='What the call is about, such as a window.',
    term='Term of the lease, which is the fencing token.',
    outcome='"done", "refused" (409), "throttled" (429) or "unknown".',
    reason='Why the outcome is unknown, null otherwise.',
    elapsed_ms='Duration of the call, in milliseconds.',
)
define(
    'replicas_ordered',
    'This daemon decided to order another number of replicas.',
    service='Service.',
    failure_domain='Where.',
    is_spot='Whether they may be reclaimed.',
    count='Number ordered.',
    previous='Number that the platform aimed at before.',
    ready='Replicas that serve there.',
    need_slots='Slots that the work of the last time needs.',
    open_jobs='Jobs with open items.',
)
define(
    'usage_window_closed',
    'The report of a window was written to the log; it never changes.',
    window='Window.',
    requests='Requests in the report.',
    accounts='Accounts in the report.',
    is_complete='Whether no daemon is known whose counts may lack.',
    age_ms='Time since the end of the window, in milliseconds.',
)
define(
    'usage_counts_late',
    'Counts arrived after the report of their window was written; they are'
    ' missing in it.',
    incarnation='Process of the daemon that counted.',
    requests='Requests that are missing.',
)
define(
    'call_answered',
    'A live call got a response from a replica.',
    request='Request id.',
    route='Route.',
    status='Status sent to the caller.',
    replica='Replica that responded.',
    attempts='Attempts made.',
    elapsed_ms='Time since the request was read, in milliseconds.',
    expected='Finish that was expected at that replica, in units of usual'
    ' work; like the next three only where replicas report their speed.',
    work_factor='How long work was assumed to take there, 1.0 is usual.',
    load='Requests that were assumed there.',
    report_age_ms='Age of its load report; missing if it was outdated.',
)
define(
    'extra_copy_sent',
    'A second copy of a late live call was sent.',
    request='Request id.',
    route='Route.',
    replica='Replica that got the copy.',
    first='Replica that has not answered yet.',
    elapsed_ms='Time since the first attempt, in milliseconds.',
)
define(
    'call_failed',
    'A live call ended without a response from a replica.',
    request='Request id.',
    route='Route.',
    status='Status sent to the caller.',
    reason='Why it failed.',
    attempts='Attempts made.',
    elapsed_ms='Time since the request was read, in milliseconds.',
    text_version='Version of the published text in effect.',
)
define(
    'call_refused',
    'Admission refused a live call, of which nothing was sent.',
    request='Request id.',
    service='Service.',
    account='Account of the caller, empty without one.',
    priority='Rank of the call, 0 is the highest.',
    cause='"deadline" if it could not end in time, "account_share" if only the'
    ' waiting calls of its own account were in its way.',
    waiting='Calls that wait for this service at this daemon.',
    retry_after_ms='Time after which it may have a place, in milliseconds.',
)
define(
    'attempt_failed',
    'An attempt at a replica failed.',
    request='Request or item id.',
    replica='Replica.',
    reason='Why it failed.',
    elapsed_ms='Time since the attempt began, in milliseconds.',
)
define(
    'job_accepted',
    'A job was appended to the work log.',
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
    reason='Why it was refused.',
    elapsed_ms='Time since the request was read, in milliseconds.',
)
define(
    'job_read_failed',
    'Results or a body of a job were not given.',
    job='Job id.',
    asked='Position of the first result, or the item id.',
    reason='Why they were not given.',
    elapsed_ms='Time since the request was read, in milliseconds.',
)
define(
    'job_ended',
    'A trainer ended a job.',
    job='Job id.',
    listed='Number of results listed so far.',
)
define(
    'job_opened',
    'This daemon began to run the items of a job.',
    job='Job id.',
    term='Term of the lease; it orders the daemons that ran the job.',
    waiting='Number of items to run.',
    resumed='Number of items that have a checkpoint.',
)
define(
    'job_open_retried',
    'The items of a job could not be read; the read is retried.',
    job='Job id.',
    reason='Why.',
)
define(
    'job_renewed',
    'The records of an open job were appended again before they expire.',
    job='Job id.',
    results='Number of results.',
    items='Number of items.',
)
define(
    'job_renewal_failed',
    'The records of an open job could not be appended again; retried.',
    job='Job id.',
    reason='Why.',
)
define(
    'item_started',
    'An item was sent to a replica.',
    item='Item id.',
    job='Job id.',
    replica='Replica.',
    version='Version that the replica has loaded, as far as known.',
    attempt='Number of the attempt.',
    after_event='Event after which the item resumes.',
)
define(
    'item_moved',
    'An item was moved away from a slow or unresponsive replica.',
    item='Item id.',
    job='Job id.',
    replica='Replica.',
    reason='Why it was moved.',
    events='Number of events kept.',
)
define(
    'scoring_started',
    'The text of an item is complete; its scoring request was sent.',
    item='Item id.',
    job='Job id.',
    request='Id of the scoring request.',
    replica='Replica.',
    attempt='Number of the attempt.',
)
define(
    'scoring_given_up',
    'The scoring service answered the request of an item only with errors.',
    item='Item id.',
    job='Job id.',
    request='Id of the scoring request.',
    errors='Number of error answers.',
    reason='Last error.',
)
define(
    'item_ended',
    'An item got a result.',
    item='Item id.',
    job='Job id.',
    state='"done" or "given_up".',
    versions='Versions that generated the result.',
    attempts='Attempts made.',
    elapsed_ms='Time since this daemon took over the item, in milliseconds.',
)
define(
    'order_sent',
    'A replica was ordered to load a version.',
    replica='Replica.',
    model='Model.',
    version='Version.',
    fence='Fencing token.',
    expected='Expected number of orders so far.',
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
    'An append of records is retried.',
    records='Number of records.',
    reason='Why.',
)
