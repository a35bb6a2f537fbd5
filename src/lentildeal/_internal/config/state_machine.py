"""Replicated state machine that derives the text in effect.

Every instance applies the records of the log stream ``config`` in the same
order and by the same rules. All instances therefore agree on which of several
concurrent edits is accepted, without exchanging messages.
"""

from __future__ import annotations

import collections
import dataclasses
import typing

from lentildeal._internal.adapters import base as platform_base
from lentildeal._internal.config import checks
from lentildeal._internal.config import jsonc
from lentildeal._internal.config import records
from lentildeal._internal.models import ids
from lentildeal._internal.models import text as text_module

# Bounds memory; a federation of the design size has 3,000 edits a day.
MAX_HISTORY_ENTRIES = 5000

Check = typing.Callable[[str], text_module.FederationText]


@dataclasses.dataclass(frozen=True)
class EffectiveConfig:
    """A state whose text has passed the checks.

    Attributes:
        state: Published state, with the raw text.
        text: Decoded text, None without a revision.
    """

    state: records.ConfigState
    text: typing.Optional[text_module.FederationText]


NO_CONFIG = EffectiveConfig(
    records.ConfigState(ids.NO_REVISION, ids.Offset(-1), ''), None
)


def check_state(
    state: records.ConfigState, check: Check = checks.check_text
) -> typing.Optional[EffectiveConfig]:
    """Checks the text of a state; None if it is not valid."""
    if state.revision == ids.NO_REVISION:
        return EffectiveConfig(state, None)
    try:
        return EffectiveConfig(state, check(state.text))
    except jsonc.TextFaultsError:
        return None


