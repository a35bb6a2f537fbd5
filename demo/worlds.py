"""Starts the processes of one federation from its published text."""

from __future__ import annotations

import json
import pathlib
import re
import typing

import jsonc

from tests.lib import federation
from tests.lib import processes

DAEMONS_PER_DOMAIN = 2
STEPS = 6
# Six stand-in engines generate a full step of the examples in a minute; the
# demonstration asks for less, so that it shows several steps.
MAX_SAMPLES = 96
# Long answers beside many short ones: one in a hundred has about five times
# the median length.
ENGINE_ARGUMENTS = (
    *('--median-tokens', 30, '--sigma', 0.7),
    *('--base-ms', 8, '--slope-ms', 0.5, '--load-ms', 400),
    # The first load of each engine fails partway.
    *('--faults', json.dumps({'fail_loads': 1})),
)
# One call in fifty meets one of these faults.
SERVICE_FAULTS = dict.fromkeys(
    ('errors', 'break_before', 'break_after', 'truncate'), 0.005
)
SERVICE_ARGUMENTS = (
    *('--service-ms', 10),
    *('--faults', json.dumps(SERVICE_FAULTS)),
)
SCORING_ARGUMENTS = ('--service-ms', 10)
# A loaded machine must not make the stand-ins of the platform look dead.
TIMING = {'drain_ms': 20_000}


class World:
    """A federation that runs.

    Attributes:
        text: Decoded federation text, with the launched addresses.
        federation: Platform and daemons.
        engines: Replicas of the engines by target.
        services: Replicas of the plain services by target.
        trainers: Trainers by name, which wait for their start.
    """

    def __init__(self, path: pathlib.Path) -> None:
        raw = path.read_text(encoding='utf-8')
        self.text: dict = jsonc.loads(raw)
        self.federation = federation.Federation(lag_ms=1000)
        self.engines: dict[str, list[processes.Process]] = {}
        self.services: dict[str, list[processes.Process]] = {}
        self.trainers: dict[str, processes.Process] = {}
        self._addresses: dict[str, str] = {}
        try:
            self._start(raw)
        except BaseException:
            self.close()
            raise

    @property
    def name(self) -> str:
        """Name of the federation."""
        return self.text['federation']

    @property
    def daemons(self) -> list[processes.Daemon]:
        """All daemons, with those that have ended."""
        return list(self.federation.daemons.values())

    def find_daemon(self, address: str) -> typing.Optional[processes.Daemon]:
        """Daemon at an address."""
        found = [d for d in self.daemons if d.address == address]
        return found[0] if found else None

    def mark_leaving(self, daemon: processes.Daemon) -> None:
        """Tells the instance list of a planned stop."""
        entry = {**daemon.entry, 'leaving': True}
        path = f'/instances/{daemon.name}'
        self.federation.instances.call('PUT', path, entry)

    def close(self) -> None:
        """Ends all processes."""
        self.federation.close()

    def _start(self, raw: str) -> None:
        for name, target in self.text['targets'].items():
            self._start_target(name, target)
        published = self._rewrite(raw)
        self.text = jsonc.loads(published)
        self.federation.publish(published)
        domains = sorted(
            {
                domain
                for target in self.text['targets'].values()
                for domain in target['replicas']
            }
        )
        counts = dict.fromkeys(domains, DAEMONS_PER_DOMAIN)
        self.federation.add_daemons(counts, timing=TIMING)
        for name, trainer in self.text['trainers'].items():
            self._start_trainer(name, trainer)

    def _start_target(self, name: str, target: dict) -> None:
        kind, arguments = 'service', SERVICE_ARGUMENTS
        group = self.services
        if target['kind'] == 'engine':
            group = self.engines
            kind, arguments = 'engine', self._make_engine_arguments(target)
        elif name in self._list_scoring_targets():
            kind, arguments = 'scoring', SCORING_ARGUMENTS
        group[name] = []
        for domain, addresses in target['replicas'].items():
            for address in addresses:
                process = self.federation.start_stand_in(
                    kind, *arguments, name=f'{name}-{domain}-{address}'
                )
                self._addresses[address] = process.address
                group[name].append(process)

    def _make_engine_arguments(self, target: dict) -> tuple:
        fencing = ('--fencing',) if target.get('checks_fencing') else ()
        return (
            *('--weights', self.federation.weights.url),
            *('--batch-limit', target.get('concurrency', 8)),
            *fencing,
            *ENGINE_ARGUMENTS,
        )

    def _list_scoring_targets(self) -> set[str]:
        services = self.text['services']
        return {
            services[trainer['scoring']]['target']
            for trainer in self.text['trainers'].values()
            if trainer.get('scoring')
        }

    def _rewrite(self, raw: str) -> str:
        """Puts the launched addresses in; comments stay."""
        known = '|'.join(re.escape(f'"{a}"') for a in self._addresses)
        return re.sub(
            known,
            lambda match: f'"{self._addresses[match.group()[1:-1]]}"',
            raw,
        )

    def _start_trainer(self, name: str, trainer: dict) -> None:
        group_size = trainer.get('group_size', 8)
        samples = min(trainer.get('samples_per_step', 64), MAX_SAMPLES)
        groups = max(1, samples // group_size)
        # One trainer gets new weights in the middle of each step, the others
        # after each training step, which is within the next step too.
        publish = 'trained' if self.trainers else 'middle'
        self.trainers[name] = self.federation.start_trainer(
            name,
            trainer['model'],
            *('--groups', groups, '--group-size', group_size),
            *('--bound', trainer.get('staleness_bound', 1)),
            *('--steps', STEPS, '--train-ms', 2500, '--publish', publish),
            '--wait-for-start',
        )


def list_live_services(text: dict) -> dict[str, dict]:
    """Services that live callers use: all but those that score."""
    scoring = {t.get('scoring') for t in text['trainers'].values()}
    return {
        name: service
        for name, service in text['services'].items()
        if name not in scoring
    }
