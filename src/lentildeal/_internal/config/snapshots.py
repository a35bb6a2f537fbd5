"""Snapshots of the text in effect, appended to the log.

An instance that starts after the log's retention has dropped the edit in
effect reads the text from a snapshot.
"""

from __future__ import annotations

import typing

import eventlet
from loguru import logger
import prometheus_client

from lentildeal._internal.config import records
from lentildeal._internal.config import state_machine as state_machine_module
from lentildeal._internal import exceptions
from lentildeal._internal.settings import settings as settings_module
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import hashing

if typing.TYPE_CHECKING:
    from lentildeal._internal.config import reader as reader_module
    from lentildeal._internal.kernel import kernel as kernel_module

RANK_KEY = 'config.snapshot'
# Time to read an appended snapshot back from the log, in seconds.
READ_BACK_WAIT_S = 5.0

_snapshots_total = prometheus_client.Counter(
    'lentildeal_config_snapshots_total',
    'Snapshots of the text in effect that were appended.',
)


def needs_snapshot(
    state_machine: state_machine_module.ConfigStateMachine,
    age_s: float,
    settings: settings_module.Snapshots,
) -> bool:
    """Whether the log needs a new snapshot.

    Args:
        state_machine: State machine of this instance.
        age_s: Time since the latest edit or snapshot was seen, in seconds.
        settings: Limits that trigger a snapshot.
    """
    if state_machine.effective.text is None or state_machine.has_gap:
        return False
    if state_machine.oldest_needed_offset < state_machine.oldest_offset:
        return True
    if (
        state_machine.next_offset - state_machine.oldest_needed_offset
        > settings.records
    ):
        return True
    return age_s * 1000 > settings.interval_ms


class SnapshotWriter:
    """Appends snapshots while this instance has the lowest rank."""

    def __init__(
        self,
        kernel: kernel_module.Kernel,
        reader: reader_module.ConfigReader,
    ) -> None:
        self._kernel = kernel
        self._reader = reader
        self._settings = kernel.settings
        self._oldest_needed_offset = reader.state_machine.oldest_needed_offset
        self._oldest_needed_since_s = clock.monotonic_s()

    @property
    def _has_lowest_rank(self) -> bool:
        """Whether this instance has the lowest rank of the live ones.

        While instances disagree on who is live, several may have it; a second
        snapshot has no effect.
        """
        own = self._settings.instance
        names = {member.instance for member in self._reader.live_members()}
        ranked = hashing.rank_by_rendezvous(RANK_KEY, names | {own})
        return ranked[-1] == own

    def run(self) -> None:
        """Checks once per poll interval whether a snapshot is needed."""
        period_s = self._settings.timing.log_poll_ms / 1000
        while True:
            eventlet.sleep(period_s)
            if self._needs_snapshot() and self._has_lowest_rank:
                self._append()
                eventlet.sleep(READ_BACK_WAIT_S)

    def _needs_snapshot(self) -> bool:
        state_machine = self._reader.state_machine
        if state_machine.oldest_needed_offset != self._oldest_needed_offset:
            self._oldest_needed_offset = state_machine.oldest_needed_offset
            self._oldest_needed_since_s = clock.monotonic_s()
        age_s = clock.monotonic_s() - self._oldest_needed_since_s
        return self._reader.is_log_reachable and needs_snapshot(
            state_machine, age_s, self._settings.snapshots
        )

    def _append(self) -> None:
        state = self._reader.state_machine.effective.state
        try:
            self._reader.log.append(records.STREAM, state.to_body())
        except exceptions.PlatformError as error:
            logger.warning('append of a snapshot was not confirmed: {}', error)
            return
        _snapshots_total.inc()
        logger.info('snapshot of revision {} appended', state.revision)
