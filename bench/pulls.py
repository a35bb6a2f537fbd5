"""Benchmark of the coordinator's CPU time for one step of 4,096 samples.

Run with ``python -m bench.pulls``. Owners pull samples for their replicas; it
simulates 430 replicas of 350 owners.
"""

import time

from lentildeal._internal.models import samples
from lentildeal._internal.rollouts import entries
from lentildeal._internal.rollouts import ordering
from lentildeal._internal.rollouts import steps

GROUPS = 512
GROUP_SIZE = 8
OWNERS = 350
REPLICAS = 430
US_PER_S = 1e6


def make_state() -> steps.StepState:
    """A step of which no sample has been assigned yet."""
    plan = entries.StepPlan(
        trainer='t',
        step=1,
        prompts=tuple(samples.Prompt(f'g{n}', 'p') for n in range(GROUPS)),
        group_size=GROUP_SIZE,
        max_tokens=1024,
        received=frozenset(),
        staleness_bound=1,
        staleness_weight=0.5,
        is_scored=False,
    )
    return steps.StepState(plan, 0, ordering.LengthPredictor())


def main() -> None:
    """Prints the mean CPU time of a pull and of a result."""
    state, total = make_state(), GROUPS * GROUP_SIZE
    started_s = time.process_time()
    for number in range(total):
        owner, replica = f'i{number % OWNERS}', f'r{number % REPLICAS}'
        state.pull(owner, replica, 0, number * 0.001, REPLICAS)
    pulled_s = time.process_time()
    segments = (samples.Segment(0, 0, 100),)
    for number in range(total):
        owner = f'i{number % OWNERS}'
        state.complete(number + 1, owner, '', segments, 10.0)
        state.take_delivery()
    done_s = time.process_time()
    print(f'pull: {(pulled_s - started_s) / total * US_PER_S:.0f} us')
    print(f'result: {(done_s - pulled_s) / total * US_PER_S:.0f} us')


if __name__ == '__main__':
    main()
