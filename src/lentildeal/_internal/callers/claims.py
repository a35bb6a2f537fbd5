"""Idempotency keys: a keyed non-idempotent call runs at most once."""

from __future__ import annotations

import collections
import dataclasses
import enum
import typing

import eventlet
import eventlet.event
import prometheus_client

from lentildeal._internal.callers import calls
from lentildeal._internal.callers import claim_log
from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.network import wire
from lentildeal._internal.utils import clock

# Limits of the responses stored for repeats; the oldest are dropped first.
MAX_RUNS = 20_000
MAX_STORED_BYTES = 16 * 1024 * 1024
FETCH_TIMEOUT_S = 1.0
# Subtracted from the timeout of a fetch to get its wait for a running call.
FETCH_MARGIN_S = 0.1

_repeats_total = prometheus_client.Counter(
    'lentildeal_repeated_keys_total',
    'Requests with a key that was claimed before, by how they ended.',
    ['result'],
)


class RunState(str, enum.Enum):
    """State of the call that holds a claim."""

    UNKNOWN = 'unknown'
    RUNNING = 'running'
    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    HANDED_OVER = 'handed_over'
    MAY_HAVE_RUN = 'may_have_run'
    RAN_AND_FAILED = 'ran_and_failed'
    OTHER_REQUEST = 'other_request'


@wire.message('claim.answer')
@dataclasses.dataclass(frozen=True)
class StoredResponse:
    """Complete response of a call, stored for repeats."""

    status: int
    headers: dict
    body: bytes


@wire.message('claim.fetch')
@dataclasses.dataclass(frozen=True)
class ClaimFetch:
    """Asks the claiming instance for the state of a call.

    Attributes:
        incarnation: Incarnation of the claiming instance.
        service: Name of the service.
        key: Idempotency key.
        fingerprint: Hash of the request.
        wait_ms: Longest wait for a call that is running.
    """

    incarnation: ids.Incarnation
    service: ids.ServiceName
    key: str
    fingerprint: int
    wait_ms: int


@wire.message('claim.state')
@dataclasses.dataclass(frozen=True)
class ClaimState:
    """State of a call; ``answer`` is set only for ``answered``."""

    state: str
    answer: typing.Optional[StoredResponse] = None


class _ClaimedRun:
    """Run of a claimed call at this instance."""

    def __init__(self, fingerprint: int) -> None:
        self.fingerprint = fingerprint
        self.state = RunState.RUNNING
        self.response: typing.Optional[calls.ServiceResponse] = None
        self.error: typing.Optional[exceptions.LentildealError] = None
        self.ended = eventlet.event.Event()

    def end(self, state: RunState, response=None, error=None) -> None:
        """Stores the result and wakes the waiting repeats."""
        self.state = state
        self.response = response
        self.error = error
        ended, self.ended = self.ended, eventlet.event.Event()
        ended.send()


RunFunction = typing.Callable[[], calls.ServiceResponse]


