"""Hedging of slow attempts, with a limit on the extra tokens."""

from __future__ import annotations

import collections
import typing

import prometheus_client

from lentildeal._internal.models import ids
from lentildeal._internal.rollouts import entries
from lentildeal._internal.rollouts import ordering

# Number of finished attempts whose rate is compared with.
MAX_FINISHED_RATES = 64

_hedges_total = prometheus_client.Counter(
    'lentildeal_rollout_hedges_total',
    'Attempts started to hedge a slow one.',
)


class HedgeBudget:
    """Chooses hedges of one step within a budget of tokens."""

    def __init__(
        self, predictor: ordering.LengthPredictor, group_size: int
    ) -> None:
        self._group_size = group_size
        self._predictor = predictor
        self._spent_tokens = 0.0
        self._finished_rates: collections.deque[float] = collections.deque(
            maxlen=MAX_FINISHED_RATES
        )

    def record_finished(self, attempt: entries.Attempt, now_s: float) -> None:
        """Records the rate of an attempt that has finished."""
        duration_s = max(now_s - attempt.started_s, 0.001)
        self._finished_rates.append(attempt.tokens / duration_s)

    def find_candidate(
        self,
        attempts: typing.Iterable[entries.Attempt],
        address: typing.Optional[ids.ReplicaAddress],
        generated: int,
    ) -> typing.Optional[entries.Attempt]:
        """Finds an attempt to hedge whose cost is within the budget.

        Args:
            attempts: Running attempts of the step.
            address: Replica that has a free slot, None for any.
            generated: Tokens that the step has generated.
        """
        attempt = _find_slow(attempts, address, self._finished_rates)
        if attempt is None or not ordering.may_spend_on_hedge(
            self._spent_tokens,
            self._estimate_cost(attempt),
            generated,
            self._group_size * self._predict(attempt.entry),
        ):
            return None
        return attempt

    def record_hedge(self, attempt: entries.Attempt) -> None:
        """Charges the cost of a hedge that is being started."""
        _hedges_total.inc()
        self._spent_tokens += self._estimate_cost(attempt)

    def _estimate_cost(self, attempt: entries.Attempt) -> float:
        return ordering.estimate_hedge_cost(
            attempt.tokens, self._predict(attempt.entry)
        )

    def _predict(self, entry: entries.Entry) -> float:
        return self._predictor.predict(
            entry.group.prompt.group, entry.reached_tokens
        )


def _find_slow(
    attempts: typing.Iterable[entries.Attempt],
    address: typing.Optional[ids.ReplicaAddress],
    finished_rates: typing.Sequence[float],
) -> typing.Optional[entries.Attempt]:
    """Finds the slow attempt that another replica may hedge."""
    stats = [
        ordering.AttemptStats(
            number=attempt.number,
            address=attempt.address,
            observed_s=attempt.last_report_s - attempt.started_s,
            tokens=attempt.tokens,
            is_only_attempt=len(attempt.entry.attempts) == 1,
        )
        for attempt in attempts
    ]
    number = ordering.choose_hedge(stats, address, finished_rates)
    for attempt in attempts:
        if attempt.number == number:
            return attempt
    return None
