"""Registry of benchmarks and the class of their results."""

from __future__ import annotations

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of one benchmark.

    Attributes:
        value: Measured value.
        unit: Unit of value, baseline and bound; "ratio" for a ratio.
        baseline: Value of the alternative, measured in the same run; None
            without one.
        bound: Limit that the target sets for the value; None without one.
        is_upper: Whether the value must stay at or below the bound.
        note: Description of the baseline.
    """

    value: float
    unit: str
    baseline: typing.Optional[float] = None
    bound: typing.Optional[float] = None
    is_upper: bool = True
    note: str = ''

    @property
    def is_met(self) -> typing.Optional[bool]:
        """Whether the value meets the bound; None without a bound."""
        if self.bound is None:
            return None
        if self.is_upper:
            return self.value <= self.bound
        return self.value >= self.bound


Benchmark = typing.Callable[[], typing.Iterable[tuple[str, Result]]]

benchmarks: dict[str, Benchmark] = {}


def benchmark(name: str) -> typing.Callable[[Benchmark], Benchmark]:
    """Registers a benchmark, which yields labels and results."""

    def add(function: Benchmark) -> Benchmark:
        benchmarks[name] = function
        return function

    return add
