"""Plug-in that follows the log stream ``config``."""

from __future__ import annotations

import typing

import eventlet
import eventlet.event
from loguru import logger
import prometheus_client

from lentildeal._internal.adapters import base as platform_base
from lentildeal._internal.adapters import http_log  # noqa: F401
from lentildeal._internal.config import fold as fold_module
from lentildeal._internal.config import records
from lentildeal._internal.config import snapshots
from lentildeal._internal import exceptions
from lentildeal._internal.kernel import plugins
from lentildeal._internal.models import ids
from lentildeal._internal.models import members
from lentildeal._internal.models import text as text_module
from lentildeal._internal.utils import backoff

FETCH_TIMEOUT_S = 1.0
# Peers asked in one round; with more, 350 daemons that start during a log
# outage would load each other.
MAX_PEERS_ASKED = 3

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
    """Knows the text in effect."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self._settings = kernel.settings
        self._log = platform_base.make_log_service(kernel.settings)
        self._fold = fold_module.ConfigFold()
        # State of a peer; counts while it is newer than the own fold.
        self._from_peer = fold_module.NOTHING
        self._is_log_reachable = False
        self._is_log_short = False
        self._handlers: list[typing.Callable[[], None]] = []
        self._progress = eventlet.event.Event()

    @property
    def text(self) -> typing.Optional[text_module.FederationText]:
        """Text in effect, None before the first one is known."""
        return self._effective.text

    @property
    def raw_text(self) -> str:
        """Text in effect as published, empty before the first one."""
        return self._effective.state.text

    @property
    def revision(self) -> ids.Revision:
        """Revision in effect; never decreases."""
        return self._effective.state.revision

    @property
    def folded_to(self) -> ids.Offset:
        """Last offset that the revision takes into account."""
        return self._effective.state.folded_to

    @property
    def is_log_reachable(self) -> bool:
        """Whether the last read of the log succeeded."""
        return self._is_log_reachable

    @property
    def has_gap(self) -> bool:
        """Whether the log has dropped records that were not read."""
        return self._fold.has_gap

    @property
    def log(self) -> platform_base.LogService:
        """Log service, shared by all plug-ins."""
        return self._log

    @property
    def fold(self) -> fold_module.ConfigFold:
        """Fold of the records that this instance has read."""
        return self._fold

    @property
    def _effective(self) -> fold_module.Effective:
        if self._from_peer.state.revision > self._fold.revision:
            return self._from_peer
        return self._fold.effective

    def on_change(self, function: typing.Callable[[], None]) -> None:
        """Registers a function that runs after each new revision."""
        self._handlers.append(function)

    def live_members(self) -> list[members.Member]:
        """Members that are live, none without the membership plug-in."""
        membership = self._kernel.find_plugin('membership')
        return [] if membership is None else list(membership.live())

    def start(self) -> None:
        """Starts to follow the log and answers peers."""
        self._kernel.peers.handle(records.Fetch, self._answer_fetch)
        self._kernel.spawn('config.follow', self._follow)
        writer = snapshots.SnapshotWriter(self._kernel, self)
        self._kernel.spawn('config.snapshots', writer.run)

    def wait_progress(self, timeout_s: float) -> None:
        """Waits until a page has been folded or the time is over."""
        progress = self._progress
        with eventlet.Timeout(timeout_s, False):
            progress.wait()

    def _answer_fetch(self, instance, message) -> records.ConfigState:
        return self._effective.state

    def _follow(self) -> None:
        delays = backoff.Backoff(longest_s=1.0)
        while True:
            if self._read_page():
                delays.reset()
                if self._fold.has_gap:
                    self._ask_peers()
            else:
                self._ask_peers()
                eventlet.sleep(delays.next_delay_s())

    def _read_page(self) -> bool:
        """Reads and folds one page; returns whether the log answered."""
        wait_s = self._settings.timing.log_poll_ms / 1000
        try:
            page = self._log.read(
                records.STREAM, self._fold.next_offset, wait_s
            )
        except exceptions.PlatformError as error:
            self._set_reachable(False, str(error))
            return False
        self._set_reachable(True)
        self._note_log_end(page.next)
        before = self.revision
        self._fold.fold(page)
        self._announce_change(before)
        self._wake_waiters()
        return True

    def _ask_peers(self) -> None:
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
        """Members that may know more, highest revision first."""
        own = self._settings.instance
        others = [m for m in self.live_members() if m.instance != own]
        if self.text is not None and not self._fold.has_gap:
            others = [m for m in others if m.revision > self.revision]
        others.sort(key=lambda member: member.revision, reverse=True)
        return others[:MAX_PEERS_ASKED]

    def _adopt(self, state: records.ConfigState) -> None:
        before = self.revision
        self._fold.close_gap(state)
        if state.revision > self.revision:
            effective = fold_module.check_state(state)
            if effective is None:
                logger.warning('a peer sent a text that is not valid')
                return
            self._from_peer = effective
        self._announce_change(before)

    def _note_log_end(self, next_offset: ids.Offset) -> None:
        """Warns once when the log has fewer records than were read.

        A log that was emptied gives offsets again that this instance has
        folded, so that it would skip the new records.
        """
        is_short = next_offset < self._fold.next_offset
        if is_short and not self._is_log_short:
            logger.error(
                'the log ends at offset {}, but offset {} was read before;'
                ' edits have no effect here until this daemon is started anew',
                next_offset,
                self._fold.next_offset - 1,
            )
        self._is_log_short = is_short

    def _set_reachable(self, is_reachable: bool, reason: str = '') -> None:
        _log_reachable_gauge.set(is_reachable)
        if is_reachable == self._is_log_reachable:
            return
        self._is_log_reachable = is_reachable
        if is_reachable:
            logger.info('the log answers')
        else:
            logger.warning('the log does not answer: {}', reason)

    def _wake_waiters(self) -> None:
        progress, self._progress = self._progress, eventlet.event.Event()
        progress.send()

    def _announce_change(self, before: ids.Revision) -> None:
        _gap_gauge.set(self._fold.has_gap)
        if self.revision == before:
            return
        _revision_gauge.set(self.revision)
        logger.info('revision {} is in effect', self.revision)
        for function in list(self._handlers):
            try:
                function()
            except Exception as error:
                logger.opt(exception=error).error('a change handler failed')
