"""Small deployment on loopback addresses: store, replicas, daemons, callers.

Only the standard library is used. The store and the replicas follow
PROTOCOL.md; where it is silent they behave like sound ones. The daemons are
processes started with the command of deploy/system.toml.
"""

from __future__ import annotations

import asyncio
import base64
import bisect
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'club.example'
ZONE = 'zone-a'
LENGTH = struct.Struct('>I')
PAGE = struct.Struct('>QQ')
REASONS = {
    200: 'OK',
    202: 'Accepted',
    404: 'Not Found',
    409: 'Conflict',
    410: 'Gone',
    412: 'Precondition Failed',
    413: 'Content Too Large',
    421: 'Misdirected Request',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
}
# Figures of the sheet of the small deployment.
APPEND_S = 0.004
HEARTBEAT_S = 1.2
LOAD_S = 0.9
RECORD_BYTES = 262144
CALL_BYTES = 2097152
_used_ports: set[int] = set()
BOUNDS = {'LeaseTtlMs': 3000, 'DrainMs': 2000}


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w')
        self._started_s = time.monotonic()

    def now(self) -> float:
        """Seconds since the start of the record."""
        return time.monotonic() - self._started_s

    def write(self, who: str, text: str) -> float:
        """Writes a line and returns its time."""
        at_s = self.now()
        self._file.write(f'{at_s:8.3f}  {who:<10} {text}\n')
        self._file.flush()
        return at_s


class Connection:
    """One connection that a server accepted.

    A silent connection stays open: bytes are neither read nor written.
    """

    def __init__(self, reader, writer) -> None:
        self.reader = reader
        self.writer = writer
        self.is_silent = False
        self.current = ''

    def silence(self) -> None:
        """Lets the connection go silent for good, without a reset."""
        self.is_silent = True

    async def write(self, data: bytes) -> None:
        """Writes bytes unless the connection is silent."""
        if self.is_silent:
            await asyncio.Event().wait()
        self.writer.write(data)
        await self.writer.drain()


class HttpRequest:
    """One request with its complete body."""

    def __init__(self, method, target, headers, body) -> None:
        self.method = method
        self.path, _, query = target.partition('?')
        self.target = target
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Reads a first line and headers, None at the end of the stream."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


class Server:
    """HTTP/1.1 server with kept connections."""

    def __init__(self) -> None:
        self.connections: set[Connection] = set()
        self._servers: list = []
        self._tasks: set = set()

    async def listen(self, label='') -> str:
        """Listens on a free port and returns the address."""

        async def accept(reader, writer):
            connection = Connection(reader, writer)
            connection.label = label
            self.connections.add(connection)
            task = asyncio.current_task()
            self._tasks.add(task)
            try:
                await self._serve(connection)
            except (OSError, EOFError, asyncio.IncompleteReadError):
                pass
            finally:
                self._tasks.discard(task)
                self.connections.discard(connection)
                writer.close()

        server = await asyncio.start_server(accept, '127.0.0.1', 0)
        self._servers.append(server)
        return '127.0.0.1:%d' % server.sockets[0].getsockname()[1]

    async def _serve(self, connection) -> None:
        while True:
            first, headers = await read_head(connection.reader)
            method, target, _ = first.split(' ')
            length = int(headers.get('content-length', 0))
            body = await connection.reader.readexactly(length)
            if connection.is_silent:
                await asyncio.Event().wait()
            request = HttpRequest(method, target, headers, body)
            connection.current = f'{method} {target}'
            await self.handle(connection, request)
            connection.current = ''

    async def handle(self, connection, request) -> None:
        """Answers a request."""
        raise NotImplementedError

    async def answer(self, connection, status, headers=(), body=b''):
        """Writes a complete answer."""
        lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Other")}']
        lines += [f'{k}: {v}' for k, v in dict(headers).items()]
        lines += [f'Content-Length: {len(body)}', '', '']
        await connection.write('\r\n'.join(lines).encode() + body)

    def crash(self) -> None:
        """Closes the listeners and resets all connections."""
        for server in self._servers:
            server.close()
        for connection in list(self.connections):
            connection.writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()


