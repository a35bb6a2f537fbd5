"""Plug-in ``gateway``: passes live calls on to replicas."""

from __future__ import annotations

import random
import typing

import eventlet
import eventlet.queue
import prometheus_client

from lentildeal._internal.adapters import platform_base
from lentildeal._internal import exceptions
from lentildeal._internal.gateway import calls
from lentildeal._internal.gateway import choice
from lentildeal._internal.kernel import plugins
from lentildeal._internal.logs import events
from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.network import target_connections
from lentildeal._internal.routing import health
from lentildeal._internal.utils import clock

# How often it is checked whether a caller is gone; work has to end within
# half a second of it.
CALLER_CHECK_S = 0.1
# When a caller of a service without usable replicas should come back.
RETRY_AFTER_S = 0.2
# Time for which a replica's report of its load is used.
LOAD_VALID_S = 1.0

_calls_total = prometheus_client.Counter(
    'lentildeal_live_calls_total', 'Live calls by outcome.', ['outcome']
)
_call_seconds = prometheus_client.Histogram(
    'lentildeal_live_call_seconds',
    'Time from reading a live call to its answer, in seconds.',
    buckets=(0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1, 2, 5),
)


class _Ending(typing.NamedTuple):
    """How an attempt at a replica ended."""

    replica: deployment.Replica
    answer: typing.Optional[calls.LiveAnswer]
    is_not_run: bool
    reason: str

    @property
    def is_good(self) -> bool:
        """Whether the answer is what the caller asked for."""
        return self.answer is not None and self.answer.status < 500


