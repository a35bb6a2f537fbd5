"""Fold of the log stream ``config`` to the text in effect.

Every instance applies these rules to the same records, so that all agree on
which of several concurrent edits is accepted without talking to each other.
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

# Judgements kept for publishers and the history; a day at the design size
# has 3,000 edits.
MAX_JUDGEMENTS = 5000

Check = typing.Callable[[str], text_module.FederationText]


@dataclasses.dataclass(frozen=True)
class Effective:
    """A state whose text has passed the checks."""

    state: records.ConfigState
    text: typing.Optional[text_module.FederationText]


NOTHING = Effective(
    records.ConfigState(ids.NO_REVISION, ids.Offset(-1), ''), None
)


def check_state(
    state: records.ConfigState, check: Check = checks.check_text
) -> typing.Optional[Effective]:
    """Checks the text of a state; None if it is not valid."""
    if state.revision == ids.NO_REVISION:
        return Effective(state, None)
    try:
        return Effective(state, check(state.text))
    except jsonc.TextFaultsError:
        return None


class ConfigFold:
    """State after a prefix of the stream.

    A gap opens when the log has dropped records that this instance hasn't
    read. Edits behind it can't be judged, since an edit in the gap may have
    been accepted; they wait until a state after the gap is known.
    """

    def __init__(self, check: Check = checks.check_text) -> None:
        self._check = check
        self._effective = NOTHING
        self._next_offset = ids.Offset(0)
        # First offset that can be read behind the gap; None without a gap.
        self._gap_end: typing.Optional[ids.Offset] = None
        self._waiting: list[tuple[ids.Offset, records.Edit]] = []
        self._judgements: collections.OrderedDict[str, records.Judgement] = (
            collections.OrderedDict()
        )
        self._successors: dict[ids.Revision, str] = {}
        self._snapshot_needs = ids.Offset(-1)
        self._oldest = ids.Offset(0)

    @property
    def effective(self) -> Effective:
        """State and checked text."""
        return self._effective

    @property
    def revision(self) -> ids.Revision:
        """Revision in effect; never decreases."""
        return self._effective.state.revision

    @property
    def folded_to(self) -> ids.Offset:
        """Last offset whose effect on the revision is known."""
        return self._effective.state.folded_to

    @property
    def next_offset(self) -> ids.Offset:
        """Offset to read from."""
        return self._next_offset

    @property
    def oldest(self) -> ids.Offset:
        """Oldest record that the log kept at the latest read."""
        return self._oldest

    @property
    def has_gap(self) -> bool:
        """Whether edits can't be judged."""
        return self._gap_end is not None

    @property
    def anchor(self) -> ids.Offset:
        """Oldest record that an instance without state needs now.

        It is the edit in effect, or the first record behind the latest
        snapshot of it.
        """
        return max(ids.Offset(self.revision), self._snapshot_needs)

    @property
    def judgements(self) -> list[records.Judgement]:
        """Edits read so far, oldest first, as many as are kept."""
        return list(self._judgements.values())

    def fold(self, page: platform_base.LogPage) -> None:
        """Applies one page of the stream."""
        self._oldest = max(self._oldest, page.oldest)
        self._note_gap(page.oldest)
        for record in page.records:
            if record.offset < self._next_offset:
                continue
            self._note_gap(record.offset)
            self._next_offset = ids.Offset(record.offset + 1)
            self._apply(record)

    def close_gap(self, state: records.ConfigState) -> bool:
        """Takes over a state behind the gap; returns whether it did."""
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
        waiting, self._waiting = self._waiting, []
        for offset, edit in waiting:
            self._apply_edit(offset, edit)
        self._advance(ids.Offset(self._next_offset - 1))
        return True

    def find_verdict(
        self, edit_id: str, base: typing.Optional[ids.Revision] = None
    ) -> records.Verdict:
        """Says what became of an edit, or that it is not known (yet).

        Args:
            edit_id: Name of the edit.
            base: Its base. With it, an edit that isn't in the log is known
                to conflict once another edit of this base is accepted.
        """
        judgement = self._judgements.get(edit_id)
        if judgement is not None:
            return judgement.verdict
        if self._successors.get(base, edit_id) != edit_id:
            return records.Verdict.CONFLICT
        return records.Verdict.UNKNOWN

    def find_judgement(
        self, edit_id: str
    ) -> typing.Optional[records.Judgement]:
        """Returns the judgement of an edit that has been read."""
        return self._judgements.get(edit_id)

    def _note_gap(self, first_available: ids.Offset) -> None:
        if first_available <= self._next_offset:
            return
        self._next_offset = first_available
        if first_available > self.folded_to + 1:
            # Edits that wait for a state before this gap can't be judged by
            # one behind it; their records are covered by that state.
            self._gap_end = first_available

    def _apply(self, record: platform_base.LogRecord) -> None:
        content = records.parse_body(record.offset, record.body)
        if isinstance(content, records.ConfigState):
            self.close_gap(content)
            self._note_snapshot(content)
        if isinstance(content, records.Edit):
            if self.has_gap:
                self._waiting.append((record.offset, content))
                return
            self._apply_edit(record.offset, content)
        self._advance(record.offset)

    def _apply_edit(self, offset: ids.Offset, edit: records.Edit) -> None:
        if offset <= self.folded_to:
            self._judge(offset, edit, self._verdict_of_covered(offset, edit))
            return
        verdict = self._try_accept(offset, edit)
        self._judge(offset, edit, verdict)
        self._advance(offset)

    def _try_accept(
        self, offset: ids.Offset, edit: records.Edit
    ) -> records.Verdict:
        if edit.base != self.revision:
            return records.Verdict.CONFLICT
        state = records.ConfigState(ids.Revision(offset), offset, edit.text)
        effective = check_state(state, self._check)
        if effective is None:
            return records.Verdict.INVALID
        self._effective = effective
        return records.Verdict.ACCEPTED

    def _verdict_of_covered(
        self, offset: ids.Offset, edit: records.Edit
    ) -> records.Verdict:
        """Verdict of an edit at or before the state that was taken over."""
        if offset == self.revision:
            return records.Verdict.ACCEPTED
        if offset < self.revision:
            return records.Verdict.UNKNOWN
        # The revision was in effect here already and stayed so.
        if edit.base == self.revision:
            return records.Verdict.INVALID
        return records.Verdict.CONFLICT

    def _judge(self, offset, edit, verdict: records.Verdict) -> None:
        if verdict is records.Verdict.ACCEPTED:
            self._successors[edit.base] = edit.edit_id
        known = self._judgements.get(edit.edit_id)
        # A second copy of an edit conflicts with the first one; the first
        # verdict is the edit's.
        if known is not None and verdict is not records.Verdict.ACCEPTED:
            return
        self._judgements[edit.edit_id] = records.Judgement(
            offset, edit.edit_id, edit.base, edit.author, verdict
        )
        while len(self._judgements) > MAX_JUDGEMENTS:
            _, oldest = self._judgements.popitem(last=False)
            if self._successors.get(oldest.base) == oldest.edit_id:
                del self._successors[oldest.base]

    def _advance(self, offset: ids.Offset) -> None:
        if self.has_gap or offset <= self.folded_to:
            return
        state = dataclasses.replace(self._effective.state, folded_to=offset)
        self._effective = dataclasses.replace(self._effective, state=state)

    def _note_snapshot(self, snapshot: records.ConfigState) -> None:
        if snapshot.revision == self.revision:
            self._snapshot_needs = max(
                self._snapshot_needs, ids.Offset(snapshot.folded_to + 1)
            )