class Store(Server):
    """The platform's store: a log with keyed topics, linearizable."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.retention_s = 300.0
        self._record = record
        self._topics: dict[str, list[bytes]] = {}
        self._times: dict[str, list[float]] = {}
        self._changed = asyncio.Condition()
        self._locks: dict[str, asyncio.Lock] = {}

    async def append(self, topic: str, records: list[bytes]) -> int:
        """Appends records and returns the first offset."""
        async with self._locks.setdefault(topic, asyncio.Lock()):
            await asyncio.sleep(APPEND_S)
            stream = self._topics.setdefault(topic, [])
            offset = len(stream)
            stream.extend(records)
            times = self._times.setdefault(topic, [])
            times.extend([time.monotonic()] * len(records))
        async with self._changed:
            self._changed.notify_all()
        return offset

    def find_first(self, topic: str) -> int:
        """Offset of the oldest record that has not expired."""
        oldest_s = time.monotonic() - self.retention_s
        return bisect.bisect_left(self._times.get(topic, []), oldest_s)

    async def put(self, topic: str, key: str, value) -> None:
        """Writes a keyed record; None drops the key."""
        text = b'' if value is None else json.dumps(value).encode()
        await self.append(topic, [bytes([len(key)]) + key.encode() + text])

    async def publish(self, text: dict) -> float:
        """Writes a manifest, as the operator does; returns when it is in."""
        await self.put('keyed.op', 'config', text)
        names = [r['PathPrefix'] for r in text['Routes']]
        return self._record.write(
            'operator',
            f'manifest version {text["Version"]} confirmed, routes {names}',
        )

    async def name_version(self, model: str, version: int) -> float:
        """Names a version, as a trainer does."""
        await self.put(
            'keyed.op',
            f'version/{model}',
            {'Model': model, 'Version': version},
        )
        return self._record.write(
            'trainer', f'version {version} of {model} named and confirmed'
        )

    async def handle(self, connection, request) -> None:
        topic = request.query.get('Topic', '')
        if request.path == '/log-append':
            records, position = [], 0
            while position < len(request.body):
                (size,) = LENGTH.unpack_from(request.body, position)
                position += LENGTH.size
                records.append(request.body[position : position + size])
                position += size
            if len(request.body) > CALL_BYTES or any(
                len(record) > RECORD_BYTES for record in records
            ):
                self._record.write(
                    'store', f'refuses an append to {topic}: 413'
                )
                await self.answer(connection, 413)
                return
            offset = await self.append(topic, records)
            end = len(self._topics[topic])
            body = json.dumps({'Offset': offset, 'End': end}).encode()
            await self.answer(connection, 200, {}, body)
        elif request.path == '/log-read':
            await self._read(connection, request, topic)
        elif request.path == '/log-newest':
            newest = {}
            stream = self._topics.get(topic, [])
            for offset, record in enumerate(stream):
                end = 1 + record[0]
                newest[record[1:end].decode()] = (record[end:], offset)
            entries = [
                {
                    'Key': key,
                    'Value': base64.b64encode(value).decode(),
                    'Offset': offset,
                }
                for key, (value, offset) in sorted(newest.items())
                if value
            ]
            body = json.dumps(
                {'Entries': entries, 'HasMore': False, 'End': len(stream)}
            ).encode()
            await self.answer(connection, 200, {}, body)
        else:
            await self.answer(connection, 404)

    async def _read(self, connection, request, topic) -> None:
        start = int(request.query['From'])
        limit = int(request.query.get('MaxKb', '1024')) * 1024
        wait_s = int(request.query.get('WaitMs', '0')) / 1000

        first = self.find_first(topic)
        if start < first:
            body = json.dumps({'First': first}).encode()
            await self.answer(connection, 410, {}, body)
            return

        def has_record():
            return len(self._topics.get(topic, ())) > start

        async with self._changed:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(
                    self._changed.wait_for(has_record), max(wait_s, 0.001)
                )
        stream = self._topics.get(topic, [])
        body = bytearray(PAGE.pack(len(stream), first))
        for record in stream[start:]:
            size = len(body) + LENGTH.size + len(record)
            if len(body) > PAGE.size and size > limit:
                break
            body += LENGTH.pack(len(record)) + record
        await self.answer(connection, 200, {}, bytes(body))


class Replica(Server):
    """One replica of a plain service."""

    def __init__(self, world, replica_id, service, slots=6, zone=ZONE) -> None:
        super().__init__()
        self.replica_id = replica_id
        self.service = service
        self.slots = slots
        self.zone = zone
        self.address = ''
        # Request of each run.
        self.running: dict[int, str] = {}
        self._run_count = 0
        self.work_s = 0.025
        self.is_listed = True
        self.state = 'ready'
        self._world = world
        self._record = world.record
        self._sequence = 0
        self._stamps = 0
        self._born = int(time.time() * 1000)

    async def start(self) -> None:
        """Listens and registers itself in the store."""
        self.address = await self.listen()
        await self.write_entry()
        self._beat = asyncio.ensure_future(self._beat_forever())

    async def _beat_forever(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.is_listed:
                await self.write_entry()

    def models(self) -> list:
        """Loaded models."""
        return []

    async def write_entry(self) -> None:
        """Writes its entry."""
        self._sequence += 1
        entry = {
            'Service': self.service,
            'Address': self.address,
            'Zone': self.zone,
            'Version': 'v1',
            'Slots': self.slots,
            'State': self.state,
            'ColdRemainingMs': 0,
            'Sequence': self._sequence,
            'Stage': 'both',
            'Models': self.models(),
            'born': self._born,
        }
        await self._world.store.put('keyed.servers', self.replica_id, entry)

    async def drop_entry(self) -> float:
        """Removes its entry; it goes on serving."""
        self.is_listed = False
        await self._world.store.put('keyed.servers', self.replica_id, None)
        return self._record.write(
            self.replica_id, 'its entry is removed, confirmed by the store'
        )

    def crash(self) -> None:
        """Ends for good: connections are reset, the address is dead."""
        self._record.write(self.replica_id, 'crashed, lost for good')
        self._beat.cancel()
        super().crash()

    def _begin(self, request_id: str) -> int:
        self._run_count += 1
        self.running[self._run_count] = request_id
        return self._run_count

    def make_headers(self, request_id: str) -> dict:
        """Headers of an answer."""
        self._stamps += 1
        return {
            'Lentildeal-Request-Id': request_id,
            'Lentildeal-Response-Stamp': f'{self.replica_id}.{self._stamps}',
            'Lentildeal-Replica-Load': f'{len(self.running)},0,{self.slots}',
            'Keep-Alive': 'timeout=5',
        }

    async def handle(self, connection, request) -> None:
        expected = request.headers.get('lentildeal-expect-instance')
        if expected not in (None, self.replica_id):
            await self.answer(connection, 421)
            return
        if request.path == '/healthz':
            await self.answer(
                connection, 200, {'Lentildeal-Replica-Id': self.replica_id}
            )
            return
        await self.serve(connection, request)

    async def serve(self, connection, request) -> None:
        """Runs a request."""
        request_id = request.headers['lentildeal-request-id']
        self._record.write(
            self.replica_id, f'runs {request_id} {request.target}'
        )
        self._world.runs.append(
            (self._record.now(), self.replica_id, request_id)
        )
        run = self._begin(request_id)
        try:
            await asyncio.sleep(self.work_s)
            headers = self.make_headers(request_id)
            await self.answer(connection, 200, headers, b'x' * 800)
        finally:
            del self.running[run]


class Engine(Replica):
    """One replica of a model service.

    The text of an item depends on its id alone; all orders are carried out in
    the mode that they name.
    """

    def __init__(
        self, world, replica_id, models, slots=12, service='engines'
    ) -> None:
        super().__init__(world, replica_id, service, slots)
        self.versions = dict.fromkeys(models, 1)
        self.event_s = 0.06
        self.loading = None
        self._orders = 0
        self._highest_fence = -1

    def models(self) -> list:
        return [
            {'Name': name, 'Version': version, 'Adapters': []}
            for name, version in self.versions.items()
        ]

    async def serve(self, connection, request) -> None:
        if request.path == '/report':
            await self._report(connection, request)
        elif request.path == '/order':
            await self._order(connection, request)
        else:
            await self._run(connection, request)

    async def _report(self, connection, request) -> None:
        body = {
            'Stage': 'both',
            'Models': self.models(),
            'Busy': self.loading is not None,
            'Sequence': self._orders,
            'Waiting': 0,
            'Running': len(self.running),
            'KvUsed': 0,
            'KvTotal': 90000,
            'Handles': 0,
        }
        await self.answer(
            connection,
            200,
            {
                'Lentildeal-Request-Id': request.headers.get(
                    'lentildeal-request-id', ''
                ),
                'Content-Type': 'application/json',
            },
            json.dumps(body).encode(),
        )

    async def _order(self, connection, request) -> None:
        order = json.loads(request.body)
        model, version = order['Model'], order['Version']
        expected = order.get('Expect')
        if order.get('Holder') is None or order.get('Fence') is None:
            status = 400
        elif order['Fence'] < self._highest_fence:
            status = 412
        elif self.loading is not None:
            status = 409
        elif expected is not None and expected != self._orders:
            status = 409
        elif self.versions.get(model) == version:
            status = 200
        else:
            status = 202
            self._orders += 1
            self.loading = model
            asyncio.ensure_future(self._load(order))
        if status != 412:
            self._highest_fence = max(
                self._highest_fence, order.get('Fence') or -1
            )
        self._world.orders.append(
            (
                self._record.now(),
                self.replica_id,
                order.get('Holder'),
                order.get('Fence'),
                status,
            )
        )
        self._record.write(
            self.replica_id,
            f'order from {order.get("Holder")}: {model} version {version}'
            f' mode {order.get("Mode")} fence {order.get("Fence")}:'
            f' {status}',
        )
        await self.answer(
            connection,
            status,
            {
                'Lentildeal-Request-Id': request.headers.get(
                    'lentildeal-request-id', ''
                )
            },
        )

    async def _load(self, order: dict) -> None:
        # Mode "wait": runs finish first.
        while order['Mode'] == 'wait' and self.running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(LOAD_S)
        self.versions[order['Model']] = order['Version']
        self.loading = None
        self._record.write(
            self.replica_id,
            f'{order["Model"]} is at version {order["Version"]}',
        )
        await self.write_entry()

    async def _run(self, connection, request) -> None:
        item = request.headers['lentildeal-request-id']
        model = request.headers['lentildeal-model']
        after = request.headers.get('last-event-id')
        if len(self.running) >= self.slots or self.loading == model:
            await self.answer(
                connection,
                503,
                {
                    'Lentildeal-Request-Id': item,
                    'Lentildeal-Not-Executed': '1',
                    'Lentildeal-Replica-Load': (
                        f'{len(self.running)},0,{self.slots}'
                    ),
                },
            )
            return
        version = self.versions[model]
        first = 0 if after is None else int(after) + 1
        self._record.write(
            self.replica_id,
            f'runs {item} from event {first} under version {version}',
        )
        self._world.runs.append((self._record.now(), self.replica_id, item))
        run = self._begin(item)
        is_done = False
        try:
            headers = self.make_headers(item)
            headers['Lentildeal-Weight-Versions'] = version
            headers['Content-Type'] = 'text/event-stream'
            headers['Transfer-Encoding'] = 'chunked'
            lines = ['HTTP/1.1 200 OK']
            lines += [f'{k}: {v}' for k, v in headers.items()]
            await connection.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
            for number in range(first, self._world.event_count(item)):
                await asyncio.sleep(self.event_s)
                if connection.reader.at_eof():
                    raise ConnectionResetError
                data = self._world.make_data(item, number)
                event = f'id: {number}\ndata: {data}\n\n'
                if self.versions[model] != version:
                    version = self.versions[model]
                    event = f'lentildeal-weight-versions: {version}\n{event}'
                chunk = event.encode()
                await connection.write(b'%x\r\n%s\r\n' % (len(chunk), chunk))
            await connection.write(b'0\r\n\r\n')
            is_done = True
        finally:
            del self.running[run]
            self._world.ends.append(
                (self._record.now(), self.replica_id, item, is_done)
            )
            self._record.write(
                self.replica_id,
                f'{"finished" if is_done else "dropped"} {item}',
            )


class Daemon:
    """One process of the system, started as the deploy file says."""

    def __init__(self, world, name, store_address) -> None:
        self.name = name
        self.store_address = store_address
        self.front = f'127.0.0.1:{find_free_port()}'
        self.ready = f'127.0.0.1:{find_free_port()}'
        self._world = world
        self.log_path = world.directory / f'{name}.log'
        self._process = None

    async def start(self) -> None:
        """Starts the process."""
        path = self._world.directory / f'{self.name}.jsonc'
        path.write_text(self._make_settings())
        # What the platform passes on, and where it puts the libraries.
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment.update(
            LENTILDEAL_NODE_FILE=str(path),
            EVENTLET_NO_GREENDNS='yes',
            PYTHONPATH=str(ROOT / 'target' / 'deps'),
            PYTHONDONTWRITEBYTECODE='1',
        )
        with self.log_path.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                'python3',
                'deploy/lentildeald.py',
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._world.record.write(self.name, 'started')

    def _make_settings(self) -> str:
        """Fills in the template of the deploy file."""
        fields = {
            'Node': self.name,
            'Zone': ZONE,
            'Ip': '127.0.0.1',
            'Listen': {'Front': self.front, 'Ready': self.ready},
            'Platform': {
                'Address': self.store_address,
                'RecordBytes': RECORD_BYTES,
                'CallBytes': CALL_BYTES,
                'RetentionS': int(self._world.store.retention_s),
            },
            'Bounds': {
                **BOUNDS,
                'RequireFence': True,
                'StatusS': self._world.status_s,
            },
            'Limits': {'CpuShare': 0.717, 'Cores': 3},
        }
        template = (ROOT / 'deploy/settings.jsonc.template').read_text()

        def fill(match):
            name, _, kind = match.group(1).partition('|')
            value = fields
            for part in name.split('.'):
                value = value[part]
            return json.dumps(value) if kind == 'json' else str(value)

        text = re.sub(r'\{\{([^}]*)\}\}', fill, template)
        # All daemons share one loopback address, so each needs its own port.
        return text.replace('127.0.0.1:9464', f'127.0.0.1:{find_free_port()}')

    async def is_ready(self) -> bool:
        """Whether the readiness check answers 200."""
        if self._process.returncode is not None:
            raise CannotRunError(
                f'{self.name} ended: {self.log_path.read_text()[-2000:]}'
            )
        try:
            status, _, _ = await call('GET', self.ready, '/ready', timeout_s=1)
        except (OSError, EOFError, asyncio.TimeoutError):
            return False
        return status == 200

    def events(self, name: str) -> list[dict]:
        """Log lines of a name."""
        found = []
        for line in self.log_path.read_text().splitlines():
            if line.startswith('{') and f'"{name}"' in line:
                event = json.loads(line)
                if event.get('event') == name:
                    found.append(event)
        return found

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to this process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)
            self._world.record.write(self.name, f'gets {number.name}')

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()


class CannotRunError(Exception):
    """The case could not run."""


class World:
    """All parts of a case; ends every process that it started."""

    def __init__(self, record_path: pathlib.Path) -> None:
        self.record = Record(record_path)
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store(self.record)
        self.daemons: list[Daemon] = []
        self.replicas: list[Replica] = []
        # (time, replica, request) of each run that began, and of each end.
        self.runs: list[tuple] = []
        self.ends: list[tuple] = []
        # Number of events of an item's text, and bytes of each.
        self.lengths: dict[str, int] = {}
        self.sizes: dict[str, int] = {}
        # Orders: (time, replica, holder, fence, status).
        self.orders: list[tuple] = []
        self.status_s = 120

    def event_count(self, item: str) -> int:
        """Number of events of an item's text."""
        return self.lengths.get(item, 25)

    def make_data(self, item: str, number: int) -> str:
        """Data of an event."""
        return f'{item}/{number}'.ljust(self.sizes.get(item, 0), 'x')

    def expected_text(self, item: str) -> str:
        """The whole output of an item."""
        return '\n'.join(
            self.make_data(item, number)
            for number in range(self.event_count(item))
        )

    async def add(self, replica: Replica) -> Replica:
        """Starts a replica."""
        self.replicas.append(replica)
        await replica.start()
        return replica

    async def start_daemons(self, count: int) -> None:
        """Starts daemons, each with its own address of the store."""
        for number in range(count):
            name = f'front-{number + 1}'
            address = await self.store.listen(name)
            daemon = Daemon(self, name, address)
            self.daemons.append(daemon)
            await daemon.start()
        for daemon in self.daemons:
            await self.wait_for(daemon.is_ready, f'{daemon.name} is ready')

    async def wait_for(self, condition, what: str, limit_s: float = 30.0):
        """Waits for a condition and returns its value."""
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return value
            await asyncio.sleep(0.02)
        raise CannotRunError(f'{what}: not within {limit_s:.0f} s')

    async def find_holder(self, duty: str) -> Daemon:
        """The daemon that claimed a duty last, by the logs."""

        def find():
            claims = [
                (event['term'], daemon.name)
                for daemon in self.daemons
                for event in daemon.events('duty_claimed')
                if event['duty'] == duty
            ]
            if not claims:
                return None
            name = max(claims)[1]
            return next(d for d in self.daemons if d.name == name)

        return await self.wait_for(find, f'a holder of {duty}')

    async def close(self) -> None:
        """Ends all processes and servers."""
        for daemon in self.daemons:
            daemon.signal(signal.SIGKILL)
        for daemon in self.daemons:
            await daemon.kill()
        for server in (self.store, *self.replicas):
            Server.crash(server)
        shutil.rmtree(self.directory, ignore_errors=True)


