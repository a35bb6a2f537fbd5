"""Runs two federations with live callers, trainers and faults.

Exit status 1 if a promise was broken that the journals can judge.
"""

from __future__ import annotations

import pathlib
import signal
import sys
import time

from demo import callers
from demo import evidence as evidence_module
from demo import judge
from demo import report
from demo import worlds
from standins import balancer
from standins import common
from tests.lib import processes

ROOT = pathlib.Path(__file__).resolve().parents[1]
EXAMPLES = ('glenmore.jsonc', 'zajednicka-dostava.jsonc')
CALLERS_PER_SERVICE = 2
# Times after the start of the callers, in seconds.
KILL_S = 5.0
DRAIN_S = 9.0
# The platform's load balancer learns of a planned stop with this lag.
BALANCER_LAG_S = 1.0
# A run that takes longer than this counts as failed.
LIMIT_S = 32.0
POLL_S = 0.05
# Longest wait for a trainer that is in the middle of a step, and the samples
# of the step that it must hold by then.
CHOICE_S = 4.0
MIN_HELD = 4


def main() -> int:
    """Runs the federations one after the other; arguments are texts."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    paths = [pathlib.Path(argument) for argument in sys.argv[1:]]
    broken = 0
    for path in paths or [ROOT / 'examples' / name for name in EXAMPLES]:
        broken += run_federation(path)
    print(f'\n{broken} broken cases in all')
    return 1 if broken else 0


def run_federation(path: pathlib.Path) -> int:
    """Runs one federation and returns the number of broken cases."""
    started_s = time.monotonic()
    world = worlds.World(path)
    try:
        print(
            f'\n== {world.name}: {len(world.daemons)} daemons,'
            f' {len(world.trainers)} trainers'
        )
        evidence = _run(world)
    finally:
        world.close()
    found = judge.judge(evidence)
    report.print_report(evidence, found)
    print(f'{time.monotonic() - started_s:.0f} s')
    return sum(len(cases) for cases in found.values())


def _run(world: worlds.World) -> evidence_module.Evidence:
    balance = balancer.Balancer([d.address for d in world.daemons])
    started_s = common.now_s()
    live = _start_callers(world, balance)
    for trainer in world.trainers.values():
        trainer.call('POST', '/start')
    first, last = list(world.trainers)[0], list(world.trainers)[-1]
    _sleep_until(started_s + KILL_S)
    killed = _choose_daemon(world, first)
    kill_s = common.now_s()
    print(f'SIGKILL to {killed.name}')
    killed.kill()
    _sleep_until(started_s + DRAIN_S)
    drained = _choose_daemon(world, last)
    drain_s = common.now_s()
    print(f'SIGTERM to {drained.name}')
    drained.terminate()
    world.mark_leaving(drained)
    time.sleep(BALANCER_LAG_S)
    balance.set_leaving(drained.address)
    _wait_for_trainers(world, started_s + LIMIT_S)
    for caller in live:
        caller.stop()
    for caller in live:
        caller.join()
    return evidence_module.collect(
        world,
        [attempt for caller in live for attempt in caller.attempts],
        _make_stop(killed, kill_s),
        _make_stop(drained, drain_s),
    )


def _start_callers(
    world: worlds.World, balance: balancer.Balancer
) -> list[callers.Caller]:
    live = []
    for service, settings in worlds.list_live_services(world.text).items():
        for number in range(CALLERS_PER_SERVICE):
            live.append(
                callers.Caller(
                    f'{service}-{number}',
                    service,
                    settings,
                    settings['target'] in world.engines,
                    balance,
                    seed=number,
                )
            )
    for caller in live:
        caller.start()
    return live


def _choose_daemon(world: worlds.World, trainer: str) -> processes.Daemon:
    """Daemon that a trainer has a step half read from, or any other."""
    running = [d for d in world.daemons if d.exit_status is None]
    until_s = common.now_s() + CHOICE_S
    while common.now_s() < until_s:
        state = world.trainers[trainer].call('GET', '/state')[1]
        daemon = world.find_daemon(state['attached'])
        if daemon in running and state['held'] >= MIN_HELD:
            return daemon
        time.sleep(POLL_S)
    return running[0]


def _sleep_until(time_s: float) -> None:
    time.sleep(max(0.0, time_s - common.now_s()))


def _wait_for_trainers(world: worlds.World, until_s: float) -> None:
    while common.now_s() < until_s:
        trainers = world.trainers.values()
        states = [t.call('GET', '/state')[1]['state'] for t in trainers]
        if 'running' not in states:
            return
        time.sleep(POLL_S)


def _make_stop(
    daemon: processes.Daemon, time_s: float
) -> evidence_module.Stop:
    try:
        status = daemon.wait()
    except processes.subprocess.TimeoutExpired:
        status = None
    return evidence_module.Stop(daemon.address, daemon.name, time_s, status)


if __name__ == '__main__':
    sys.exit(main())
