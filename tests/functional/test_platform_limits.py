"""Replicas that limit their requests, on the platform's stand-ins."""

import concurrent.futures
import itertools
import signal
import time

import pytest

from tests.lib import platform_world
from tests.lib import processes

HOST = platform_world.HOST
LIMIT = 2.0
# The users' bound on the requests to a limited replica: in some window more
# than this factor of its limit, plus this number.
WINDOW_S = 4.0
BOUND_FACTOR = 1.5
BOUND_EXTRA = 5
# The bound holds from this time after the limit was first named.
STABLE_S = 3.0
LOAD_S = 9.0


@pytest.fixture
def launcher():
    with processes.Launcher() as result:
        yield result


def find_busiest_window(times_s, from_s):
    """Returns the highest number of arrivals in a window after a time."""
    times_s = sorted(t for t in times_s if t >= from_s)
    return max(
        (
            sum(start <= t < start + WINDOW_S for t in times_s)
            for start in times_s
        ),
        default=0,
    )


def check_arrivals(replica, named_s):
    """Checks the bound on requests, and that the limit is used."""
    times_s = [run['at_s'] for run in replica.read_journal()['runs']]
    bound = BOUND_FACTOR * LIMIT * WINDOW_S + BOUND_EXTRA
    assert find_busiest_window(times_s, named_s + STABLE_S) <= bound
    used = [t for t in times_s if t >= named_s + STABLE_S]
    assert len(used) >= 0.5 * LIMIT * (times_s[-1] - named_s - STABLE_S)


def find_first_run_s(replica):
    """Returns the time of the first request that a replica ran."""
    runs = processes.wait_for(
        lambda: replica.read_journal()['runs'], 'a request runs'
    )
    return runs[0]['at_s']


def submit_items(world, count, job_id='job'):
    items = [f'{job_id}-{number}' for number in range(count)]
    job = platform_world.make_job(items)
    assert platform_world.submit(world.daemons[0], job_id, job) == 202


def run_calls(world, prefix, rate, seconds=LOAD_S):
    """Sends live calls to all daemons in turn and returns their statuses.

    The status of a call that a daemon did not answer is None.
    """
    started_s = time.monotonic()

    def send(number):
        due_s = started_s + number / rate
        time.sleep(max(0.0, due_s - time.monotonic()))
        daemon = world.daemons[number % len(world.daemons)]
        try:
            return daemon.call(
                'POST',
                f'/desk/{number}',
                {},
                Host=HOST,
                Lentildeal_Request_Id=f'{prefix}{number}',
                Lentildeal_Deadline_Ms='2000',
            )[0]
        except OSError:
            return None

    with concurrent.futures.ThreadPoolExecutor(20) as pool:
        return list(pool.map(send, range(int(rate * seconds))))


def test_items_keep_to_the_request_limit_of_a_replica(launcher):
    """Guards against a replica in need that gets items as fast as it ends.

    The free slots of a replica do not show that it limits its requests.
    """
    world = platform_world.World(launcher)
    limited, other = world.engines
    limited.set_faults(limit=LIMIT)
    submit_items(world, 200)
    results = world.read_all(world.daemons[1], 'job')
    check_arrivals(limited, find_first_run_s(limited))
    assert len(results) == 200
    assert len(other.read_journal()['runs']) > len(
        limited.read_journal()['runs']
    )


def test_new_holder_keeps_to_a_limit_that_its_predecessor_was_told(launcher):
    """Guards against a burst of items from the successor of a job's holder."""
    world = platform_world.World(launcher)
    limited = world.engines[0]
    limited.set_faults(limit=LIMIT)
    submit_items(world, 300)
    named_s = find_first_run_s(limited)
    stop_at_s = time.monotonic() + STABLE_S
    processes.wait_for(lambda: time.monotonic() > stop_at_s, 'a steady rate')
    holder = next(d for d in world.daemons if d.read_events('item_started'))
    holder.signal(signal.SIGTERM)
    reader = next(d for d in world.daemons if d is not holder)
    world.daemons.remove(holder)
    world.read_all(reader, 'job')
    check_arrivals(limited, named_s)


def test_live_calls_of_all_daemons_together_keep_to_a_limit(launcher):
    """Guards against daemons that each keep to a limit, but not together."""
    world = platform_world.World(launcher, daemons=4)
    world.plain.set_faults(limit=LIMIT)
    statuses = run_calls(world, 'c', rate=12.0)
    check_arrivals(world.plain, find_first_run_s(world.plain))
    assert set(statuses) == {200, 503}
    ran = [run['id'] for run in world.plain.read_journal()['runs']]
    # A refusal promises that the request has not run.
    assert len(ran) == statuses.count(200)


def test_all_requests_are_sent_again_when_a_limit_ends(launcher):
    """Guards against a limit that is kept after the replica names none."""
    world = platform_world.World(launcher, daemons=2)
    world.plain.set_faults(limit=LIMIT)
    run_calls(world, 'c', rate=8.0, seconds=3.0)
    world.plain.set_faults(limit=0)
    # The next answers, at the rate of the limit, name none.
    run_calls(world, 'd', rate=4.0, seconds=2.0)
    statuses = run_calls(world, 'e', rate=8.0, seconds=2.0)
    assert set(statuses) == {200}


def test_restarted_daemon_keeps_to_a_limit(launcher):
    """Guards against a daemon that forgets limits with its process."""
    world = platform_world.World(launcher, daemons=4)
    world.plain.set_faults(limit=LIMIT)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        sent = pool.submit(run_calls, world, 'c', 12.0)
        named_s = find_first_run_s(world.plain)
        for number in itertools.islice(itertools.cycle(range(4)), 6):
            old = world.daemons[number]
            instance, _, _, port = old.arguments
            old.kill()
            new = world.start_daemon(instance, port)
            processes.wait_for(new.is_ready, f'{instance} is ready again')
            world.daemons[number] = new
        sent.result()
    check_arrivals(world.plain, named_s)
