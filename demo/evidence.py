"""Everything that the judges need, read from journals."""

from __future__ import annotations

import dataclasses
import typing

from demo import callers
from demo import worlds


@dataclasses.dataclass(frozen=True)
class Stop:
    """A daemon that was ended on purpose."""

    address: str
    instance: str
    time_s: float
    exit_status: typing.Optional[int]


@dataclasses.dataclass(frozen=True)
class Evidence:
    """Journals of one federation after its run.

    Attributes:
        services: Live services as the text has them.
        trainers: Journals of the trainers.
        runs: Engine runs of all replicas.
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
    killed: Stop
    drained: Stop


def collect(
    world: worlds.World,
    attempts: list[callers.Attempt],
    killed: Stop,
    drained: Stop,
) -> Evidence:
    """Reads all journals."""
    engines = [e for group in world.engines.values() for e in group]
    services = [s for group in world.services.values() for s in group]
    return Evidence(
        services=worlds.list_live_services(world.text),
        trainers=[t.read_journal() for t in world.trainers.values()],
        runs=[r for e in engines for r in e.read_journal()['runs']],
        calls=[c for s in services for c in s.read_journal()['calls']],
        attempts=attempts,
        killed=killed,
        drained=drained,
    )
