"""Scored items of jobs, with faults of the scoring service and of daemons."""

import signal

import pytest

from tests.functional import test_platform
from tests.lib import platform_world
from tests.lib import processes

ITEMS = test_platform.ITEMS


@pytest.fixture
def launcher():
    with processes.Launcher() as result:
        yield result


def check_scores(world, results, items=ITEMS):
    """Checks that each result is signed by an answer to its request."""
    test_platform.check_results(results, items)
    runs = world.plain.read_journal()['runs']
    for result in results:
        request_id, _, number = result['Score'].rpartition('.')
        assert request_id == f'score-{result["Id"]}'
        assert runs[int(number) - 1]['id'] == request_id


def count_generations(world, item):
    """Returns how many attempts generated an item from its start."""
    return sum(
        run['id'] == item and run['after'] is None
        for engine in world.engines
        for run in engine.read_journal()['runs']
    )


def submit(daemon, items=ITEMS):
    job = platform_world.make_scored_job(items)
    assert platform_world.submit(daemon, 'job', job) == 202


def wait_for_texts(world):
    """Waits until the holder has stored all texts and returns it."""
    holder = test_platform.find_lease_holder(world)
    processes.wait_for(
        lambda: (
            len({e['item'] for e in holder.read_events('scoring_started')})
            >= 1
        ),
        'a text is complete',
    )
    return holder


@pytest.mark.parametrize('fault', ['lose', 'full', 'foreign', 'fail'])
def test_faults_of_the_scoring_service_lose_no_score(launcher, fault):
    """Guards against results without a score or with another one's."""
    world = platform_world.World(launcher, daemons=1)
    # Fewer errors than give up an item.
    world.plain.set_faults(**{fault: 2})
    submit(world.daemons[0])
    check_scores(world, world.read_all(world.daemons[0], 'job'))


def test_item_whose_scoring_always_fails_is_given_up(launcher):
    """Guards against a group that is never complete."""
    world = platform_world.World(launcher, daemons=1)
    world.plain.set_faults(fail=100)
    submit(world.daemons[0], ['bad'])
    (result,) = world.read_all(world.daemons[0], 'job')
    assert result['State'] == 'down'
    assert 'Score' not in result
    runs = world.plain.read_journal()['runs']
    assert [run['id'] for run in runs] == ['score-bad'] * 3


def test_scoring_continues_after_an_outage_of_the_service(launcher):
    """Guards against texts that are lost with the scoring service."""
    world = platform_world.World(launcher, daemons=1)
    world.plain.set_faults(down=True)
    submit(world.daemons[0])
    wait_for_texts(world)
    status, page = world.daemons[0].call(
        'GET', '/lots/job?After=0', Host=platform_world.HOST
    )
    assert (status, page['Results']) == (200, [])
    world.plain.set_faults(down=False)
    check_scores(world, world.read_all(world.daemons[0], 'job'))
    assert count_generations(world, ITEMS[0]) == 1


def test_killed_scoring_replica_is_replaced_by_another(launcher):
    """Guards against calls that wait for a replica that is gone."""
    world = platform_world.World(launcher, daemons=1)
    second = launcher.start_stand_in('platform.replica', '--replica-id', 'p1')
    world.write_replica('p1', 'desk', second.address, {})
    world.plain.kill()
    submit(world.daemons[0])
    results = world.read_all(world.daemons[0], 'job')
    world.plain = second
    check_scores(world, results)


@pytest.mark.parametrize('is_planned', [False, True])
def test_text_is_not_generated_again_after_its_holder_is_gone(
    launcher, is_planned
):
    """Guards against the loss of a text between generation and score."""
    world = platform_world.World(launcher)
    world.plain.set_faults(down=True)
    holder = test_platform.find_lease_holder(world)
    other = next(d for d in world.daemons if d is not holder)
    submit(other, ITEMS[:2])
    wait_for_texts(world)
    processes.wait_for(
        lambda: read_saved_count(holder) >= 2, 'the texts are stored'
    )
    if is_planned:
        holder.signal(signal.SIGTERM)
    else:
        holder.kill()
    world.plain.set_faults(down=False)
    check_scores(world, world.read_all(other, 'job'), ITEMS[:2])
    assert [count_generations(world, i) for i in ITEMS[:2]] == [1, 1]


def test_scores_survive_the_end_of_all_daemons(launcher):
    """Guards against scores that are only in the memory of daemons."""
    world = platform_world.World(launcher)
    submit(world.daemons[0])
    results = world.read_all(world.daemons[1], 'job')
    for daemon in world.daemons:
        daemon.kill()
    new_daemon = world.start_daemon('n9')
    processes.wait_for(new_daemon.is_ready, 'the new daemon is ready')
    again = world.read_all(new_daemon, 'job')
    assert again == results
    check_scores(world, again)


def read_saved_count(holder):
    """Returns how many texts the daemon has begun to score.

    A text is stored before its scoring request is sent for the second time,
    as the retry delay exceeds the delay of the append.
    """
    attempts = holder.read_events('scoring_started')
    return len({e['item'] for e in attempts if e['attempt'] >= 3})
