"""Registry of the daemon's plug-ins."""

from __future__ import annotations

import importlib
import typing

if typing.TYPE_CHECKING:
    from lentildeal._internal.kernel import kernel as kernel_module
    from lentildeal._internal.settings import settings as settings_module

# Importing a module runs its decorators. A new plug-in is one new line.
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
# Plug-ins of a deployment on a platform with a store.
STORE_MODULES = (
    'lentildeal._internal.directory.plugin',
    'lentildeal._internal.jobs.work_log',
    'lentildeal._internal.jobs.lease_manager',
    'lentildeal._internal.jobs.plugin',
    'lentildeal._internal.orders.rotation_plugin',
    'lentildeal._internal.gateway.plugin',
    'lentildeal._internal.platform.ingress',
    'lentildeal._internal.reports.readiness',
)


class Plugin:
    """Base of the plug-ins; all methods but the constructor are optional."""

    def __init__(self, kernel: kernel_module.Kernel) -> None:
        self._kernel = kernel

    def start(self) -> None:
        """Registers routes and handlers and spawns green threads."""

    def reload(self, settings: settings_module.Settings) -> None:
        """Applies changed settings, as far as they can change."""

    def drain(self) -> None:
        """Stops taking new work; work in flight goes on."""

    def stop(self) -> None:
        """Ends for good, after the work in flight is done."""


class _Entry(typing.NamedTuple):
    cls: type[Plugin]
    after: tuple[str, ...]


_registry: dict[str, _Entry] = {}


def register(
    name: str, *, after: tuple[str, ...] = ()
) -> typing.Callable[[type[Plugin]], type[Plugin]]:
    """Registers a plug-in class that starts after the named ones."""

    def add(cls: type[Plugin]) -> type[Plugin]:
        _registry[name] = _Entry(cls, after)
        return cls

    return add


def load_modules(names: typing.Iterable[str]) -> None:
    """Imports plug-in modules, whose decorators register them."""
    for name in names:
        importlib.import_module(name)


def iter_in_order() -> typing.Iterator[tuple[str, type[Plugin]]]:
    """Yields names and classes, each after what it depends on.

    Raises:
        ValueError: Plug-ins depend on each other or on an unknown one.
    """
    done: set[str] = set()
    waiting = dict(_registry)
    while waiting:
        ready = [n for n, e in waiting.items() if done.issuperset(e.after)]
        if not ready:
            raise ValueError(f'plug-ins can not be ordered: {list(waiting)}')
        for name in ready:
            yield name, waiting.pop(name).cls
            done.add(name)
