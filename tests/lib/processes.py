"""Starts stand-ins and daemons as processes and stops them by their id."""

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
# Long enough for a busy machine; a test that passes doesn't wait this long.
WAIT_S = 30.0
POLL_S = 0.02
# Ports for daemons lie below the kernel's ephemeral range, so that no outgoing
# connection takes a port between its selection and its use.
FIRST_PORT = 12_000
PORT_COUNT = 16_000
# Sockets that reserve ports until this process ends; see find_free_port().
_reservations: list[socket.socket] = []
# Lines of each process that are kept when a test fails.
KEPT_LINES = 60
_open_launchers: list[Launcher] = []
# Outputs of the processes of launchers that an exception closed.
_kept_outputs: list[str] = []


def take_outputs() -> str:
    """Returns the last lines of the processes of a failed test."""
    found = [*_kept_outputs, *(x.format_outputs() for x in _open_launchers)]
    _kept_outputs.clear()
    return '\n'.join(found)


def wait_for(
    condition: typing.Callable[[], typing.Any],
    description: str,
    limit_s: float = WAIT_S,
) -> typing.Any:
    """Waits for a condition and returns its first true value.

    Args:
        condition: Called repeatedly until its value is true.
        description: Description of the condition for the error message.
        limit_s: Time limit.

    Raises:
        TimeoutError: The condition did not hold in time.
    """
    until_s = time.monotonic() + limit_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > until_s:
            raise TimeoutError(f'{description}: not within {limit_s:.0f} s')
        time.sleep(POLL_S)


def find_free_port() -> int:
    """Finds a loopback port without a listener and reserves it.

    The UDP port of the same number is bound until this process ends, so that
    tests and soak runs in parallel choose different ports, also before their
    daemons listen.
    """
    start = (os.getpid() * 61 + time.monotonic_ns()) % PORT_COUNT
    for offset in range(PORT_COUNT):
        port = FIRST_PORT + (start + offset) % PORT_COUNT
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reservation.bind(('127.0.0.1', port))
            with socket.socket() as probe:
                probe.bind(('127.0.0.1', port))
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        return port
    raise OSError('no free port')


def call(
    method: str,
    url: str,
    value: typing.Any = None,
    headers: typing.Optional[dict[str, str]] = None,
) -> tuple[int, typing.Any]:
    """Sends an HTTP request; returns the status and the JSON value or bytes.

    Raises:
        OSError: There was no response.
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
    """A started process.

    Attributes:
        name: Name in messages and in the names of its output files.
        port: HTTP port.
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
        """Sends a request; a header ``a_b`` is sent as ``a-b``."""
        header_fields = {k.replace('_', '-'): v for k, v in headers.items()}
        return call(method, self.url + path, value, header_fields)

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
        """Kills the process with SIGKILL and waits for its exit."""
        self.signal(signal.SIGKILL)
        self._process.wait()

    def terminate(self) -> None:
        """Sends SIGTERM; doesn't wait for the exit."""
        self.signal(signal.SIGTERM)

    def wait(self, limit_s: float = WAIT_S) -> int:
        """Waits for the exit and returns the exit status."""
        return self._process.wait(limit_s)

    def _read_port(self) -> int:
        line = self._process.stdout.readline()
        if not line.strip().isdigit():
            self.kill()
            raise RuntimeError(f'{self.name} printed no port: {self.errors}')
        return int(line)


class Launcher:
    """Processes of one test; a context manager that kills them all."""

    def __init__(self) -> None:
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix='lentildeal-'))
        self._processes: list[Process] = []
        _open_launchers.append(self)

    def __enter__(self) -> Launcher:
        return self

    def __exit__(self, error_type: typing.Any, *_: typing.Any) -> None:
        if error_type is not None:
            _kept_outputs.append(self.format_outputs())
        self.close()

    def format_outputs(self) -> str:
        """Formats the last lines that each process has written."""
        return '\n'.join(
            f'{process.name} {path.suffix}: {line}'
            for process in self._processes
            for path in (process.output_path, process.error_path)
            if path.exists()
            for line in path.read_text(errors='replace').splitlines()[
                -KEPT_LINES:
            ]
        )

    def close(self) -> None:
        """Kills all processes and removes their files."""
        if self in _open_launchers:
            _open_launchers.remove(self)
        for process in self._processes:
            # SIGKILL ends a process that SIGSTOP has stopped, too.
            process.kill()
        shutil.rmtree(self.directory, ignore_errors=True)

    def start_stand_in(
        self,
        kind: str,
        *arguments: typing.Any,
        name: str = '',
        port: int = 0,
    ) -> Process:
        """Starts the module ``standins.<kind>``.

        Args:
            kind: Module in ``standins``.
            *arguments: Command-line arguments.
            name: Name in messages; by default the kind and a number.
            port: Port to bind, 0 for any.
        """
        name = name or f'{kind}{len(self._processes)}'
        module_arguments = [f'standins.{kind}', '--port', str(port)]
        module_arguments.extend(str(argument) for argument in arguments)
        return self.add(Process(name, module_arguments, self.directory))

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
        """Registers a process to be killed with the others; returns it."""
        self._processes.append(process)
        return process


class Daemon(Process):
    """A daemon with its own settings file.

    Attributes:
        failure_domain: Failure domain of the daemon.
        peer_port: Port for connections from other daemons.
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
        """Entry of this daemon in the instance list."""
        return {
            'failure_domain': self.failure_domain,
            'peer_address': f'127.0.0.1:{self.peer_port}',
            'http_address': self.address,
        }

    def is_ready(self) -> bool:
        """Whether ``/readyz`` answers 200.

        Raises:
            RuntimeError: The daemon has exited.
        """
        if self.exit_status is not None:
            raise RuntimeError(f'{self.name} ended: {self.errors[-2000:]}')
        try:
            return self.call('GET', '/readyz')[0] == 200
        except OSError:
            return False
