"""Rollouts of a whole federation under combined failures."""

import signal

import pytest

from tests.lib import builders
from tests.lib import federation
from tests.lib import processes

DOMAINS = {'a': 2, 'b': 2}
STEPS = 3


@pytest.fixture(name='world')
def make_world():
    """Two domains with two daemons and two engines each."""
    with federation.Federation() as world:
        world.engines = world.start_engines(
            DOMAINS, '--median-tokens', 60, '--sigma', 0.8, '--fencing'
        )
        target = builders.make_engine_target(
            'm',
            federation.list_addresses(world.engines),
            checks_fencing=True,
        )
        trainer = {
            'club': 'c',
            'model': 'm',
            'group_size': 4,
            'samples_per_step': 48,
            'staleness_bound': 1,
        }
        world.publish(
            builders.make_text({'e': target}, trainers={'t': trainer})
        )
        world.add_daemons(DOMAINS)
        yield world


@pytest.fixture(name='trainer')
def make_trainer(world):
    """Trainer that gets new weights in the middle of each step."""
    return world.start_trainer(
        't',
        'm',
        *('--steps', STEPS, '--groups', 12, '--group-size', 4),
        *('--publish', 'middle', '--train-ms', 300, '--silence-s', 4),
    )


def wait_for_middle(world, trainer):
    """Waits until a step is partly read; returns its coordinator."""

    def find():
        state = trainer.call('GET', '/state')[1]
        if state['held'] >= 4:
            return next(
                (
                    daemon
                    for daemon in world.daemons.values()
                    if daemon.address == state['attached']
                ),
                None,
            )
        return None

    return processes.wait_for(find, 'a step that is partly read')


def check_all_delivered(trainer):
    """Waits for the end; every sample came once, true and fresh."""
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


def test_paused_coordinator(world, trainer):
    """A coordinator that wakes must not deliver samples a second time."""
    paused = wait_for_middle(world, trainer)
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


def test_coordinator_dies_during_log_outage(world, trainer):
    """Attaching elsewhere must not need the log."""
    coordinator = wait_for_middle(world, trainer)
    world.log.set_faults(down=True)
    coordinator.kill()
    check_all_delivered(trainer)


def test_domain_dies_and_an_engine_returns_with_old_weights(world, trainer):
    """The other domain must take over replicas, step and orders."""
    wait_for_middle(world, trainer)
    for name in ('a1', 'a2'):
        world.daemons[name].kill()
    engine = world.engines['a'][0]
    engine.kill()
    world.start_stand_in(
        'engine',
        *('--weights', world.weights.url, '--fencing'),
        port=engine.port,
    )
    check_all_delivered(trainer)
