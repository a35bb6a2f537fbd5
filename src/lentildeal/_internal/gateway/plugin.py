"""Plug-in ``gateway``: forwards live calls to replicas."""

from __future__ import annotations

import typing

import eventlet
import eventlet.queue
from loguru import logger
import prometheus_client

from lentildeal._internal.adapters import platform_base
from lentildeal._internal import exceptions
from lentildeal._internal.gateway import admission
from lentildeal._internal.gateway import calls
from lentildeal._internal.gateway import choice
from lentildeal._internal.gateway import forwarding
from lentildeal._internal.gateway import streams
from lentildeal._internal.kernel import plugins
from lentildeal._internal.logs import events
from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.network import client_connections
from lentildeal._internal.network import target_connections
from lentildeal._internal.routing import extra_copies
from lentildeal._internal.routing import finish_times
from lentildeal._internal.routing import health
from lentildeal._internal.routing import replica_bytes
from lentildeal._internal.utils import clock

# Longest wait of a call for its turn at a replica that limits its requests. A
# call whose turn comes later is refused at once, as it may find one elsewhere.
MAX_TURN_WAIT_S = 0.1
# Validity of the load that a replica reports.
LOAD_VALID_S = 1.0

_calls_total = prometheus_client.Counter(
    'lentildeal_live_calls_total', 'Live calls by outcome.', ['outcome']
)
_call_seconds = prometheus_client.Histogram(
    'lentildeal_live_call_seconds',
    'Time from reading a live call to its answer, in seconds.',
    buckets=(0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1, 2, 5),
)


