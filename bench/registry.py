"""Registry of measures and the form of their results."""

from __future__ import annotations

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Result:
    """Outcome of one measure.

    Attributes:
        value: What was measured.
        unit: Unit of value, baseline and bound; "ratio" for a ratio.
        baseline: The same figure of the alternative, measured in the same
            run, None without one.
        bound: Limit from the stated target, None without one.
        is_upper: Whether the value must stay at or below the bound.
        note: What the baseline is.
    """

    value: float
    unit: str
    baseline: typing.Optional[float] = None
    bound: typing.Optional[float] = None
    is_upper: bool = True
    note: str = ''

    @property
    def is_met(self) -> typing.Optional[bool]:
        """Whether the bound is kept, None without a bound."""
        if self.bound is None:
            return None
        if self.is_upper:
            return self.value <= self.bound
        return self.value >= self.bound


Measure = typing.Callable[[], typing.Iterable[tuple[str, Result]]]

measures: dict[str, Measure] = {}


def measure(name: str) -> typing.Callable[[Measure], Measure]:
    """Registers a measure, which yields names and results."""

    def add(function: Measure) -> Measure:
        measures[name] = function
        return function

    return add