def find_free_port() -> int:
    """Finds a free loopback port below the ephemeral range."""
    for _ in range(1000):
        port = random.randrange(12_000, 28_000)
        if port in _used_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        _used_ports.add(port)
        return port
    raise CannotRunError('no free port')


async def call(
    method, address, target, headers=None, body=b'', timeout_s=10.0
):
    """Sends a request on a new connection; returns status, headers, body."""

    async def exchange():
        host, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            fields = {'Host': HOST, **(headers or {})}
            if body or method == 'POST':
                fields['Content-Length'] = len(body)
            lines = [f'{method} {target} HTTP/1.1']
            lines += [f'{k}: {v}' for k, v in fields.items()]
            writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
            await writer.drain()
            first, received = await read_head(reader)
            status = int(first.split(' ')[1])
            length = int(received.get('content-length', 0))
            return status, received, await reader.readexactly(length)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout_s)


def make_route(name, prefix, kind, service, **extra) -> dict:
    """A route of the manifest, with the figures of the sheet."""
    return {
        'Name': name,
        'Host': HOST,
        'PathPrefix': prefix,
        'Kind': kind,
        'TimeoutMs': 10000 if kind == 'rollout' else 800,
        'TargetLatencyMs': 400 if kind == 'rollout' else 192,
        'Priority': 1,
        'Service': service,
        'MaxAttempts': 3 if kind == 'rollout' else 2,
        'RetentionS': 40.0,
        'DeadlineMs': 7500,
        **extra,
    }


