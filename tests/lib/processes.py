"""Starts stand-ins and daemons as processes and ends them by their id."""

from __future__ import annotations

import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing
import urllib.error
import urllib.request

from tests.lib import builders

ROOT = pathlib.Path(__file__).resolve().parents[2]
DAEMON = 'lentildeal._internal.kernel.main'
HTTP_TIMEOUT_S = 10.0
# Generous, because the machine may be busy; no test waits this long when
# its condition holds.
WAIT_S = 30.0
POLL_S = 0.02
# Ports for daemons lie below the range that the kernel hands out, so that no
# outgoing connection takes a port between its choice and its use.
FIRST_PORT = 12_000
PORTS = 16_000
# Bound for as long as this process runs, see find_free_port().
_claims: list[socket.socket] = []


def wait_for(
    condition: typing.Callable[[], typing.Any],
    what: str,
    limit_s: float = WAIT_S,
) -> typing.Any:
    """Waits for a condition and returns its first true value.

    Raises:
        TimeoutError: The condition did not hold in time.
    """
    until_s = time.monotonic() + limit_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > until_s:
            raise TimeoutError(f'{what}: not within {limit_s:.0f} s')
        time.sleep(POLL_S)


def find_free_port() -> int:
    """Finds a loopback port that nobody listens on.

    The UDP port of the same number is bound until this process ends, so that
    tests and soaks that run beside each other choose different ports, also
    before their daemons listen.
    """
    start = (os.getpid() * 61 + time.monotonic_ns()) % PORTS
    for offset in range(PORTS):
        port = FIRST_PORT + (start + offset) % PORTS
        claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            claim.bind(('127.0.0.1', port))
            with socket.socket() as probe:
                probe.bind(('127.0.0.1', port))
        except OSError:
            claim.close()
            continue
        _claims.append(claim)
        return port
    raise OSError('no free port')


def call(
    method: str,
    url: str,
    value: typing.Any = None,
    headers: typing.Optional[dict[str, str]] = None,
) -> tuple[int, typing.Any]:
    """Calls over HTTP; returns the status and the decoded JSON or bytes.

    Raises:
        OSError: There was no answer.
    """
    body = None if value is None else json.dumps(value).encode()
    request = urllib.request.Request(
        url,
        body,
        {'Content-Type': 'application/json', **(headers or {})},
        method=method,
    )
    try:
        with urllib.request.urlopen(
            request, timeout=HTTP_TIMEOUT_S
        ) as response:
            return response.status, _decode(response.read())
    except urllib.error.HTTPError as error:
        with error:
            return error.code, _decode(error.read())


def _decode(body: bytes) -> typing.Any:
    try:
        return json.loads(body)
    except ValueError:
        return body


class Process:
    """One started process.

    Attributes:
        name: For messages and the file of its standard error.
        port: Port that it serves HTTP on.
        error_path: File with its standard error.
        output_path: File with the standard output of a daemon.
    """

    def __init__(
        self,
        name: str,
        arguments: typing.Sequence[str],
        directory: pathlib.Path,
        port: typing.Optional[int] = None,
    ) -> None:
        self.name = name
        self.error_path = directory / f'{name}.err'
        path = os.pathsep.join([str(ROOT / 'src'), str(ROOT)])
        self.output_path = directory / f'{name}.out'
        with (
            self.error_path.open('ab') as errors,
            self.output_path.open('ab') as output,
        ):
            self._process = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output if port else subprocess.PIPE,
                stderr=errors,
                cwd=ROOT,
                env={**os.environ, 'PYTHONPATH': path},
            )
        self.port = port or self._read_port()

    @property
    def address(self) -> str:
        """Address "ip:port"."""
        return f'127.0.0.1:{self.port}'

    @property
    def url(self) -> str:
        """Base URL."""
        return f'http://{self.address}'

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def exit_status(self) -> typing.Optional[int]:
        """Exit status, None while it runs."""
        return self._process.poll()

    @property
    def errors(self) -> str:
        """Standard error so far."""
        return self.error_path.read_text(errors='replace')

    def call(
        self, method: str, path: str, value: typing.Any = None, **headers: str
    ) -> tuple[int, typing.Any]:
        """Calls this process; a header ``a_b`` is sent as ``a-b``."""
        named = {k.replace('_', '-'): v for k, v in headers.items()}
        return call(method, self.url + path, value, named)

    def set_faults(self, **switches: typing.Any) -> None:
        """Sets fault switches of a stand-in."""
        status, answer = self.call('POST', '/faults', switches)
        if status != 200:
            raise ValueError(f'{self.name}: {answer}')

    def read_journal(self) -> dict:
        """Reads the journal of a stand-in."""
        return self.call('GET', '/journal')[1]

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, such as SIGSTOP or SIGCONT."""
        if self.exit_status is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Ends it without warning and waits for its end."""
        self.signal(signal.SIGKILL)
        self._process.wait()

    def terminate(self) -> None:
        """Asks it to end; returns at once."""
        self.signal(signal.SIGTERM)

    def wait(self, limit_s: float = WAIT_S) -> int:
        """Waits for its end and returns the exit status."""
        return self._process.wait(limit_s)

    def _read_port(self) -> int:
        line = self._process.stdout.readline()
        if not line.strip().isdigit():
            self.kill()
            raise RuntimeError(f'{self.name} printed no port: {self.errors}')
        return int(line)


