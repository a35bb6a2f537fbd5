"""Stop of a listener while clients connect all the time."""

import socket
import subprocess
import sys
import threading

import pytest

from tests.lib import processes

ROUNDS = 40
CLIENTS = 8
# Answers each connection, stops after a fifth of a second, then lets the
# connections end.
SERVER = """
import eventlet
from lentildeal._internal.network import listening

def answer(connection):
    connection.recv(100)
    connection.sendall(b'answer')
    connection.close()

def accept():
    while True:
        eventlet.spawn_n(answer, listener.accept()[0])

listener = listening.Listener(listening.listen('127.0.0.1:%d', 1024))
eventlet.spawn_n(accept)
print('ready', flush=True)
eventlet.sleep(0.2)
listener.stop()
eventlet.sleep(0.3)
"""


class Client(threading.Thread):
    """Connects, sends and reads until the listener refuses it.

    Attributes:
        answers: Complete answers.
        cut: Connections that were established and got no answer.
    """

    def __init__(self, port):
        super().__init__(daemon=True)
        self._port = port
        self.answers = 0
        self.cut = 0

    def run(self):
        while True:
            try:
                connection = socket.create_connection(
                    ('127.0.0.1', self._port), timeout=10
                )
            except OSError:
                return
            with connection:
                try:
                    connection.sendall(b'request')
                    is_answered = connection.recv(100) == b'answer'
                except OSError:
                    is_answered = False
            self.answers += is_answered
            self.cut += not is_answered


@pytest.mark.parametrize('part', range(4))
def test_no_established_connection_is_reset_by_a_stop(part):
    """Guards against clients whose connection waits to be accepted."""
    cut = answers = 0
    for _ in range(ROUNDS // 4):
        port = processes.find_free_port()
        server = subprocess.Popen(
            [sys.executable, '-W', 'ignore', '-c', SERVER % port],
            stdout=subprocess.PIPE,
            env={'PYTHONPATH': str(processes.ROOT / 'src')},
        )
        with server:
            assert server.stdout.readline() == b'ready\n'
            clients = [Client(port) for _ in range(CLIENTS)]
            for client in clients:
                client.start()
            for client in clients:
                client.join(20)
            assert server.wait(20) == 0
        cut += sum(client.cut for client in clients)
        answers += sum(client.answers for client in clients)
    assert answers > 100
    assert cut == 0
