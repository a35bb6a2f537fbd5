"""Retry budgets of an entry daemon."""

from __future__ import annotations

import math
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.utils import clock

# Most retries of a club at a target, relative to its requests. Source: the
# retry budget of "Site Reliability Engineering", chapter 21, 2016.
RETRY_RATIO = 0.1
# Retries allowed at any rate of requests. When a replica crashes, about as
# many requests fail as its concurrency (8 by default).
RESERVE_RETRIES = 8.0
# Time window of the requests that count. A longer window allows a longer
# burst of retries when a target begins to fail after a time without failures.
WINDOW_S = 10.0


class RetryBudget:
    """Recent requests and retries, counted with exponential decay.

    Retries are at most the larger of the reserve and a tenth of the requests,
    not their sum.
    """

    def __init__(
        self, now: typing.Callable[[], float] = clock.monotonic_s
    ) -> None:
        self._now = now
        self._requests = 0.0
        self._retries = 0.0
        self._updated_s = now()

    def record_request(self) -> None:
        """Records a request; its retries are not recorded."""
        self._decay()
        self._requests += 1.0

    def try_spend(self) -> bool:
        """Spends one retry if the budget has one."""
        self._decay()
        allowed = max(RESERVE_RETRIES, RETRY_RATIO * self._requests)
        if self._retries + 1.0 > allowed:
            return False
        self._retries += 1.0
        return True

    def _decay(self) -> None:
        now_s = self._now()
        factor = math.exp((self._updated_s - now_s) / WINDOW_S)
        self._requests *= factor
        self._retries *= factor
        self._updated_s = now_s


class RetryBudgets:
    """One budget for each club and target."""

    def __init__(self) -> None:
        self._budgets: dict[
            tuple[ids.ClubName, ids.TargetName], RetryBudget
        ] = {}

    def get(self, club: ids.ClubName, target: ids.TargetName) -> RetryBudget:
        """Returns the budget of a club at a target."""
        key = club, target
        if key not in self._budgets:
            self._budgets[key] = RetryBudget()
        return self._budgets[key]


def may_retry(
    *,
    is_idempotent: bool,
    were_bytes_sent: bool,
    was_delivered: bool,
    deadline: clock.Deadline,
) -> bool:
    """Whether a failed attempt may be retried.

    Args:
        is_idempotent: Whether the work may run twice.
        were_bytes_sent: Whether any byte was passed to a connection.
        was_delivered: Whether the caller has received part of the response.
        deadline: Deadline of the request.
    """
    if was_delivered or deadline.has_passed:
        return False
    return is_idempotent or not were_bytes_sent
