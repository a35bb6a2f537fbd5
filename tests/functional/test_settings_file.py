"""Start of the daemon program with a settings file."""

import json
import socket
import subprocess
import sys

import pytest

from tests.lib import processes

VALID = {
    'instance': 'a1',
    'failure_domain': 'a',
    'http_address': '127.0.0.1:1',
    'peer_address': '127.0.0.1:2',
    'platform': {
        name: {'url': 'http://127.0.0.1:3'}
        for name in ('log', 'instances', 'weights')
    },
}
BAD = {
    'unknown key': ({'timming': {}}, 'nearest key is "timing"'),
    'wrong type': ({'instance': 7}, 'expected a string'),
    'host name': ({'http_address': 'localhost:1'}, 'IP number'),
    'too small': ({'timing': {'heartbeat_ms': 0}}, 'too small'),
    'order of times': ({'timing': {'suspect_ms': 9000}}, 'must grow'),
}


def start(path):
    """Runs the daemon with a settings file that it has to reject."""
    command = [sys.executable, '-m', processes.DAEMON, str(path)]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


@pytest.mark.parametrize('name', BAD)
def test_bad_settings_are_rejected_with_a_remedy(name, tmp_path):
    """A daemon starts with invalid settings and fails later."""
    change, expected = BAD[name]
    path = tmp_path / 'settings.jsonc'
    path.write_text(json.dumps({**VALID, **change}))
    result = start(path)
    assert result.returncode == 2
    assert expected in result.stderr
    assert 'remedy: ' in result.stderr
    assert 'Deprecat' not in result.stderr


def test_missing_settings_file_is_named(tmp_path):
    """A wrong path causes a traceback."""
    result = start(tmp_path / 'none.jsonc')
    assert result.returncode == 2
    assert 'none.jsonc' in result.stderr
    assert 'Traceback' not in result.stderr


@pytest.mark.parametrize('name', ['http_address', 'peer_address'])
def test_address_in_use_ends_the_daemon(name, tmp_path):
    """A daemon that shares an address gets connections meant for another one.

    In a soak (seed 3007) a daemon of another run listened on the same port as
    one of the run's daemons; it got half of the connections and answered 404.
    """
    with socket.socket() as other:
        # eventlet sets this option by default; it lets two processes listen
        # on one port.
        other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        other.bind(('127.0.0.1', 0))
        other.listen()
        address = f'127.0.0.1:{other.getsockname()[1]}'
        free = f'127.0.0.1:{processes.find_free_port()}'
        path = tmp_path / 'settings.jsonc'
        path.write_text(
            json.dumps(
                {
                    **VALID,
                    'http_address': free,
                    'peer_address': f'127.0.0.1:{processes.find_free_port()}',
                    name: address,
                }
            )
        )
        result = start(path)
    assert result.returncode == 2
    assert address in result.stderr
    assert 'remedy: ' in result.stderr
