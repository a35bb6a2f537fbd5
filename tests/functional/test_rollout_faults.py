"""Rollouts in a federation under combined failures."""

import signal

import pytest

from tests.lib import builders
from tests.lib import federation
from tests.lib import processes

DOMAINS = {'a': 2, 'b': 2}
STEPS = 3


@pytest.fixture(name='fed')
def start_federation():
    """Starts two domains with two daemons and two engines each."""
    with federation.Federation() as fed:
        fed.engines = fed.start_engines(
            DOMAINS, '--median-tokens', 60, '--sigma', 0.8, '--fencing'
        )
        target = builders.make_engine_target(
            'm',
            federation.list_addresses(fed.engines),
            checks_fencing=True,
        )
        trainer = {
            'club': 'c',
            'model': 'm',
            'group_size': 4,
            'samples_per_step': 48,
            'staleness_bound': 1,
        }
        fed.publish(builders.make_text({'e': target}, trainers={'t': trainer}))
        fed.add_daemons(DOMAINS)
        yield fed


@pytest.fixture(name='trainer')
def make_trainer(fed):
    """Starts a trainer that gets new weights in the middle of each step."""
    return fed.start_trainer(
        't',
        'm',
        *('--steps', STEPS, '--groups', 12, '--group-size', 4),
        *('--publish', 'middle', '--train-ms', 300, '--silence-s', 4),
    )


def wait_for_partial_step(fed, trainer):
    """Waits until a step is partly delivered; returns its coordinator."""

    def find_coordinator():
        state = trainer.call('GET', '/state')[1]
        if state['held'] >= 4:
            return next(
                (
                    daemon
                    for daemon in fed.daemons.values()
                    if daemon.address == state['attached']
                ),
                None,
            )
        return None

    return processes.wait_for(find_coordinator, 'a step that is partly read')


def check_all_delivered(trainer):
    """Checks that each sample came once, correctly labelled and not stale."""
    processes.wait_for(
        lambda: trainer.call('GET', '/state')[1]['state'] != 'running',
        'all steps',
        limit_s=120,
    )
    journal = trainer.read_journal()
    faults = ('duplicates', 'missing', 'foreign', 'mislabelled', 'over_stale')
    assert {name: journal[name] for name in faults} == dict.fromkeys(
        faults, []
    )
    assert (journal['state'], journal['asked']) == ('done', STEPS * 48)


def test_paused_coordinator(fed, trainer):
    """Guards against a resumed coordinator that delivers samples again."""
    paused = wait_for_partial_step(fed, trainer)
    paused.signal(signal.SIGSTOP)
    processes.wait_for(
        lambda: (
            trainer.call('GET', '/state')[1]['attached']
            not in ('', paused.address)
        ),
        'another coordinator',
    )
    paused.signal(signal.SIGCONT)
    check_all_delivered(trainer)


def test_coordinator_dies_during_log_outage(fed, trainer):
    """Attaching to another daemon works without the log."""
    coordinator = wait_for_partial_step(fed, trainer)
    fed.log.set_faults(down=True)
    coordinator.kill()
    check_all_delivered(trainer)


def test_domain_dies_and_an_engine_returns_with_old_weights(fed, trainer):
    """The other domain takes over replicas, step and orders."""
    wait_for_partial_step(fed, trainer)
    for name in ('a1', 'a2'):
        fed.daemons[name].kill()
    engine = fed.engines['a'][0]
    engine.kill()
    fed.start_stand_in(
        'engine',
        *('--weights', fed.weights.url, '--fencing'),
        port=engine.port,
    )
    check_all_delivered(trainer)
