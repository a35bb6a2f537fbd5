"""A replica's answer without a length is reset on the way."""

import os
import pathlib
import socket
import struct
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-3'))

import world as lib  # noqa: E402

CALLS = 40
BODY = b'x' * 1600
HALF = 800


class Replica:
    """Plain service; its answers end with their connection.

    In trouble, one answer of ten is reset after its first half.
    """

    def __init__(self, replica_id, record, has_trouble):
        self._replica_id = replica_id
        self._record = record
        self._has_trouble = has_trouble
        self._count = 0
        self._lock = threading.Lock()
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen(64)
        self.address = '127.0.0.1:%d' % self._listener.getsockname()[1]
        self.reset = set()
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            connection, _ = self._listener.accept()
            threading.Thread(
                target=self._handle, args=(connection,), daemon=True
            ).start()

    def _handle(self, connection):
        data = b''
        while b'\r\n\r\n' not in data:
            part = connection.recv(65536)
            if not part:
                return connection.close()
            data += part
        head, _, rest = data.partition(b'\r\n\r\n')
        fields = {}
        for line in head.decode('latin-1').split('\r\n')[1:]:
            name, _, value = line.partition(':')
            fields[name.lower()] = value.strip()
        length = int(fields.get('content-length', 0))
        while len(rest) < length:
            rest += connection.recv(65536)
        request_id = fields.get('lentildeal-request-id', '')
        with self._lock:
            self._count += 1
            is_cut = self._has_trouble and self._count % 10 == 0
        self._record.write(
            self._replica_id, 'runs', request_id, 'reset' if is_cut else ''
        )
        connection.sendall(
            (
                'HTTP/1.1 200 OK\r\n'
                f'Lentildeal-Request-Id: {request_id}\r\n'
                f'Lentildeal-Response-Stamp: {self._replica_id}.{request_id}'
                '\r\nConnection: close\r\n\r\n'
            ).encode()
            + BODY[:HALF]
        )
        time.sleep(0.05)
        if is_cut:
            self.reset.add(request_id)
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            return connection.close()
        connection.sendall(BODY[HALF:])
        connection.close()


def main(world, record, has_trouble):
    route = {
        'Name': 'lookup',
        'Host': lib.HOST,
        'PathPrefix': '/lookup/',
        'Kind': 'safe',
        'TimeoutMs': 800,
        'TargetLatencyMs': 400,
        'Priority': 2,
        'Service': 'round-app',
        'MaxAttempts': 2,
    }
    service = {
        'Name': 'round-app',
        'HealthPath': '/healthz',
        'MaxConnections': 208,
    }
    for number in range(3):
        replica = Replica(f'i-{number}', record, has_trouble)
        world.store.write(
            'keyed.servers',
            f'i-{number}',
            lib.make_entry('round-app', replica.address),
        )
    world.store.write(
        'keyed.op', 'config', lib.make_text(1, [route], [service])
    )
    world.start_daemons(2)
    broken = 0
    for number in range(CALLS):
        daemon = world.daemons[number % 2]
        request_id = f'{number:016x}'
        record.write('client sends', request_id, 'to', daemon.name)
        try:
            status, headers, body = lib.call(
                daemon.port,
                'POST',
                '/lookup/1',
                b'list',
                {
                    'Host': lib.HOST,
                    'Lentildeal-Request-Id': request_id,
                    'Lentildeal-Deadline-Ms': '800',
                },
            )
        except OSError as error:
            record.write('client gets no answer', request_id, repr(error))
            continue
        is_short = status == 200 and body != BODY
        broken += is_short
        record.write(
            'client gets',
            request_id,
            status,
            f'{len(body)} of {len(BODY)} bytes, framed by',
            'a length' if 'content-length' in headers else 'chunks',
            'SHORT' if is_short else '',
        )
    record.write(f'{broken} of {CALLS} successes with a body that is not whole')
    return broken > 0


lib.run(main, HERE / 'record.txt', os.environ.get('TROUBLE') != '0')
