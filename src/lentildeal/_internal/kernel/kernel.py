"""Life cycle of a daemon: start, planned stop and reload of settings."""

from __future__ import annotations

import enum
import pathlib
import random
import typing

import eventlet
import eventlet.event
from loguru import logger
import prometheus_client

from lentildeal._internal import exceptions
from lentildeal._internal.kernel import plugins
from lentildeal._internal.logs import events
from lentildeal._internal.models import ids
from lentildeal._internal.models import outcomes
from lentildeal._internal.network import http_server
from lentildeal._internal.settings import settings as settings_module
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import wakeup

# Interval of checks for requests in flight during a planned stop, in seconds.
DRAIN_POLL_S = 0.05
RESTART_DELAY_S = 0.5
# Another instance takes the request at once.
LEAVING_RETRY_AFTER_S = 0.05
# The settings file may change without SIGHUP.
SETTINGS_POLL_S = 5.0

_task_failures_total = prometheus_client.Counter(
    'lentildeal_task_failures_total',
    'Background tasks that failed and were started again.',
    ['task'],
)


class KernelState(str, enum.Enum):
    """Phase of the daemon's life cycle."""

    STARTING = 'starting'
    SERVING = 'serving'
    DRAINING = 'draining'
    STOPPED = 'stopped'


class Kernel:
    """Owns the plug-ins and the objects that they share."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self.settings = settings
        self.incarnation = ids.Incarnation(random.getrandbits(63))
        self.router = http_server.Router()
        self.http_server = http_server.HttpServer(settings, self.router)
        self.peers = self._make_peers()
        self._plugins: dict[str, plugins.Plugin] = {}
        self._state = KernelState.STARTING
        self._drain_requested = eventlet.event.Event()
        self._reload_requested = wakeup.Wakeup()
        self._work_counters: list[typing.Callable[[], int]] = []
        self._drain_start_handlers: list[typing.Callable[[], None]] = []
        # When a planned stop aborts requests, None before it begins.
        self._abort_deadline: typing.Optional[clock.Deadline] = None

    @property
    def state(self) -> KernelState:
        """Phase of the daemon's life cycle."""
        return self._state

    @property
    def is_draining(self) -> bool:
        """Whether a planned stop has begun."""
        return self._state in (KernelState.DRAINING, KernelState.STOPPED)

    def check_time_left(self, limit_s: float) -> None:
        """Checks that a planned stop leaves a new request its time.

        Args:
            limit_s: Longest time that the request may take.

        Raises:
            exceptions.NotRunError: The stop may abort the request.
        """
        deadline = self._abort_deadline
        if deadline is not None and deadline.remaining_s < limit_s:
            raise exceptions.NotRunError(
                f'this instance is leaving within {limit_s:.1f} s',
                cause=outcomes.Cause.LEAVING.value,
                retry_after_s=LEAVING_RETRY_AFTER_S,
                remedy='send the request again to reach another instance',
            )

    def plugin(self, name: str) -> typing.Any:
        """Returns a plug-in by its registered name.

        Raises:
            KeyError: The daemon has no plug-in of this name.
        """
        return self._plugins[name]

    def find_plugin(self, name: str) -> typing.Any:
        """Returns a plug-in by its registered name, or None."""
        return self._plugins.get(name)

    def on_drain_start(self, function: typing.Callable[[], None]) -> None:
        """Registers a function that is called first in a planned stop."""
        self._drain_start_handlers.append(function)

    def add_work_counter(self, function: typing.Callable[[], int]) -> None:
        """Registers a function that counts work in flight.

        A planned stop waits until all counters are 0 or its time limit has
        passed.
        """
        self._work_counters.append(function)

    def spawn(
        self, name: str, function: typing.Callable, *arguments: typing.Any
    ) -> None:
        """Runs a function in a green thread; restarts it if it fails."""
        eventlet.spawn_n(self._supervise, name, function, arguments)

    def request_drain(self) -> None:
        """Begins a planned stop."""
        if not self._drain_requested.ready():
            self._drain_requested.send()

    def request_reload(self) -> None:
        """Wakes the task that reads the settings file again."""
        self._reload_requested.set()

    def watch_settings(self, path: pathlib.Path) -> None:
        """Applies changes of the settings file, on request or by polling."""
        self.spawn('settings', self._follow_settings, path)

    def start(self) -> None:
        """Starts all plug-ins, then listens for requests."""
        plugins.load_modules(self._select_modules())
        for name, cls in plugins.iter_in_start_order():
            self._plugins[name] = cls(self)
        for plugin in self._plugins.values():
            plugin.start()
        if self.peers is not None:
            self.peers.start()
        self.http_server.start()
        self._state = KernelState.SERVING
        events.emit('started')

    def run(self) -> None:
        """Serves until a planned stop has completed."""
        self.start()
        self._drain_requested.wait()
        self.drain()
        self.stop()

    def drain(self) -> None:
        """Announces the planned stop and waits for the work in flight."""
        events.emit('stopping')
        self._state = KernelState.DRAINING
        timing = self.settings.timing
        self._abort_deadline = clock.Deadline(
            (timing.leave_ms + timing.drain_ms) / 1000
        )
        self.http_server.close_after_response()
        for function in self._drain_start_handlers:
            self._run_stop_step('leaving', function)
        for name, plugin in reversed(list(self._plugins.items())):
            self._run_stop_step(name, plugin.drain)
        # The load balancer may still send requests during the leave time;
        # they are served if they can end in time.
        eventlet.sleep(timing.leave_ms / 1000)
        # The listener stays open. If it were closed, late connections of the
        # load balancer would be reset, and their callers would not be told
        # that nothing ran.
        self.http_server.refuse_new_requests()
        deadline = clock.Deadline(timing.drain_ms / 1000)
        while self._count_work() and not deadline.has_passed:
            eventlet.sleep(DRAIN_POLL_S)
        # Serves requests that were still in a socket buffer when the work in
        # flight ended.
        eventlet.sleep(DRAIN_POLL_S)
        self.http_server.stop()

    def stop(self) -> None:
        """Stops all plug-ins and the peer network."""
        self._state = KernelState.STOPPED
        for name, plugin in reversed(list(self._plugins.items())):
            self._run_stop_step(name, plugin.stop)
        if self.peers is not None:
            self.peers.stop()
        events.emit(
            'stopped',
            in_flight=self._count_work(),
        )

    def _follow_settings(self, path: pathlib.Path) -> None:
        current = self.settings
        last_error = ''
        while True:
            self._reload_requested.wait(SETTINGS_POLL_S)
            try:
                loaded = settings_module.load(path)
            except exceptions.SettingsError as error:
                # The settings in effect stay; each fault is logged once.
                if error.message != last_error:
                    events.emit('settings_refused', reason=error.message)
                last_error = error.message
                continue
            last_error = ''
            if loaded != current:
                current = loaded
                self._reload(loaded)

    def _reload(self, loaded: settings_module.Settings) -> None:
        events.emit('settings_reloaded')
        for plugin in self._plugins.values():
            plugin.reload(loaded)

    def _select_modules(self) -> tuple[str, ...]:
        if self.settings.store is not None:
            return plugins.STORE_MODULES
        return plugins.STAND_ALONE_MODULES

    def _make_peers(self) -> typing.Any:
        """Makes the peer network; None in a platform deployment.

        Daemons of a platform deployment communicate only through the store.
        """
        if self.settings.store is not None:
            return None
        # Imported here so that a platform deployment doesn't use memory for
        # the module.
        from lentildeal._internal.network import peers

        return peers.PeerNetwork(self.settings, self.incarnation)

    def _count_work(self) -> int:
        extra = sum(function() for function in self._work_counters)
        return self.http_server.in_flight + extra

    def _run_stop_step(self, name: str, function: typing.Callable) -> None:
        """Runs a step of a planned stop; a failure doesn't prevent others."""
        try:
            function()
        except Exception as error:
            _task_failures_total.labels(name).inc()
            logger.opt(exception=error).error(
                '{} failed during the stop', name
            )

    def _supervise(self, name, function, arguments) -> None:
        while self._state is not KernelState.STOPPED:
            try:
                function(*arguments)
                return
            except Exception as error:
                _task_failures_total.labels(name).inc()
                logger.opt(exception=error).error('task {} failed', name)
                eventlet.sleep(RESTART_DELAY_S)
