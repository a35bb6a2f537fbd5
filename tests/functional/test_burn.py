"""Tests of the service-level report of real daemons."""

from tests.lib import federation
from tests.lib import processes
from tests.lib import rollouts


def count_steps(daemon):
    """Returns the number of steps that the report counts."""
    path = '/v1/reports/burn?scope=federation'
    _, report = daemon.call('GET', path)
    trainers = report['clubs']['c']['trainers']
    return trainers[rollouts.TRAINER]['on_time']['budget']['total']


def test_ended_steps_count_for_the_trainers_objective():
    """Guards against reports that omit the steps of the trainers."""
    with federation.Federation() as fed:
        rollouts.start_pool(fed, counts={'a': 1})
        daemons = fed.add_daemons({'a': 2})
        trainer = fed.start_trainer('t', 'm', '--steps', 2)
        rollouts.assert_promises(rollouts.wait_until_done(trainer))
        processes.wait_for(
            lambda: count_steps(daemons[0]) == 2, 'both steps are counted'
        )
