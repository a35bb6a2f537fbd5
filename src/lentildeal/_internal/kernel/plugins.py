"""Registry of the daemon's plug-ins."""

from __future__ import annotations

import importlib
import typing

if typing.TYPE_CHECKING:
    from lentildeal._internal.kernel import kernel as kernel_module
    from lentildeal._internal.settings import settings as settings_module

# Modules of the plug-ins of a stand-alone deployment. Importing a module
# registers its plug-ins, so a new plug-in only needs its module listed here.
STAND_ALONE_MODULES = (
    'lentildeal._internal.config.reader',
    'lentildeal._internal.config.publish',
    'lentildeal._internal.membership.plugin',
    'lentildeal._internal.routing.owner',
    'lentildeal._internal.callers.plugin',
    'lentildeal._internal.orders.swaps',
    'lentildeal._internal.rollouts.trainers_api',
    'lentildeal._internal.rollouts.worker',
    'lentildeal._internal.reports.burn',
    'lentildeal._internal.reports.status',
)
# Modules of the plug-ins of a deployment on a platform with a store.
STORE_MODULES = (
    'lentildeal._internal.directory.plugin',
    'lentildeal._internal.accounts.plugin',
    'lentildeal._internal.jobs.work_log',
    'lentildeal._internal.routing.replica_limits',
    'lentildeal._internal.jobs.lease_manager',
    'lentildeal._internal.jobs.plugin',
    'lentildeal._internal.orders.rotation_plugin',
    'lentildeal._internal.duties.plugin',
    'lentildeal._internal.usage.plugin',
    'lentildeal._internal.scaling.plugin',
    'lentildeal._internal.gateway.plugin',
    'lentildeal._internal.platform.ingress',
    'lentildeal._internal.gateway.explanations',
    'lentildeal._internal.reports.readiness',
    'lentildeal._internal.reports.job_status',
)


class Plugin:
    """Base class of the plug-ins; overriding its methods is optional."""

    def __init__(self, kernel: kernel_module.Kernel) -> None:
        self._kernel = kernel

    def start(self) -> None:
        """Registers routes and handlers and spawns green threads."""

    def reload(self, settings: settings_module.Settings) -> None:
        """Applies those changed settings that need no restart."""

    def drain(self) -> None:
        """Stops accepting new work; work in flight continues."""

    def stop(self) -> None:
        """Stops the plug-in, after the work in flight has ended."""


class _Registration(typing.NamedTuple):
    cls: type[Plugin]
    after: tuple[str, ...]


_registry: dict[str, _Registration] = {}


def register(
    name: str, *, after: tuple[str, ...] = ()
) -> typing.Callable[[type[Plugin]], type[Plugin]]:
    """Registers a plug-in class.

    Args:
        name: Name of the plug-in.
        after: Names of the plug-ins that have to be started before.
    """

    def add(cls: type[Plugin]) -> type[Plugin]:
        _registry[name] = _Registration(cls, after)
        return cls

    return add


def load_modules(names: typing.Iterable[str]) -> None:
    """Imports modules, which registers their plug-ins."""
    for name in names:
        importlib.import_module(name)


def iter_in_start_order() -> typing.Iterator[tuple[str, type[Plugin]]]:
    """Yields names and classes of plug-ins in the order of their start.

    Raises:
        ValueError: Plug-ins form a cycle or name one that isn't registered.
    """
    ordered: set[str] = set()
    remaining = dict(_registry)
    while remaining:
        ready = [
            n for n, e in remaining.items() if ordered.issuperset(e.after)
        ]
        if not ready:
            raise ValueError(f'plug-ins can not be ordered: {list(remaining)}')
        for name in ready:
            yield name, remaining.pop(name).cls
            ordered.add(name)