def make_text(version, routes, models) -> dict:
    """A manifest with one model service and one plain service."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {
                'Name': 'engines',
                'HealthPath': '/healthz',
                'MaxConnections': 300,
                'Engine': {
                    'Slots': 12,
                    'Stride': 72,
                    'Models': [{'Name': model} for model in models],
                },
            },
            {
                'Name': 'desk',
                'HealthPath': '/healthz',
                'MaxConnections': 192,
            },
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 33554432,
            'HeaderTimeoutMs': 10000,
            'IdleTimeoutMs': 60000,
        },
    }


def make_job(job, prefix, model, step, min_version, groups, size) -> dict:
    """The submission of a step."""
    entries = []
    for group in range(groups):
        for member in range(size):
            item = f'{job}{group:02x}{member:02x}'
            entries.append(
                {
                    'Id': item,
                    'Path': f'{prefix}{step}/{item}',
                    'Headers': {
                        'Lentildeal-Model': model,
                        'Lentildeal-Token-Usage': '1016,1800',
                        'Lentildeal-Prompt-Prefix': f'9c2e41:1000,{item}:16',
                    },
                    'Body': base64.b64encode(item.encode()).decode(),
                    'Tokens': 2816,
                    'Group': f'g{job}{group:02x}',
                }
            )
    return {
        'Step': step,
        'Model': model,
        'MinVersion': min_version,
        'BatchGroups': max(1, groups * 9 // 10),
        'Entries': entries,
    }


class Trainer:
    """Submits a step and reads its results, like a client of the pages."""

    def __init__(self, world: World, job: str, prefix: str, body: dict):
        self.job = job
        self.items = [entry['Id'] for entry in body['Entries']]
        self.results: dict[str, dict] = {}
        self.total = None
        self.position = 0
        # (time, daemon, status) of each read that was answered.
        self.reads: list[tuple] = []
        self._world = world
        self._prefix = prefix
        self._body = json.dumps(body).encode()

    async def submit(self, daemon: Daemon) -> int:
        """Submits the step at a daemon; returns the status."""
        self._world.record.write(
            'trainer', f'submits {self.job} at {daemon.name}'
        )
        status, _, _ = await call(
            'POST',
            daemon.front,
            f'{self._prefix}{self.job}',
            {
                'Lentildeal-Request-Id': self.job,
                'Content-Type': 'application/json',
            },
            self._body,
        )
        self._world.record.write('trainer', f'{self.job}: {status}')
        return status

    async def read(self, daemon: Daemon) -> None:
        """Reads further results at a daemon, if it answers."""
        try:
            status, _, body = await call(
                'GET',
                daemon.front,
                f'/lots/{self.job}?After={self.position}',
                {'Lentildeal-Wait-Ms': '1000'},
                timeout_s=2.5,
            )
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            self._world.record.write(
                'trainer', f'reads {self.job} at {daemon.name}: {error!r}'
            )
            return
        self.reads.append((self._world.record.now(), daemon.name, status))
        if status != 200:
            self._world.record.write(
                'trainer', f'reads {self.job} at {daemon.name}: {status}'
            )
            return
        page = json.loads(body)
        self.total = page['Total']
        for result in page['Results']:
            self.results[result['Id']] = result
            self._world.record.write(
                'trainer',
                f'reads {result["Id"]}: {result["State"]},'
                f' {len(result["Text"])} bytes,'
                f' versions {result["Versions"]}',
            )
        self.position = page['NextToken']

    async def read_until(self, daemons, until_s: float) -> None:
        """Reads about twice a second until all is listed or time is up."""
        number = 0
        while self._world.record.now() < until_s:
            if self.total is not None and len(self.results) == self.total:
                return
            await self.read(daemons[number % len(daemons)])
            number += 1
            await asyncio.sleep(0.3)

    async def end(self, daemon: Daemon) -> int:
        """Ends the job."""
        status, _, _ = await call('DELETE', daemon.front, f'/lots/{self.job}')
        self._world.record.write('trainer', f'ends {self.job}: {status}')
        return status


def run_case(case, record_path: pathlib.Path, limit_s: float = 110.0) -> None:
    """Runs a case and exits with 0 (held), 1 (broken) or 2 (cannot run).

    Args:
        case: Coroutine function that returns whether the rule was broken, and
            a text.
        record_path: File with what was sent, answered and run.
        limit_s: Time after which the case counts as one that cannot run.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'

    async def play() -> None:
        world = World(record_path)
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            is_broken, text = await asyncio.wait_for(
                case(world, has_trouble), limit_s
            )
            text = f'{"BROKEN" if is_broken else "HELD"}: {text}'
            status = 1 if is_broken else 0
        except (Exception, asyncio.CancelledError) as error:
            text = f'CANNOT RUN: {error!r}'
            status = 2
        finally:
            # A second signal must not interrupt the end of the processes.
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(number, lambda: None)
            await world.close()
        world.record.write('verdict', text)
        print(text, flush=True)
        # All processes have ended; tasks of the stand-ins need no clean end.
        os._exit(status)

    try:
        asyncio.run(play())
    except BaseException as error:
        # Python's own status for an exception would count as a broken rule.
        print(f'CANNOT RUN: {error!r}', flush=True)
        os._exit(2)
