"""Runs seeds of the soak test; exits with 1 if a promise was broken."""

from __future__ import annotations

import argparse
import contextlib
import pathlib
import random
import shutil
import signal
import sys
import time
import typing

from soak import checker as checker_module
from soak import clients as clients_module
from soak import proxy
from tests.lib import platform_world
from tests.lib import processes

# Time limit for all work to complete after the last fault.
SETTLE_S = 60.0
MAX_FAULT_S = 4.0
# Share of the turns in which a call of a holder is disrupted.
DUTY_FAULT_SHARE = 0.3
REQUEST_LIMITS = (1.0, 2.0, 5.0)
# The smallest instances have this memory for a daemon.
MAX_DAEMON_MB = 136.0
KEPT_SEEDS = pathlib.Path(__file__).parent / 'seeds.txt'


class Soak:
    """Run of one seed: a deployment, its clients and the injected faults."""

    def __init__(
        self, launcher: processes.Launcher, seed: int, options
    ) -> None:
        self._launcher = launcher
        self._rng = random.Random(seed)
        self._until_s = time.monotonic() + options.seconds
        self.world = platform_world.World(launcher, daemons=0, engines=0)
        self._platform = launcher.start_stand_in('platform.duties')
        # Of its own, so that the other faults of a kept seed stay the same.
        self._duty_rng = random.Random(f'{seed}/duties')
        self._store_proxies = []
        self.daemons: list = []
        self._replica_proxies = []
        # In the order of their proxies.
        self._replicas = []
        self._limits: dict[str, checker_module.NamedLimit] = {}
        self._ended_limits: list[checker_module.NamedLimit] = []
        # When the connections of each replica were disrupted.
        self._disrupted: dict[str, list[tuple[float, float]]] = {}
        for number in range(options.engines):
            self._add_engine(f'r{number}')
        self._put_behind_proxy(self.world.plain, 'p0', 'desk', {})
        for number in range(options.daemons):
            self._add_daemon(f'n{number}')
        for daemon in self.daemons:
            processes.wait_for(daemon.is_ready, f'{daemon.name} is ready')
        self.clients = clients_module.Clients(self, seed, options.trainers)
        self._faults: list[typing.Callable[[], None]] = [
            self._kill,
            self._drain,
            self._pause_daemon,
            self._disrupt_store_connections,
            self._disrupt_engine_connections,
            self._inject_store_fault,
            self._inject_engine_fault,
            self._take_store_down,
            self._switch_limit,
            self._publish_text,
        ]

    @property
    def has_timed_out(self) -> bool:
        """Whether the time limit after the last fault has passed."""
        return time.monotonic() > self._until_s + SETTLE_S

    def pause(self, seconds: float) -> None:
        """Waits, also while the clients are ending."""
        self.clients.is_ending.wait(seconds)
        if self.clients.is_ending.is_set():
            time.sleep(seconds)

    def run(self) -> list[str]:
        """Injects faults, reverts them and returns the violations."""
        self.clients.start()
        pending_reverts: list[tuple[float, typing.Callable[[], None]]] = []
        while time.monotonic() < self._until_s:
            time.sleep(self._rng.uniform(0.1, 1.0))
            self._inject_duty_fault()
            revert = self._rng.choice(self._faults)()
            if revert is not None:
                duration_s = self._rng.uniform(0.3, MAX_FAULT_S)
                pending_reverts.append((time.monotonic() + duration_s, revert))
            due = [p for p in pending_reverts if p[0] <= time.monotonic()]
            pending_reverts = [p for p in pending_reverts if p not in due]
            for _, function in due:
                function()
        for _, function in pending_reverts:
            function()
        for name in list(self._limits):
            self._end_limit(name)
        self.clients.finish()
        checker = self.clients.checker
        checker.check_all_complete()
        checker.check_runs(self._read_runs())
        for limit in self._ended_limits:
            checker.check_limit(
                limit, self._disrupted.get(limit.replica.name, ())
            )
        with contextlib.suppress(TimeoutError):
            # The store may have been away until now, and a report is due 10 s
            # after its window; none in this time is a violation.
            processes.wait_for(self._read_reports, 'a report of a window')
        checker.check_reports(self._read_reports())
        for daemon in self.daemons:
            checker.check_memory(daemon.name, daemon.pid, MAX_DAEMON_MB)
        print(
            f'{len(checker.accepted)} jobs, {len(checker.calls)} calls,'
            f' {len(checker.violations)} broken'
        )
        return checker.violations

    def close(self) -> None:
        """Closes the proxies; the launcher ends the processes."""
        for item in (*self._store_proxies, *self._replica_proxies):
            item.close()

    def _read_reports(self) -> list[dict]:
        calls = self._platform.read_journal()['calls']
        return [call for call in calls if call['path'] == '/usage']

    def _read_runs(self) -> list[dict]:
        servers = [*self.world.engines, self.world.plain]
        return [run for s in servers for run in s.read_journal()['runs']]

    def _add_engine(self, replica_id: str) -> None:
        engine = self._launcher.start_stand_in(
            'platform.replica', '--replica-id', replica_id
        )
        self.world.engines.append(engine)
        self._put_behind_proxy(
            engine, replica_id, 'engines', {platform_world.MODEL: 1}
        )

    def _put_behind_proxy(
        self, replica, replica_id: str, service: str, versions: dict
    ) -> None:
        fault_proxy = proxy.Proxy(replica.port)
        self._replica_proxies.append(fault_proxy)
        self._replicas.append(replica)
        self.world.write_replica(
            replica_id, service, fault_proxy.address, versions
        )

    def _add_daemon(self, instance: str) -> None:
        fault_proxy = proxy.Proxy(self.world.store.port)
        self._store_proxies.append(fault_proxy)
        self.daemons.append(self._start_daemon(instance, fault_proxy))

    def _start_daemon(
        self, instance: str, fault_proxy: proxy.Proxy, port=None
    ):
        return self._launcher.add(
            platform_world.StoreDaemon(
                instance,
                fault_proxy.address,
                self._launcher.directory,
                port,
                store={'requires_fence': False},
                duties={
                    'address': self._platform.address,
                    'kinds': ['usage_report'],
                    'window_s': 1.0,
                },
            )
        )

    # Faults. Each returns a function that reverts it, or None.

    def _kill(self) -> None:
        for number in self._rng.sample(
            range(len(self.daemons)), self._rng.choice((1, 1, 2))
        ):
            self.daemons[number].kill()
            self._restart(number)

    def _restart(self, number: int) -> None:
        old = self.daemons[number]
        self.daemons[number] = self._start_daemon(
            old.name, self._store_proxies[number], old.port
        )

    def _drain(self) -> typing.Callable[[], None]:
        number = self._rng.randrange(len(self.daemons))
        self.daemons[number].terminate()

        def restart() -> None:
            self.daemons[number].kill()
            self._restart(number)

        return restart

    def _pause_daemon(self) -> typing.Callable[[], None]:
        daemon = self._rng.choice(self.daemons)
        daemon.signal(signal.SIGSTOP)
        return lambda: daemon.signal(signal.SIGCONT)

    def _disrupt_store_connections(self) -> typing.Callable[[], None]:
        return self._disrupt(
            self._rng.choice(self._store_proxies), proxy.STORE_MODES
        )

    def _disrupt_engine_connections(self) -> typing.Callable[[], None]:
        number = self._rng.randrange(len(self._replica_proxies))
        revert = self._disrupt(
            self._replica_proxies[number], proxy.REPLICA_MODES
        )
        started_s = time.monotonic()
        name = self._replicas[number].name

        def end() -> None:
            revert()
            self._disrupted.setdefault(name, []).append(
                (started_s, time.monotonic())
            )

        return end

    def _disrupt(
        self, fault_proxy: proxy.Proxy, modes: typing.Sequence[proxy.Mode]
    ) -> typing.Callable[[], None]:
        if self._rng.random() < 0.3:
            fault_proxy.reset_all()
        fault_proxy.set_mode(
            self._rng.choice(modes), self._rng.uniform(0.05, 0.5)
        )
        return lambda: fault_proxy.set_mode(proxy.Mode.PASS)

    def _inject_store_fault(self) -> None:
        names = ('lose_answers', 'refuse_appends', 'late_appends')
        self.world.store.set_faults(
            **{self._rng.choice(names): self._rng.randint(1, 6)}
        )

    def _inject_duty_fault(self) -> None:
        names = ('lose_answers', 'throttle', 'late_calls')
        if self._duty_rng.random() < DUTY_FAULT_SHARE:
            self._platform.set_faults(**{self._duty_rng.choice(names): 1})

    def _inject_engine_fault(self) -> None:
        engine = self._rng.choice([*self.world.engines, self.world.plain])
        names = ('cut', 'foreign', 'full', 'lose')
        engine.set_faults(**{self._rng.choice(names): self._rng.randint(1, 6)})

    def _take_store_down(self) -> typing.Callable[[], None]:
        self.world.store.set_faults(down=True)
        return lambda: self.world.store.set_faults(down=False)

    def _switch_limit(self) -> None:
        """Lets a replica limit its requests, or ends that.

        A limit lasts until its next turn, since the bound holds only some
        seconds after it was named.
        """
        replica = self._rng.choice([*self.world.engines, self.world.plain])
        if replica.name in self._limits:
            self._end_limit(replica.name)
            return
        rate = self._rng.choice(REQUEST_LIMITS)
        replica.set_faults(limit=rate)
        self._limits[replica.name] = checker_module.NamedLimit(replica, rate)

    def _end_limit(self, name: str) -> None:
        limit = self._limits.pop(name)
        limit.end_s = time.monotonic()
        limit.replica.set_faults(limit=0)
        self._ended_limits.append(limit)

    def _publish_text(self) -> None:
        version = int(time.monotonic() * 10)
        # This write may be refused or lose its response like any other.
        with contextlib.suppress(OSError):
            self.world.write_text(version)


