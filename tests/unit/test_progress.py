"""Progress output of the command-line client."""

import socket
import threading

import pytest

from lentildeal._internal.cli import progress
from lentildeal._internal.cli import server


def test_slow_server_is_named_while_the_client_waits(capsys, monkeypatch):
    """A command that waits without output looks as if it hung."""
    monkeypatch.setattr(progress, 'INITIAL_DELAY_S', 0.0)
    monkeypatch.setattr(progress, 'PRINT_INTERVAL_S', 0.01)
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        printed = threading.Event()
        update = progress.Progress.update

        def update_and_signal(self, detail):
            update(self, detail)
            printed.set()

        def close_after_first_line():
            connection, _ = listener.accept()
            printed.wait(30)
            connection.close()

        monkeypatch.setattr(progress.Progress, 'update', update_and_signal)
        threading.Thread(target=close_after_first_line, daemon=True).start()
        with pytest.raises(server.UnreachableError):
            server.Server([address], False).get('/v1/status', 60.0)
    assert f'{address}: waiting' in capsys.readouterr().err
