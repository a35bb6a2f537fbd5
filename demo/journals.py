"""Collects the journals that the checks read after a run."""

from __future__ import annotations

import dataclasses
import typing

from demo import callers
from demo import deployment as deployment_module


@dataclasses.dataclass(frozen=True)
class DaemonStop:
    """Exit of a daemon that the demonstration stopped."""

    address: str
    instance: str
    time_s: float
    exit_status: typing.Optional[int]


@dataclasses.dataclass(frozen=True)
class Journals:
    """Journals of one federation after its run.

    Attributes:
        services: Live services as in the federation text.
        trainers: Journals of the trainers.
        runs: Generations of all engine replicas.
        calls: Calls that ran at plain services.
        attempts: Requests of the live callers.
        killed: Daemon ended by SIGKILL.
        drained: Daemon ended by SIGTERM.
    """

    services: dict[str, dict]
    trainers: list[dict]
    runs: list[dict]
    calls: list[dict]
    attempts: list[callers.Attempt]
    killed: DaemonStop
    drained: DaemonStop


def collect(
    deployment: deployment_module.Deployment,
    attempts: list[callers.Attempt],
    killed: DaemonStop,
    drained: DaemonStop,
) -> Journals:
    """Reads the journals of all stand-ins."""
    engines = [e for group in deployment.engines.values() for e in group]
    services = [s for group in deployment.services.values() for s in group]
    return Journals(
        services=deployment_module.list_live_services(deployment.text),
        trainers=[t.read_journal() for t in deployment.trainers.values()],
        runs=[r for e in engines for r in e.read_journal()['runs']],
        calls=[c for s in services for c in s.read_journal()['calls']],
        attempts=attempts,
        killed=killed,
        drained=drained,
    )
