"""Extra copy of one live call: its decision, its metrics and its log lines."""

from __future__ import annotations

import typing

import prometheus_client

from lentildeal._internal.gateway import calls
from lentildeal._internal.logs import events
from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.routing import extra_copies
from lentildeal._internal.utils import clock

_copies_total = prometheus_client.Counter(
    'lentildeal_extra_copies_total',
    'Extra copies of live calls: sent, won (its answer was used) and wasted'
    ' (the first attempt answered, or neither did).',
    ['result'],
)
_wasted_seconds_total = prometheus_client.Counter(
    'lentildeal_extra_copy_wasted_seconds_total',
    'Time that replicas spent on the attempts that lost, in seconds.',
)
_denied_total = prometheus_client.Counter(
    'lentildeal_extra_copies_denied_total',
    'Late calls that got no extra copy at first, by reason.',
    ['reason'],
)


class CallCopy:
    """At most one extra copy of a call.

    A second one would go to a third replica when two are slow, which is
    overload more often than chance.

    Attributes:
        is_won: Whether the answer of the copy was used.
        replica_id: Replica of the copy, None without one.

    Args:
        policy: Decides on the copies of this daemon.
        route: Route of the call.
        call: The call.
        service: Service that it is sent to.
    """

    def __init__(
        self,
        policy: extra_copies.CopyPolicy,
        route: deployment.Route,
        call: calls.LiveCall,
        service: typing.Optional[ids.ServiceName],
    ) -> None:
        self._policy = policy
        self._route = route
        self._call = call
        self._service = service
        self._started_s = clock.monotonic_s()
        self._sent_s = 0.0
        self._is_running = False
        self._is_sent = False
        self._is_denied = False
        self.is_won = False
        self.replica_id: typing.Optional[ids.ReplicaId] = None
        policy.record_request()

    @property
    def elapsed_s(self) -> float:
        """Time since the first attempt, in seconds."""
        return clock.monotonic_s() - self._started_s

    def find_wait_s(self) -> float:
        """Time until the call counts as late, in seconds."""
        request = self._make_request(0.0)
        return self._policy.late_after_s(request) - request.elapsed_s

    def may_send(self, remaining_s: float) -> bool:
        """Whether a copy may be sent now; a denied one is asked for again."""
        if self.replica_id is not None:
            return False
        verdict = self._policy.judge(self._make_request(remaining_s))
        if verdict is extra_copies.Verdict.SEND:
            return True
        if verdict is not extra_copies.Verdict.NOT_LATE:
            self.record_denied(verdict)
        return False

    def record_denied(self, verdict: extra_copies.Verdict) -> None:
        """Records that the call gets no copy now; counted once a call."""
        if not self._is_denied:
            self._is_denied = True
            _denied_total.labels(verdict.value).inc()

    def record_start(self, replica_id: ids.ReplicaId) -> None:
        """Charges the copy, before its replica is asked for its status."""
        self.replica_id = replica_id
        self._sent_s = clock.monotonic_s()
        self._is_running = True
        self._policy.record_sent(replica_id)

    def record_sent(self, first: ids.ReplicaId) -> None:
        """Records that the copy goes to its replica."""
        self._is_sent = True
        self._sent_s = clock.monotonic_s()
        _copies_total.labels('sent').inc()
        events.emit(
            'extra_copy_sent',
            request=self._call.request_id,
            route=self._route.name,
            replica=self.replica_id,
            first=first,
            elapsed_ms=int(self.elapsed_s * 1000),
        )

    def record_unsent(self) -> None:
        """Records that the replica had no room for the copy."""
        self._end_running(is_refunded=True)
        self.record_denied(extra_copies.Verdict.NO_ROOM)

    def finish(self, winner: typing.Optional[ids.ReplicaId]) -> None:
        """Records the end of the call.

        Args:
            winner: Replica that answered, None without an answer.
        """
        self.is_won = winner is not None and winner == self.replica_id
        # A call without an answer counts once it is late: it would have taken
        # longer still.
        if winner is not None or self.find_wait_s() <= 0.0:
            self._policy.record_time(self._make_request(0.0))
        self._end_running(is_refunded=not self._is_sent)
        if not self._is_sent:
            return
        _copies_total.labels('won' if self.is_won else 'wasted').inc()
        wasted_s = clock.monotonic_s() - self._sent_s
        if self.is_won:
            wasted_s = self.elapsed_s
        _wasted_seconds_total.inc(wasted_s)

    def _end_running(self, *, is_refunded: bool) -> None:
        if self._is_running:
            self._is_running = False
            self._policy.record_end(self.replica_id, is_refunded=is_refunded)

    def _make_request(self, remaining_s: float) -> extra_copies.Request:
        return extra_copies.Request(
            self._route.name,
            self._service,
            self.elapsed_s,
            remaining_s,
            self._route.objective_s,
        )