@plugins.register('gateway', after=('directory',))
class Gateway(plugins.Plugin):
    """Chooses replicas for live calls and relays their answers."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self._directory = kernel.plugin('directory')
        self._connections = target_connections.TargetConnections()
        self._health = health.HealthTracker()
        self._running: dict[ids.ReplicaId, int] = {}
        self._loads: dict[
            ids.ReplicaId, tuple[platform_base.ReplicaLoad, float]
        ] = {}

    def start(self) -> None:
        """See the base class."""
        self._kernel.spawn('gateway-idle', self._close_overdue)

    def find_route(self, host: str, path: str) -> deployment.Route:
        """Route of a request by the text in force.

        Raises:
            exceptions.NotRunError: No text is known yet.
            exceptions.UnknownRouteError: No route matches.
        """
        text = self._directory.text
        if text is None:
            raise exceptions.NotRunError(
                'no published text is known yet',
                cause='no_text',
                retry_after_s=RETRY_AFTER_S,
            )
        route = text.find_route(host, path)
        if route is None:
            raise exceptions.UnknownRouteError(
                f'no route for {host}{path} in text {text.version}'
            )
        return route

    def forward(
        self, route: deployment.Route, call: calls.LiveCall
    ) -> calls.LiveAnswer:
        """Passes a call on and returns the answer of a replica.

        Raises:
            exceptions.NotRunError: No replica ran it.
            exceptions.MayHaveRunError: One may have run it.
        """
        started_s = clock.monotonic_s()
        relay = _Relay(self, route, call)
        try:
            answer = relay.run()
        except exceptions.LentildealError as error:
            is_refusal = isinstance(error, exceptions.NotRunError)
            _calls_total.labels('refused' if is_refusal else 'failed').inc()
            events.emit(
                'call_failed',
                request=call.request_id,
                route=route.name,
                status=503 if is_refusal else 504,
                reason=error.message,
                attempts=len(relay.used),
                elapsed_ms=int((clock.monotonic_s() - started_s) * 1000),
                text_version=self._directory.text.version,
            )
            raise
        elapsed_s = clock.monotonic_s() - started_s
        _calls_total.labels('answered').inc()
        _call_seconds.observe(elapsed_s)
        events.emit(
            'call_answered',
            request=call.request_id,
            route=route.name,
            status=answer.status,
            replica=relay.answered_by,
            attempts=len(relay.used),
            elapsed_ms=int(elapsed_s * 1000),
        )
        return answer

    def choose(
        self,
        service: ids.ServiceName,
        used: typing.Container[ids.ReplicaId],
    ) -> typing.Optional[deployment.Replica]:
        """Replica for an attempt, None without one left."""
        ready = self._directory.replicas.list_ready(service)
        usable = set(self._health.select_usable([r.address for r in ready]))
        options = [
            self._make_option(replica)
            for replica in ready
            if replica.address in usable
        ]
        chosen = choice.choose(options, used)
        if chosen is None:
            options = [self._make_option(replica) for replica in ready]
            chosen = choice.choose(options, used)
        return None if chosen is None else self._directory.replicas.get(chosen)

    def attempt(
        self,
        replica: deployment.Replica,
        route: deployment.Route,
        call: calls.LiveCall,
        deadline: clock.Deadline,
    ) -> _Ending:
        """Sends a call to one replica and reads its answer."""
        replica_id = replica.replica_id
        started_s = clock.monotonic_s()
        self._running[replica_id] = self._running.get(replica_id, 0) + 1
        self._health.record_start(replica.address)
        try:
            ending = self._send(replica, route, call, deadline)
        finally:
            self._running[replica_id] -= 1
            self._health.record_end(replica.address)
        elapsed_s = clock.monotonic_s() - started_s
        self._judge(ending, elapsed_s)
        if not ending.is_good:
            events.emit(
                'attempt_failed',
                request=call.request_id,
                replica=replica_id,
                reason=ending.reason,
                elapsed_ms=int(elapsed_s * 1000),
            )
        return ending

    def _send(
        self,
        replica: deployment.Replica,
        route: deployment.Route,
        call: calls.LiveCall,
        deadline: clock.Deadline,
    ) -> _Ending:
        is_stream = route.kind is deployment.RouteKind.STREAM
        platform = self._directory.platform
        headers = calls.drop_connection_headers(call.headers)
        headers += tuple(
            platform.make_headers(replica, deadline_s=deadline.remaining_s)
        )
        try:
            response = self._connections.send(
                replica.address,
                call.method,
                call.target,
                headers,
                call.body,
                read_timeout_s=max(0.001, deadline.remaining_s),
                is_repeatable=route.kind is deployment.RouteKind.SAFE,
            )
        except exceptions.NotRunError as error:
            return _Ending(replica, None, True, error.message)
        except exceptions.MayHaveRunError as error:
            return _Ending(replica, None, False, error.message)
        is_handed_on = False
        try:
            ending = self._read(replica, call, response, is_stream=is_stream)
            is_handed_on = is_stream and ending.answer is not None
            return ending
        except exceptions.TruncatedAnswerError as error:
            return _Ending(replica, None, False, error.message)
        finally:
            if not is_handed_on:
                response.abandon()

    def _read(
        self,
        replica: deployment.Replica,
        call: calls.LiveCall,
        response: target_connections.TargetResponse,
        *,
        is_stream: bool,
    ) -> _Ending:
        facts = self._directory.platform.read_response(
            response.status, response.headers
        )
        if facts.load is not None:
            self._loads[replica.replica_id] = facts.load, clock.monotonic_s()
        if facts.is_not_run:
            response.read()
            return _Ending(replica, None, True, f'status {response.status}')
        if facts.request_id != call.request_id:
            return _Ending(replica, None, False, 'answer of another request')
        if 'content-encoding' in response.headers:
            return _Ending(replica, None, False, 'encoded body')
        headers = calls.drop_connection_headers(response.header_list)
        if is_stream and response.status == 200:
            body: typing.Any = response.iter_chunks()
        else:
            body = response.read()
        answer = calls.LiveAnswer(response.status, headers, body)
        return _Ending(replica, answer, False, f'status {response.status}')

    def _judge(self, ending: _Ending, elapsed_s: float) -> None:
        ready = self._directory.replicas.list_ready(ending.replica.service)
        addresses = [replica.address for replica in ready]
        if ending.is_good:
            self._health.record_success(
                ending.replica.address, elapsed_s, addresses
            )
        elif not ending.is_not_run or 'no connection' in ending.reason:
            self._health.record_failure(ending.replica.address, addresses)

    def _make_option(self, replica: deployment.Replica) -> choice.Option:
        replica_id = replica.replica_id
        known = self._running.get(replica_id, 0)
        load, at_s = self._loads.get(replica_id, (None, 0.0))
        if load is not None and clock.monotonic_s() - at_s < LOAD_VALID_S:
            # The report counts the request that it came with.
            known = max(known, load.running + load.waiting - 1)
        return choice.Option(
            replica_id,
            known / max(1, replica.slots),
            self._health.penalty(replica.address),
            replica.failure_domain == self._kernel.settings.failure_domain,
        )

    def _close_overdue(self) -> None:
        while True:
            eventlet.sleep(1.0)
            self._connections.close_expired()


class _Relay:
    """Attempts of one call."""

    def __init__(
        self, gateway: Gateway, route: deployment.Route, call: calls.LiveCall
    ) -> None:
        self._gateway = gateway
        self._route = route
        self._call = call
        self._is_safe = route.kind is deployment.RouteKind.SAFE
        self._service = choice.choose_service(route.shares, random.random())
        limit_s = call.deadline.remaining_s
        if route.timeout_s > 0:
            limit_s = min(limit_s, route.timeout_s)
        self._deadline = clock.Deadline(limit_s)
        self._endings: eventlet.queue.LightQueue = eventlet.queue.LightQueue()
        self._threads: list = []
        self._running = 0
        self._may_have_run = False
        self._failure: typing.Optional[calls.LiveAnswer] = None
        self.used: list[ids.ReplicaId] = []
        self.answered_by: typing.Optional[ids.ReplicaId] = None

    def run(self) -> calls.LiveAnswer:
        """Makes attempts until one is good or none is left.

        Raises:
            exceptions.NotRunError: No replica ran it.
            exceptions.MayHaveRunError: One may have run it.
        """
        try:
            self._start()
            hedge_s = choice.hedge_after_s(self._route.objective_s)
            hedge = clock.Deadline(hedge_s)
            while self._running:
                ending = self._wait(hedge)
                if ending is not None and ending.is_good:
                    self.answered_by = ending.replica.replica_id
                    return ending.answer
                if ending is not None:
                    self._take_failure(ending)
                elif self._is_over():
                    break
                elif self._is_safe and hedge.has_passed:
                    hedge = clock.Deadline(hedge_s)
                    self._start()
        finally:
            for thread in self._threads:
                thread.kill()
        if self._failure is not None:
            return self._failure
        raise self._make_error()

    def _is_over(self) -> bool:
        return self._deadline.has_passed or self._call.is_client_gone()

    def _start(self) -> None:
        if len(self.used) >= self._route.max_attempts or self._is_over():
            return
        replica = self._gateway.choose(self._service, self.used)
        if replica is None:
            return
        self.used.append(replica.replica_id)
        self._running += 1
        self._threads.append(eventlet.spawn(self._attempt, replica))

    def _attempt(self, replica: deployment.Replica) -> None:
        self._endings.put(
            self._gateway.attempt(
                replica, self._route, self._call, self._deadline
            )
        )

    def _wait(self, hedge: clock.Deadline) -> typing.Optional[_Ending]:
        wait_s = min(CALLER_CHECK_S, self._deadline.remaining_s)
        if not hedge.has_passed:
            wait_s = min(wait_s, hedge.remaining_s)
        try:
            ending = self._endings.get(timeout=max(0.001, wait_s))
        except eventlet.queue.Empty:
            return None
        self._running -= 1
        return ending

    def _take_failure(self, ending: _Ending) -> None:
        if not ending.is_not_run:
            self._may_have_run = True
            self._failure = ending.answer or self._failure
        if ending.is_not_run or self._is_safe:
            self._start()

    def _make_error(self) -> exceptions.LentildealError:
        if self._may_have_run or self._running:
            return exceptions.MayHaveRunError(
                f'no answer after {len(self.used)} attempts'
            )
        return exceptions.NotRunError(
            f'no replica of {self._service} took the call',
            cause='no_replica',
            retry_after_s=RETRY_AFTER_S,
        )
