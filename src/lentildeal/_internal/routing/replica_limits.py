"""Plug-in ``replica_limits``: request rates that replicas accept.

A replica that is in need names the requests a second that it accepts from all
daemons together. Daemons share what they were told and what they send through
the work log. See docs/decisions/request-limits.md.
"""

from __future__ import annotations

import collections
import itertools
import math
import typing

import eventlet
import eventlet.event
import prometheus_client

from lentildeal._internal.adapters import platform_base
from lentildeal._internal import exceptions
from lentildeal._internal.jobs import records
from lentildeal._internal.kernel import plugins
from lentildeal._internal.logs import events
from lentildeal._internal.models import ids
from lentildeal._internal.routing import rate_limits
from lentildeal._internal.utils import backoff
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import wakeup

# Interval of the log lines about requests to limited replicas.
REPORT_INTERVAL_S = 1.0
# Requests that are sent within this time share one append.
SHARE_INTERVAL_S = 0.1
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.5
# A turn takes three calls to the store of 4 ms and a few milliseconds on the
# way each. Without a response a daemon goes by its own share of the limit.
TURN_TIMEOUT_S = 0.15
# A limit that stays in force is appended again after this time, in seconds, or
# this part of the time for which the store keeps records, so that a daemon
# that starts later finds it.
REFRESH_S = 60.0
REFRESH_SHARE = 0.25
# A replica that has no entry for this long is forgotten. Entries that expired
# during an outage of the store are back earlier.
FORGET_S = 30.0

_limited_replicas = prometheus_client.Gauge(
    'lentildeal_limited_replicas', 'Replicas that name a request limit.'
)
_limited_requests_total = prometheus_client.Counter(
    'lentildeal_limited_requests_total',
    'Requests of this daemon to replicas that name a request limit.',
)
_turns_total = prometheus_client.Counter(
    'lentildeal_request_turns_total',
    'Live requests to limited replicas by how their turn was found.',
    ['outcome'],
)


class _Turn(typing.NamedTuple):
    """A live request that waits for its place in the order of all daemons.

    Attributes:
        replica_id: Replica to which it will be sent.
        max_wait_s: Longest time to wait for its turn.
        found: Sends the time until its turn, infinite if it would come too
            late, and None if the order is not known.
    """

    replica_id: ids.ReplicaId
    max_wait_s: float
    found: eventlet.event.Event


