"""A federation of real processes: platform stand-ins, targets, daemons."""

from __future__ import annotations

import json
import typing

from tests.lib import builders
from tests.lib import processes


class Federation(processes.Launcher):
    """Platform stand-ins, and the targets and daemons that use them.

    Tests usually start targets, publish the text, then start daemons.

    Attributes:
        log: Log service.
        instances: Service with the instance list.
        weights: Weight store.
        daemons: Daemons by name, in start order.
    """

    def __init__(
        self,
        *,
        lag_ms: int = 0,
        retention: int = 0,
        versions_per_s: float = 0.0,
    ) -> None:
        super().__init__()
        self.daemons: dict[str, processes.Daemon] = {}
        self.log = self.start_stand_in('log', '--retention', retention)
        self.instances = self.start_stand_in('instances', '--lag-ms', lag_ms)
        self.weights = self.start_stand_in(
            'weights', '--versions-per-s', versions_per_s
        )

    @property
    def platform(self) -> dict[str, str]:
        """URLs of the platform services for the daemons' settings."""
        return {
            'log': self.log.url,
            'instances': self.instances.url,
            'weights': self.weights.url,
        }

    def start_engines(
        self, counts: dict[str, int], *arguments: typing.Any
    ) -> dict[str, list[processes.Process]]:
        """Starts the given number of engines per failure domain."""
        engine_arguments = ('--weights', self.weights.url, *arguments)
        return self._start_replicas('engine', counts, engine_arguments)

    def start_services(
        self, counts: dict[str, int], *arguments: typing.Any
    ) -> dict[str, list[processes.Process]]:
        """Starts the given number of plain services per failure domain."""
        return self._start_replicas('service', counts, arguments)

    def start_scoring(
        self, counts: dict[str, int], *arguments: typing.Any
    ) -> dict[str, list[processes.Process]]:
        """Starts the given number of scoring services per failure domain."""
        return self._start_replicas('scoring', counts, arguments)

    def publish(
        self,
        text: typing.Union[str, dict],
        base: int = -1,
        edit_id: str = 'first',
    ) -> int:
        """Appends an edit to the log directly and returns its offset."""
        if not isinstance(text, str):
            text = json.dumps(text, indent=2)
        edit = builders.make_edit(text, base, edit_id)
        return self.log.call('POST', '/streams/config', edit)[1]['offset']

    def add_daemon(
        self, instance: str, failure_domain: str, **overrides: typing.Any
    ) -> processes.Daemon:
        """Starts a daemon and registers it in the instance list."""
        daemon = self.start_daemon(
            instance, failure_domain, self.platform, **overrides
        )
        self.daemons[instance] = daemon
        self.instances.call('PUT', f'/instances/{instance}', daemon.entry)
        return daemon

    def add_daemons(
        self, counts: dict[str, int], **overrides: typing.Any
    ) -> list[processes.Daemon]:
        """Starts daemons per failure domain and waits until all are ready."""
        added = [
            self.add_daemon(f'{domain}{number}', domain, **overrides)
            for domain, count in counts.items()
            for number in range(1, count + 1)
        ]
        for daemon in added:
            processes.wait_for(daemon.is_ready, f'{daemon.name} is ready')
        return added

    def start_trainer(
        self, name: str, model: str, *arguments: typing.Any
    ) -> processes.Process:
        """Starts a trainer that uses all daemons started so far."""
        addresses = ','.join(d.address for d in self.daemons.values())
        return self.start_stand_in(
            'trainer',
            '--name',
            name,
            '--model',
            model,
            '--daemons',
            addresses,
            '--weights',
            self.weights.url,
            *arguments,
            name=f'trainer-{name}',
        )

    def _start_replicas(
        self,
        kind: str,
        counts: dict[str, int],
        arguments: typing.Sequence[typing.Any],
    ) -> dict[str, list[processes.Process]]:
        return {
            domain: [
                self.start_stand_in(kind, *arguments) for _ in range(count)
            ]
            for domain, count in counts.items()
        }


def list_addresses(
    replicas: dict[str, list[processes.Process]],
) -> dict[str, list[str]]:
    """Returns the value of the field ``replicas`` of a target."""
    return {
        domain: [process.address for process in domain_replicas]
        for domain, domain_replicas in replicas.items()
    }
