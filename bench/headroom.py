"""Benchmark of live calls and rollouts that share the slots of a replica.

It simulates arrivals and service times from a fixed seed and a fake clock, on
the real slot queue.
"""

from __future__ import annotations

import heapq
import itertools
import random
import typing

from bench import registry
from lentildeal._internal.models import outcomes
from lentildeal._internal.routing import limits
from lentildeal._internal.routing import slots
from lentildeal._internal.utils import clock

SEED = 9
LIMIT = 16
LIVE_PER_S = 4.0
LIVE_S = 0.5
ROLLOUT_S = 60.0
TOKENS_PER_S = 100.0
DURATION_S = 2000.0
# Number of rollouts that wait for a slot at any time.
BACKLOG = 4


class SimulatedClock:
    """Clock of the simulation, in seconds."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


class GreedyQueue(slots.SlotQueue):
    """Baseline: rollouts use all slots that no live call waits for."""

    def rollout_limit(self) -> int:
        return self.limit


def run(make_queue: typing.Callable) -> tuple[float, float]:
    """Simulates a queue.

    Returns:
        Share of live calls that waited, and mean slots used by rollouts.
    """
    generator = random.Random(SEED)
    sim_clock = SimulatedClock()
    queue = make_queue(
        limits.AdaptiveLimit(LIMIT, sim_clock),
        lambda club: 1.0,
        10_000,
        sim_clock,
    )
    events: list = []
    numbers = itertools.count()
    pending: list[slots.SlotRequest] = []
    waited = calls = 0
    slot_seconds = last_s = 0.0

    def push(delay_s: float, ticket) -> None:
        item = (sim_clock.now_s + delay_s, next(numbers), ticket)
        heapq.heappush(events, item)

    def start_granted() -> None:
        for ticket in list(pending):
            if ticket.state is slots.RequestState.GRANTED:
                pending.remove(ticket)
                is_live = ticket.work_class is outcomes.WorkClass.LIVE
                mean_s = LIVE_S if is_live else ROLLOUT_S
                push(generator.expovariate(1 / mean_s), ticket)
        while sum(_is_rollout(t) for t in pending) < BACKLOG:
            pending.append(queue.enqueue_rollout())

    push(0.0, None)
    while events and sim_clock.now_s < DURATION_S:
        at_s, _, ticket = heapq.heappop(events)
        running = queue.in_flight_of(outcomes.WorkClass.ROLLOUT)
        slot_seconds += running * (at_s - last_s)
        sim_clock.now_s = last_s = at_s
        if ticket is None:
            push(generator.expovariate(LIVE_PER_S), None)
            live = queue.enqueue_live('c', clock.Deadline(1e6))
            pending.append(live)
            calls += 1
            waited += live.state is slots.RequestState.WAITING
        else:
            seconds = sim_clock.now_s - ticket.granted_at_s
            tokens = seconds * TOKENS_PER_S
            queue.release(ticket, seconds=seconds, cost=tokens, units=tokens)
        start_granted()
    return waited / calls, slot_seconds / sim_clock.now_s


def _is_rollout(ticket: slots.SlotRequest) -> bool:
    return ticket.work_class is outcomes.WorkClass.ROLLOUT


@registry.benchmark('headroom')
def measure_headroom() -> typing.Iterable[tuple[str, registry.Result]]:
    """Share of live calls that wait, and slots that rollouts use."""
    waited, slots_used = run(slots.SlotQueue)
    greedy_waited, greedy_slots = run(GreedyQueue)
    note = 'rollouts without headroom'
    yield (
        'headroom.live-calls-that-wait',
        registry.Result(waited, 'ratio', greedy_waited, note=note),
    )
    yield (
        'headroom.slots-of-rollouts',
        registry.Result(slots_used, 'slots', greedy_slots, note=note),
    )
