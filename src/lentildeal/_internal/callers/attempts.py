"""One attempt at a call: the slot it holds and how its end is reported."""

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

# Lowest HTTP status that means a fault of the target, not of the request.
MIN_FAULT_STATUS = 500
# An error with less time than this left is attributed to the deadline.
DEADLINE_MARGIN_S = 0.02
# At the deadline, a replica that was silent for less than this has not failed.
MIN_SILENCE_S = 0.5


class Attempt:
    """Holds a slot and reports the end of the attempt exactly once."""

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

    def end_succeeded(self) -> None:
        """Reports a complete response."""
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
        """Whether the attempt takes far longer than calls usually do."""
        seconds = clock.monotonic_s() - self._started_s
        return self._health.is_overdue(
            self.replica.address, seconds, self._addresses
        )

    def end_cancelled(self) -> None:
        """Reports a cancelled attempt, which leaves health unchanged."""
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
        """Whether an error counts as a failure of the replica."""
        if isinstance(error, exceptions.RanAndFailedError):
            return error.status >= MIN_FAULT_STATUS
        if isinstance(error, exceptions.TruncatedAnswerError):
            return True
        if isinstance(error, exceptions.NotRunError):
            if error.cause != outcomes.Cause.TARGET_DOWN.value:
                return False
        if self._call.deadline.remaining_s > DEADLINE_MARGIN_S:
            return True
        # A short deadline is not a failure of the replica, and neither is a
        # pause of this daemon during which several calls expire.
        seconds = clock.monotonic_s() - self._started_s
        return seconds >= MIN_SILENCE_S and self.is_overdue()

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
