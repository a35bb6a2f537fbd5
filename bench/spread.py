"""Cost of reading a text and the log, and spread of a text over daemons.

``python -m bench.spread`` prints the CPU time of checking texts with several
numbers of replicas, and the time from the append of an edit until all of N
daemons name its revision, as a part of the bound of 6 s. The cost of a poll
comes from the CPU of one idle daemon at several intervals of its log reads.
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

REPLICAS = (260, 1300, 2600)
REPLICAS_PER_TARGET = 100
DAEMONS = (4, 8, 16)
EDITS = 5
BOUND_S = 6.0
REPEATS = 5
POLL_MS = (50, 100, 200, 1000)
IDLE_S = 6.0


def make_text(replicas: int, deadline_ms: int = 2000) -> str:
    """Text with so many replicas in 16 domains, and one service."""
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
    for replicas in REPLICAS:
        text = make_text(replicas)
        started_s = time.process_time()
        for _ in range(REPEATS):
            checks.check_text(text)
        spent_s = (time.process_time() - started_s) / REPEATS
        print(
            f'text of {replicas} replicas: {len(text)} bytes,'
            f' checked in {spent_s * 1000:.1f} ms of CPU',
            flush=True,
        )


def measure_spread(count: int) -> None:
    """Prints how long edits take to be in effect at so many daemons."""
    with federation_module.Federation() as federation:
        base = federation.publish(make_text(REPLICAS[0]))
        half = count // 2
        daemons = federation.add_daemons({'a': half, 'b': count - half})
        spreads_s = []
        for number in range(EDITS):
            started_s = time.monotonic()
            text = make_text(REPLICAS[0], 1000 + number)
            base = federation.publish(text, base, f'edit-{number}')
            wait_for_revision(daemons, base)
            spreads_s.append(time.monotonic() - started_s)
    longest_s = max(spreads_s)
    print(
        f'{count} daemons: longest of {EDITS} edits {longest_s:.3f} s,'
        f' {longest_s / BOUND_S * 100:.1f} % of the bound',
        flush=True,
    )


def wait_for_revision(daemons: list, revision: int) -> None:
    """Waits until each daemon names the revision or a later one."""
    for daemon in daemons:
        processes.wait_for(
            lambda daemon=daemon: (
                daemon.call('GET', '/v1/status')[1]['revision'] >= revision
            ),
            f'{daemon.name} names {revision}',
        )


def measure_polls() -> None:
    """Prints the CPU of one poll of a stream, by least squares."""
    points = []
    for poll_ms in POLL_MS:
        with federation_module.Federation() as federation:
            federation.publish(make_text(REPLICAS[0]))
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
    """User and system time of a process, in seconds."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = stat.rpartition(') ')[2].split()
    return (int(fields[11]) + int(fields[12])) / capacity.TICKS_PER_S


def main() -> None:
    """Runs all three."""
    measure_checks()
    measure_polls()
    for count in DAEMONS:
        measure_spread(count)


if __name__ == '__main__':
    main()