def run_seed(seed: int, options) -> bool:
    """Runs a seed; keeps its logs if a promise was broken."""
    print(f'seed {seed}: ', end='', flush=True)
    with processes.Launcher() as launcher:
        soak = Soak(launcher, seed, options)
        try:
            violations = soak.run()
        finally:
            # Client threads would keep the process alive after a failure.
            soak.clients.is_ending.set()
            soak.close()
        if violations:
            kept_directory = pathlib.Path(options.keep) / f'seed-{seed}'
            shutil.copytree(
                launcher.directory, kept_directory, dirs_exist_ok=True
            )
            print('\n'.join(violations[:20]))
            print(f'logs: {kept_directory}')
    return not violations


def read_kept_seeds() -> list[int]:
    """Returns the seeds that failed before, from ``seeds.txt``."""
    lines = KEPT_SEEDS.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line[:1].isdigit()]


def main() -> int:
    """Runs the seeds given on the command line."""
    parser = argparse.ArgumentParser(prog='soak', description=__doc__)
    parser.add_argument('--seed', type=int, help='first seed')
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--kept', action='store_true', help='also kept seeds')
    parser.add_argument('--seconds', type=float, default=15.0)
    parser.add_argument('--daemons', type=int, default=4)
    parser.add_argument('--engines', type=int, default=3)
    parser.add_argument('--trainers', type=int, default=3)
    parser.add_argument('--keep', default='/tmp/lentildeal-soak')
    options = parser.parse_args()
    first = options.seed
    if first is None:
        first = random.randrange(1_000_000)
    seeds = [*range(first, first + options.count)]
    seeds += read_kept_seeds() if options.kept else []
    results = [run_seed(seed, options) for seed in seeds]
    print(f'{results.count(True)} passed, {results.count(False)} failed')
    return 0 if all(results) else 1


if __name__ == '__main__':
    sys.exit(main())