class ConfigStateMachine:
    """State after a prefix of the stream has been applied.

    There is a gap when the log has dropped records that this instance hasn't
    read. The outcome of edits after the gap can't be decided, because a
    dropped edit may have been accepted. They stay pending until a snapshot or
    a peer supplies a state that covers the gap.
    """

    def __init__(self, check: Check = checks.check_text) -> None:
        self._check = check
        self._effective = NO_CONFIG
        self._next_offset = ids.Offset(0)
        # First offset after the gap; None without a gap.
        self._gap_end: typing.Optional[ids.Offset] = None
        self._pending_edits: list[tuple[ids.Offset, records.Edit]] = []
        self._history: collections.OrderedDict[str, records.HistoryEntry] = (
            collections.OrderedDict()
        )
        self._accepted_by_base: dict[ids.Revision, str] = {}
        self._first_after_snapshot = ids.Offset(-1)
        self._oldest_offset = ids.Offset(0)

    @property
    def effective(self) -> EffectiveConfig:
        """State in effect, with its decoded text."""
        return self._effective

    @property
    def revision(self) -> ids.Revision:
        """Revision in effect; never decreases."""
        return self._effective.state.revision

    @property
    def applied_offset(self) -> ids.Offset:
        """Last offset whose effect on the revision is known."""
        return self._effective.state.folded_to

    @property
    def next_offset(self) -> ids.Offset:
        """Offset to read from."""
        return self._next_offset

    @property
    def oldest_offset(self) -> ids.Offset:
        """Oldest offset that the log kept at the latest read."""
        return self._oldest_offset

    @property
    def has_gap(self) -> bool:
        """Whether the log has dropped records that were not read."""
        return self._gap_end is not None

    @property
    def oldest_needed_offset(self) -> ids.Offset:
        """Oldest offset that an instance without state needs to read.

        This is the edit in effect, or the first record that the latest
        snapshot of that edit doesn't cover.
        """
        return max(ids.Offset(self.revision), self._first_after_snapshot)

    @property
    def history(self) -> list[records.HistoryEntry]:
        """The latest ``MAX_HISTORY_ENTRIES`` edits, oldest first."""
        return list(self._history.values())

    def apply_page(self, page: platform_base.LogPage) -> None:
        """Applies one page of the stream."""
        self._oldest_offset = max(self._oldest_offset, page.oldest)
        self._skip_dropped_records(page.oldest)
        for record in page.records:
            if record.offset < self._next_offset:
                continue
            self._skip_dropped_records(record.offset)
            self._next_offset = ids.Offset(record.offset + 1)
            self._apply(record)

    def close_gap(self, state: records.ConfigState) -> bool:
        """Replaces the own state by one that covers the gap.

        Returns:
            Whether the state was replaced. It is not if there is no gap, or
            the given state doesn't cover it, is older or is not valid.
        """
        if (
            self._gap_end is None
            or state.folded_to + 1 < self._gap_end
            or state.revision < self.revision
        ):
            return False
        effective = check_state(state, self._check)
        if effective is None:
            return False
        self._effective = effective
        self._gap_end = None
        pending_edits, self._pending_edits = self._pending_edits, []
        for offset, edit in pending_edits:
            self._apply_edit(offset, edit)
        self._advance(ids.Offset(self._next_offset - 1))
        return True

    def find_outcome(
        self, edit_id: str, base: typing.Optional[ids.Revision] = None
    ) -> records.EditOutcome:
        """Returns the outcome of an edit, ``UNKNOWN`` if it is undecided.

        Args:
            edit_id: Identifier of the edit.
            base: Revision that the edit was made from. If it is given, an
                edit that hasn't been read is reported as a conflict once
                another edit of the same base is accepted.
        """
        entry = self._history.get(edit_id)
        if entry is not None:
            return entry.outcome
        if self._accepted_by_base.get(base, edit_id) != edit_id:
            return records.EditOutcome.CONFLICT
        return records.EditOutcome.UNKNOWN

    def find_entry(
        self, edit_id: str
    ) -> typing.Optional[records.HistoryEntry]:
        """Returns the history entry of an edit, None if there is none."""
        return self._history.get(edit_id)

    def _skip_dropped_records(self, first_available: ids.Offset) -> None:
        if first_available <= self._next_offset:
            return
        self._next_offset = first_available
        if first_available > self.applied_offset + 1:
            # A state that covers this gap also covers the edits that are
            # pending because of an earlier gap, and doesn't tell their
            # outcomes.
            self._gap_end = first_available

    def _apply(self, record: platform_base.LogRecord) -> None:
        content = records.parse_body(record.offset, record.body)
        if isinstance(content, records.ConfigState):
            self.close_gap(content)
            self._record_snapshot(content)
        if isinstance(content, records.Edit):
            if self.has_gap:
                self._pending_edits.append((record.offset, content))
                return
            self._apply_edit(record.offset, content)
        self._advance(record.offset)

    def _apply_edit(self, offset: ids.Offset, edit: records.Edit) -> None:
        if offset <= self.applied_offset:
            self._record_outcome(
                offset, edit, self._find_covered_outcome(offset, edit)
            )
            return
        outcome = self._try_accept(offset, edit)
        self._record_outcome(offset, edit, outcome)
        self._advance(offset)

    def _try_accept(
        self, offset: ids.Offset, edit: records.Edit
    ) -> records.EditOutcome:
        if edit.base != self.revision:
            return records.EditOutcome.CONFLICT
        state = records.ConfigState(ids.Revision(offset), offset, edit.text)
        effective = check_state(state, self._check)
        if effective is None:
            return records.EditOutcome.INVALID
        self._effective = effective
        return records.EditOutcome.ACCEPTED

    def _find_covered_outcome(
        self, offset: ids.Offset, edit: records.Edit
    ) -> records.EditOutcome:
        """Outcome of an edit at or before the state that was adopted."""
        if offset == self.revision:
            return records.EditOutcome.ACCEPTED
        if offset < self.revision:
            return records.EditOutcome.UNKNOWN
        # The edit came after the revision in effect and didn't replace it.
        if edit.base == self.revision:
            return records.EditOutcome.INVALID
        return records.EditOutcome.CONFLICT

    def _record_outcome(
        self, offset, edit, outcome: records.EditOutcome
    ) -> None:
        if outcome is records.EditOutcome.ACCEPTED:
            self._accepted_by_base[edit.base] = edit.edit_id
        known = self._history.get(edit.edit_id)
        # A second copy of an edit conflicts with the first one; the edit
        # keeps the outcome of the first copy.
        if known is not None and outcome is not records.EditOutcome.ACCEPTED:
            return
        self._history[edit.edit_id] = records.HistoryEntry(
            offset, edit.edit_id, edit.base, edit.author, outcome
        )
        while len(self._history) > MAX_HISTORY_ENTRIES:
            _, oldest = self._history.popitem(last=False)
            if self._accepted_by_base.get(oldest.base) == oldest.edit_id:
                del self._accepted_by_base[oldest.base]

    def _advance(self, offset: ids.Offset) -> None:
        if self.has_gap or offset <= self.applied_offset:
            return
        state = dataclasses.replace(self._effective.state, folded_to=offset)
        self._effective = dataclasses.replace(self._effective, state=state)

    def _record_snapshot(self, snapshot: records.ConfigState) -> None:
        if snapshot.revision == self.revision:
            self._first_after_snapshot = max(
                self._first_after_snapshot, ids.Offset(snapshot.folded_to + 1)
            )
