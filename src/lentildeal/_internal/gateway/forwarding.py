"""Attempts of one live call: retries, hedged requests and extra copies."""

from __future__ import annotations

import random
import typing

import eventlet
import eventlet.queue
from loguru import logger

from lentildeal._internal import exceptions
from lentildeal._internal.gateway import admission
from lentildeal._internal.gateway import calls
from lentildeal._internal.gateway import choice
from lentildeal._internal.gateway import copies
from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.routing import extra_copies
from lentildeal._internal.utils import clock

if typing.TYPE_CHECKING:
    from lentildeal._internal.gateway import plugin

# Interval of the checks for a client disconnect. Attempts must end within
# half a second of one.
CLIENT_CHECK_INTERVAL_S = 0.1
# Retry delay returned to callers of a service without usable replicas.
RETRY_AFTER_S = 0.2


class CallForwarder:
    """Runs the attempts of one call, with retries and hedged requests."""

    def __init__(
        self,
        gateway: plugin.Gateway,
        route: deployment.Route,
        call: calls.LiveCall,
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
        self._results: eventlet.queue.LightQueue = eventlet.queue.LightQueue()
        self._threads: list = []
        self._running = 0
        self._may_have_run = False
        self._has_crashed = False
        # Attempts that found no turn at their replica.
        self._unsent = 0
        self._ticket: typing.Optional[admission.Ticket] = None
        self._failed_response: typing.Optional[calls.LiveResponse] = None
        self._copy: typing.Optional[copies.CallCopy] = None
        if self._is_safe and gateway.copy_policy.is_on:
            self._copy = copies.CallCopy(
                gateway.copy_policy, route, call, self._service
            )
        self.tried: list[ids.ReplicaId] = []
        self.choice_fields: dict[typing.Optional[ids.ReplicaId], dict] = {}
        self.answered_by: typing.Optional[ids.ReplicaId] = None

    @property
    def limit_s(self) -> float:
        """Time left for the call, in seconds."""
        return self._deadline.remaining_s

    def run(self) -> calls.LiveResponse:
        """Makes attempts until one succeeds or none is left.

        Raises:
            exceptions.NotRunError: No replica ran it.
            exceptions.MayHaveRunError: One may have run it.
        """
        self._ticket = self._gateway.admission.enter(
            self._service, self._call, self.limit_s
        )
        try:
            self._start_attempt()
            hedge_s = choice.get_hedge_delay_s(self._route.objective_s)
            if self._copy is not None:
                hedge_s = max(0.0, self._copy.find_wait_s())
            hedge = clock.Deadline(hedge_s)
            while self._running:
                result = self._wait_for_result(hedge)
                if result is not None and result.is_success:
                    self.answered_by = result.replica.replica_id
                    return result.response
                if result is not None:
                    self._handle_failure(result)
                elif self._is_finished():
                    break
                elif self._copy is not None:
                    self._try_copy(self._copy)
                elif self._is_safe and hedge.has_passed:
                    hedge = clock.Deadline(hedge_s)
                    self._start_attempt()
        finally:
            for thread in self._threads:
                thread.kill()
            if self._copy is not None:
                self._finish_copy(self._copy)
            self._gateway.admission.leave(self._ticket)
        if self._failed_response is not None:
            return self._failed_response
        raise self._make_error()

    def _is_finished(self) -> bool:
        return self._deadline.has_passed or self._call.is_client_gone()

    def _may_try_again(self) -> bool:
        return len(self.tried) - self._unsent < self._route.max_attempts

    def _start_attempt(self) -> None:
        if not self._may_try_again() or self._is_finished():
            return
        if self._has_crashed:
            # The call could take down the other replicas one by one.
            return
        replica = self._gateway.choose(self._service, self.tried)
        if replica is None:
            return
        self._record_choice(replica.replica_id)
        self._threads.append(eventlet.spawn(self._run_attempt, replica))

    def _record_choice(self, replica_id: ids.ReplicaId) -> None:
        self.tried.append(replica_id)
        self.choice_fields[replica_id] = self._gateway.pop_choice_fields(
            replica_id
        )
        self._running += 1

    def _try_copy(self, copy: copies.CallCopy) -> None:
        """Sends an extra copy if the call is late and the limits allow it."""
        attempts = len(self.tried) - self._unsent
        if attempts >= self._route.max_attempts or self._has_crashed:
            return
        if not copy.may_send(self._deadline.remaining_s):
            return
        replica = self._gateway.choose(self._service, self.tried)
        if replica is None:
            copy.record_denied(extra_copies.Verdict.NO_ROOM)
            return
        copy.record_start(replica.replica_id)
        self._record_choice(replica.replica_id)
        self._threads.append(eventlet.spawn(self._run_copy, copy, replica))

    def _run_copy(
        self, copy: copies.CallCopy, replica: deployment.Replica
    ) -> None:
        try:
            has_room = self._gateway.has_room_for_copy(replica)
        except Exception as error:
            # The call would wait for this copy until its deadline.
            logger.opt(exception=error).error('status check failed')
            has_room = False
        if has_room:
            copy.record_sent(self.tried[0])
            self._run_attempt(replica)
            return
        copy.record_unsent()
        self._results.put(
            calls.AttemptResult.make_unsent(
                replica, 'no room for an extra copy'
            )
        )

    def _finish_copy(self, copy: copies.CallCopy) -> None:
        copy.finish(self.answered_by)
        if copy.is_won:
            self._gateway.record_overtaken(self.tried[0], copy.elapsed_s)

    def _run_attempt(self, replica: deployment.Replica) -> None:
        try:
            result = self._gateway.attempt(
                replica, self._route, self._call, self._deadline
            )
        except Exception as error:
            # The call waits for the result of each attempt.
            logger.opt(exception=error).error('attempt failed')
            result = calls.AttemptResult(
                replica, None, False, f'internal error: {error!r:.200}'
            )
        self._results.put(result)

    def _wait_for_result(
        self, hedge: clock.Deadline
    ) -> typing.Optional[calls.AttemptResult]:
        wait_s = min(CLIENT_CHECK_INTERVAL_S, self._deadline.remaining_s)
        if not hedge.has_passed:
            wait_s = min(wait_s, hedge.remaining_s)
        try:
            result = self._results.get(timeout=max(0.001, wait_s))
        except eventlet.queue.Empty:
            return None
        self._running -= 1
        return result

    def _handle_failure(self, result: calls.AttemptResult) -> None:
        if not result.is_sent:
            self._unsent += 1
        self._has_crashed |= result.has_crashed
        if not result.is_not_run:
            self._may_have_run = True
            self._failed_response = result.response or self._failed_response
        elif result.is_sent and 'no connection' not in result.reason:
            self._gateway.copy_policy.record_refusal(self._service)
        if self._running and self._is_copy(result):
            # The first attempt goes on; the copy is not replaced.
            return
        if self._ticket is not None and self._is_only_refused(result):
            self._gateway.admission.enter_again(self._service, self._ticket)
        if result.is_not_run or self._is_safe:
            self._start_attempt()

    def _is_copy(self, result: calls.AttemptResult) -> bool:
        if self._copy is None:
            return False
        return result.replica.replica_id == self._copy.replica_id

    def _is_only_refused(self, result: calls.AttemptResult) -> bool:
        """Whether the call may wait as if it had just arrived."""
        has_begun = self._running or self._may_have_run
        return result.is_full and not has_begun and self._may_try_again()

    def _make_error(self) -> exceptions.LentildealError:
        if self._may_have_run or self._running:
            return exceptions.MayHaveRunError(
                f'no response after {len(self.tried)} attempts'
            )
        wait_s = self._gateway.find_limit_wait_s(self._service)
        if wait_s > 0.0:
            return exceptions.NotRunError(
                f'the request limits of {self._service} leave no room',
                cause='rate_limited',
                retry_after_s=max(RETRY_AFTER_S, round(wait_s, 3)),
            )
        return exceptions.NotRunError(
            f'no replica of {self._service} accepted the call',
            cause='no_replica',
            retry_after_s=self._gateway.admission.find_retry_after_s(
                self._ticket, RETRY_AFTER_S
            ),
        )
