"""Dispatch of calls: replica choice, slots and retries."""

from __future__ import annotations

import collections
import contextlib
import itertools
import typing

import eventlet
import eventlet.hubs
import prometheus_client

from lentildeal._internal.callers import attempts
from lentildeal._internal.callers import calls
from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.models import outcomes
from lentildeal._internal.routing import chooser
from lentildeal._internal.routing import grants
from lentildeal._internal.routing import health as health_module
from lentildeal._internal.routing import refusals
from lentildeal._internal.routing import retries
from lentildeal._internal.routing import slots
from lentildeal._internal.utils import clock

T = typing.TypeVar('T')

# Concurrent calls without a slot that this daemon sends to one replica while
# its owner is unreachable. Small because all daemons may do so at once.
DIRECT_LIMIT = 2
# Interval at which a call without a slot tries to reach an owner again.
OWNERLESS_POLL_S = 0.05
MAX_OWNERLESS_WAITING = 200
# Replica queues that are asked before a refusal is returned to the caller.
MAX_QUEUES_ASKED = 2

_requests_total = prometheus_client.Counter(
    'lentildeal_calls_total',
    'Live calls by how they ended.',
    ['service', 'outcome'],
)
_refusals_total = prometheus_client.Counter(
    'lentildeal_refusals_total',
    'Live calls refused before they ran.',
    ['club', 'cause'],
)
_attempts_total = prometheus_client.Counter(
    'lentildeal_attempts_total',
    'Attempts at live calls that reached a replica.',
    ['target', 'kind'],
)
_direct_total = prometheus_client.Counter(
    'lentildeal_direct_calls_total',
    'Attempts made without a slot because no owner could be reached.',
    ['target'],
)
_seconds = prometheus_client.Histogram(
    'lentildeal_call_seconds',
    'Time of live calls until their answer is whole or has begun.',
    ['service'],
)

AttemptFunction = typing.Callable[[attempts.Attempt], T]


