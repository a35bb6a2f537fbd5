"""Plays seeds of the soak and ends with 1 if a promise was broken."""

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

from soak import clients as clients_module
from soak import proxy
from tests.lib import platform_world
from tests.lib import processes

# Time in which everything has to be whole after the last fault.
SETTLE_S = 60.0
LONGEST_FAULT_S = 4.0
KEPT_SEEDS = pathlib.Path(__file__).parent / 'seeds.txt'


class Soak:
    """One seed: a deployment, its clients and its faults."""

    def __init__(
        self, launcher: processes.Launcher, seed: int, options
    ) -> None:
        self._launcher = launcher
        self._rng = random.Random(seed)
        self._until_s = time.monotonic() + options.seconds
        self.world = platform_world.World(launcher, daemons=0, engines=0)
        self._store_proxies = []
        self.daemons: list = []
        self._engine_proxies = []
        for number in range(options.engines):
            self._add_engine(f'r{number}')
        for number in range(options.daemons):
            self._add_daemon(f'n{number}')
        for daemon in self.daemons:
            processes.wait_for(daemon.is_ready, f'{daemon.name} is ready')
        self.clients = clients_module.Clients(self, seed, options.trainers)
        self._faults: list[typing.Callable[[], None]] = [
            self._kill,
            self._stop_planned,
            self._pause_daemon,
            self._disturb_store_path,
            self._disturb_engine_path,
            self._disturb_store,
            self._disturb_engine,
            self._take_store_down,
            self._publish,
        ]

    @property
    def is_overdue(self) -> bool:
        """Whether clients have waited too long after the last fault."""
        return time.monotonic() > self._until_s + SETTLE_S

    def pause(self, seconds: float) -> None:
        """Waits."""
        self.clients.is_ending.wait(seconds)
        if self.clients.is_ending.is_set():
            time.sleep(seconds)

    def play(self) -> list[str]:
        """Injects faults, heals them and returns what was broken."""
        self.clients.start()
        heals: list[tuple[float, typing.Callable[[], None]]] = []
        while time.monotonic() < self._until_s:
            time.sleep(self._rng.uniform(0.1, 1.0))
            heal = self._rng.choice(self._faults)()
            if heal is not None:
                length_s = self._rng.uniform(0.3, LONGEST_FAULT_S)
                heals.append((time.monotonic() + length_s, heal))
            due = [h for h in heals if h[0] <= time.monotonic()]
            heals = [h for h in heals if h not in due]
            for _, function in due:
                function()
        for _, function in heals:
            function()
        self.clients.finish()
        evidence = self.clients.evidence
        evidence.judge_whole()
        evidence.judge_runs(self._read_runs())
        print(
            f'{len(evidence.accepted)} jobs, {len(evidence.calls)} calls,'
            f' {len(evidence.broken)} broken'
        )
        return evidence.broken

    def close(self) -> None:
        """Ends the proxies; processes end with their launcher."""
        for item in (*self._store_proxies, *self._engine_proxies):
            item.close()

    def _read_runs(self) -> list[dict]:
        servers = [*self.world.engines, self.world.plain]
        return [run for s in servers for run in s.read_journal()['runs']]

    def _add_engine(self, replica_id: str) -> None:
        engine = self._launcher.start_stand_in(
            'platform.replica', '--replica-id', replica_id
        )
        path = proxy.Proxy(engine.port)
        self.world.engines.append(engine)
        self._engine_proxies.append(path)
        self.world.write_replica(
            replica_id, 'engines', path.address, {platform_world.MODEL: 1}
        )

    def _add_daemon(self, instance: str) -> None:
        path = proxy.Proxy(self.world.store.port)
        self._store_proxies.append(path)
        self.daemons.append(self._start_daemon(instance, path))

    def _start_daemon(self, instance: str, path: proxy.Proxy, port=None):
        return self._launcher.add(
            platform_world.StoreDaemon(
                instance, path.address, self._launcher.directory, port
            )
        )

    # Faults. Each returns what heals it, or None.

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

    def _stop_planned(self) -> typing.Callable[[], None]:
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

    def _disturb_store_path(self) -> typing.Callable[[], None]:
        return self._disturb(self._rng.choice(self._store_proxies))

    def _disturb_engine_path(self) -> typing.Callable[[], None]:
        return self._disturb(self._rng.choice(self._engine_proxies))

    def _disturb(self, path: proxy.Proxy) -> typing.Callable[[], None]:
        if self._rng.random() < 0.3:
            path.reset_all()
        modes = [mode for mode in proxy.Mode if mode is not proxy.Mode.PASS]
        path.set_mode(self._rng.choice(modes), self._rng.uniform(0.05, 0.5))
        return lambda: path.set_mode(proxy.Mode.PASS)

    def _disturb_store(self) -> None:
        names = ('lose_answers', 'refuse_appends', 'late_appends')
        self.world.store.set_faults(
            **{self._rng.choice(names): self._rng.randint(1, 6)}
        )

    def _disturb_engine(self) -> None:
        engine = self._rng.choice([*self.world.engines, self.world.plain])
        names = ('cut', 'foreign', 'full')
        engine.set_faults(**{self._rng.choice(names): self._rng.randint(1, 6)})

    def _take_store_down(self) -> typing.Callable[[], None]:
        self.world.store.set_faults(down=True)
        return lambda: self.world.store.set_faults(down=False)

    def _publish(self) -> None:
        version = int(time.monotonic() * 10)
        # A write of the operators is refused or loses its answer as well.
        with contextlib.suppress(OSError):
            self.world.write_text(version)


def play_seed(seed: int, options) -> bool:
    """Plays a seed; keeps its logs if a promise was broken."""
    print(f'seed {seed}: ', end='', flush=True)
    with processes.Launcher() as launcher:
        soak = Soak(launcher, seed, options)
        try:
            broken = soak.play()
        finally:
            # Client threads would keep the process alive after a failure.
            soak.clients.is_ending.set()
            soak.close()
        if broken:
            kept = pathlib.Path(options.keep) / f'seed-{seed}'
            shutil.copytree(launcher.directory, kept, dirs_exist_ok=True)
            print('\n'.join(broken[:20]))
            print(f'logs: {kept}')
    return not broken


def read_kept_seeds() -> list[int]:
    """Seeds that have failed once."""
    lines = KEPT_SEEDS.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line[:1].isdigit()]


def main() -> int:
    """Plays the seeds that the command line names."""
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
    results = [play_seed(seed, options) for seed in seeds]
    print(f'{results.count(True)} passed, {results.count(False)} failed')
    return 0 if all(results) else 1


if __name__ == '__main__':
    sys.exit(main())
