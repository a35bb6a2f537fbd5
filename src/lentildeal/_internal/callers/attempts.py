"""One attempt: a slot, a call of the replica, and its bookkeeping."""

from __future__ import annotations

import typing

from lentildeal._internal.callers import calls
from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.models import outcomes
from lentildeal._internal.models import text as text_module
from lentildeal._internal.routing import chooser
from lentildeal._internal.routing import grants
from lentildeal._internal.routing import health as health_module
from lentildeal._internal.utils import clock

# HTTP statuses by which a target says that it, not the request, is at fault.
FIRST_FAULT_STATUS = 500
# Errors this close to the deadline come from the deadline.
NEAR_DEADLINE_S = 0.02
# Shorter waits for an answer never speak against a replica.
SHORTEST_SILENCE_S = 0.5


class Attempt:
    """Holds a slot and reports the end of the work exactly once."""

    def __init__(
        self,
        call: calls.Call,
        replica: chooser.Replica,
        grant: grants.Grant,
        loads: chooser.LoadTracker,
        health: health_module.HealthTracker,
    ) -> None:
        self.replica = replica
        self.usage = calls.Usage()
        self._call = call
        self._grant = grant
        self._loads = loads
        self._health = health
        self._started_s = clock.monotonic_s()
        self._is_open = True
        health.record_start(replica.address)

    @property
    def _addresses(self) -> list[ids.ReplicaAddress]:
        replicas = self._call.target.replicas.values()
        return [address for group in replicas for address in group]

    def end_whole(self) -> None:
        """Reports a whole answer."""
        seconds = clock.monotonic_s() - self._started_s
        units = max(1, self.usage.tokens) if self._is_engine() else 1
        if self._close(None, seconds):
            self._health.record_success(
                self.replica.address,
                seconds / units,
                self._addresses,
                seconds,
            )

    def is_overdue(self) -> bool:
        """Whether the replica takes far longer than calls usually do."""
        seconds = clock.monotonic_s() - self._started_s
        return self._health.is_overdue(
            self.replica.address, seconds, self._addresses
        )

    def end_given_up(self) -> None:
        """Reports that the caller has gone, which says nothing else."""
        self._close(None, 0.0)

    def end_failed(self, error: BaseException) -> None:
        """Reports the error that ended the attempt."""
        is_fault = self._is_fault(error)
        outcome = outcomes.Outcome.MAY_HAVE_RUN if is_fault else None
        if self._close(outcome, 0.0) and is_fault:
            self._health.record_failure(self.replica.address, self._addresses)

    def _is_engine(self) -> bool:
        return self._call.target.kind is text_module.TargetKind.ENGINE

    def _is_fault(self, error: BaseException) -> bool:
        """Whether an error speaks against the replica."""
        if isinstance(error, exceptions.RanAndFailedError):
            return error.status >= FIRST_FAULT_STATUS
        if isinstance(error, exceptions.TruncatedAnswerError):
            return True
        if isinstance(error, exceptions.NotRunError):
            if error.cause != outcomes.Cause.TARGET_DOWN.value:
                return False
        if self._call.deadline.remaining_s > NEAR_DEADLINE_S:
            return True
        # A caller's short deadline is no fault of the replica, and neither
        # is a pause of this daemon that ends several calls at once.
        seconds = clock.monotonic_s() - self._started_s
        return seconds >= SHORTEST_SILENCE_S and self.is_overdue()

    def _close(
        self, outcome: typing.Optional[outcomes.Outcome], seconds: float
    ) -> bool:
        if not self._is_open:
            return False
        self._is_open = False
        self._loads.record_end(self.replica.address)
        self._health.record_end(self.replica.address)
        self._grant.release(outcome, seconds, self.usage.tokens)
        return True
