"""Starts a small deployment on loopback addresses and plays its clients."""

import base64
import http.client
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

LIB = pathlib.Path(__file__).resolve().parent
ROOT = LIB.parent.parent
HOST = 'ficu95.example'
LOTS = '/pufi791/'
SAFE = '/lohu930/'
ENGINES = 'huvo11a'
PLAIN = 'wuno96b'
CAN_NOT_RUN = 2
LONGEST_S = 112


def read_deploy_command():
    """The command that starts the daemon, from the deploy file."""
    import tomllib
    text = (ROOT / 'deploy' / 'system.toml').read_text()
    role = tomllib.loads(text)['roles']['entry']
    words = role['run'].split()
    return [sys.executable if words[0] == 'python3' else words[0],
            *words[1:]], role.get('env', {})


_ports = set()


def free_port():
    while True:
        with socket.socket() as found:
            found.bind(('127.0.0.1', 0))
            port = found.getsockname()[1]
        if port not in _ports:
            _ports.add(port)
            return port


class Process:
    """A process that this run started; ended by its id."""

    def __init__(self, name, words, directory, env=None, cwd=None,
                 reads_port=False):
        self.name = name
        self.words, self.directory = words, directory
        self.env, self.cwd = env, cwd
        self.log = open(directory / f'{name}.log', 'ab')
        self.process = subprocess.Popen(
            words, cwd=cwd, env=env, stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE if reads_port else self.log,
            stderr=self.log)
        self.port = int(self.process.stdout.readline()) if reads_port else 0

    @property
    def address(self):
        return f'127.0.0.1:{self.port}'

    @property
    def is_running(self):
        return self.process.poll() is None

    def signal(self, number):
        if self.is_running:
            self.process.send_signal(number)

    def kill(self):
        if self.is_running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()

    def cpu_s(self):
        """Processor time that the process has used."""
        fields = pathlib.Path(f'/proc/{self.process.pid}/stat').read_text()
        user, system = fields.rpartition(')')[2].split()[11:13]
        return (int(user) + int(system)) / os.sysconf('SC_CLK_TCK')


class Daemon(Process):
    """A daemon, started by the command of the deploy file."""

    def __init__(self, deployment, name, zone, sections=None, port=None):
        self.deployment, self.zone = deployment, zone
        self.sections = sections or {}
        port = port or free_port()
        self.ready_port = free_port()
        fields = {
            'instance': name,
            'failure_domain': zone,
            'http_address': f'127.0.0.1:{port}',
            'ready_address': f'127.0.0.1:{self.ready_port}',
            'metrics_address': f'127.0.0.1:{free_port()}',
            'store': {
                'address': deployment.store_address,
                'record_bytes': 262144, 'call_bytes': 2097152,
                'retention_s': 300, 'status_s': 120, 'lease_ms': 3000,
                'drain_ms': 2000, 'requires_fence': True},
            'resources': {'processor_share': 0.717, 'processor_speed': 3,
                          'memory_mb': 350, 'descriptors': 8200},
            'timing': {'leave_ms': 3000, 'drain_ms': 3500},
            'limits': {'request_bytes': 33554432},
            **self.sections}
        path = deployment.directory / f'{name}.jsonc'
        path.write_text(json.dumps(fields))
        words, more = read_deploy_command()
        env = {k: os.environ[k] for k in ('PATH', 'HOME', 'LANG')
               if k in os.environ}
        env.update(more, LENTILDEAL_NODE_FILE=str(path),
                   PYTHONPATH=str(ROOT / 'target' / 'deps'),
                   PYTHONDONTWRITEBYTECODE='1')
        super().__init__(name, words, deployment.directory, env, ROOT)
        self.port = port

    def is_ready(self, timeout_s=0.9):
        try:
            return call(self.ready_port, 'GET', '/ready',
                        timeout_s=timeout_s)[0] == 200
        except (OSError, http.client.HTTPException):
            return False