class Claims:
    """Runs keyed calls at most once within the retention of the log."""

    def __init__(self, kernel, log) -> None:
        self._kernel = kernel
        self._log = claim_log.ClaimLog(kernel, log)
        self._runs: collections.OrderedDict[claim_log.Key, _ClaimedRun] = (
            collections.OrderedDict()
        )
        self._stored_bytes = 0

    def start(self) -> None:
        """Starts reading the stream and handling fetches of instances."""
        self._kernel.peers.handle(ClaimFetch, self._handle_fetch)
        self._log.start()

    def run_once(
        self,
        service: ids.ServiceName,
        key: str,
        fingerprint: int,
        deadline: clock.Deadline,
        function: RunFunction,
    ) -> calls.ServiceResponse:
        """Runs a call unless it has run already, and returns its response.

        Args:
            service: Name of the service.
            key: Idempotency key of the caller.
            fingerprint: Hash of the request, below 2**64. A request that
                reuses the key of a different one does not get its response.
            deadline: When the caller stops waiting.
            function: Makes the call.

        Raises:
            exceptions.BadRequestError: The key belongs to another request.
            exceptions.NotRunError: The call did not run, now or earlier.
            exceptions.MayHaveRunError: It may have run, now or earlier.
            exceptions.RanAndFailedError: The service reported a fault.
        """
        claim_key = service, key
        existing_run = self._runs.get(claim_key)
        if existing_run is not None:
            _check_same_request(
                claim_key, existing_run.fingerprint == fingerprint
            )
            return self._handle_repeat(
                claim_key, existing_run, deadline, function
            )
        run = self._add_run(claim_key, fingerprint)
        try:
            first_claim = self._log.claim(claim_key, deadline)
            if not self._log.try_use(claim_key, first_claim):
                self._query_claimant(
                    first_claim, claim_key, fingerprint, deadline
                )
        except _StoredResponseFound as stored:
            run.end(RunState.ANSWERED, stored.response)
            self._store(claim_key, stored.response)
            return stored.response
        except BaseException as error:
            # Nothing ran here. A repeat resolves the claim again.
            self._forget(claim_key)
            run.end(RunState.UNKNOWN, error=_as_may_have_run(error))
            raise
        return self._execute(claim_key, run, function)

    def _handle_repeat(
        self, claim_key, run: _ClaimedRun, deadline, function: RunFunction
    ) -> calls.ServiceResponse:
        if run.state is RunState.RUNNING:
            timeout_error = exceptions.MayHaveRunError(
                'the first request is still running'
            )
            with eventlet.Timeout(deadline.remaining_s, timeout_error):
                run.ended.wait()
        if run.state is RunState.NOT_RUN:
            run.state = RunState.RUNNING
            return self._execute(claim_key, run, function)
        if run.state is RunState.RUNNING:
            return self._handle_repeat(claim_key, run, deadline, function)
        _repeats_total.labels(run.state.value).inc()
        if run.state is RunState.ANSWERED and run.response is not None:
            return run.response
        if isinstance(run.error, exceptions.LentildealError):
            raise run.error
        raise _may_have_run(claim_key)

    def _execute(self, claim_key, run: _ClaimedRun, function: RunFunction):
        try:
            response = function()
        except exceptions.NotRunError as error:
            run.end(RunState.NOT_RUN, error=error)
            raise
        except exceptions.RanAndFailedError as error:
            run.end(RunState.RAN_AND_FAILED, error=error)
            raise
        except BaseException as error:
            run.end(RunState.MAY_HAVE_RUN, error=_as_may_have_run(error))
            raise
        run.end(RunState.ANSWERED, response)
        self._store(claim_key, response)
        return response

    def _query_claimant(
        self, first_claim, claim_key, fingerprint: int, deadline
    ) -> None:
        """Asks the claiming instance; returns only if the call may run here.

        Raises:
            _StoredResponseFound: The call has run; carries its response.
            exceptions.BadRequestError: The key belongs to another request.
            exceptions.MayHaveRunError: The call may have run.
        """
        if first_claim.instance == self._kernel.settings.instance:
            # Claimed by an earlier incarnation of this instance, or by a run
            # that was dropped from memory.
            _repeats_total.labels('forgotten').inc()
            raise _may_have_run(claim_key)
        timeout_s = min(FETCH_TIMEOUT_S, deadline.remaining_s)
        wait_s = max(0.0, timeout_s - FETCH_MARGIN_S)
        message = ClaimFetch(
            first_claim.incarnation,
            *claim_key,
            fingerprint,
            int(wait_s * 1000),
        )
        try:
            state = self._kernel.peers.call(
                first_claim.instance, message, timeout_s
            )
        except exceptions.PeerError as error:
            _repeats_total.labels('claimant_unreachable').inc()
            raise _may_have_run(claim_key) from error
        _repeats_total.labels(state.state).inc()
        _check_same_request(
            claim_key, state.state != RunState.OTHER_REQUEST.value
        )
        if state.state == RunState.ANSWERED.value and state.answer:
            raise _StoredResponseFound(state.answer)
        if state.state != RunState.HANDED_OVER.value:
            raise _may_have_run(claim_key)

    def _handle_fetch(
        self, instance: ids.InstanceId, message: ClaimFetch
    ) -> ClaimState:
        if message.incarnation != self._kernel.incarnation:
            return ClaimState(RunState.UNKNOWN.value)
        run = self._runs.get((message.service, message.key))
        if run is None:
            return ClaimState(RunState.UNKNOWN.value)
        if run.fingerprint != message.fingerprint:
            return ClaimState(RunState.OTHER_REQUEST.value)
        if run.state is RunState.RUNNING:
            with eventlet.Timeout(message.wait_ms / 1000, False):
                run.ended.wait()
        if run.state is RunState.NOT_RUN:
            # From now on only the requesting instance may run the call. If
            # this response is lost, no instance runs it.
            run.state = RunState.HANDED_OVER
            run.error = _may_have_run((message.service, message.key))
            return ClaimState(RunState.HANDED_OVER.value)
        if run.state is RunState.HANDED_OVER:
            return ClaimState(RunState.MAY_HAVE_RUN.value)
        if run.state is RunState.ANSWERED and run.response is not None:
            return ClaimState(
                run.state.value, _to_stored_response(run.response)
            )
        return ClaimState(run.state.value)

    def _add_run(self, claim_key, fingerprint: int) -> _ClaimedRun:
        run = self._runs[claim_key] = _ClaimedRun(fingerprint)
        if len(self._runs) > MAX_RUNS:
            self._drop_oldest()
        return run

    def _forget(self, claim_key) -> None:
        self._runs.pop(claim_key, None)

    def _store(self, claim_key, response: calls.ServiceResponse) -> None:
        self._stored_bytes += len(response.body)
        while self._stored_bytes > MAX_STORED_BYTES and self._drop_oldest():
            continue

    def _drop_oldest(self) -> bool:
        """Drops the oldest run that has ended.

        A repeat of it finds the claim in the log and gets ``may_have_run``.
        """
        for claim_key, run in self._runs.items():
            if run.state is not RunState.RUNNING:
                if run.response is not None:
                    self._stored_bytes -= len(run.response.body)
                del self._runs[claim_key]
                return True
        return False


class _StoredResponseFound(Exception):
    """Carries the response that another instance has stored."""

    def __init__(self, stored: StoredResponse) -> None:
        super().__init__()
        self.response = calls.ServiceResponse(
            stored.status, dict(stored.headers), stored.body
        )


def _to_stored_response(response: calls.ServiceResponse) -> StoredResponse:
    return StoredResponse(
        response.status, dict(response.headers), response.body
    )


def _check_same_request(claim_key, is_same: bool) -> None:
    if not is_same:
        raise exceptions.BadRequestError(
            f'key {claim_key[1]!r} of service {claim_key[0]} belongs to'
            ' another request',
            remedy='use a new key for a new request',
        )


def _may_have_run(claim_key) -> exceptions.MayHaveRunError:
    return exceptions.MayHaveRunError(
        f'key {claim_key[1]!r} of service {claim_key[0]} was claimed before',
        remedy='ask the service whether the first request took effect',
    )


def _as_may_have_run(error: BaseException) -> exceptions.MayHaveRunError:
    if isinstance(error, exceptions.MayHaveRunError):
        return error
    return exceptions.MayHaveRunError('the first request was interrupted')