class Launcher:
    """Processes of one test; a context manager that ends them all."""

    def __init__(self) -> None:
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix='lentildeal-'))
        self._processes: list[Process] = []

    def __enter__(self) -> Launcher:
        return self

    def __exit__(self, *_: typing.Any) -> None:
        self.close()

    def close(self) -> None:
        """Kills everything that was started here."""
        for process in self._processes:
            # A stopped process takes SIGKILL too.
            process.kill()
        shutil.rmtree(self.directory, ignore_errors=True)

    def start_stand_in(
        self,
        kind: str,
        *arguments: typing.Any,
        name: str = '',
        port: int = 0,
    ) -> Process:
        """Starts ``standins.<kind>``; keywords of the command line follow.

        Args:
            kind: Module in ``standins``.
            *arguments: Its arguments.
            name: Name in messages; the kind and a number without one.
            port: Port to bind, 0 for any.
        """
        name = name or f'{kind}{len(self._processes)}'
        words = [f'standins.{kind}', '--port', str(port)]
        words.extend(str(argument) for argument in arguments)
        return self.add(Process(name, words, self.directory))

    def start_daemon(
        self,
        instance: str,
        failure_domain: str,
        platform: dict[str, str],
        **overrides: typing.Any,
    ) -> Daemon:
        """Starts a daemon; overrides are sections of its settings."""
        return self.add(
            Daemon(
                instance, failure_domain, platform, self.directory, overrides
            )
        )

    def add(self, process: typing.Any) -> typing.Any:
        """Takes over a process and ends it with the others."""
        self._processes.append(process)
        return process


class Daemon(Process):
    """One daemon with its own settings file.

    Attributes:
        failure_domain: Failure domain that it is in.
        peer_port: Port for other daemons.
    """

    def __init__(
        self,
        instance: str,
        failure_domain: str,
        platform: dict[str, str],
        directory: pathlib.Path,
        overrides: dict,
    ) -> None:
        self.failure_domain = failure_domain
        self.peer_port = find_free_port()
        port = find_free_port()
        while port == self.peer_port:
            port = find_free_port()
        text = builders.make_settings(
            instance,
            failure_domain,
            port,
            self.peer_port,
            platform,
            **overrides,
        )
        path = directory / f'{instance}.jsonc'
        path.write_text(text)
        super().__init__(instance, [DAEMON, str(path)], directory, port)

    @property
    def entry(self) -> dict:
        """Entry of the instance list."""
        return {
            'failure_domain': self.failure_domain,
            'peer_address': f'127.0.0.1:{self.peer_port}',
            'http_address': self.address,
        }

    def is_ready(self) -> bool:
        """Whether ``/readyz`` answers 200.

        Raises:
            RuntimeError: The daemon has ended.
        """
        if self.exit_status is not None:
            raise RuntimeError(f'{self.name} ended: {self.errors[-2000:]}')
        try:
            return self.call('GET', '/readyz')[0] == 200
        except OSError:
            return False
