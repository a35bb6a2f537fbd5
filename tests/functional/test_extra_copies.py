"""Extra copies of live calls with real daemons and one slow replica."""

import collections
import re
import time
import urllib.request

import pytest

from tests.lib import platform_world
from tests.lib import processes

SHARE = 0.5
# Calls at the usual speed, from which the daemon learns it.
WARM_UP_CALLS = 10
CALLS = 60


@pytest.fixture
def launcher():
    with processes.Launcher() as result:
        yield result


def start_world(launcher, **hedging):
    """Starts a daemon and two replicas, the first one slow for 5 calls."""
    world = platform_world.World(launcher, daemons=0, engines=0)
    other = launcher.start_stand_in('platform.replica', '--replica-id', 'p1')
    world.write_replica('p1', 'desk', other.address, {})
    world.plain.set_faults(slots=8)
    other.set_faults(slots=8)
    daemon = world.start_daemon('n0', hedging=hedging)
    processes.wait_for(daemon.is_ready, 'the daemon is ready')
    for number in range(WARM_UP_CALLS):
        send(daemon, f'w{number}')
    world.plain.set_faults(slow=5)
    return world.plain, other, daemon


def send(daemon, number):
    """Sends a call; returns its status and its time in seconds."""
    started_s = time.monotonic()
    status, _ = daemon.call(
        'POST',
        '/desk/1',
        Host=platform_world.HOST,
        Lentildeal_Request_Id=f'c{number}',
        Lentildeal_Deadline_Ms='5000',
    )
    return status, time.monotonic() - started_s


def read_copies(daemon):
    """Reads the counts of extra copies by result."""
    with urllib.request.urlopen(
        f'{daemon.ready_url}/metrics', timeout=5
    ) as page:
        text = page.read().decode()
    found = re.findall(
        r'lentildeal_extra_copies_total{result="(\w+)"} ([0-9.]+)', text
    )
    return {result: float(value) for result, value in found}


def check_runs(daemon, replicas):
    """Asserts that each call ran once, and once more for its copy."""
    runs = collections.Counter(
        run['id']
        for replica in replicas
        for run in replica.read_journal()['runs']
    )
    first = {
        event['request']: event['first']
        for event in daemon.read_events('extra_copy_sent')
    }
    answered = daemon.read_events('call_answered')
    assert len(answered) == WARM_UP_CALLS + CALLS
    for event in answered:
        request = event['request']
        is_copied = request in first
        # A copy that lost may be cancelled before its replica reads it.
        has_lost = is_copied and event['replica'] == first[request]
        found = runs.pop(request)
        assert found == 1 + is_copied or (has_lost and found == 1), event
    assert not runs


def test_slow_calls_are_answered_by_copies_within_the_limit(launcher):
    """Guards against slow calls, copies over the limit, and losers that run.

    The slow stand-in takes a second; a call is late after 0.2 s at most.
    """
    slow, other, daemon = start_world(launcher, share_of_requests=SHARE)
    found = [send(daemon, number) for number in range(CALLS)]
    assert {status for status, _ in found} == {200}
    copies = read_copies(daemon)
    assert (
        1
        <= copies['won']
        <= copies['sent']
        <= SHARE * (CALLS + WARM_UP_CALLS) + 1
    )
    quick = sum(seconds < 0.8 for _, seconds in found)
    assert quick >= CALLS - 3
    assert len(daemon.read_events('extra_copy_sent')) == copies['sent']
    processes.wait_for(
        lambda: slow.read_journal()['dropped'] >= copies['won'],
        'the losing attempts are cancelled',
    )
    check_runs(daemon, [slow, other])


def test_no_copy_where_half_of_the_slots_are_taken(launcher):
    """Guards against copies at busy replicas."""
    slow, other, daemon = start_world(launcher, share_of_requests=SHARE)
    other.set_faults(busy=5)
    found = [send(daemon, number) for number in range(20)]
    assert {status for status, _ in found} == {200}
    assert read_copies(daemon).get('sent', 0.0) == 0.0
    assert any(seconds > 0.9 for _, seconds in found)