def call(port, method, path, headers=None, body=None, timeout_s=5.0):
    """Makes a call on a new connection: status, headers, body."""
    connection = http.client.HTTPConnection('127.0.0.1', port,
                                            timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


class Deployment:
    """Store, replicas and daemons, with a record of what happened."""

    def __init__(self, folder):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.started = time.monotonic()
        self.record_path = pathlib.Path(folder) / 'record.txt'
        self.record = open(self.record_path, 'w', buffering=1)
        self.lock = threading.Lock()
        self.processes = []
        self.daemons = []
        self.replicas = {}
        self.rotation = set()
        self.misses = {}
        self.ids = random.Random(7)
        self.manifest_version = 0
        self.journal = self.directory / 'replicas.jsonl'
        self.journal.touch()
        self.is_over = False

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        with self.lock:
            self.record.write(f'{self.now():8.3f} {text}\n')

    def new_id(self):
        with self.lock:
            return f'{self.ids.getrandbits(64):016x}'

    def add(self, process):
        self.processes.append(process)
        self.note(f'started {process.name} at port {process.port}')
        return process

    def start_stand_in(self, name, script, *arguments):
        return self.add(Process(
            name, [sys.executable, str(LIB / script), *arguments],
            self.directory, reads_port=True))

    def start_store(self):
        self.store = self.start_stand_in('store', 'store.py')
        self.store_address = self.store.address

    def start_replica(self, name, service, zone, **options):
        options = {'id': name, 'journal': str(self.journal), **options}
        process = self.start_stand_in(name, 'replica.py', json.dumps(options))
        self.replicas[name] = process
        process.entry = {
            'Service': service, 'Address': process.address, 'Zone': zone,
            'Version': 1, 'Slots': options.get('slots', 12), 'State': 'ready',
            'ColdRemainingMs': 0, 'Sequence': 1,
            'born': int(time.time() * 1000), 'Stage': 'both',
            'Models': [{'Name': m, 'Version': 1, 'Adapters': []}
                       for m in options.get('models', ())]}
        self.write('keyed.servers', name, process.entry)
        return process

    def control(self, name, **options):
        self.note(f'control of {name}: {options}')
        _, _, body = call(self.replicas[name].port, 'POST', '/control',
                          body=json.dumps(options).encode())
        return json.loads(body)

    def write(self, topic, key, value):
        """Writes a record of the operator, a trainer or a replica."""
        data = bytes([len(key)]) + key.encode()
        data += b'' if value is None else json.dumps(value).encode()
        status, _, _ = call(
            self.store.port, 'POST', f'/log-append?Topic={topic}&part=0',
            body=struct.pack('>I', len(data)) + data)
        self.note(f'{topic} {key}: {value if topic != "keyed.op" else ""}')
        assert status == 200, status

    def write_manifest(self, models, **changes):
        self.manifest_version += 3
        safe = {'Name': 'r-safe', 'Host': HOST, 'PathPrefix': SAFE,
                'Kind': 'safe', 'TimeoutMs': 800, 'TargetLatencyMs': 191,
                'Priority': 2, 'Service': PLAIN, 'MaxAttempts': 2,
                **changes.get('safe', {})}
        lots = {'Name': 'r-lots', 'Host': HOST, 'PathPrefix': LOTS,
                'Kind': 'rollout', 'TimeoutMs': 10000,
                'TargetLatencyMs': 400, 'Priority': 1, 'Service': ENGINES,
                'MaxAttempts': 3, 'RetentionS': 40.0, 'DeadlineMs': 7500,
                'SingleVersion': False, 'Sticky': True, 'Resumable': True,
                **changes.get('lots', {})}
        self.write('keyed.op', 'config', {
            'Version': self.manifest_version, 'Routes': [lots, safe],
            'Services': [
                {'Name': ENGINES, 'HealthPath': '/healthz',
                 'MaxConnections': 300, 'Protocol': 'h1', 'Tls': False,
                 'Engine': {'Slots': 12, 'KvCapacityTokens': 102972,
                            'Stride': 72,
                            'Models': [{'Name': m} for m in models]}},
                {'Name': PLAIN, 'HealthPath': '/healthz',
                 'MaxConnections': 192, 'Protocol': 'h1', 'Tls': False}],
            'Limits': {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 33554432,
                       'HeaderTimeoutMs': 3000, 'IdleTimeoutMs': 15000},
            **changes.get('more', {})})

    def start_daemon(self, name, zone='z-a', sections=None, port=None):
        daemon = self.add(Daemon(self, name, zone, sections, port))
        self.daemons.append(daemon)
        return daemon

    def wait_ready(self, timeout_s=25.0):
        until = time.monotonic() + timeout_s
        while not all(d.is_ready() for d in self.daemons):
            if time.monotonic() > until:
                raise RuntimeError('the daemons are not ready')
            time.sleep(0.2)
        self.rotation = set(self.daemons)
        self.note('all daemons are ready')
        threading.Thread(target=self._balance, daemon=True).start()

    def _balance(self):
        """Status checks of the platform's balancer, once a second."""
        while not self.is_over:
            begun = time.monotonic()
            threads = [threading.Thread(target=self._check, args=(d,))
                       for d in list(self.daemons)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            time.sleep(max(0.0, begun + 1.0 - time.monotonic()))

    def _check(self, daemon):
        if daemon.is_ready():
            if daemon not in self.rotation:
                self.note(f'balancer: {daemon.name} is in rotation')
            self.misses[daemon] = 0
            self.rotation.add(daemon)
            return
        self.misses[daemon] = self.misses.get(daemon, 0) + 1
        if self.misses[daemon] == 2:
            self.note(f'balancer: {daemon.name} is out of rotation')
            self.rotation.discard(daemon)

    def choose_daemon(self, rng, tried=()):
        """Daemon of a new connection; all if few are in rotation."""
        found = [d for d in self.daemons if d in self.rotation]
        if 2 * len(found) < len(self.daemons):
            found = list(self.daemons)
        return rng.choice([d for d in found if d not in tried] or found)

    def read_runs(self):
        rows = []
        for line in self.journal.read_text().splitlines():
            row = json.loads(line)
            row['t'] = round(row['t'] - self.started, 3)
            rows.append(row)
        return rows

    def finish(self):
        """Ends all processes, writes what ran, removes the folder."""
        self.is_over = True
        for process in reversed(self.processes):
            process.kill()
        with self.lock:
            self.record.write('what the replicas saw:\n')
            for row in self.read_runs():
                self.record.write(json.dumps(row) + '\n')
        keep = os.environ.get('KEEP')
        if keep:
            print('kept', self.directory)
        else:
            shutil.rmtree(self.directory)


class Trainer:
    """A client with batch jobs; each call is on a new connection."""

    def __init__(self, deployment, model, seed=1):
        self.deployment, self.model = deployment, model
        self.rng = random.Random(seed)
        self.steps = itertools.count()

    def call(self, method, path, headers=None, body=None, tries=6,
             wait_s=2.5, daemon=None):
        """Calls until an answer is final: daemon, status, body."""
        tried = []
        for _ in range(tries):
            chosen = daemon or self.deployment.choose_daemon(self.rng, tried)
            tried.append(chosen)
            try:
                status, found, data = call(
                    chosen.port, method, path,
                    {'Host': HOST, **(headers or {})}, body, wait_s)
            except (OSError, http.client.HTTPException) as error:
                self.deployment.note(
                    f'{method} {path} at {chosen.name}: {error!r}')
                time.sleep(0.1)
                continue
            if status in (200, 202, 400, 401, 404):
                return chosen, status, data
            self.deployment.note(
                f'{method} {path} at {chosen.name}: {status}')
            time.sleep(min(1.0, float(found.get('Retry-After', 0.2))))
        return None, None, b''

    def submit(self, groups, size, min_version=1, job_id=None, entries=None,
               headers=None, **options):
        job_id = job_id or self.deployment.new_id()
        if entries is None:
            entries = self.make_entries(groups, size)
        body = json.dumps({
            'Step': next(self.steps), 'Model': self.model,
            'MinVersion': min_version, 'BatchGroups': max(1, groups),
            'Entries': entries}).encode()
        daemon, status, _ = self.call(
            'POST', LOTS + job_id[:6],
            {'Lentildeal-Request-Id': job_id, **(headers or {}),
             'Content-Type': 'application/json'}, body, **options)
        self.deployment.note(
            f'job {job_id} of {self.model}, {len(entries)} items: {status}'
            f' at {daemon.name if daemon else "no daemon"};'
            f' {" ".join(e["Id"] for e in entries)}')
        return job_id, status, [e['Id'] for e in entries]

    def make_entries(self, groups, size, tokens='540,400'):
        entries = []
        for _ in range(groups):
            group = 'g' + self.deployment.new_id()[:6]
            for _ in range(size):
                entries.append({
                    'Id': self.deployment.new_id(), 'Group': group,
                    'Path': LOTS + '3/91c4', 'Tokens': 940,
                    'Body': base64.b64encode(b'prompt').decode(),
                    'Headers': {'Lentildeal-Model': self.model,
                                'Lentildeal-Token-Usage': tokens,
                                'Lentildeal-Prompt-Prefix': '9c2e41:300'}})
        return entries

    def read(self, job_id, after=0, **options):
        """One read: status, document and daemon."""
        daemon, status, data = self.call(
            'GET', f'/lots/{job_id}?After={after}',
            {'Lentildeal-Wait-Ms': '1000'}, **options)
        page = json.loads(data) if status == 200 else {}
        if page.get('Results'):
            self.deployment.note(
                f'results of job {job_id} from {after} at {daemon.name}:'
                + ''.join(f' {r["Id"]} {r["State"]} {len(r["Text"])} B'
                          for r in page['Results']))
        return status, page, daemon

    def read_until(self, job_id, count, until_s):
        """Reads twice a second until there are results or time is up."""
        results = []
        while time.monotonic() < until_s and len(results) < count:
            status, page, _ = self.read(job_id, len(results), tries=1)
            results += page.get('Results', [])
            if status != 200:
                time.sleep(0.4)
        return results

    def end(self, job_id, **options):
        daemon, status, _ = self.call('DELETE', f'/lots/{job_id}', **options)
        self.deployment.note(
            f'end of job {job_id}: {status} at'
            f' {daemon.name if daemon else "no daemon"}')
        return status


class SafeClient(threading.Thread):
    """Sends safe requests on a kept connection, one at a time."""

    def __init__(self, deployment, seed, pause_s, timeout_ms, wait_ms):
        super().__init__(daemon=True)
        self.deployment, self.pause_s = deployment, pause_s
        self.timeout_ms, self.wait_ms = timeout_ms, wait_ms
        self.rng = random.Random(seed)
        self.rows = []

    def run(self):
        connection, daemon = None, None
        while not self.deployment.is_over:
            if connection is None:
                daemon = self.deployment.choose_daemon(self.rng)
                connection = http.client.HTTPConnection(
                    '127.0.0.1', daemon.port, timeout=self.wait_ms / 1000)
            request_id = self.deployment.new_id()
            sent = time.monotonic()
            row = {'at': round(self.deployment.now(), 3), 'id': request_id,
                   'daemon': daemon.name, 'status': None}
            try:
                connection.request(
                    'POST', SAFE + '2f', b'bytes',
                    {'Host': HOST, 'Lentildeal-Request-Id': request_id,
                     'Lentildeal-Deadline-Ms': str(self.wait_ms)})
                response = connection.getresponse()
                row['body'] = response.read().decode()
                row['status'] = response.status
                row['stamp'] = response.headers.get(
                    'Lentildeal-Response-Stamp')
                if response.headers.get('Connection') == 'close':
                    connection.close()
                    connection = None
            except (OSError, http.client.HTTPException) as error:
                row['error'] = repr(error)[:60]
                connection.close()
                connection = None
            row['ms'] = int((time.monotonic() - sent) * 1000)
            if self.deployment.is_over:
                return
            self.rows.append(row)
            self.deployment.note('safe ' + json.dumps(row))
            time.sleep(self.pause_s)


def _stop(number, _):
    raise RuntimeError(f'ended by signal {number}')


def run(folder, play):
    """Runs a case; its exit status is that of the program."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    deployment = Deployment(folder)
    # All processes are ended also if the run takes too long or is ended.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, _stop)
    signal.alarm(LONGEST_S)
    status = CAN_NOT_RUN
    try:
        deployment.note(f'TROUBLE={int(trouble)}')
        status = 1 if play(deployment, trouble) else 0
    except Exception as error:
        deployment.note(f'the case could not run: {error!r}')
        import traceback
        deployment.record.write(traceback.format_exc())
    finally:
        signal.alarm(0)
        deployment.finish()
    deployment.record.write(f'exit status {status}\n')
    print(f'{folder}: exit status {status}')
    return status
