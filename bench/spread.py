"""Benchmark of checking and distributing configuration texts.

``python -m bench.spread`` prints the CPU time of checking texts with several
numbers of replicas, and the time from the append of an edit until all of N
daemons report its revision, as a share of the bound of 6 s. It derives the
cost of a poll from the CPU time of one idle daemon at several poll intervals
of the log.
"""

from __future__ import annotations

import json
import pathlib
import time

from bench import capacity
from lentildeal._internal.config import checks
from tests.lib import builders
from tests.lib import federation as federation_module
from tests.lib import processes

REPLICA_COUNTS = (260, 1300, 2600)
REPLICAS_PER_TARGET = 100
DAEMON_COUNTS = (4, 8, 16)
EDIT_COUNT = 5
BOUND_S = 6.0
REPEATS = 5
POLL_INTERVALS_MS = (50, 100, 200, 1000)
IDLE_S = 6.0


def make_text(replicas: int, deadline_ms: int = 2000) -> str:
    """Text with the given number of replicas in 16 domains, one service."""
    targets = {}
    for start in range(0, replicas, REPLICAS_PER_TARGET):
        domains: dict[str, list[str]] = {}
        for number in range(start, min(replicas, start + 100)):
            address = f'10.{number // 250}.{number % 250}.1:8000'
            domains.setdefault(f'd{number % 16}', []).append(address)
        targets[f't{start}'] = builders.make_service_target(domains)
    services = {'s': {'club': 'c', 'target': 't0', 'deadline_ms': deadline_ms}}
    text = builders.make_text(targets, services)
    return json.dumps(text, indent=1)


def measure_checks() -> None:
    """Prints the CPU time of checking texts."""
    for replicas in REPLICA_COUNTS:
        text = make_text(replicas)
        started_s = time.process_time()
        for _ in range(REPEATS):
            checks.check_text(text)
        cpu_s = (time.process_time() - started_s) / REPEATS
        print(
            f'text of {replicas} replicas: {len(text)} bytes,'
            f' checked in {cpu_s * 1000:.1f} ms of CPU',
            flush=True,
        )


def measure_distribution(count: int) -> None:
    """Prints how long edits take to be in effect at ``count`` daemons."""
    with federation_module.Federation() as federation:
        base = federation.publish(make_text(REPLICA_COUNTS[0]))
        half = count // 2
        daemons = federation.add_daemons({'a': half, 'b': count - half})
        durations_s = []
        for number in range(EDIT_COUNT):
            started_s = time.monotonic()
            text = make_text(REPLICA_COUNTS[0], 1000 + number)
            base = federation.publish(text, base, f'edit-{number}')
            wait_for_revision(daemons, base)
            durations_s.append(time.monotonic() - started_s)
    longest_s = max(durations_s)
    print(
        f'{count} daemons: longest of {EDIT_COUNT} edits {longest_s:.3f} s,'
        f' {longest_s / BOUND_S * 100:.1f} % of the bound',
        flush=True,
    )


def wait_for_revision(daemons: list, revision: int) -> None:
    """Waits until each daemon reports the revision or a later one."""
    for daemon in daemons:
        processes.wait_for(
            lambda daemon=daemon: (
                daemon.call('GET', '/v1/status')[1]['revision'] >= revision
            ),
            f'{daemon.name} names {revision}',
        )


def measure_polls() -> None:
    """Prints the CPU time of one poll of all streams, by least squares."""
    points = []
    for poll_ms in POLL_INTERVALS_MS:
        with federation_module.Federation() as federation:
            federation.publish(make_text(REPLICA_COUNTS[0]))
            (daemon,) = federation.add_daemons(
                {'a': 1}, timing={'log_poll_ms': poll_ms}
            )
            time.sleep(1.0)
            before_s = read_cpu_s(daemon.pid)
            time.sleep(IDLE_S)
            share = (read_cpu_s(daemon.pid) - before_s) / IDLE_S
        points.append((1000 / poll_ms, share))
        print(
            f'polls {1000 / poll_ms:.0f}/s of each stream:'
            f' {share * 100:.2f} % of a core',
            flush=True,
        )
    slope, start = capacity.fit_slope(points)
    print(
        f'poll of all streams: {slope * 1e6:.0f} us of CPU,'
        f' {start * 100:.2f} % without any'
    )


def read_cpu_s(pid: int) -> float:
    """User and system CPU time of a process, in seconds."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = stat.rpartition(') ')[2].split()
    return (int(fields[11]) + int(fields[12])) / capacity.TICKS_PER_S


def main() -> None:
    """Runs all three benchmarks."""
    measure_checks()
    measure_polls()
    for count in DAEMON_COUNTS:
        measure_distribution(count)


if __name__ == '__main__':
    main()
