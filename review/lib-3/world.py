"""Platform stand-ins for the scripts of review/11 to 15.

Standard library only. The store and the replicas run as threads of the
script; daemons are separate processes, started as in deploy/system.toml with
the settings of deploy/settings.jsonc.template. All addresses are loopback.
"""

import base64
import collections
import http.client
import http.server
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'desk.example'
LENGTH = struct.Struct('>I')
PAGE = struct.Struct('>QQ')


def find_free_port():
    """Finds a port that is free now."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


class Record:
    """Writes to a file what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, 'w')
        self._lock = threading.Lock()
        self._started_s = time.monotonic()

    def write(self, *words):
        """Writes a line with the time since the start."""
        with self._lock:
            elapsed_s = time.monotonic() - self._started_s
            print(f'{elapsed_s:8.3f}', *words, file=self._file, flush=True)


class Store:
    """The platform's store: a log with keyed topics.

    Attributes:
        on_append: Called with the topic and the records of each append before
            it takes effect. Returns None for an ordinary append, or a word:
            'refuse' (503, no effect), 'lose' (done, no answer), or a number
            of seconds after which it is done without an answer.
        down: Answers all calls with 503.
    """

    def __init__(self):
        self._topics = collections.defaultdict(list)
        self._changed = threading.Condition()
        self.on_append = lambda topic, records: None
        self.down = False
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def do_GET(self):
                store._handle(self)

            do_POST = do_GET

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                """A daemon that is killed resets its connections."""

        self._server = Server(('127.0.0.1', 0), Handler)
        self.port = self._server.server_address[1]
        self.address = f'127.0.0.1:{self.port}'
        threading.Thread(
            target=self._server.serve_forever, daemon=True
        ).start()

    def _handle(self, request):
        length = int(request.headers.get('Content-Length') or 0)
        body = request.rfile.read(length)
        path, _, query = request.path.partition('?')
        query = dict(urllib.parse.parse_qsl(query))
        if self.down:
            return _answer(request, 503, b'')
        if path == '/log-append':
            return self._append(request, query, body)
        if path == '/log-read':
            return self._read(request, query)
        if path == '/log-newest':
            return self._read_newest(request, query)
        return _answer(request, 404, b'')

    def _append(self, request, query, body):
        topic, found, at = query['Topic'], [], 0
        while at < len(body):
            (length,) = LENGTH.unpack_from(body, at)
            at += LENGTH.size
            found.append(body[at : at + length])
            at += length
        what = self.on_append(topic, found)
        if what == 'refuse':
            return _answer(request, 503, b'')
        if isinstance(what, float):
            threading.Timer(what, self.append, (topic, found)).start()
            request.close_connection = True
            return None
        offset = self.append(topic, found)
        if what == 'lose':
            request.close_connection = True
            return None
        answer = {'Offset': offset, 'End': offset + len(found)}
        return _answer(request, 200, json.dumps(answer).encode())

    def append(self, topic, records):
        """Appends records; returns the offset of the first one."""
        with self._changed:
            offset = len(self._topics[topic])
            self._topics[topic].extend(records)
            self._changed.notify_all()
            return offset

    def _read(self, request, query):
        start = int(query['From'])
        limit = int(query.get('MaxKb', 1024)) * 1024
        until_s = time.monotonic() + int(query.get('WaitMs', 0)) / 1000
        with self._changed:
            topic = self._topics[query['Topic']]
            while len(topic) <= start:
                left_s = until_s - time.monotonic()
                if left_s <= 0:
                    break
                self._changed.wait(left_s)
            body = PAGE.pack(len(topic), 0)
            for record in topic[start:]:
                if len(body) > PAGE.size and len(body) > limit:
                    break
                body += LENGTH.pack(len(record)) + record
        _answer(request, 200, body, 'application/octet-stream')

    def _read_newest(self, request, query):
        with self._changed:
            topic = list(self._topics[query['Topic']])
        newest = {}
        for offset, record in enumerate(topic):
            end = 1 + record[0]
            key, value = record[1:end].decode(), record[end:]
            newest.pop(key, None)
            if value:
                newest[key] = {
                    'Key': key,
                    'Value': base64.b64encode(value).decode(),
                    'Offset': offset,
                }
        answer = {
            'Entries': list(newest.values()),
            'HasMore': False,
            'End': len(topic),
        }
        _answer(request, 200, json.dumps(answer).encode())

    def write(self, topic, key, value):
        """Writes a keyed record; the value None drops the key."""
        text = b'' if value is None else json.dumps(value).encode()
        name = key.encode()
        self.append(topic, [bytes([len(name)]) + name + text])


def _answer(request, status, body, kind='application/json'):
    try:
        request.send_response(status)
        request.send_header('Content-Type', kind)
        request.send_header('Content-Length', str(len(body)))
        request.end_headers()
        request.wfile.write(body)
    except OSError:
        request.close_connection = True


