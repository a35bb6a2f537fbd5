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

# Bounds of the answers kept for repeats; the oldest are dropped first.
MAX_RUNS = 20_000
MAX_STORED_BYTES = 16 * 1024 * 1024
FETCH_TIMEOUT_S = 1.0
# A fetch waits for a running call this much shorter than its time limit.
FETCH_MARGIN_S = 0.1

_repeats_total = prometheus_client.Counter(
    'lentildeal_repeated_keys_total',
    'Requests with a key that was claimed before, by how they ended.',
    ['result'],
)


class RunState(str, enum.Enum):
    """What became of the call that holds a claim."""

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
class StoredAnswer:
    """Whole answer of a call, kept for repeats."""

    status: int
    headers: dict
    body: bytes


@wire.message('claim.fetch')
@dataclasses.dataclass(frozen=True)
class ClaimFetch:
    """Asks the claiming instance what became of a call.

    Attributes:
        incarnation: Run of the instance that claimed.
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
    """What became of a call; ``answer`` only for ``answered``."""

    state: str
    answer: typing.Optional[StoredAnswer] = None


class _Run:
    """A claimed call at this instance."""

    def __init__(self, fingerprint: int) -> None:
        self.fingerprint = fingerprint
        self.state = RunState.RUNNING
        self.answer: typing.Optional[calls.ServiceAnswer] = None
        self.error: typing.Optional[exceptions.LentildealError] = None
        self.ended = eventlet.event.Event()

    def end(self, state: RunState, answer=None, error=None) -> None:
        """Notes the result and wakes those who wait for it."""
        self.state = state
        self.answer = answer
        self.error = error
        ended, self.ended = self.ended, eventlet.event.Event()
        ended.send()


Run = typing.Callable[[], calls.ServiceAnswer]


class Claims:
    """Runs keyed calls at most once within the retention of the log."""

    def __init__(self, kernel, log) -> None:
        self._kernel = kernel
        self._log = claim_log.ClaimLog(kernel, log)
        self._runs: collections.OrderedDict[claim_log.Key, _Run] = (
            collections.OrderedDict()
        )
        self._stored_bytes = 0

    def start(self) -> None:
        """Starts reading the stream and answering other instances."""
        self._kernel.peers.handle(ClaimFetch, self._answer_fetch)
        self._log.start()

    def run_once(
        self,
        service: ids.ServiceName,
        key: str,
        fingerprint: int,
        deadline: clock.Deadline,
        function: Run,
    ) -> calls.ServiceAnswer:
        """Runs a call unless it has run, and returns its answer.

        Args:
            service: Name of the service.
            key: Idempotency key of the caller.
            fingerprint: Hash of the request, below 2**64. A key with
                another request gets no answer of the first one.
            deadline: When the caller gives up.
            function: Makes the call.

        Raises:
            exceptions.BadRequestError: The key belongs to another request.
            exceptions.NotRunError: The call did not run, now or earlier.
            exceptions.MayHaveRunError: It may have run, now or earlier.
            exceptions.RanAndFailedError: The service reported a fault.
        """
        claim = service, key
        known = self._runs.get(claim)
        if known is not None:
            _check_same(claim, known.fingerprint == fingerprint)
            return self._repeat_here(claim, known, deadline, function)
        run = self._add_run(claim, fingerprint)
        try:
            winner = self._log.claim(claim, deadline)
            if not self._log.try_use(claim, winner):
                self._check_elsewhere(winner, claim, fingerprint, deadline)
        except _StoredElsewhere as stored:
            run.end(RunState.ANSWERED, stored.answer)
            self._store(claim, stored.answer)
            return stored.answer
        except BaseException as error:
            # Nothing ran here. The claim is judged again on a repeat.
            self._forget(claim)
            run.end(RunState.UNKNOWN, error=_as_may_have_run(error))
            raise
        return self._execute(claim, run, function)

    def _repeat_here(
        self, claim, run: _Run, deadline, function: Run
    ) -> calls.ServiceAnswer:
        if run.state is RunState.RUNNING:
            late = exceptions.MayHaveRunError('the first call still runs')
            with eventlet.Timeout(deadline.remaining_s, late):
                run.ended.wait()
        if run.state is RunState.NOT_RUN:
            run.state = RunState.RUNNING
            return self._execute(claim, run, function)
        if run.state is RunState.RUNNING:
            return self._repeat_here(claim, run, deadline, function)
        _repeats_total.labels(run.state.value).inc()
        if run.state is RunState.ANSWERED and run.answer is not None:
            return run.answer
        if isinstance(run.error, exceptions.LentildealError):
            raise run.error
        raise _may_have_run(claim)

    def _execute(self, claim, run: _Run, function: Run):
        try:
            answer = function()
        except exceptions.NotRunError as error:
            run.end(RunState.NOT_RUN, error=error)
            raise
        except exceptions.RanAndFailedError as error:
            run.end(RunState.RAN_AND_FAILED, error=error)
            raise
        except BaseException as error:
            run.end(RunState.MAY_HAVE_RUN, error=_as_may_have_run(error))
            raise
        run.end(RunState.ANSWERED, answer)
        self._store(claim, answer)
        return answer

    def _check_elsewhere(
        self, winner, claim, fingerprint: int, deadline
    ) -> None:
        """Asks the claiming instance; returns if the call may run here.

        Raises:
            _StoredElsewhere: The call has run and this is its answer.
            exceptions.BadRequestError: The key belongs to another request.
            exceptions.MayHaveRunError: The call may have run.
        """
        if winner.instance == self._kernel.settings.instance:
            # An earlier run of this instance, or a call that it has run and
            # no longer remembers.
            _repeats_total.labels('forgotten').inc()
            raise _may_have_run(claim)
        timeout_s = min(FETCH_TIMEOUT_S, deadline.remaining_s)
        wait_s = max(0.0, timeout_s - FETCH_MARGIN_S)
        message = ClaimFetch(
            winner.incarnation, *claim, fingerprint, int(wait_s * 1000)
        )
        try:
            state = self._kernel.peers.call(
                winner.instance, message, timeout_s
            )
        except exceptions.PeerError as error:
            _repeats_total.labels('claimant_unreachable').inc()
            raise _may_have_run(claim) from error
        _repeats_total.labels(state.state).inc()
        _check_same(claim, state.state != RunState.OTHER_REQUEST.value)
        if state.state == RunState.ANSWERED.value and state.answer:
            raise _StoredElsewhere(state.answer)
        if state.state != RunState.HANDED_OVER.value:
            raise _may_have_run(claim)

    def _answer_fetch(
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
            # From now on only the asking instance may run the call. If this
            # answer is lost, nobody runs it.
            run.state = RunState.HANDED_OVER
            run.error = _may_have_run((message.service, message.key))
            return ClaimState(RunState.HANDED_OVER.value)
        if run.state is RunState.HANDED_OVER:
            return ClaimState(RunState.MAY_HAVE_RUN.value)
        if run.state is RunState.ANSWERED and run.answer is not None:
            return ClaimState(run.state.value, _to_stored(run.answer))
        return ClaimState(run.state.value)

    def _add_run(self, claim, fingerprint: int) -> _Run:
        run = self._runs[claim] = _Run(fingerprint)
        if len(self._runs) > MAX_RUNS:
            self._drop_oldest()
        return run

    def _forget(self, claim) -> None:
        self._runs.pop(claim, None)

    def _store(self, claim, answer: calls.ServiceAnswer) -> None:
        self._stored_bytes += len(answer.body)
        while self._stored_bytes > MAX_STORED_BYTES and self._drop_oldest():
            continue

    def _drop_oldest(self) -> bool:
        """Drops the oldest run that has ended.

        A repeat then finds the claim in the log and gets ``may_have_run``.
        """
        for claim, run in self._runs.items():
            if run.state is not RunState.RUNNING:
                if run.answer is not None:
                    self._stored_bytes -= len(run.answer.body)
                del self._runs[claim]
                return True
        return False


class _StoredElsewhere(Exception):
    """Carries the answer that another instance has stored."""

    def __init__(self, stored: StoredAnswer) -> None:
        super().__init__()
        self.answer = calls.ServiceAnswer(
            stored.status, dict(stored.headers), stored.body
        )


def _to_stored(answer: calls.ServiceAnswer) -> StoredAnswer:
    return StoredAnswer(answer.status, dict(answer.headers), answer.body)


def _check_same(claim, is_same: bool) -> None:
    if not is_same:
        raise exceptions.BadRequestError(
            f'key {claim[1]!r} of service {claim[0]} belongs to another'
            ' request',
            remedy='use a new key for a new request',
        )


def _may_have_run(claim) -> exceptions.MayHaveRunError:
    return exceptions.MayHaveRunError(
        f'key {claim[1]!r} of service {claim[0]} was claimed before',
        remedy='ask the service whether the first request took effect',
    )


def _as_may_have_run(error: BaseException) -> exceptions.MayHaveRunError:
    if isinstance(error, exceptions.MayHaveRunError):
        return error
    return exceptions.MayHaveRunError('the first request was broken off')
