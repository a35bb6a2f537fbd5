"""Choice of replicas with late load reports, against simple policies.

The policies run on the same arrivals and service times; replicas are plain
counters. Daemons learn a replica's load only from answers, one second late.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import random
import typing

from bench import registry
from lentildeal._internal.routing import chooser

SEED = 5
DAEMONS = 16
REPLICAS = 12
LIMIT = 8
# Load of the replicas; mean service time in seconds.
UTILIZATION = 0.8
SERVICE_S = 0.5
REPORT_LATE_S = 1.0
DURATION_S = 60.0


class Time:
    """Time of the run, in seconds."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


class Ours:
    """The chooser of one daemon, with late reports."""

    def __init__(self, time: Time, generator: random.Random) -> None:
        self.loads = chooser.LoadTracker(time)
        self._chooser = chooser.ReplicaChooser(
            'a', self.loads, generator=generator
        )
        self._replicas = [
            chooser.Replica('a', f'{n}') for n in range(REPLICAS)
        ]

    def choose(self) -> int:
        return int(self._chooser.choose(self._replicas, LIMIT).address)

    def begin(self, replica: int) -> None:
        self.loads.record_start(f'{replica}')

    def end(self, replica: int) -> None:
        self.loads.record_end(f'{replica}')

    def report(self, replica: int, load: int) -> None:
        running = min(load, LIMIT)
        waiting = load - running
        self.loads.record_report(
            f'{replica}', chooser.ReplicaLoad(running, waiting, LIMIT)
        )


class RoundRobin:
    """Replicas in turn."""

    def __init__(self, time: Time, generator: random.Random) -> None:
        self._turns = itertools.cycle(range(REPLICAS))
        for _ in range(generator.randrange(REPLICAS)):
            next(self._turns)

    def choose(self) -> int:
        return next(self._turns)

    def begin(self, replica: int) -> None:
        pass

    def end(self, replica: int) -> None:
        pass

    def report(self, replica: int, load: int) -> None:
        pass


class LeastReported(RoundRobin):
    """The replica with the least load in the latest reports."""

    def __init__(self, time: Time, generator: random.Random) -> None:
        self._random = generator
        self._reported = dict.fromkeys(range(REPLICAS), 0)

    def choose(self) -> int:
        least = min(self._reported.values())
        best = [r for r, load in self._reported.items() if load == least]
        return self._random.choice(best)

    def report(self, replica: int, load: int) -> None:
        self._reported[replica] = load


def run_policy(make: typing.Callable) -> tuple[float, float]:
    """Returns the longest and the mean queue behind the slots."""
    generator = random.Random(SEED)
    time = Time()
    daemons = [make(time, random.Random(n)) for n in range(DAEMONS)]
    loads = collections.Counter()
    queues = [collections.deque() for _ in range(REPLICAS)]
    events: list = []
    numbers = itertools.count()
    longest, weighted, last_s = 0, 0.0, 0.0

    def push(delay_s: float, kind: str, *values: int) -> None:
        heapq.heappush(
            events, (time.now_s + delay_s, next(numbers), kind, values)
        )

    rate = UTILIZATION * REPLICAS * LIMIT / SERVICE_S
    push(0.0, 'arrive')
    while events:
        at_s, _, kind, values = heapq.heappop(events)
        waiting = sum(max(0, load - LIMIT) for load in loads.values())
        weighted += waiting * (at_s - last_s)
        time.now_s = last_s = at_s
        if at_s > DURATION_S:
            break
        if kind == 'arrive':
            push(generator.expovariate(rate), 'arrive')
            daemon = generator.randrange(DAEMONS)
            replica = daemons[daemon].choose()
            daemons[daemon].begin(replica)
            loads[replica] += 1
            longest = max(longest, loads[replica] - LIMIT)
            service_s = generator.expovariate(1 / SERVICE_S)
            if loads[replica] <= LIMIT:
                push(service_s, 'end', daemon, replica)
            else:
                queues[replica].append((daemon, service_s))
        elif kind == 'end':
            daemon, replica = values
            loads[replica] -= 1
            daemons[daemon].end(replica)
            if queues[replica]:
                waiter, service_s = queues[replica].popleft()
                push(service_s, 'end', waiter, replica)
            push(REPORT_LATE_S, 'report', daemon, replica, loads[replica])
        else:
            daemon, replica, load = values
            daemons[daemon].report(replica, load)
    return float(longest), weighted / DURATION_S / REPLICAS


@registry.measure('late-reports')
def measure_late_reports() -> typing.Iterable[tuple[str, registry.Result]]:
    """Queues when load reports are one second late."""
    ours = run_policy(Ours)
    for name, policy in (
        ('round robin', RoundRobin),
        ('least reported load', LeastReported),
    ):
        other = run_policy(policy)
        label = name.replace(' ', '-')
        for index, figure in enumerate(('longest', 'mean')):
            yield (
                f'late-reports.{figure}-queue-vs-{label}',
                registry.Result(
                    ours[index], 'requests', other[index], note=name
                ),
            )
