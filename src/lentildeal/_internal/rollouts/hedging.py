"""Hedges of slow attempts, within a bound on extra tokens."""

from __future__ import annotations

import typing

from lentildeal._internal.models import ids
from lentildeal._internal.rollouts import entries
from lentildeal._internal.rollouts import ordering


class HedgeBudget:
    """Chooses hedges of one step and accounts for their tokens."""

    def __init__(self, predictor: ordering.LengthPredictor) -> None:
        self._predictor = predictor
        self._spent = 0.0
        self._started = 0

    @property
    def started(self) -> int:
        """Hedges started."""
        return self._started

    def find(
        self,
        attempts: typing.Iterable[entries.Attempt],
        address: typing.Optional[ids.ReplicaAddress],
        generated: int,
    ) -> typing.Optional[entries.Entry]:
        """Finds a sample to hedge that is within the bound.

        Args:
            attempts: Running attempts of the step.
            address: Replica that has a free slot, None for any.
            generated: Tokens that the step has generated.
        """
        entry = _find_slow(attempts, address)
        if entry is None or not ordering.may_spend_on_hedge(
            self._spent, self._predict(entry), generated, self._started == 0
        ):
            return None
        return entry

    def charge(self, entry: entries.Entry) -> None:
        """Accounts for a hedge that is started."""
        self._started += 1
        self._spent += self._predict(entry)

    def _predict(self, entry: entries.Entry) -> float:
        return self._predictor.predict(entry.group.prompt.group, entry.reached)


def _find_slow(
    attempts: typing.Iterable[entries.Attempt],
    address: typing.Optional[ids.ReplicaAddress],
) -> typing.Optional[entries.Entry]:
    """Finds the sample whose slow attempt another replica may repeat."""
    views = [
        ordering.AttemptView(
            number=attempt.number,
            address=attempt.address,
            observed_s=attempt.heard_s - attempt.started_s,
            tokens=attempt.tokens,
            is_alone=len(attempt.entry.attempts) == 1,
        )
        for attempt in attempts
    ]
    number = ordering.choose_hedge(views, address)
    for attempt in attempts:
        if attempt.number == number:
            return attempt.entry
    return None
