"""Runs two federations with live callers, trainers and faults.

The exit status is 1 if the journals show that a promise was broken.
"""

from __future__ import annotations

import pathlib
import signal
import sys
import time

from demo import callers
from demo import checks
from demo import deployment as deployment_module
from demo import journals as journals_module
from demo import report
from standins import balancer
from standins import common
from tests.lib import processes

ROOT = pathlib.Path(__file__).resolve().parents[1]
EXAMPLES = ('glenmore.jsonc', 'zajednicka-dostava.jsonc')
CALLERS_PER_SERVICE = 2
# Times after the start of the callers.
KILL_AFTER_S = 5.0
DRAIN_AFTER_S = 9.0
# Delay until the platform's load balancer learns of a planned stop.
BALANCER_LAG_S = 1.0
# A run that takes longer than this counts as failed.
TIMEOUT_S = 32.0
POLL_S = 0.05
# A daemon is chosen when a trainer has received this many samples of a step
# from it. After the timeout any running daemon is chosen.
CHOICE_TIMEOUT_S = 4.0
MIN_HELD_SAMPLES = 4


def main() -> int:
    """Runs the federations of the texts named as arguments, one by one."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    paths = [pathlib.Path(argument) for argument in sys.argv[1:]]
    violation_count = 0
    for path in paths or [ROOT / 'examples' / name for name in EXAMPLES]:
        violation_count += run_federation(path)
    print(f'\n{violation_count} broken cases in all')
    return 1 if violation_count else 0


def run_federation(path: pathlib.Path) -> int:
    """Runs one federation and returns the number of broken cases."""
    started_s = time.monotonic()
    deployment = deployment_module.Deployment(path)
    try:
        print(
            f'\n== {deployment.name}: {len(deployment.daemons)} daemons,'
            f' {len(deployment.trainers)} trainers'
        )
        journals = _run(deployment)
    finally:
        deployment.close()
    violations = checks.run_checks(journals)
    report.print_report(journals, violations)
    print(f'{time.monotonic() - started_s:.0f} s')
    return sum(len(cases) for cases in violations.values())


def _run(deployment: deployment_module.Deployment) -> journals_module.Journals:
    load_balancer = balancer.Balancer([d.address for d in deployment.daemons])
    started_s = common.now_s()
    live_callers = _start_callers(deployment, load_balancer)
    for trainer in deployment.trainers.values():
        trainer.call('POST', '/start')
    first, last = list(deployment.trainers)[0], list(deployment.trainers)[-1]
    _sleep_until(started_s + KILL_AFTER_S)
    killed = _choose_daemon(deployment, first)
    kill_s = common.now_s()
    print(f'SIGKILL to {killed.name}')
    killed.kill()
    _sleep_until(started_s + DRAIN_AFTER_S)
    drained = _choose_daemon(deployment, last)
    drain_s = common.now_s()
    print(f'SIGTERM to {drained.name}')
    drained.terminate()
    deployment.mark_leaving(drained)
    time.sleep(BALANCER_LAG_S)
    load_balancer.set_leaving(drained.address)
    _wait_for_trainers(deployment, started_s + TIMEOUT_S)
    for caller in live_callers:
        caller.stop()
    for caller in live_callers:
        caller.join()
    return journals_module.collect(
        deployment,
        [attempt for caller in live_callers for attempt in caller.attempts],
        _wait_for_exit(killed, kill_s),
        _wait_for_exit(drained, drain_s),
    )


def _start_callers(
    deployment: deployment_module.Deployment,
    load_balancer: balancer.Balancer,
) -> list[callers.Caller]:
    live_callers = []
    for service, settings in deployment_module.list_live_services(
        deployment.text
    ).items():
        for number in range(CALLERS_PER_SERVICE):
            live_callers.append(
                callers.Caller(
                    f'{service}-{number}',
                    service,
                    settings,
                    settings['target'] in deployment.engines,
                    load_balancer,
                    seed=number,
                )
            )
    for caller in live_callers:
        caller.start()
    return live_callers


def _choose_daemon(
    deployment: deployment_module.Deployment, trainer: str
) -> processes.Daemon:
    """Returns the daemon a trainer is reading a step from, or any other."""
    running = [d for d in deployment.daemons if d.exit_status is None]
    until_s = common.now_s() + CHOICE_TIMEOUT_S
    while common.now_s() < until_s:
        state = deployment.trainers[trainer].call('GET', '/state')[1]
        daemon = deployment.find_daemon(state['attached'])
        if daemon in running and state['held'] >= MIN_HELD_SAMPLES:
            return daemon
        time.sleep(POLL_S)
    return running[0]


def _sleep_until(time_s: float) -> None:
    time.sleep(max(0.0, time_s - common.now_s()))


def _wait_for_trainers(
    deployment: deployment_module.Deployment, until_s: float
) -> None:
    while common.now_s() < until_s:
        trainers = deployment.trainers.values()
        states = [t.call('GET', '/state')[1]['state'] for t in trainers]
        if 'running' not in states:
            return
        time.sleep(POLL_S)


def _wait_for_exit(
    daemon: processes.Daemon, time_s: float
) -> journals_module.DaemonStop:
    try:
        status = daemon.wait()
    except processes.subprocess.TimeoutExpired:
        status = None
    return journals_module.DaemonStop(
        daemon.address, daemon.name, time_s, status
    )


if __name__ == '__main__':
    sys.exit(main())
