"""Benchmark of the cost of peers and members for a daemon.

``python -m bench.capacity`` prints one line for each point and the slopes
that docs/CAPACITY.md quotes. The measured daemon is one process; its peers
share a few processes. All use the loopback interface.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
import typing
import urllib.request

from lentildeal._internal.membership import rendezvous

MEASURED_INSTANCE = 'm0'
OWN_DOMAIN = 'own'
LOAD_PROCESSES = 4
SETTLE_S = 4.0
SAMPLE_S = 10.0
WAIT_S = 60.0
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
TICKS_PER_S = os.sysconf('SC_CLK_TCK')

PEER_POINTS = (20, 60, 120, 240)
MEMBER_POINTS = (0, 100, 200, 400)
MEMBER_SERIES_PEERS = 20
# The design size: 16 failure domains with 22 daemons each.
DESIGN_DOMAINS = 16
DESIGN_PER_DOMAIN = 22


@dataclasses.dataclass(frozen=True)
class Point:
    """One measurement of an idle daemon.

    Attributes:
        peers: Number of connected daemons.
        members: Number of known members.
        cpu_share: CPU time as a share of one core.
        memory_bytes: Resident memory.
        sent_bytes_s: Bytes per second to all peers.
        received_bytes_s: Bytes per second from all peers.
    """

    peers: int
    members: int
    cpu_share: float
    memory_bytes: int
    sent_bytes_s: float
    received_bytes_s: float


def make_peers(counts: dict[str, int], senders: typing.Optional[int]) -> list:
    """Makes the peers of each failure domain.

    Args:
        counts: Number of daemons by failure domain.
        senders: How many of each other domain send to the measured daemon;
            None for those that rendezvous hashing chooses.
    """
    result = []
    for domain, count in counts.items():
        names = [f'{domain}-{number}' for number in range(count)]
        sender_names = names[:senders]
        if domain == OWN_DOMAIN:
            sender_names = names
        elif senders is None:
            sender_names = rendezvous.choose_senders(MEASURED_INSTANCE, names)
        for name in names:
            result.append(
                {
                    'instance': name,
                    'failure_domain': domain,
                    'peer_address': f'127.0.0.1:{find_port()}',
                    'sends': name in sender_names,
                }
            )
    return result


def find_port() -> int:
    """Returns a free port of the loopback interface."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


class Measurement:
    """Processes of one measurement: a daemon and its peers."""

    def __init__(self, directory: pathlib.Path, peers: list) -> None:
        self._directory = directory
        self._peers = peers
        self._http_address = f'127.0.0.1:{find_port()}'
        self._peer_address = f'127.0.0.1:{find_port()}'
        self._processes: list[subprocess.Popen] = []

    def measure(self) -> Point:
        """Starts all, waits until all members are known, and measures."""
        try:
            self._start()
            self._wait_for_members(len(self._peers) + 1)
            time.sleep(SETTLE_S)
            return self._measure_rates()
        finally:
            for process in self._processes:
                process.kill()
                process.wait()

    def _start(self) -> None:
        spec = {
            'measured': MEASURED_INSTANCE,
            'measured_address': self._peer_address,
            'peers': self._peers,
            'seconds': WAIT_S + SETTLE_S + SAMPLE_S,
        }
        spec_path = self._write('spec.json', spec)
        list_entries = [
            {
                'instance': peer['instance'],
                'failure_domain': peer['failure_domain'],
                'peer_address': peer['peer_address'],
                'http_address': '127.0.0.1:1',
            }
            for peer in [*self._peers, self._make_own_entry()]
        ]
        list_path = self._write('instances.json', list_entries)
        settings_path = self._write(
            'settings.json', self._make_settings(list_path)
        )
        for part in range(LOAD_PROCESSES):
            arguments = [str(spec_path), str(part), str(LOAD_PROCESSES)]
            self._spawn('bench.peer_load', arguments)
        self._spawn('bench.minimal_daemon', [str(settings_path)])

    def _make_own_entry(self) -> dict:
        # A daemon that isn't on the instance list reads the list every 2 s.
        return {
            'instance': MEASURED_INSTANCE,
            'failure_domain': OWN_DOMAIN,
            'peer_address': self._peer_address,
        }

    def _make_settings(self, list_path: pathlib.Path) -> dict:
        unused = {'url': 'http://127.0.0.1:1'}
        return {
            'instance': MEASURED_INSTANCE,
            'failure_domain': OWN_DOMAIN,
            'http_address': self._http_address,
            'peer_address': self._peer_address,
            'platform': {
                'log': unused,
                'weights': unused,
                'instances': {'url': str(list_path), 'adapter': 'file'},
            },
            'logging': {'level': 'ERROR'},
        }

    def _write(self, name: str, value: typing.Any) -> pathlib.Path:
        path = self._directory / name
        path.write_text(json.dumps(value))
        return path

    def _spawn(self, module: str, arguments: list[str]) -> None:
        command = [sys.executable, '-W', 'ignore', '-m', module, *arguments]
        self._processes.append(subprocess.Popen(command))

    def _get(self, path: str) -> str:
        url = f'http://{self._http_address}{path}'
        with urllib.request.urlopen(url, timeout=10) as response:
            return response.read().decode()

    def _wait_for_members(self, count: int) -> None:
        until_s = time.monotonic() + WAIT_S
        while time.monotonic() < until_s:
            try:
                status = json.loads(self._get('/v1/status'))
            except OSError:
                status = {'member_counts': {}}
            if status['member_counts'].get('live', 0) >= count:
                return
            time.sleep(0.2)
        raise TimeoutError(f'{status["member_counts"]} of {count} members')

    def _measure_rates(self) -> Point:
        before = self._read_counters()
        started_s = time.monotonic()
        time.sleep(SAMPLE_S)
        after = self._read_counters()
        elapsed_s = time.monotonic() - started_s
        rates = {
            name: (after[name] - before[name]) / elapsed_s for name in after
        }
        return Point(
            peers=sum(peer['sends'] for peer in self._peers),
            members=len(self._peers) + 1,
            cpu_share=rates['cpu'],
            memory_bytes=self._read_memory(),
            sent_bytes_s=rates['sent'],
            received_bytes_s=rates['received'],
        )

    def _read_counters(self) -> dict[str, float]:
        metrics = {}
        for line in self._get('/metrics').splitlines():
            name, _, value = line.rpartition(' ')
            metrics[name] = value
        sent = 'lentildeal_peer_bytes_total{direction="sent"}'
        received = 'lentildeal_peer_bytes_total{direction="received"}'
        stat = self._read_proc('stat').rpartition(') ')[2].split()
        return {
            'cpu': (int(stat[11]) + int(stat[12])) / TICKS_PER_S,
            'sent': float(metrics[sent]),
            'received': float(metrics[received]),
        }

    def _read_memory(self) -> int:
        return int(self._read_proc('statm').split()[1]) * PAGE_BYTES

    def _read_proc(self, name: str) -> str:
        pid = self._processes[-1].pid
        return pathlib.Path(f'/proc/{pid}/{name}').read_text()


