"""An extra response is taken for the answer to a new attempt of its item."""

import base64
import json
import os
import pathlib
import random
import socket
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-3'))

import world as lib  # noqa: E402

MODEL = 'm0'
OTHER_MODEL = 'm1'
MAX_ATTEMPTS = 3
# Two trainers keep two jobs of one item open each for this time.
OPEN_JOBS = 4
SENDING_S = 90.0
EVENTS = 8
# One item of three fails at its first runs, one fewer than may fail: two of
# five runs.
FAILING_SHARE = 3
FAILURES = MAX_ATTEMPTS - 1
# Replicas by their version of the model: half of them have the new one, which
# the jobs need.
VERSIONS = {'i-0': 2, 'i-1': 2, 'i-2': 1, 'i-3': 1}
# Half of the replicas send this share of their answers once more.
FAULTY = ('i-0', 'i-1')
EXTRA_SHARE = 0.03


class Engines:
    """What the replicas know together: the failed runs of each item."""

    def __init__(self, record, has_trouble):
        self.record = record
        self.has_trouble = has_trouble
        self.failed = {}
        self.extra = 0
        self.lock = threading.Lock()


class Replica:
    """Model replica on kept connections.

    Answers the first two runs of some items with 500, other runs with their
    events. In trouble, half of the replicas send a part of its answers once
    more, with the id of their request, where the next response on the
    connection is expected.
    """

    def __init__(self, replica_id, engines):
        self._replica_id = replica_id
        self._engines = engines
        self._models = {MODEL: VERSIONS[replica_id], OTHER_MODEL: 1}
        self._random = random.Random(replica_id)
        self._listener = socket.socket()
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen(64)
        self.address = '127.0.0.1:%d' % self._listener.getsockname()[1]
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            connection, _ = self._listener.accept()
            threading.Thread(
                target=self._handle, args=(connection,), daemon=True
            ).start()

    def _handle(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        data, extra = b'', b''
        try:
            while True:
                while b'\r\n\r\n' not in data:
                    part = connection.recv(65536)
                    if not part:
                        return
                    data += part
                head, _, data = data.partition(b'\r\n\r\n')
                lines = head.decode('latin-1').split('\r\n')
                fields = {}
                for line in lines[1:]:
                    name, _, value = line.partition(':')
                    fields[name.lower()] = value.strip()
                length = int(fields.get('content-length', 0))
                while len(data) < length:
                    data += connection.recv(65536)
                data = data[length:]
                if extra:
                    self._engines.record.write(
                        self._replica_id,
                        'sends once more',
                        extra[:16],
                        'of',
                        extra.split(b'\r\n')[1].decode(),
                    )
                    self._engines.extra += 1
                    connection.sendall(extra)
                answer = self._answer(connection, lines[0], fields)
                extra = answer if self._is_extra() else b''
        except OSError:
            return
        finally:
            connection.close()

    def _is_extra(self):
        if not self._engines.has_trouble or self._replica_id not in FAULTY:
            return False
        return self._random.random() < EXTRA_SHARE

    def _answer(self, connection, line, fields):
        """Answers a request; returns the answer."""
        request_id = fields.get('lentildeal-request-id', '')
        if line.split()[1] == '/report':
            body = json.dumps(
                {
                    'Stage': 'both',
                    'Models': [
                        {'Name': name, 'Version': version, 'Adapters': []}
                        for name, version in self._models.items()
                    ],
                    'Busy': False,
                    'Sequence': 0,
                    'Waiting': 0,
                    'Running': 0,
                    'KvUsed': 0,
                    'KvTotal': 65008,
                    'Handles': 0,
                }
            ).encode()
            connection.sendall(
                _head(200, request_id, 'Content-Type: application/json', body)
                + body
            )
            return b''
        engines = self._engines
        with engines.lock:
            failed = engines.failed.get(request_id, 0)
            number = int(request_id[4:], 16)
            is_failure = number % FAILING_SHARE == 0 and failed < FAILURES
            if is_failure:
                engines.failed[request_id] = failed + 1
        stamp = f'Lentildeal-Response-Stamp: {self._replica_id}.{request_id}'
        if is_failure:
            engines.record.write(
                self._replica_id,
                'runs',
                request_id,
                f'and answers 500, the {failed + 1}. of this item',
            )
            answer = _head(500, request_id, stamp, b'')
            connection.sendall(answer)
            return answer
        engines.record.write(self._replica_id, 'runs', request_id)
        start = int(fields.get('last-event-id', -1)) + 1
        answer = (
            'HTTP/1.1 200 OK\r\n'
            f'Lentildeal-Request-Id: {request_id}\r\n{stamp}\r\n'
            f'Lentildeal-Weight-Versions: {self._models[MODEL]}\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        ).encode()
        connection.sendall(answer)
        for number in range(start, EVENTS):
            time.sleep(0.005)
            event = f'id: {number}\ndata: {request_id}/{number}\n\n'.encode()
            part = b'%x\r\n%s\r\n' % (len(event), event)
            connection.sendall(part)
            answer += part
        connection.sendall(b'0\r\n\r\n')
        engines.record.write(self._replica_id, 'completes', request_id)
        return answer + b'0\r\n\r\n'


def _head(status, request_id, field, body):
    reason = {200: 'OK', 500: 'Internal Server Error'}[status]
    return (
        f'HTTP/1.1 {status} {reason}\r\n'
        f'Lentildeal-Request-Id: {request_id}\r\n{field}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode()


def main(world, record, has_trouble):
    engines = Engines(record, has_trouble)
    route = {
        'Name': 'rollout',
        'Host': lib.HOST,
        'PathPrefix': '/rollout/',
        'Kind': 'rollout',
        'TimeoutMs': 10000,
        'TargetLatencyMs': 500,
        'Priority': 1,
        'Service': 'model-pool',
        'MaxAttempts': MAX_ATTEMPTS,
        'RetentionS': 40.0,
        'DeadlineMs': 7500,
        'SingleVersion': False,
        'Sticky': True,
        'Resumable': True,
    }
    service = {
        'Name': 'model-pool',
        'HealthPath': '/healthz',
        'MaxConnections': 325,
        'Engine': {
            'Slots': 12,
            'KvCapacityTokens': 65008,
            'Stride': 58,
            'Models': [{'Name': MODEL}, {'Name': OTHER_MODEL}],
        },
    }
    for replica_id, version in VERSIONS.items():
        replica = Replica(replica_id, engines)
        world.store.write(
            'keyed.servers',
            replica_id,
            lib.make_entry(
                'model-pool',
                replica.address,
                {MODEL: version, OTHER_MODEL: 1},
            ),
        )
    world.store.write(
        'keyed.op', f'version/{MODEL}', {'Model': MODEL, 'Version': 2}
    )
    world.store.write(
        'keyed.op', 'config', lib.make_text(1, [route], [service])
    )
    world.start_daemons(2)
    broken, errors = [], []

    def train(first):
        until_s = time.monotonic() + SENDING_S
        number = first
        try:
            while time.monotonic() < until_s:
                broken.append(run_job(world, record, engines, number))
                number += OPEN_JOBS
        except Exception as error:
            errors.append(error)

    trainers = [
        threading.Thread(target=train, args=(number,), daemon=True)
        for number in range(OPEN_JOBS)
    ]
    for trainer in trainers:
        trainer.start()
    for trainer in trainers:
        trainer.join()
    if errors:
        raise errors[0]
    record.write(
        f'{sum(broken)} of {len(broken)} items are down before {MAX_ATTEMPTS}'
        f' answers of 500; {engines.extra} answers came twice'
    )
    return any(broken)


def run_job(world, record, engines, number):
    """Runs a job of one item; returns whether it is down too soon."""
    job_id, item_id = f'job{number:013x}', f'item{number:012x}'
    job = {
        'Step': number,
        'Model': MODEL,
        'MinVersion': 2,
        'BatchGroups': 1,
        'Entries': [
            {
                'Id': item_id,
                'Path': f'/rollout/1/{number}',
                'Headers': {
                    'Lentildeal-Model': MODEL,
                    'Lentildeal-Token-Usage': '16,464',
                    'Lentildeal-Prompt-Prefix': '9c2e41:16',
                },
                'Body': base64.b64encode(b'prompt').decode(),
                'Tokens': 480,
                'Group': f'g{number}',
            }
        ],
    }
    daemon = world.daemons[number % 2]
    status, _, _ = lib.call(
        daemon.port,
        'POST',
        f'/rollout/{job_id}',
        json.dumps(job),
        {
            'Host': lib.HOST,
            'Lentildeal-Request-Id': job_id,
            'Content-Type': 'application/json',
        },
    )
    record.write('trainer submits', job_id, 'with', item_id, '->', status)
    if status != 202:
        raise RuntimeError(f'{job_id} was answered {status}')

    def read():
        status, _, body = lib.call(
            daemon.port,
            'GET',
            f'/lots/{job_id}?After=0',
            headers={'Host': lib.HOST, 'Lentildeal-Wait-Ms': '1000'},
        )
        return json.loads(body)['Results'] if status == 200 else None

    (result,) = lib.wait_for(read, f'the result of {job_id}')
    failed = engines.failed.get(item_id, 0)
    whole = '\n'.join(f'{item_id}/{n}' for n in range(EVENTS))
    record.write(
        'trainer reads',
        item_id,
        result['State'],
        'whole' if result['Text'] == whole else f'text {result["Text"]!r}',
        f'after {failed} answers of 500',
    )
    lib.call(
        daemon.port, 'DELETE', f'/lots/{job_id}', headers={'Host': lib.HOST}
    )
    return result['State'] == 'down' and failed < MAX_ATTEMPTS


lib.run(main, HERE / 'record.txt', os.environ.get('TROUBLE') != '0')
