"""Benchmark of staleness and step time by the trainer's staleness weight.

Run with ``python -m bench.staleness``. Engines and trainer are stand-ins with
a fixed seed; a version is published every 2 s and the staleness bound is 2.
"""

import statistics

from tests.lib import federation
from tests.lib import rollouts

WEIGHTS = (0.0, 0.5, 1.0)
ENGINE = ('--median-tokens', 80, '--sigma', 0.7, '--base-ms', 10)
TRAINER = ('--steps', 6, '--groups', 8, '--train-ms', 200, '--bound', 2)
PUBLISH = ('--publish', 'every', '--publish-s', 2.0)
TIMEOUT_S = 120.0


def measure(weight: float) -> tuple[float, float]:
    """Mean staleness in versions and mean step time in seconds."""
    with federation.Federation() as running_federation:
        rollouts.start_pool(
            running_federation,
            *ENGINE,
            staleness_weight=weight,
            staleness_bound=2,
        )
        running_federation.add_daemons({'a': 2, 'b': 2})
        trainer = running_federation.start_trainer(
            't', 'm', *TRAINER, *PUBLISH
        )
        journal = rollouts.wait_until_done(trainer, TIMEOUT_S)
        rollouts.assert_promises(journal)
        seconds = [step['seconds'] for step in journal['steps']]
        return journal['mean_staleness'], statistics.fmean(seconds)


def main() -> None:
    """Prints one line for each weight; times relative to the first."""
    first_s = None
    for weight in WEIGHTS:
        staleness, step_s = measure(weight)
        first_s = first_s or step_s
        print(
            f'weight {weight}: mean staleness {staleness:.2f},'
            f' step time {step_s / first_s:.2f} of that at weight 0'
        )


if __name__ == '__main__':
    main()