@plugins.register('gateway', after=('directory', 'replica_limits', 'usage'))
class Gateway(plugins.Plugin):
    """Chooses replicas for live calls and forwards their responses."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self._directory = kernel.plugin('directory')
        self._connections = target_connections.TargetConnections()
        self._limits = kernel.plugin('replica_limits')
        self._usage = kernel.plugin('usage')
        self._health = health.HealthTracker()
        self.admission = admission.CallAdmission(kernel)
        self._bytes = replica_bytes.ReplicaBytes(
            kernel.settings.limits.replica_bytes
        )
        self._running: dict[ids.ReplicaId, int] = {}
        self._loads: dict[
            ids.ReplicaId, tuple[platform_base.ReplicaLoad, float]
        ] = {}
        self._reports = finish_times.LoadReports()
        # What the last choice expected of the replica that it chose.
        self._expected: dict[ids.ReplicaId, finish_times.Expectation] = {}
        self.copy_policy = extra_copies.CopyPolicy(kernel.settings.hedging)

    def start(self) -> None:
        """See the base class."""
        self._kernel.spawn('gateway-idle', self._close_expired_connections)

    def find_route(self, host: str, path: str) -> deployment.Route:
        """Finds the route of a request in the current text.

        Raises:
            exceptions.NotRunError: No text is known yet.
            exceptions.UnknownRouteError: No route matches.
        """
        text = self._directory.text
        if text is None:
            raise exceptions.NotRunError(
                'no published text is known yet',
                cause='no_text',
                retry_after_s=forwarding.RETRY_AFTER_S,
            )
        route = text.find_route(host, path)
        if route is None:
            raise exceptions.UnknownRouteError(
                f'no route for {host}{path} in text {text.version}'
            )
        return route

    def forward(
        self, route: deployment.Route, call: calls.LiveCall
    ) -> calls.LiveResponse:
        """Forwards a call and returns the response of a replica.

        Raises:
            exceptions.NotRunError: No replica ran it.
            exceptions.MayHaveRunError: One may have run it.
        """
        started_s = clock.monotonic_s()
        forwarder = forwarding.CallForwarder(self, route, call)
        try:
            self._kernel.check_time_left(forwarder.limit_s)
            with self._usage.track(route, call.account):
                response = forwarder.run()
        except exceptions.LentildealError as error:
            is_refusal = isinstance(error, exceptions.NotRunError)
            _calls_total.labels('refused' if is_refusal else 'failed').inc()
            events.emit(
                'call_failed',
                request=call.request_id,
                route=route.name,
                status=503 if is_refusal else 504,
                reason=error.message,
                attempts=len(forwarder.tried),
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
            status=response.status,
            replica=forwarder.answered_by,
            attempts=len(forwarder.tried),
            elapsed_ms=int(elapsed_s * 1000),
            **forwarder.choice_fields.get(forwarder.answered_by, {}),
        )
        return response

    def choose(
        self,
        service: ids.ServiceName,
        tried: typing.Container[ids.ReplicaId],
    ) -> typing.Optional[deployment.Replica]:
        """Chooses a replica for an attempt, None without an untried one."""
        self._expected.clear()
        ready = [
            replica
            for replica in self._directory.replicas.list_ready(service)
            if self._limits.wait_s(replica.replica_id) <= MAX_TURN_WAIT_S
        ]
        usable = set(self._health.select_usable([r.address for r in ready]))
        chosen = self._choose_among(
            [replica for replica in ready if replica.address in usable], tried
        )
        if chosen is None:
            chosen = self._choose_among(ready, tried)
        return None if chosen is None else self._directory.replicas.get(chosen)

    def _choose_among(
        self,
        replicas: typing.Sequence[deployment.Replica],
        tried: typing.Container[ids.ReplicaId],
    ) -> typing.Optional[ids.ReplicaId]:
        """Chooses by finish time if replicas report their speed."""
        if self._reports.has_work_factor(r.replica_id for r in replicas):
            expected = finish_times.choose(self._estimate(replicas), tried)
            if expected is None:
                return None
            self._expected[expected.estimate.replica_id] = expected
            return expected.estimate.replica_id
        return choice.choose(
            [self._make_candidate(replica) for replica in replicas], tried
        )

    def _estimate(
        self, replicas: typing.Iterable[deployment.Replica]
    ) -> list[finish_times.Estimate]:
        return [
            self._reports.estimate(
                replica.replica_id,
                replica.slots,
                self._running.get(replica.replica_id, 0),
                self._make_candidate(replica).extra_load,
            )
            for replica in replicas
        ]

    def describe_replicas(
        self, service: typing.Optional[ids.ServiceName]
    ) -> list[dict[str, typing.Any]]:
        """Describes the ready replicas of a service, the best one first."""
        ready = self._directory.replicas.list_ready(service)
        has_factor = self._reports.has_work_factor(r.replica_id for r in ready)
        rows = []
        for expected in finish_times.compare(self._estimate(ready)):
            replica_id = expected.estimate.replica_id
            replica = self._directory.replicas.get(replica_id)
            candidate = self._make_candidate(replica)
            fields = {'load': round(candidate.load * replica.slots, 1)}
            if has_factor:
                fields = expected.to_fields()
            rows.append(
                {
                    'replica': replica_id,
                    'slots': replica.slots,
                    'is_remote': not candidate.is_local,
                    'health': self._health.state_of(replica.address).value,
                    'limit_wait_s': self._limits.wait_s(replica_id),
                    **fields,
                }
            )
        return rows

    def pop_choice_fields(self, replica_id: ids.ReplicaId) -> dict:
        """Log fields on why a replica was just chosen, if by finish time."""
        expected = self._expected.pop(replica_id, None)
        return {} if expected is None else expected.to_fields()

    def record_load(
        self, replica_id: ids.ReplicaId, load: platform_base.ReplicaLoad
    ) -> None:
        """Records the load that a replica reported just now."""
        self._loads[replica_id] = load, clock.monotonic_s()
        own_running = self._running.get(replica_id, 0)
        self._reports.record(replica_id, load, own_running)

    def has_room_for_copy(self, replica: deployment.Replica) -> bool:
        """Whether a replica has room for an extra copy.

        Asks the replica unless it has just reported. Copies are rare, and one
        at a busy replica costs more than a status check.
        """
        (estimate,) = self._estimate([replica])
        service = self._directory.text.services.get(replica.service)
        health_path = '' if service is None else service.health_path
        is_old = estimate.age_s > extra_copies.MAX_REPORT_AGE_S
        if is_old and health_path:
            try:
                load = self._directory.platform.get_load(replica, health_path)
            except exceptions.PlatformError:
                return False
            if load is not None:
                self.record_load(replica.replica_id, load)
            (estimate,) = self._estimate([replica])
        return self.copy_policy.has_room(estimate)

    def record_overtaken(
        self, replica_id: ids.ReplicaId, elapsed_s: float
    ) -> None:
        """Records that a copy answered before a replica did.

        The attempt is cancelled, so that a replica that never answers would
        otherwise stay in use.
        """
        replica = self._directory.replicas.get(replica_id)
        if replica is None:
            return
        ready = self._directory.replicas.list_ready(replica.service)
        addresses = [other.address for other in ready]
        if self._health.is_overdue(replica.address, elapsed_s, addresses):
            self._health.record_failure(replica.address, addresses)

    def find_limit_wait_s(self, service: ids.ServiceName) -> float:
        """Time until the request limit of some replica leaves room."""
        ready = self._directory.replicas.list_ready(service)
        return min(
            (self._limits.wait_s(replica.replica_id) for replica in ready),
            default=0.0,
        )

    def attempt(
        self,
        replica: deployment.Replica,
        route: deployment.Route,
        call: calls.LiveCall,
        deadline: clock.Deadline,
    ) -> calls.AttemptResult:
        """Sends a call to one replica and reads its response."""
        replica_id = replica.replica_id
        started_s = clock.monotonic_s()
        if not self._bytes.has_room(replica_id, len(call.body)):
            result = calls.AttemptResult.make_unsent(
                replica, 'bodies in progress leave no room'
            )
        elif self._limits.acquire(replica_id, MAX_TURN_WAIT_S):
            result = self._send_tracked(replica, route, call, deadline)
        else:
            result = calls.AttemptResult.make_unsent(
                replica, 'its request limit leaves no room'
            )
        elapsed_s = clock.monotonic_s() - started_s
        if not result.is_success:
            events.emit(
                'attempt_failed',
                request=call.request_id,
                replica=replica_id,
                reason=result.reason,
                elapsed_ms=int(elapsed_s * 1000),
            )
        return result

    def _send_tracked(
        self,
        replica: deployment.Replica,
        route: deployment.Route,
        call: calls.LiveCall,
        deadline: clock.Deadline,
    ) -> calls.AttemptResult:
        """Records the load and the health that an attempt shows."""
        replica_id = replica.replica_id
        started_s = clock.monotonic_s()
        self._running[replica_id] = self._running.get(replica_id, 0) + 1
        self._health.record_start(replica.address)
        try:
            with self._bytes.track(replica_id, len(call.body)):
                result = self._send_in_time(replica, route, call, deadline)
        finally:
            self._running[replica_id] -= 1
            self._health.record_end(replica.address)
        elapsed_s = clock.monotonic_s() - started_s
        self._record_health(result, elapsed_s)
        self.admission.record_attempt(
            replica,
            result.load,
            elapsed_s if result.is_success else None,
            result.is_full,
        )
        return result

    def _send_in_time(
        self,
        replica: deployment.Replica,
        route: deployment.Route,
        call: calls.LiveCall,
        deadline: clock.Deadline,
    ) -> calls.AttemptResult:
        """Limits the time of an attempt as a whole.

        The timeout of each read is not enough: a replica that sends a byte now
        and then would hold the attempt without end.
        """
        timeout = eventlet.Timeout(max(0.001, deadline.remaining_s))
        try:
            return self._send(replica, route, call, deadline)
        except eventlet.Timeout as expired:
            if expired is not timeout:
                raise
            return calls.AttemptResult(
                replica, None, False, 'no complete response in time'
            )
        except Exception as error:
            # The call waits for the result of each attempt.
            logger.opt(exception=error).error('attempt failed')
            return calls.AttemptResult(
                replica, None, False, f'internal error: {error!r:.200}'
            )
        finally:
            timeout.cancel()

    def _send(
        self,
        replica: deployment.Replica,
        route: deployment.Route,
        call: calls.LiveCall,
        deadline: clock.Deadline,
    ) -> calls.AttemptResult:
        is_stream = route.kind is deployment.RouteKind.STREAM
        platform = self._directory.platform
        headers = calls.drop_connection_headers(call.headers)
        headers += tuple(
            platform.make_headers(
                replica,
                request_id=call.request_id if call.is_own else None,
                deadline_s=deadline.remaining_s,
                account=call.account,
            )
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
                request_id=call.request_id,
            )
        except exceptions.NotRunError as error:
            return calls.AttemptResult(replica, None, True, error.message)
        except exceptions.MayHaveRunError as error:
            has_crashed = isinstance(error, exceptions.TargetCrashedError)
            return calls.AttemptResult(
                replica, None, False, error.message, has_crashed=has_crashed
            )
        is_streaming = False
        try:
            result = self._read_response(replica, route, call, response)
            is_streaming = is_stream and result.response is not None
            return result
        except exceptions.TruncatedAnswerError as error:
            return calls.AttemptResult(replica, None, False, error.message)
        finally:
            if not is_streaming:
                response.abandon()

    def _read_response(
        self,
        replica: deployment.Replica,
        route: deployment.Route,
        call: calls.LiveCall,
        response: client_connections.Response,
    ) -> calls.AttemptResult:
        info = self._directory.platform.read_response(
            response.status, response.headers
        )
        if info.load is not None:
            self.record_load(replica.replica_id, info.load)
        is_foreign = info.request_id not in (None, call.request_id)
        if info.is_leaving and not is_foreign:
            self._directory.mark_leaving(replica)
        if info.is_not_run and not is_foreign:
            self._limits.record_answer(replica.replica_id, info)
            response.read_ignored()
            return calls.AttemptResult(
                replica, None, True, f'status {response.status}', info.load
            )
        if info.request_id != call.request_id:
            return calls.AttemptResult(
                replica, None, False, 'response to another request'
            )
        self._limits.record_answer(replica.replica_id, info)
        if response.is_success and not info.signature:
            # The line of the signature may be spoiled, and others with it.
            return calls.AttemptResult(
                replica, None, False, 'success without a signature'
            )
        if 'content-encoding' in response.headers:
            return calls.AttemptResult(replica, None, False, 'encoded body')
        headers = calls.drop_connection_headers(response.header_list)
        is_stream = route.kind is deployment.RouteKind.STREAM
        if is_stream and response.status == 200:
            body: typing.Any = streams.relay(response, call, route.objective_s)
        else:
            body = response.read()
        live_response = calls.LiveResponse(
            response.status, headers, body, info.signature
        )
        return calls.AttemptResult(
            replica,
            live_response,
            False,
            f'status {response.status}',
            info.load,
        )

    def _record_health(
        self, result: calls.AttemptResult, elapsed_s: float
    ) -> None:
        ready = self._directory.replicas.list_ready(result.replica.service)
        addresses = [replica.address for replica in ready]
        if result.is_success:
            self._health.record_success(
                result.replica.address, elapsed_s, addresses
            )
        elif not result.is_not_run or 'no connection' in result.reason:
            self._health.record_failure(result.replica.address, addresses)

    def _make_candidate(self, replica: deployment.Replica) -> choice.Candidate:
        replica_id = replica.replica_id
        known_running = self._running.get(replica_id, 0)
        load, reported_at_s = self._loads.get(replica_id, (None, 0.0))
        if (
            load is not None
            and clock.monotonic_s() - reported_at_s < LOAD_VALID_S
        ):
            # The report includes the request whose response carried it.
            known_running = max(known_running, load.running + load.waiting - 1)
        return choice.Candidate(
            replica_id,
            known_running / max(1, replica.slots),
            self._health.penalty(replica.address),
            replica.failure_domain == self._kernel.settings.failure_domain,
            self._limits.is_limited(replica_id),
        )

    def _close_expired_connections(self) -> None:
        while True:
            eventlet.sleep(1.0)
            self._connections.close_expired()