@plugins.register('replica_limits', after=('directory', 'work_log'))
class ReplicaLimits(plugins.Plugin):
    """Keeps the requests of all daemons within the limits of replicas."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self._directory = kernel.plugin('directory')
        self._log = kernel.plugin('work_log')
        self._table = rate_limits.RateLimitTable()
        # Limits according to the log, which other daemons know as well, and
        # when they were read.
        self._shared_rates: dict[
            ids.ReplicaId, tuple[typing.Optional[float], float]
        ] = {}
        self._unshared_rates: dict[ids.ReplicaId, typing.Optional[float]] = {}
        # Requests that each daemon sent outside of turns, since its start.
        self._totals: dict[tuple[ids.Incarnation, ids.ReplicaId], int] = (
            collections.defaultdict(int)
        )
        self._unshared_totals: set[ids.ReplicaId] = set()
        self._unshared = wakeup.Wakeup()
        self._turns: dict[int, _Turn] = {}
        self._turn_numbers = itertools.count()
        self._sent: collections.Counter = collections.Counter()
        self._log.on_record(records.RateLimitNamed, self._apply_named)
        self._log.on_record(records.RequestsSent, self._apply_sent)
        self._log.on_record(records.RequestTurn, self._apply_turn)

    @property
    def _is_isolated(self) -> bool:
        """Whether the requests of other daemons are not known."""
        return not self._log.is_responding

    def start(self) -> None:
        """See the base class."""
        self._kernel.spawn('replica-limits-share', self._share)
        self._kernel.spawn('replica-limits-report', self._report)
        self._kernel.spawn('replica-limits-forget', self._forget)

    def record_answer(
        self, replica_id: ids.ReplicaId, info: platform_base.ResponseInfo
    ) -> None:
        """Records the limit, or its absence, in an answer of a replica."""
        if info.is_misdirected:
            return
        rate = info.rate_limit
        is_changed = self._set_rate(replica_id, rate, 'answer')
        if is_changed or (rate is not None and self._is_outdated(replica_id)):
            self._unshared_rates[replica_id] = rate
            self._unshared.set()

    def record_sent(self, replica_id: ids.ReplicaId) -> None:
        """Records a request, other than a live one, that is sent now."""
        if self._table.get(replica_id) is None:
            return
        self._table.record_own(replica_id, is_isolated=self._is_isolated)
        self._share_sent(replica_id)

    def may_send_item(self, replica_id: ids.ReplicaId) -> bool:
        """Whether the limit of a replica leaves room for an item now."""
        return not self._table.wait_s(
            replica_id,
            rate_limits.Urgency.BATCH,
            is_isolated=self._is_isolated,
        )

    def wait_s(self, replica_id: ids.ReplicaId) -> float:
        """Time until a replica accepts a live request, as far as known."""
        return self._table.wait_s(
            replica_id,
            rate_limits.Urgency.LIVE,
            is_isolated=self._is_isolated,
        )

    def is_limited(self, replica_id: ids.ReplicaId) -> bool:
        """Whether a replica names a limit."""
        return self._table.get(replica_id) is not None

    def acquire(self, replica_id: ids.ReplicaId, max_wait_s: float) -> bool:
        """Waits until a live request may be sent to a replica.

        Live requests come from all daemons. If each only told the others
        afterwards, all of them would send at the moment at which a limit
        leaves room. So a request is appended to the log first, and its place
        there decides when it may be sent.

        Args:
            replica_id: The replica.
            max_wait_s: Longest time to wait for the turn of the request.

        Returns:
            Whether to send it; if not, nothing was sent.
        """
        if not self.is_limited(replica_id):
            return True
        wait_s = None
        if not self._is_isolated:
            wait_s = self._find_turn(replica_id, max_wait_s)
        if wait_s is None:
            # No order of all daemons is known.
            is_allowed = not self._table.wait_s(
                replica_id, rate_limits.Urgency.LIVE, is_isolated=True
            )
            if is_allowed:
                self._table.record_own(replica_id, is_isolated=True)
                self._share_sent(replica_id)
            _turns_total.labels('alone' if is_allowed else 'refused').inc()
            return is_allowed
        if wait_s > max_wait_s:
            _turns_total.labels('refused').inc()
            return False
        eventlet.sleep(wait_s)
        self._count_sent(replica_id)
        _turns_total.labels('taken').inc()
        return True

    def _find_turn(
        self, replica_id: ids.ReplicaId, max_wait_s: float
    ) -> typing.Optional[float]:
        """Returns the time until the turn of a request, None if unknown."""
        turn = _Turn(replica_id, max_wait_s, eventlet.event.Event())
        # The calls to the store go on after the timeout.
        eventlet.spawn_n(self._take_turn, turn)
        with eventlet.Timeout(TURN_TIMEOUT_S, False):
            return turn.found.wait()
        return None

    def _take_turn(self, turn: _Turn) -> None:
        number = next(self._turn_numbers)
        try:
            # The turns of others that this daemon has not read yet.
            self._log.sync()
            if self.wait_s(turn.replica_id) > turn.max_wait_s:
                turn.found.send(math.inf)
                return
            self._turns[number] = turn
            self._log.append(
                [
                    records.RequestTurn(
                        self._kernel.incarnation, turn.replica_id, number
                    )
                ],
                TURN_TIMEOUT_S,
            )
            self._log.sync()
        except exceptions.PlatformError as error:
            events.emit('append_retried', records=1, reason=error.message)
        finally:
            self._turns.pop(number, None)
            if not turn.found.ready():
                turn.found.send(None)

    def _set_rate(
        self,
        replica_id: ids.ReplicaId,
        rate: typing.Optional[float],
        source: str,
    ) -> bool:
        """Sets the limit of a replica; returns whether it has changed."""
        previous = self._table.get(replica_id)
        if rate == previous:
            return False
        self._table.set(replica_id, rate)
        _limited_replicas.set(len(self._table))
        events.emit(
            'replica_limit_changed',
            replica=replica_id,
            limit=rate,
            previous=previous,
            source=source,
        )
        return True

    # Records of the log.

    def _apply_named(self, record: records.RateLimitNamed) -> None:
        self._shared_rates[record.replica_id] = (
            record.rate,
            clock.monotonic_s(),
        )
        is_own = record.incarnation == self._kernel.incarnation
        # An answer that is not shared yet is newer than the record.
        if not is_own and record.replica_id not in self._unshared_rates:
            self._set_rate(record.replica_id, record.rate, 'log')

    def _apply_sent(self, record: records.RequestsSent) -> None:
        if record.incarnation == self._kernel.incarnation:
            return
        for replica_id, total in record.totals:
            key = record.incarnation, replica_id
            count = total - self._totals[key]
            if count > 0:
                self._totals[key] = total
                self._table.record_others(
                    replica_id, record.incarnation, count
                )

    def _apply_turn(self, record: records.RequestTurn) -> None:
        if record.incarnation != self._kernel.incarnation:
            self._table.record_others(record.replica_id, record.incarnation, 1)
            return
        wait_s = self._table.record_turn(record.replica_id)
        turn = self._turns.pop(record.number, None)
        if turn is not None:
            turn.found.send(wait_s)

    # Sharing with other daemons.

    def _share_sent(self, replica_id: ids.ReplicaId) -> None:
        self._count_sent(replica_id)
        self._totals[self._kernel.incarnation, replica_id] += 1
        self._unshared_totals.add(replica_id)
        self._unshared.set()

    def _count_sent(self, replica_id: ids.ReplicaId) -> None:
        self._sent[replica_id] += 1
        _limited_requests_total.inc()

    def _share(self) -> None:
        delays = backoff.Backoff(FIRST_RETRY_S, LONGEST_RETRY_S)
        while True:
            if not (self._unshared_rates or self._unshared_totals):
                self._unshared.wait(1.0)
                continue
            eventlet.sleep(SHARE_INTERVAL_S)
            rates, totals = self._unshared_rates, self._unshared_totals
            self._unshared_rates, self._unshared_totals = {}, set()
            batch = self._make_records(rates, totals)
            try:
                if batch:
                    self._log.append(batch)
            except exceptions.PlatformError as error:
                events.emit(
                    'append_retried', records=len(batch), reason=error.message
                )
                self._unshared_rates = {**rates, **self._unshared_rates}
                self._unshared_totals |= totals
                eventlet.sleep(delays.next_delay_s())
            else:
                delays.reset()

    def _make_records(
        self,
        rates: dict[ids.ReplicaId, typing.Optional[float]],
        totals: typing.Iterable[ids.ReplicaId],
    ) -> list[records.Record]:
        incarnation = self._kernel.incarnation
        found: list[records.Record] = [
            records.RateLimitNamed(incarnation, replica_id, rate)
            for replica_id, rate in rates.items()
            # Otherwise another daemon was told the same.
            if self._find_shared(replica_id) != rate
            or self._is_outdated(replica_id)
        ]
        rows = tuple((r, self._totals[incarnation, r]) for r in totals)
        if rows:
            found.append(records.RequestsSent(incarnation, rows))
        return found

    def _find_shared(
        self, replica_id: ids.ReplicaId
    ) -> typing.Optional[float]:
        rate, _ = self._shared_rates.get(replica_id, (None, 0.0))
        return rate

    def _is_outdated(self, replica_id: ids.ReplicaId) -> bool:
        """Whether the log has a limit that was named long ago."""
        rate, read_s = self._shared_rates.get(replica_id, (None, 0.0))
        retention_s = self._kernel.settings.store.retention_s
        refresh_s = min(REFRESH_S, REFRESH_SHARE * retention_s)
        return rate is not None and clock.monotonic_s() - read_s > refresh_s

    def _report(self) -> None:
        while True:
            eventlet.sleep(REPORT_INTERVAL_S)
            for replica_id, count in self._sent.items():
                events.emit(
                    'limited_requests_sent',
                    replica=replica_id,
                    limit=self._table.get(replica_id),
                    sent=count,
                    wait_ms=int(1000 * self.wait_s(replica_id)),
                )
            self._sent.clear()

    def _forget(self) -> None:
        """Forgets replicas that have left, in an endless loop."""
        missing: set[ids.ReplicaId] = set()
        while True:
            eventlet.sleep(FORGET_S)
            if not self._directory.is_loaded or self._is_isolated:
                continue
            known = {replica_id for _, replica_id in self._totals}
            known.update(self._shared_rates)
            gone = {r for r in known if not self._directory.replicas.get(r)}
            for replica_id in gone & missing:
                self._table.set(replica_id, None)
                self._shared_rates.pop(replica_id, None)
            for key in [k for k in self._totals if k[1] in gone & missing]:
                del self._totals[key]
            self._forget_unlimited_totals()
            missing = gone

    def _forget_unlimited_totals(self) -> None:
        """Forgets what others sent before a limit ended.

        If the replica names a limit again, their totals count as one backlog.
        """
        for incarnation, replica_id in list(self._totals):
            is_own = incarnation == self._kernel.incarnation
            if not is_own and not self.is_limited(replica_id):
                del self._totals[incarnation, replica_id]
