"""Command ``lentildeal route explain`` on a running daemon."""

import json
import subprocess
import sys

import pytest

from tests.lib import platform_world
from tests.lib import processes


@pytest.fixture(scope='module')
def world():
    with processes.Launcher() as launcher:
        yield platform_world.World(launcher, daemons=1)


def explain(world, *arguments):
    """Runs the command; returns its exit status and output."""
    server = world.daemons[0].ready_url.removeprefix('http://')
    done = subprocess.run(
        [sys.executable, '-m', 'lentildeal._internal.cli.main', 'route']
        + ['explain', '--server', server, *arguments],
        capture_output=True,
        text=True,
        timeout=30,
    )
    return done.returncode, done.stdout, done.stderr


def test_explanation_places_a_request_and_sends_nothing(world):
    """Guards against an explanation that runs a request."""
    status, output, errors = explain(
        world, platform_world.HOST, '/desk/1', '--json'
    )
    assert (status, errors) == (0, '')
    document = json.loads(output)
    assert document['replica'] == 'p0'
    assert document['route']['name'] == 'desk'
    assert document['queue_position'] == 0
    status, output, _ = explain(world, platform_world.HOST, '/desk/1')
    assert status == 0
    assert 'placed at p0' in output
    assert world.plain.read_journal()['runs'] == []


def test_explanation_of_a_job_names_its_replicas(world, tmp_path):
    """Guards against a job that is submitted to explain it."""
    path = tmp_path / 'job.json'
    path.write_text(json.dumps(platform_world.make_job(['i0', 'i1'])))
    arguments = (platform_world.HOST, '/rollouts/1/i0', '--job', str(path))
    status, output, _ = explain(world, *arguments, '--json')
    assert status == 0
    document = json.loads(output)
    assert document['replica'] in ('r0', 'r1')
    assert (document['items'], len(document['replicas'])) == (2, 2)
    assert all(e.read_journal()['runs'] == [] for e in world.engines)


def test_exit_statuses_of_refusal_and_wrong_use(world, tmp_path):
    """Guards against scripts that take a refusal for a success."""
    status, output, _ = explain(world, platform_world.HOST, '/none/1')
    assert status == 1
    assert 'refused: no route' in output
    assert explain(world, platform_world.HOST, '/rollouts/1/i0')[0] == 1
    assert explain(world, platform_world.HOST)[0] == 2
    path = tmp_path / 'other.json'
    path.write_text('[]')
    arguments = (platform_world.HOST, '/rollouts/1/i0', '--job', str(path))
    assert explain(world, *arguments)[0] == 2
