"""Plug-in that follows the log stream ``config``."""

from __future__ import annotations

import typing

import eventlet
import eventlet.event
from loguru import logger
import prometheus_client

from lentildeal._internal.adapters import base as platform_base
from lentildeal._internal.adapters import http_log  # noqa: F401
from lentildeal._internal.config import records
from lentildeal._internal.config import snapshots
from lentildeal._internal.config import state_machine as state_machine_module
from lentildeal._internal import exceptions
from lentildeal._internal.kernel import plugins
from lentildeal._internal.models import ids
from lentildeal._internal.models import members
from lentildeal._internal.models import text as text_module
from lentildeal._internal.utils import backoff

FETCH_TIMEOUT_S = 1.0
# Limits the load that 350 daemons put on each other when they start during an
# outage of the log.
MAX_PEERS_PER_ROUND = 3

_revision_gauge = prometheus_client.Gauge(
    'lentildeal_config_revision', 'Revision in effect at this instance.'
)
_log_reachable_gauge = prometheus_client.Gauge(
    'lentildeal_config_log_reachable',
    'Whether the last read of the configuration stream succeeded.',
)
_gap_gauge = prometheus_client.Gauge(
    'lentildeal_config_gap',
    'Whether the log has dropped records that this instance has not read.',
)


@plugins.register('config')
class ConfigReader(plugins.Plugin):
    """Keeps the text in effect, read from the log or fetched from peers."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self._settings = kernel.settings
        self._log = platform_base.make_log_service(kernel.settings)
        self._state_machine = state_machine_module.ConfigStateMachine()
        # State fetched from a peer; in effect while it is newer than the
        # state machine's.
        self._peer_state = state_machine_module.NO_CONFIG
        self._is_log_reachable = False
        self._is_log_behind = False
        self._handlers: list[typing.Callable[[], None]] = []
        self._page_applied = eventlet.event.Event()

    @property
    def text(self) -> typing.Optional[text_module.FederationText]:
        """Decoded text in effect, None before the first one is known."""
        return self._effective.text

    @property
    def raw_text(self) -> str:
        """Text in effect as published, empty before the first one is known."""
        return self._effective.state.text

    @property
    def revision(self) -> ids.Revision:
        """Revision in effect; never decreases."""
        return self._effective.state.revision

    @property
    def applied_offset(self) -> ids.Offset:
        """Last offset that the revision takes into account."""
        return self._effective.state.folded_to

    @property
    def is_log_reachable(self) -> bool:
        """Whether the last read of the log succeeded."""
        return self._is_log_reachable

    @property
    def has_gap(self) -> bool:
        """Whether the log has dropped records that were not read."""
        return self._state_machine.has_gap

    @property
    def log(self) -> platform_base.LogService:
        """Client of the log service, shared by all plug-ins."""
        return self._log

    @property
    def state_machine(self) -> state_machine_module.ConfigStateMachine:
        """State machine fed with the records that this instance has read."""
        return self._state_machine

    @property
    def _effective(self) -> state_machine_module.EffectiveConfig:
        if self._peer_state.state.revision > self._state_machine.revision:
            return self._peer_state
        return self._state_machine.effective

    def on_change(self, function: typing.Callable[[], None]) -> None:
        """Registers a function that is called after each new revision."""
        self._handlers.append(function)

    def live_members(self) -> list[members.Member]:
        """Returns the live members, none without the membership plug-in."""
        membership = self._kernel.find_plugin('membership')
        return [] if membership is None else list(membership.live())

    def start(self) -> None:
        """Starts reading the log and handling requests of peers."""
        self._kernel.peers.handle(records.Fetch, self._handle_fetch)
        self._kernel.spawn('config.follow', self._follow)
        writer = snapshots.SnapshotWriter(self._kernel, self)
        self._kernel.spawn('config.snapshots', writer.run)

    def wait_for_page(self, timeout_s: float) -> None:
        """Waits until a page of the log has been applied or time is up."""
        page_applied = self._page_applied
        with eventlet.Timeout(timeout_s, False):
            page_applied.wait()

    def _handle_fetch(self, instance, message) -> records.ConfigState:
        return self._effective.state

    def _follow(self) -> None:
        delays = backoff.Backoff(longest_s=1.0)
        while True:
            if self._read_page():
                delays.reset()
                if self._state_machine.has_gap:
                    self._fetch_from_peers()
            else:
                self._fetch_from_peers()
                eventlet.sleep(delays.next_delay_s())

    def _read_page(self) -> bool:
        """Reads and applies one page; returns whether the read succeeded."""
        wait_s = self._settings.timing.log_poll_ms / 1000
        try:
            page = self._log.read(
                records.STREAM, self._state_machine.next_offset, wait_s
            )
        except exceptions.PlatformError as error:
            self._set_reachable(False, str(error))
            return False
        self._set_reachable(True)
        self._check_log_end(page.next)
        before = self.revision
        self._state_machine.apply_page(page)
        self._announce_change(before)
        self._wake_waiters()
        return True

    def _fetch_from_peers(self) -> None:
        for member in self._choose_peers():
            try:
                state = self._kernel.peers.call(
                    member.instance, records.Fetch(), FETCH_TIMEOUT_S
                )
            except exceptions.PeerError:
                continue
            if isinstance(state, records.ConfigState):
                self._adopt(state)

    def _choose_peers(self) -> list[members.Member]:
        """Returns members that may have a newer state, newest first."""
        own = self._settings.instance
        others = [m for m in self.live_members() if m.instance != own]
        if self.text is not None and not self._state_machine.has_gap:
            others = [m for m in others if m.revision > self.revision]
        others.sort(key=lambda member: member.revision, reverse=True)
        return others[:MAX_PEERS_PER_ROUND]

    def _adopt(self, state: records.ConfigState) -> None:
        before = self.revision
        self._state_machine.close_gap(state)
        if state.revision > self.revision:
            effective = state_machine_module.check_state(state)
            if effective is None:
                logger.warning('ignored an invalid text from a peer')
                return
            self._peer_state = effective
        self._announce_change(before)

    def _check_log_end(self, next_offset: ids.Offset) -> None:
        """Logs an error once if the log ends before the last offset read.

        A log that was emptied assigns offsets again that this instance has
        already applied, so the instance skips the new records.
        """
        is_behind = next_offset < self._state_machine.next_offset
        if is_behind and not self._is_log_behind:
            logger.error(
                'the log ends at offset {}, but offset {} was read before;'
                ' this daemon ignores new edits until it is restarted',
                next_offset,
                self._state_machine.next_offset - 1,
            )
        self._is_log_behind = is_behind

    def _set_reachable(self, is_reachable: bool, reason: str = '') -> None:
        _log_reachable_gauge.set(is_reachable)
        if is_reachable == self._is_log_reachable:
            return
        self._is_log_reachable = is_reachable
        if is_reachable:
            logger.info('log service is reachable')
        else:
            logger.warning('log service is unreachable: {}', reason)

    def _wake_waiters(self) -> None:
        page_applied, self._page_applied = (
            self._page_applied,
            eventlet.event.Event(),
        )
        page_applied.send()

    def _announce_change(self, before: ids.Revision) -> None:
        _gap_gauge.set(self._state_machine.has_gap)
        if self.revision == before:
            return
        _revision_gauge.set(self.revision)
        logger.info('revision {} is in effect', self.revision)
        for function in list(self._handlers):
            try:
                function()
            except Exception as error:
                logger.opt(exception=error).error(
                    'handler of a configuration change failed'
                )