def fit_slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Returns slope and value at 0 of a least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    numerator = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = numerator / sum((x - mean_x) ** 2 for x, _ in points)
    return slope, mean_y - slope * mean_x


def print_slopes(name: str, axis: str, points: list[Point]) -> None:
    """Prints the slope of each figure over one axis, a field of Point."""
    figures = (
        ('cpu_share', 1e6, 'microseconds of CPU a second'),
        ('memory_bytes', 1 / 1024, 'KiB'),
        ('sent_bytes_s', 1, 'bytes/s sent'),
        ('received_bytes_s', 1, 'bytes/s received'),
    )
    for field, scale, unit in figures:
        pairs = [(getattr(p, axis), getattr(p, field)) for p in points]
        slope, intercept = fit_slope(pairs)
        print(
            f'{name}: {slope * scale:.1f} {unit} each,'
            f' {intercept * scale:.0f} without any'
        )


def measure(counts: dict[str, int], senders: typing.Optional[int]) -> Point:
    """Measures and prints one point."""
    with tempfile.TemporaryDirectory() as directory:
        peers = make_peers(counts, senders)
        point = Measurement(pathlib.Path(directory), peers).measure()
    print(
        f'peers {point.peers} members {point.members}'
        f' cpu {point.cpu_share * 100:.2f} % of a core'
        f' memory {point.memory_bytes / 2**20:.1f} MiB'
        f' sent {point.sent_bytes_s:.0f} B/s'
        f' received {point.received_bytes_s:.0f} B/s',
        flush=True,
    )
    return point


def main() -> None:
    """Runs the series named on the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument(
        'series', nargs='*', default=['peers', 'members', 'design']
    )
    series = parser.parse_args().series
    if 'peers' in series:
        points = [measure({OWN_DOMAIN: n}, None) for n in PEER_POINTS]
        print_slopes('peer', 'peers', points)
    if 'members' in series:
        points = [
            measure({OWN_DOMAIN: MEMBER_SERIES_PEERS, 'far': n + 2}, 2)
            for n in MEMBER_POINTS
        ]
        print_slopes('member', 'members', points)
    if 'design' in series:
        counts = {OWN_DOMAIN: DESIGN_PER_DOMAIN - 1}
        for number in range(DESIGN_DOMAINS - 1):
            counts[f'd{number}'] = DESIGN_PER_DOMAIN
        measure(counts, None)


if __name__ == '__main__':
    main()
