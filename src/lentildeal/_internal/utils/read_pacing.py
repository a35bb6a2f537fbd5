"""Intervals between reads of a shared store that limits its calls."""

from __future__ import annotations

import contextlib
import random
import typing

import eventlet

from lentildeal._internal.utils import wakeup

# Growth of the interval after a throttled read. All daemons share the limit,
# so each of them reduces its rate (multiplicative decrease).
THROTTLED_INTERVAL_FACTOR = 1.5
# Reduction of the interval after a response. Ten responses offset one
# throttled read, so that about one call in ten is throttled at the limit.
RESPONSE_INTERVAL_FACTOR = 0.96


class ReadDemand:
    """Whether something in this daemon needs records as soon as they exist.

    Most daemons of a large deployment hold no lease and have no caller that
    waits for a result. These read less often.
    """

    def __init__(self) -> None:
        self._holders = 0
        self._started = wakeup.Wakeup()

    @property
    def is_present(self) -> bool:
        """Whether records are needed at once."""
        return self._holders > 0

    @contextlib.contextmanager
    def hold(self) -> typing.Iterator[None]:
        """Demands records within the context."""
        self.add()
        try:
            yield
        finally:
            self.remove()

    def add(self) -> None:
        """Starts to demand records."""
        self._holders += 1
        self._started.set()

    def remove(self) -> None:
        """Ends a demand that ``add`` started."""
        self._holders -= 1

    def wait_for_start(self, timeout_s: float) -> None:
        """Waits until a demand starts, at most for a time."""
        if not self.is_present:
            self._started.wait(timeout_s)


class ReadPacer:
    """Read interval that grows while the store throttles reads.

    Every append wakes all readers, so the rate of reads grows with the number
    of daemons and appends, which no daemon knows.
    """

    def __init__(
        self,
        min_interval_s: float,
        max_interval_s: float,
        demand: typing.Optional[ReadDemand] = None,
        idle_interval_s: float = 0.0,
    ) -> None:
        self._min_interval_s = min_interval_s
        self._max_interval_s = max_interval_s
        self._interval_s = min_interval_s
        self._demand = demand
        self._idle_interval_s = idle_interval_s

    def wait(self) -> None:
        """Waits until the next read is due.

        A demand that starts meanwhile ends the longer wait of an idle daemon.
        """
        interval_s = self.next_interval_s()
        eventlet.sleep(interval_s)
        if self._demand is not None:
            idle_s = self._idle_interval_s * random.uniform(0.8, 1.2)
            self._demand.wait_for_start(max(0.0, idle_s - interval_s))

    def next_interval_s(self) -> float:
        """Returns the time until the next read, in seconds."""
        # Jitter spreads the reads of daemons that were woken together.
        return self._interval_s * random.uniform(0.8, 1.2)

    def record_response(self) -> None:
        """Records a read that got a response."""
        self._interval_s = max(
            self._min_interval_s, RESPONSE_INTERVAL_FACTOR * self._interval_s
        )

    def record_throttling(self) -> None:
        """Records a read that the store throttled."""
        self._interval_s = min(
            self._max_interval_s, THROTTLED_INTERVAL_FACTOR * self._interval_s
        )
