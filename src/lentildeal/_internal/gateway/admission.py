"""Lets live calls wait for their place, where the text has accounts.

Decisions are made in ``routing/admission.py``; this module runs the waiting
green threads, tells them of decisions and records what became of them.
"""

from __future__ import annotations

import itertools
import math
import typing

import eventlet
import eventlet.event
import prometheus_client

from lentildeal._internal.adapters import platform_base
from lentildeal._internal import exceptions
from lentildeal._internal.gateway import calls
from lentildeal._internal.logs import events
from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.models import outcomes
from lentildeal._internal.routing import admission
from lentildeal._internal.routing import fair_shares
from lentildeal._internal.utils import clock

# Interval of the checks of a waiting call for a client disconnect, a planned
# stop and a change of the replicas. The same as for calls that run.
CHECK_INTERVAL_S = 0.1
# Shortest time until waiting calls are looked at again, so that rounding
# doesn't make a busy loop.
MIN_TIMER_S = 0.001
# Cause of a call whose client left while it waited.
CLIENT_GONE = 'client_gone'

_refusals_total = prometheus_client.Counter(
    'lentildeal_admission_refusals_total',
    'Live calls refused by admission, by cause and account of the text.',
    ['cause', 'account'],
)
_waiting_calls = prometheus_client.Gauge(
    'lentildeal_admission_waiting_calls', 'Live calls that wait for a place.'
)
_wait_seconds = prometheus_client.Histogram(
    'lentildeal_admission_wait_seconds',
    'Time for which live calls that had to wait did so, in seconds.',
    buckets=(0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 5),
)


class _Service:
    """Admission of a service with its waiting calls."""

    def __init__(self) -> None:
        self.decisions = admission.ServiceAdmission()
        self.waiting: dict[int, eventlet.event.Event] = {}
        # Wakes up at the time at which a waiting call may have a place.
        self.timer: typing.Any = None


class Ticket:
    """A call that was placed; to be returned or ended."""

    def __init__(
        self,
        service: _Service,
        request: admission.Request,
        call: calls.LiveCall,
    ) -> None:
        self.service = service
        self.request = request
        self.call = call
        # Whether the call counts as running.
        self.is_placed = False


