"""Snapshots of the text in effect, appended to the log.

An instance that starts after retention has dropped the edit in effect takes
the text from a snapshot.
"""

from __future__ import annotations

import typing

import eventlet
from loguru import logger
import prometheus_client

from lentildeal._internal.config import fold as fold_module
from lentildeal._internal.config import records
from lentildeal._internal import exceptions
from lentildeal._internal.settings import settings as settings_module
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import hashing

if typing.TYPE_CHECKING:
    from lentildeal._internal.config import reader as reader_module
    from lentildeal._internal.kernel import kernel as kernel_module

RANK_KEY = 'config.snapshot'
# Time for an appended snapshot to come back through the fold, in seconds.
SETTLE_S = 5.0

_snapshots_total = prometheus_client.Counter(
    'lentildeal_config_snapshots_total',
    'Snapshots of the text in effect that were appended.',
)


def is_due(
    fold: fold_module.ConfigFold,
    age_s: float,
    settings: settings_module.Snapshots,
) -> bool:
    """Whether the log needs a new snapshot.

    Args:
        fold: What this instance has folded.
        age_s: Time since the latest edit or snapshot was seen, in seconds.
        settings: When to append.
    """
    if fold.effective.text is None or fold.has_gap:
        return False
    if fold.anchor < fold.oldest:
        return True
    if fold.next_offset - fold.anchor > settings.records:
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
        self._anchor = reader.fold.anchor
        self._anchor_seen_s = clock.monotonic_s()

    @property
    def _is_chosen(self) -> bool:
        """Whether this instance has the lowest rank of the live ones.

        While views differ several may be chosen; a second snapshot has no
        effect.
        """
        own = self._settings.instance
        names = {member.instance for member in self._reader.live_members()}
        ranked = hashing.rank_by_rendezvous(RANK_KEY, names | {own})
        return ranked[-1] == own

    def run(self) -> None:
        """Looks now and then whether a snapshot is due."""
        period_s = self._settings.timing.log_poll_ms / 1000
        while True:
            eventlet.sleep(period_s)
            if self._is_due() and self._is_chosen:
                self._append()
                eventlet.sleep(SETTLE_S)

    def _is_due(self) -> bool:
        fold = self._reader.fold
        if fold.anchor != self._anchor:
            self._anchor = fold.anchor
            self._anchor_seen_s = clock.monotonic_s()
        age_s = clock.monotonic_s() - self._anchor_seen_s
        return self._reader.is_log_reachable and is_due(
            fold, age_s, self._settings.snapshots
        )

    def _append(self) -> None:
        state = self._reader.fold.effective.state
        try:
            self._reader.log.append(records.STREAM, state.to_body())
        except exceptions.PlatformError as error:
            logger.warning('snapshot not confirmed: {}', error)
            return
        _snapshots_total.inc()
        logger.info('snapshot of revision {} appended', state.revision)
