"""Benchmark of replica choice with late load reports.

It simulates the replica chooser and simple policies with the same arrivals
and service times; replicas are plain counters. Daemons learn a replica's load
only from its responses, one second late.
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
# Mean utilization of the slots, and mean service time.
UTILIZATION = 0.8
SERVICE_S = 0.5
REPORT_DELAY_S = 1.0
DURATION_S = 60.0


class SimulatedClock:
    """Clock of the simulation, in seconds."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


class ReplicaChooserPolicy:
    """The replica chooser of one daemon."""

    def __init__(
        self, sim_clock: SimulatedClock, generator: random.Random
    ) -> None:
        self.loads = chooser.LoadTracker(sim_clock)
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
    """Baseline: replicas in turn."""

    def __init__(
        self, sim_clock: SimulatedClock, generator: random.Random
    ) -> None:
        self._cycle = itertools.cycle(range(REPLICAS))
        for _ in range(generator.randrange(REPLICAS)):
            next(self._cycle)

    def choose(self) -> int:
        return next(self._cycle)

    def begin(self, replica: int) -> None:
        pass

    def end(self, replica: int) -> None:
        pass

    def report(self, replica: int, load: int) -> None:
        pass


class LeastReported(RoundRobin):
    """Baseline: the replica with the least load in the latest reports."""

    def __init__(
        self, sim_clock: SimulatedClock, generator: random.Random
    ) -> None:
        self._random = generator
        self._reported = dict.fromkeys(range(REPLICAS), 0)

    def choose(self) -> int:
        least = min(self._reported.values())
        best = [r for r, load in self._reported.items() if load == least]
        return self._random.choice(best)

    def report(self, replica: int, load: int) -> None:
        self._reported[replica] = load


def run_policy(make_policy: typing.Callable) -> tuple[float, float]:
    """Simulates a policy.

    Returns:
        Longest and mean number of calls that wait at a replica.
    """
    generator = random.Random(SEED)
    sim_clock = SimulatedClock()
    daemons = [
        make_policy(sim_clock, random.Random(n)) for n in range(DAEMONS)
    ]
    loads = collections.Counter()
    queues = [collections.deque() for _ in range(REPLICAS)]
    events: list = []
    numbers = itertools.count()
    longest, weighted_sum, last_s = 0, 0.0, 0.0

    def push(delay_s: float, kind: str, *values: int) -> None:
        heapq.heappush(
            events, (sim_clock.now_s + delay_s, next(numbers), kind, values)
        )

    rate = UTILIZATION * REPLICAS * LIMIT / SERVICE_S
    push(0.0, 'arrive')
    while events:
        at_s, _, kind, values = heapq.heappop(events)
        waiting = sum(max(0, load - LIMIT) for load in loads.values())
        weighted_sum += waiting * (at_s - last_s)
        sim_clock.now_s = last_s = at_s
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
            push(REPORT_DELAY_S, 'report', daemon, replica, loads[replica])
        else:
            daemon, replica, load = values
            daemons[daemon].report(replica, load)
    return float(longest), weighted_sum / DURATION_S / REPLICAS


@registry.benchmark('late-reports')
def measure_late_reports() -> typing.Iterable[tuple[str, registry.Result]]:
    """Queues when load reports are one second late."""
    chooser_result = run_policy(ReplicaChooserPolicy)
    for name, policy in (
        ('round robin', RoundRobin),
        ('least reported load', LeastReported),
    ):
        baseline_result = run_policy(policy)
        label = name.replace(' ', '-')
        for index, figure in enumerate(('longest', 'mean')):
            yield (
                f'late-reports.{figure}-queue-vs-{label}',
                registry.Result(
                    chooser_result[index],
                    'requests',
                    baseline_result[index],
                    note=name,
                ),
            )