class CallAdmission:
    """Admission of the live calls of all services at this daemon."""

    def __init__(self, kernel) -> None:
        self._kernel = kernel
        self._directory = kernel.plugin('directory')
        self._services: dict[ids.ServiceName, _Service] = {}
        self._numbers = itertools.count()
        # Ranks of each service in the text of a version.
        self._ranks: dict[ids.ServiceName, tuple[int, ...]] = {}
        self._ranks_text: typing.Optional[deployment.PublishedText] = None

    def enter(
        self,
        service_name: typing.Optional[ids.ServiceName],
        call: calls.LiveCall,
        time_left_s: float,
    ) -> typing.Optional[Ticket]:
        """Waits until a call may be sent.

        Args:
            service_name: Service of the call.
            call: The call.
            time_left_s: Time after which its caller stops waiting.

        Returns:
            The place of the call; None if the text has no accounts.

        Raises:
            exceptions.NotRunError: The call is refused.
        """
        text = self._directory.text
        if text.accounts is None or service_name is None:
            return None
        service = self._find_service(service_name, text)
        rank_call = fair_shares.Call(
            next(self._numbers),
            call.account,
            call.priority,
            service.decisions.cost,
        )
        request = admission.Request(
            rank_call, clock.monotonic_s() + time_left_s
        )
        ticket = Ticket(service, request, call)
        self._follow(service_name, ticket, service.decisions.ask(request))
        return ticket

    def enter_again(
        self, service_name: ids.ServiceName, ticket: Ticket
    ) -> None:
        """Waits after a replica had no room for a call.

        Raises:
            exceptions.NotRunError: The call is refused.
        """
        ticket.is_placed = False
        decision = ticket.service.decisions.ask_again(ticket.request)
        self._follow(service_name, ticket, decision)

    def leave(self, ticket: typing.Optional[Ticket]) -> None:
        """Records the end of a call."""
        if ticket is not None and ticket.is_placed:
            ticket.is_placed = False
            ticket.service.decisions.record_end()
            self._notify(ticket.service)

    def record_attempt(
        self,
        replica: deployment.Replica,
        load: typing.Optional[platform_base.ReplicaLoad],
        run_s: typing.Optional[float],
        is_full: bool,
    ) -> None:
        """Records what an attempt at a replica has shown.

        Args:
            replica: The replica.
            load: Load that it reported, if it did.
            run_s: How long it took for its answer, None without one.
            is_full: Whether it had no room for the call.
        """
        service = self._services.get(replica.service)
        if service is None:
            return
        if run_s is not None:
            service.decisions.record_run(run_s)
        if is_full and (load is None or load.waiting):
            # Without a queue, the refusal has another cause.
            service.decisions.record_full(load)
        elif load is not None:
            service.decisions.record_report(replica.replica_id, load)
        self._notify(service)

    def find_retry_after_s(
        self, ticket: typing.Optional[Ticket], default_s: float
    ) -> float:
        """Time after which a client is to return whose call did not run."""
        if ticket is None:
            return default_s
        return ticket.service.decisions.find_retry_after_s(ticket.request)

    def _find_service(
        self, name: ids.ServiceName, text: deployment.PublishedText
    ) -> _Service:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _Service()
        if text is not self._ranks_text:
            self._ranks, self._ranks_text = _list_ranks(text), text
            for known in set(self._services) - set(self._ranks):
                if not self._services[known].waiting:
                    del self._services[known]
        service.decisions.set_ranks(self._ranks.get(name, ()))
        self._update_slots(name, service)
        return service

    def _update_slots(self, name: ids.ServiceName, service: _Service) -> None:
        """Tells the admission of the replicas that are ready now."""
        ready = self._directory.replicas.list_ready(name)
        if service.decisions.set_slots(sum(r.slots for r in ready)):
            self._send(service, service.decisions.refuse_excess())
            self._notify(service)

    def _follow(
        self,
        name: ids.ServiceName,
        ticket: Ticket,
        decision: admission.Decision,
    ) -> None:
        """Waits while a decision says so.

        Raises:
            exceptions.NotRunError: The call is refused.
        """
        if decision.action is admission.Action.WAIT:
            started_s = clock.monotonic_s()
            decision = self._wait(name, ticket)
            _wait_seconds.observe(clock.monotonic_s() - started_s)
        if decision.action is admission.Action.REFUSE:
            self._refuse(name, ticket, decision)
        ticket.is_placed = True

    def _wait(
        self, name: ids.ServiceName, ticket: Ticket
    ) -> admission.Decision:
        service, call_id = ticket.service, ticket.request.call.call_id
        _waiting_calls.inc()
        try:
            woken = service.waiting[call_id] = eventlet.event.Event()
            self._notify(service)
            while True:
                with eventlet.Timeout(CHECK_INTERVAL_S, False):
                    woken.wait()
                if not woken.ready():
                    self._check_waiting(ticket)
                    self._update_slots(name, service)
                if woken.ready():
                    return woken.wait()
        finally:
            _waiting_calls.dec()
            service.waiting.pop(call_id, None)
            service.decisions.forget(call_id)

    def _check_waiting(self, ticket: Ticket) -> None:
        """Checks that a waiting call is still worth its place.

        Raises:
            exceptions.NotRunError: Its client or this instance leaves, or its
                time is over.
        """
        if ticket.call.is_client_gone():
            raise exceptions.NotRunError(
                'the client left while its call waited',
                cause=CLIENT_GONE,
                retry_after_s=admission.MIN_RETRY_AFTER_S,
            )
        left_s = ticket.request.ends_s - clock.monotonic_s()
        if left_s <= 0.0:
            # Normally refused before; the timer of the service has failed.
            raise exceptions.NotRunError(
                'the call waited for its whole time',
                cause=outcomes.Cause.DEADLINE.value,
                retry_after_s=admission.MIN_RETRY_AFTER_S,
            )
        self._kernel.check_time_left(left_s)

    def _notify(self, service: _Service) -> None:
        """Tells waiting calls of their decisions; sets the next look."""
        if not service.waiting:
            return
        self._send(service, service.decisions.take_due())
        if service.timer is not None:
            service.timer.cancel()
            service.timer = None
        wait_s = service.decisions.find_wait_s()
        if math.isfinite(wait_s):
            service.timer = eventlet.spawn_after(
                max(MIN_TIMER_S, wait_s), self._look, service
            )

    def _look(self, service: _Service) -> None:
        service.timer = None
        self._notify(service)

    def _send(
        self,
        service: _Service,
        decisions: typing.Iterable[tuple[int, admission.Decision]],
    ) -> None:
        for call_id, decision in decisions:
            woken = service.waiting.get(call_id)
            if woken is not None:
                woken.send(decision)

    def _refuse(
        self,
        name: ids.ServiceName,
        ticket: Ticket,
        decision: admission.Decision,
    ) -> None:
        call = ticket.call
        text = self._directory.text
        is_known = text.accounts is not None and call.account in text.accounts
        account = call.account if is_known else ''
        _refusals_total.labels(decision.cause.value, account).inc()
        events.emit(
            'call_refused',
            request=call.request_id,
            service=name,
            account=account,
            priority=call.priority,
            cause=decision.cause.value,
            waiting=ticket.service.decisions.waiting_count,
            retry_after_ms=int(decision.retry_after_s * 1000),
        )
        raise exceptions.NotRunError(
            f'{name} cannot finish the call in its time left',
            cause=decision.cause.value,
            retry_after_s=decision.retry_after_s,
        )


def _list_ranks(
    text: deployment.PublishedText,
) -> dict[ids.ServiceName, tuple[int, ...]]:
    """Ranks that calls of each service may have."""
    own = {a.priority for a in text.accounts.values()} - {None}
    ranks: dict[ids.ServiceName, set[int]] = {}
    for route in text.routes:
        for share in route.shares:
            ranks.setdefault(share.service, set(own)).add(route.priority)
    return {name: tuple(sorted(found)) for name, found in ranks.items()}