class Dispatcher:
    """Runs calls at replicas."""

    def __init__(self, slot_owner, domain: ids.FailureDomain) -> None:
        """Initializes the dispatcher.

        Args:
            slot_owner: Plug-in ``slots``.
            domain: Failure domain of this instance.
        """
        self._slots = slot_owner
        self._loads: chooser.LoadTracker = slot_owner.loads
        self.health = health_module.HealthTracker()
        self._chooser = chooser.ReplicaChooser(
            domain, self._loads, self.health.penalty
        )
        self._budgets = retries.RetryBudgets()
        self._ownerless_waiting = 0
        self._refusals = refusals.RefusalCache()
        self._direct_calls: collections.Counter[ids.ReplicaAddress] = (
            collections.Counter()
        )

    def run(self, call: calls.Call, function: AttemptFunction[T]) -> T:
        """Runs a call, with retries where they are allowed.

        Args:
            call: The call.
            function: Calls the replica of an attempt and returns the response
                or its first part; reports the end of the attempt.

        Raises:
            exceptions.NotRunError: No byte was sent in any attempt.
            exceptions.MayHaveRunError: Some attempt may have run.
            exceptions.RanAndFailedError: The target reported a failure.
        """
        started_s = clock.monotonic_s()
        try:
            result = self._run_attempts(call, function)
        except exceptions.NotRunError as error:
            _refusals_total.labels(call.service.club, error.cause).inc()
            _requests_total.labels(call.name, 'not_run').inc()
            raise
        except exceptions.RanAndFailedError:
            _requests_total.labels(call.name, 'ran_and_failed').inc()
            raise
        except exceptions.MayHaveRunError:
            _requests_total.labels(call.name, 'may_have_run').inc()
            raise
        _requests_total.labels(call.name, 'answered').inc()
        _seconds.labels(call.name).observe(clock.monotonic_s() - started_s)
        return result

    def _run_attempts(
        self, call: calls.Call, function: AttemptFunction[T]
    ) -> T:
        budget = self._budgets.get(call.service.club, call.service.target)
        budget.record_request()
        tried: set[ids.ReplicaAddress] = set()
        sent_error: typing.Optional[exceptions.LentildealError] = None
        number = 0
        while True:
            number += 1
            try:
                attempt = self._start_attempt(call, tried, number)
            except exceptions.NotRunError:
                if sent_error is not None:
                    # An earlier attempt may have run, so the call must not be
                    # reported as not run.
                    raise sent_error from None
                raise
            try:
                with self._watch_silence(call, attempt, tried, budget):
                    return self._run_once(call, attempt, function, number)
            except exceptions.NotRunError as error:
                tried.add(attempt.replica.address)
                if not self._may_try_other_replica(call, tried):
                    raise sent_error or error
            except (
                exceptions.MayHaveRunError,
                exceptions.RanAndFailedError,
            ) as error:
                sent_error = error
                tried.add(attempt.replica.address)
                if not self._may_retry(call, attempt, error, budget):
                    raise

    @contextlib.contextmanager
    def _watch_silence(self, call, attempt, tried, budget):
        """Cancels an attempt at a silent replica while a retry can succeed.

        If half of the remaining time passes without a token or response, an
        idempotent call is retried at another replica, if there is one and
        the retry budget allows it. Otherwise the attempt runs until the
        deadline.
        """
        waiting_thread = eventlet.getcurrent()

        def cancel_if_silent() -> None:
            # Under load, slots are granted late, and half of the remaining
            # time can be less than a call needs. So the time must also be
            # long compared with other calls.
            is_silent = attempt.usage.tokens == 0 and attempt.is_overdue()
            if is_silent and budget.try_spend():
                waiting_thread.throw(
                    _SilentReplicaError(
                        f'{attempt.replica.address} is silent for half of'
                        ' the time'
                    )
                )

        untried = _count_replicas(call) - len(tried)
        if not call.service.idempotent or untried < 2:
            yield
            return
        timer = eventlet.hubs.get_hub().schedule_call_global(
            call.deadline.remaining_s / 2, cancel_if_silent
        )
        try:
            yield
        finally:
            timer.cancel()

    def _run_once(
        self, call, attempt, function: AttemptFunction[T], number: int
    ) -> T:
        kind = 'first' if number == 1 else 'retry'
        _attempts_total.labels(call.service.target, kind).inc()
        try:
            return function(attempt)
        except exceptions.LentildealError as error:
            attempt.end_failed(error)
            raise
        except BaseException:
            attempt.end_cancelled()
            raise

    def _may_try_other_replica(self, call, tried) -> bool:
        """Whether a call that could not connect is sent to another replica.

        A failed connection puts no load on a target, so it is not charged
        to the retry budget; the number of replicas limits the retries.
        """
        return (
            len(tried) < _count_replicas(call) and not call.deadline.has_passed
        )

    def _may_retry(self, call, attempt, error, budget) -> bool:
        if isinstance(error, exceptions.RanAndFailedError):
            if error.status < attempts.MIN_FAULT_STATUS:
                return False
        if isinstance(error, _SilentReplicaError):
            return True
        is_allowed = retries.may_retry(
            is_idempotent=call.service.idempotent,
            were_bytes_sent=True,
            was_delivered=attempt.usage.was_delivered,
            deadline=call.deadline,
        )
        return is_allowed and budget.try_spend()

    def _start_attempt(self, call, tried, number: int) -> attempts.Attempt:
        """Chooses a replica and waits for one of its slots.

        If no owner is reachable, the call waits for one to return or for a
        direct call to end, for at most half of its remaining time.

        Raises:
            exceptions.NotRunError: No replica has a slot in time.
        """
        owner_deadline = clock.Deadline(call.deadline.remaining_s / 2)
        suffixes = itertools.count()
        while True:
            try:
                return self._start_at_owner(call, tried, number, suffixes)
            except exceptions.NotRunError as error:
                if not _is_owner_unreachable(error):
                    raise
                attempt = self._start_without_owner(call, tried)
                if attempt is not None:
                    return attempt
                is_full = self._ownerless_waiting >= MAX_OWNERLESS_WAITING
                if is_full or owner_deadline.has_passed:
                    raise
            self._wait_for_owner()

    def _wait_for_owner(self) -> None:
        self._ownerless_waiting += 1
        try:
            eventlet.sleep(OWNERLESS_POLL_S)
        finally:
            self._ownerless_waiting -= 1

    def _start_at_owner(
        self, call, tried, number: int, suffixes
    ) -> attempts.Attempt:
        candidates = self._list_candidates(call, tried)
        errors: list[exceptions.NotRunError] = []
        limit = call.target.concurrency
        queues_asked = 0
        while candidates and queues_asked < MAX_QUEUES_ASKED:
            replica = self._chooser.choose(candidates, limit, call.prefix)
            candidates.remove(replica)
            try:
                return self._acquire_slot(
                    call, replica, f'{number}.{next(suffixes)}'
                )
            except exceptions.NotRunError as error:
                errors.append(error)
                if not _is_owner_unreachable(error):
                    queues_asked += 1
                if call.deadline.has_passed:
                    break
        raise _select_refusal(errors)

    def _acquire_slot(self, call, replica, suffix: str) -> attempts.Attempt:
        key = replica.address, call.service.club
        remaining_s = call.deadline.remaining_s
        self._refusals.check(key, remaining_s)
        self._loads.record_start(replica.address)
        try:
            grant = self._slots.acquire(
                replica.domain,
                replica.address,
                call.service.club,
                ids.RequestId(f'{call.request_id}.{suffix}'),
                call.deadline,
            )
        except BaseException as error:
            self._loads.record_end(replica.address)
            if isinstance(error, exceptions.NotRunError):
                self._refusals.record(key, remaining_s, error)
            raise
        return attempts.Attempt(call, replica, grant, self._loads, self.health)

    def _start_without_owner(
        self, call, tried
    ) -> typing.Optional[attempts.Attempt]:
        """Starts a direct call without a slot if the limit allows it."""
        free = [
            replica
            for replica in self._list_candidates(call, tried)
            if self._direct_calls[replica.address] < DIRECT_LIMIT
        ]
        if not free or call.deadline.has_passed:
            return None
        replica = self._chooser.choose(free, DIRECT_LIMIT, call.prefix)
        self._direct_calls[replica.address] += 1
        _direct_total.labels(call.service.target).inc()

        def release(is_success: bool, seconds: float, tokens: int) -> None:
            self._direct_calls[replica.address] -= 1

        grant = grants.Grant(replica.address, ids.Incarnation(0), release)
        self._loads.record_start(replica.address)
        return attempts.Attempt(call, replica, grant, self._loads, self.health)

    def _list_candidates(self, call, tried) -> list[chooser.Replica]:
        """Lists usable replicas; those already tried only if none is left."""
        domains = {
            address: domain
            for domain, group in call.target.replicas.items()
            for address in group
        }
        if not domains:
            raise slots.refusal(
                outcomes.Cause.TARGET_DOWN,
                f'target {call.service.target} has no replica',
            )
        untried = [address for address in domains if address not in tried]
        usable = self.health.select_usable(untried or list(domains))
        return [chooser.Replica(domains[a], a) for a in usable]


class _SilentReplicaError(exceptions.MayHaveRunError):
    """Cancels an attempt whose retry is already charged to the budget."""


def _count_replicas(call: calls.Call) -> int:
    return sum(len(group) for group in call.target.replicas.values())


def _is_owner_unreachable(error: exceptions.NotRunError) -> bool:
    return error.cause == outcomes.Cause.OWNER_UNREACHABLE.value


def _select_refusal(
    errors: list[exceptions.NotRunError],
) -> exceptions.NotRunError:
    """Prefers a refusal by a queue to an unreachable owner."""
    for error in errors:
        if not _is_owner_unreachable(error):
            return error
    return errors[-1]
