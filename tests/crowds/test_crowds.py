"""Crowds of clients that misbehave, against one daemon process each.

Only what doesn't depend on speed is checked: the process lives, its memory and
descriptors stay under bounds, and an ordinary request is answered while the
crowd is still connected.
"""

import os
import pathlib
import re

import pytest

from tests.crowds import clients
from tests.crowds import settings
from tests.lib import crowd
from tests.lib import platform_world
from tests.lib import processes

# Time for a crowd to send, and to read answers.
RUN_S = 2.0


@pytest.fixture
def launcher():
    with processes.Launcher() as result:
        yield result


@pytest.fixture
def world(launcher):
    return platform_world.World(launcher, daemons=0, engines=0)


@pytest.fixture
def addresses():
    return {
        settings.READY: f'127.0.0.1:{processes.find_free_port()}',
        settings.METRICS: f'127.0.0.1:{processes.find_free_port()}',
    }


@pytest.fixture
def daemon(world, addresses):
    result = world.start_daemon(
        'n0', metrics_address=addresses[settings.METRICS], **settings.SECTIONS
    )
    addresses[settings.FRONT] = result.address
    addresses[settings.READY] = result.ready_url.removeprefix('http://')
    processes.wait_for(result.is_ready, 'n0 is ready')
    job = platform_world.make_job([settings.ITEM_ID])
    job['Entries'][0]['Body'] = 'A' * settings.ITEM_BYTES
    assert platform_world.submit(result, settings.JOB_ID, job) == 202
    return result


def read_peak_kb(daemon):
    status = pathlib.Path(f'/proc/{daemon.pid}/status').read_text()
    return int(re.search(r'VmHWM:\s+(\d+) kB', status).group(1))


def count_descriptors(daemon):
    return len(os.listdir(f'/proc/{daemon.pid}/fd'))


def is_answered(daemon):
    try:
        status, _ = daemon.call(
            'POST',
            '/desk/ordinary',
            {},
            Host=platform_world.HOST,
            Lentildeal_Request_Id='ordinary',
        )
    except OSError:
        return False
    return status == 200


def check(daemon):
    """Checks the process; its state is in the message of a failure."""
    assert daemon.exit_status is None
    peak_kb = read_peak_kb(daemon)
    descriptors = count_descriptors(daemon)
    state = f'peak {peak_kb} kB, {descriptors} descriptors'
    assert peak_kb <= settings.PEAK_KB, state
    assert descriptors <= settings.OPEN_DESCRIPTORS, state


@pytest.mark.parametrize('path', settings.PATHS)
@pytest.mark.parametrize('name', clients.BEHAVIOURS)
def test_daemon_outlives_crowd(daemon, addresses, name, path):
    """Guards against clients that end or block a daemon."""
    address, method, target = settings.PATHS[path]
    host, _, port = addresses[address].rpartition(':')
    behaviour = clients.BEHAVIOURS[name]
    client = behaviour.make(method, target)
    with crowd.Crowd((host, int(port)), client, behaviour.count) as members:
        members.run(RUN_S)
        check(daemon)
        processes.wait_for(lambda: is_answered(daemon), 'ordinary request')
        check(daemon)
    processes.wait_for(lambda: is_answered(daemon), 'ordinary request')
    check(daemon)
