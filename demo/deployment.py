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
# Six stand-in engines take a minute for a full step of the examples. The
# demonstration requests fewer samples so that it shows several steps.
MAX_SAMPLES = 96
# Few long completions among many short ones: one in a hundred has about five
# times the median length.
ENGINE_ARGUMENTS = (
    *('--median-tokens', 30, '--sigma', 0.7),
    *('--base-ms', 8, '--slope-ms', 0.5, '--load-ms', 400),
    # The first load of weights fails partway at each engine.
    *('--faults', json.dumps({'fail_loads': 1})),
)
# One call in fifty gets one of these faults.
SERVICE_FAULTS = dict.fromkeys(
    ('errors', 'break_before', 'break_after', 'truncate'), 0.005
)
SERVICE_ARGUMENTS = (
    *('--service-ms', 10),
    *('--faults', json.dumps(SERVICE_FAULTS)),
)
SCORING_ARGUMENTS = ('--service-ms', 10)
# Stand-ins of the platform respond slowly on a loaded machine; that must not
# look like a failure.
TIMING = {'drain_ms': 20_000}


class Deployment:
    """The processes of a running federation.

    Attributes:
        text: Decoded federation text with the addresses of the processes.
        federation: Platform and daemons.
        engines: Replicas of the engines by target.
        services: Replicas of the plain services by target.
        trainers: Trainers by name; they wait for a start request.
    """

    def __init__(self, path: pathlib.Path) -> None:
        raw_text = path.read_text(encoding='utf-8')
        self.text: dict = jsonc.loads(raw_text)
        self.federation = federation.Federation(lag_ms=1000)
        self.engines: dict[str, list[processes.Process]] = {}
        self.services: dict[str, list[processes.Process]] = {}
        self.trainers: dict[str, processes.Process] = {}
        self._addresses: dict[str, str] = {}
        try:
            self._start(raw_text)
        except BaseException:
            self.close()
            raise

    @property
    def name(self) -> str:
        """Name of the federation."""
        return self.text['federation']

    @property
    def daemons(self) -> list[processes.Daemon]:
        """All daemons, including those that have exited."""
        return list(self.federation.daemons.values())

    def find_daemon(self, address: str) -> typing.Optional[processes.Daemon]:
        """Returns the daemon at an address, None if there is none."""
        found = [d for d in self.daemons if d.address == address]
        return found[0] if found else None

    def mark_leaving(self, daemon: processes.Daemon) -> None:
        """Marks a daemon as leaving in the instance list."""
        entry = {**daemon.entry, 'leaving': True}
        path = f'/instances/{daemon.name}'
        self.federation.instances.call('PUT', path, entry)

    def close(self) -> None:
        """Ends all processes."""
        self.federation.close()

    def _start(self, raw_text: str) -> None:
        for name, target in self.text['targets'].items():
            self._start_target(name, target)
        published = self._replace_addresses(raw_text)
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
        replicas_by_target = self.services
        if target['kind'] == 'engine':
            replicas_by_target = self.engines
            kind, arguments = 'engine', self._make_engine_arguments(target)
        elif name in self._list_scoring_targets():
            kind, arguments = 'scoring', SCORING_ARGUMENTS
        replicas_by_target[name] = []
        for domain, addresses in target['replicas'].items():
            for address in addresses:
                process = self.federation.start_stand_in(
                    kind, *arguments, name=f'{name}-{domain}-{address}'
                )
                self._addresses[address] = process.address
                replicas_by_target[name].append(process)

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

    def _replace_addresses(self, raw_text: str) -> str:
        """Replaces addresses by those of the processes; keeps comments."""
        pattern = '|'.join(re.escape(f'"{a}"') for a in self._addresses)
        return re.sub(
            pattern,
            lambda match: f'"{self._addresses[match.group()[1:-1]]}"',
            raw_text,
        )

    def _start_trainer(self, name: str, trainer: dict) -> None:
        group_size = trainer.get('group_size', 8)
        samples = min(trainer.get('samples_per_step', 64), MAX_SAMPLES)
        groups = max(1, samples // group_size)
        # The first trainer gets new weights in the middle of each step, the
        # others after each training step, which falls into the next step.
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
    """Returns the services for live callers: all but the scoring ones."""
    scoring = {t.get('scoring') for t in text['trainers'].values()}
    return {
        name: service
        for name, service in text['services'].items()
        if name not in scoring
    }