class Daemon:
    """One daemon as a separate process."""

    def __init__(self, name, platform, directory, **sections):
        self.name = name
        self.port = find_free_port()
        ready, metrics = find_free_port(), find_free_port()
        store_section = {
            'address': platform.address,
            'record_bytes': 262144,
            'call_bytes': 2097152,
            'retention_s': 300,
            'status_s': 120,
            'lease_ms': 3000,
            'drain_ms': 2000,
            'requires_fence': True,
            **sections.pop('store', {}),
        }
        settings = {
            'instance': name,
            'failure_domain': 'zone-a',
            'http_address': f'127.0.0.1:{self.port}',
            'ready_address': f'127.0.0.1:{ready}',
            'metrics_address': f'127.0.0.1:{metrics}',
            'store': store_section,
            'resources': {
                'processor_share': 0.717,
                'processor_speed': 3,
                'memory_mb': 190,
                'descriptors': 8200,
            },
            'timing': {'leave_ms': 3000, 'drain_ms': 3500},
            'limits': {'request_bytes': 33554432},
            **sections,
        }
        self._ready = ready
        self._path = pathlib.Path(directory) / f'{name}.json'
        self._path.write_text(json.dumps(settings))
        self._log = pathlib.Path(directory) / f'{name}.log'
        self.start()

    def start(self):
        """Starts the process."""
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'LENTILDEAL_NODE_FILE': str(self._path),
            'EVENTLET_NO_GREENDNS': 'yes',
        }
        with self._log.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, 'deploy/lentildeald.py'],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def is_ready(self):
        """Whether the readiness check answers 200."""
        try:
            return call(self._ready, 'GET', '/ready', timeout_s=2)[0] == 200
        except OSError:
            return False

    def signal(self, number):
        """Sends a signal."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """Kills the process and waits for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()

    def read_events(self, name=''):
        """Returns its log events of a name."""
        found = []
        for line in self._log.read_text(errors='replace').splitlines():
            if line.startswith('{'):
                event = json.loads(line)
                if name in ('', event.get('event')):
                    found.append(event)
        return found

    def read_log(self):
        """Returns its output."""
        return self._log.read_text(errors='replace')


def call(port, method, path, body=None, headers=None, timeout_s=10.0):
    """Sends a request on a new connection.

    Returns status, headers by lower-case name, and body.

    Raises:
        OSError: There was no complete answer.
    """
    connection = http.client.HTTPConnection('127.0.0.1', port, timeout_s)
    connection.timeout = timeout_s
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        found = {k.lower(): v for k, v in response.getheaders()}
        return response.status, found, response.read()
    except http.client.HTTPException as error:
        raise ConnectionError(repr(error)) from error
    finally:
        connection.close()


def wait_for(condition, what, limit_s=30.0):
    """Waits for a condition; raises TimeoutError if it does not come."""
    until_s = time.monotonic() + limit_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > until_s:
            raise TimeoutError(what)
        time.sleep(0.02)


def make_entry(service, address, models=(), state='ready', born=None):
    """Makes the directory entry of a replica."""
    return {
        'Service': service,
        'Address': address,
        'Zone': 'zone-a',
        'Version': 'v1',
        'Slots': 6,
        'State': state,
        'ColdRemainingMs': 0,
        'Models': [
            {'Name': name, 'Version': version, 'Adapters': []}
            for name, version in dict(models).items()
        ],
        'Sequence': 1,
        'born': int(time.time() * 1000) if born is None else born,
    }


def make_text(version, routes, services, **fields):
    """Makes a manifest."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': services,
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 33554432,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        **fields,
    }


class World:
    """Temporary folder, store and daemons; a context manager."""

    def __init__(self):
        self.directory = tempfile.mkdtemp(prefix='review-')
        self.store = Store()
        self.daemons = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for daemon in self.daemons:
            daemon.kill()
        shutil.rmtree(self.directory, ignore_errors=True)

    def start_daemons(self, count, **sections):
        """Starts daemons and waits until they are ready."""
        first = len(self.daemons)
        for number in range(first, first + count):
            self.daemons.append(
                Daemon(
                    f'front-{number}', self.store, self.directory, **sections
                )
            )
        for daemon in self.daemons[first:]:
            wait_for(daemon.is_ready, f'{daemon.name} is ready')


def run(main, record_path, has_trouble):
    """Runs a case; exits with 0 (held), 1 (broken) or 2 (could not run).

    Ends its daemons also when it is told to stop.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(record_path)
    status = 2
    try:
        with World() as world:
            broken = main(world, record, has_trouble)
        status = 1 if broken else 0
        record.write('result:', 'the rule was broken' if broken else 'held')
    except Exception as error:
        record.write('could not run:', repr(error))
    sys.exit(status)
