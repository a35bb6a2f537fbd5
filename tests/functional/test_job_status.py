"""Command ``lentildeal status`` on a daemon of a platform."""

import json
import subprocess
import sys

import pytest

from tests.lib import platform_world
from tests.lib import processes


@pytest.fixture(scope='module')
def world():
    with processes.Launcher() as launcher:
        yield platform_world.World(launcher, daemons=2, engines=0)


def show_status(daemon, *arguments):
    """Runs the command; returns its exit status and output."""
    server = daemon.ready_url.removeprefix('http://')
    done = subprocess.run(
        [sys.executable, '-m', 'lentildeal._internal.cli.main', 'status']
        + ['--server', server, *arguments],
        capture_output=True,
        text=True,
        timeout=30,
    )
    return done.returncode, done.stdout


def read_jobs(daemon):
    status, output = show_status(daemon, '--format', 'json')
    assert status == 0
    return json.loads(output)['jobs']


def test_status_shows_open_jobs_with_their_holder(world):
    """Guards against a step that stands still and that no command shows."""
    first, second = world.daemons
    job = platform_world.make_job(['i0', 'i1'])
    assert platform_world.submit(first, 'job', job) == 202

    def is_opened():
        rows = [*read_jobs(first), *read_jobs(second)]
        return sorted(row['state'] for row in rows) == [
            'open',
            'run_elsewhere',
        ]

    processes.wait_for(is_opened, 'one daemon runs the job')
    for row in (*read_jobs(first), *read_jobs(second)):
        assert row['holder'] in ('n0', 'n1')
        assert (row['job'], row['items'], row['listed']) == ('job', 2, 0)
        assert row['waiting'] == (2 if row['state'] == 'open' else 0)
    status, output = show_status(first)
    assert status == 0
    assert 'run_elsewhere' in output or 'open' in output


def test_refusals_name_what_is_wrong(world):
    """Guards against steps that are accepted and that no replica can serve."""
    daemon = world.daemons[0]
    for job, status, word in (
        (platform_world.make_job(['i0'], Model='m\0'), 400, b'Model'),
        (platform_world.make_job(['']), 400, b'Id'),
        (platform_world.make_job(['i0'], Model='none'), 503, b'none'),
    ):
        answer = daemon.call(
            'POST',
            '/rollouts/odd',
            job,
            Host=platform_world.HOST,
            Lentildeal_Request_Id='odd',
        )
        assert answer[0] == status
        assert word in json.dumps(answer[1]).encode()
    assert 'odd' not in [row['job'] for row in read_jobs(daemon)]
