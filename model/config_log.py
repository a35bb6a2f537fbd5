"""Configuration log: all readers accept and reject the same edits."""

from __future__ import annotations

import z3

from model import checker

SLOTS = 4
READERS = (0, 1)
EDIT, SNAPSHOT = 0, 1
NO_REVISION = -1


class ConfigLog(checker.Spec):
    """Operators edit concurrently, readers restart, retention drops records.

    Slot ``i`` holds an edit (``base``) or a snapshot (``base`` is the
    revision, ``folded`` the offset up to which its author had folded). A
    reader has folded up to ``at``; it is ``sure`` of its revision unless it
    misses records. ``first`` is the first offset that it has read itself.
    """

    name = 'configuration log'
    # Induction covers runs of any length. The search of depth 8 takes a minute
    # longer; only the mutation with the longest counterexample needs it.
    depth = 7
    mutation_depth = 8
    mutations = {
        'edit accepted without comparing its base': 'readers agree',
        'snapshot replaces a known revision': 'readers agree',
        'snapshot adopted although later records are missing': (
            'readers agree'
        ),
        'edits applied after missed records': 'readers agree',
        'state of an older peer adopted': 'revision never reverts',
    }
    inductive = (
        'offsets are ordered',
        'snapshots are correct',
        'readers agree',
        'revision never reverts',
    )

    def variables(self):
        """See the base class."""
        names = {'length': self.sort, 'oldest': self.sort}
        for i in range(SLOTS):
            for field in ('kind', 'base', 'folded'):
                names[f'{field}{i}'] = self.sort
        for r in READERS:
            for field in ('at', 'revision', 'first', 'highest'):
                names[f'{field}{r}'] = self.sort
            names[f'sure{r}'] = z3.BoolSort()
        return names

    def inputs(self):
        """See the base class."""
        return {'input_base': self.sort}

    def initial(self, s):
        """See the base class."""
        return z3.And(
            s['length'] == 0,
            s['oldest'] == 0,
            *(s[f'at{r}'] == -1 for r in READERS),
            *(s[f'revision{r}'] == NO_REVISION for r in READERS),
            *(s[f'highest{r}'] == NO_REVISION for r in READERS),
            *(s[f'first{r}'] == 0 for r in READERS),
            *(s[f'sure{r}'] for r in READERS),
        )

    def actions(self, s):
        """See the base class."""
        steps = [self._append_edit(s), self._truncate(s)]
        for r in READERS:
            steps += [
                self._append_snapshot(s, r),
                self._fold_next(s, r),
                self._skip_gap(s, r),
                self._restart(s, r),
                self._fetch_from_peer(s, r, 1 - r),
            ]
        return steps

    def properties(self, s):
        """See the base class."""
        no_revision = self.number(NO_REVISION)
        expected_revisions = [
            _fold(s, no_revision, 0, i) for i in range(SLOTS + 1)
        ]
        return {
            'offsets are ordered': z3.And(
                0 <= s['oldest'],
                s['oldest'] <= s['length'],
                s['length'] <= SLOTS,
                *(
                    z3.And(
                        -1 <= s[f'at{r}'],
                        s[f'at{r}'] < s['length'],
                        s[f'first{r}'] <= s[f'at{r}'] + 1,
                        s[f'first{r}'] >= 0,
                    )
                    for r in READERS
                ),
            ),
            'snapshots are correct': z3.And(
                *(
                    z3.Implies(
                        z3.And(i < s['length'], s[f'kind{i}'] != EDIT),
                        z3.And(
                            s[f'folded{i}'] < i,
                            s[f'folded{i}'] >= -1,
                            s[f'base{i}']
                            == checker.select(
                                expected_revisions, s[f'folded{i}'] + 1
                            ),
                        ),
                    )
                    for i in range(SLOTS)
                )
            ),
            'readers agree': z3.And(
                *(
                    z3.If(
                        s[f'sure{r}'],
                        s[f'revision{r}']
                        == checker.select(expected_revisions, s[f'at{r}'] + 1),
                        s[f'revision{r}']
                        <= checker.select(expected_revisions, s[f'at{r}'] + 1),
                    )
                    for r in READERS
                )
            ),
            'revision never reverts': z3.And(
                *(s[f'revision{r}'] >= s[f'highest{r}'] for r in READERS)
            ),
        }

    def _append(self, s, kind, base, folded):
        updates = {'length': s['length'] + 1}
        values = {'kind': kind, 'base': base, 'folded': folded}
        for i in range(SLOTS):
            for field, value in values.items():
                name = f'{field}{i}'
                updates[name] = z3.If(s['length'] == i, value, s[name])
        return updates

    def _append_edit(self, s):
        """Appends an edit of any revision seen before, even a second edit."""
        base = s['input_base']
        guard = z3.And(
            s['length'] < SLOTS, base >= NO_REVISION, base < s['length']
        )
        return checker.Action(
            'append edit', guard, self._append(s, EDIT, base, -1)
        )

    def _append_snapshot(self, s, r):
        guard = z3.And(
            s['length'] < SLOTS, s[f'sure{r}'], s[f'revision{r}'] >= 0
        )
        updates = self._append(s, SNAPSHOT, s[f'revision{r}'], s[f'at{r}'])
        return checker.Action(f'append snapshot {r}', guard, updates)

    def _truncate(self, s):
        guard = s['oldest'] < s['length']
        return checker.Action('truncate', guard, {'oldest': s['oldest'] + 1})

    def _fold_next(self, s, r):
        offset = s[f'at{r}'] + 1
        guard = z3.And(offset < s['length'], offset >= s['oldest'])
        kind = checker.select([s[f'kind{i}'] for i in range(SLOTS)], offset)
        base = checker.select([s[f'base{i}'] for i in range(SLOTS)], offset)
        folded = checker.select(
            [s[f'folded{i}'] for i in range(SLOTS)], offset
        )
        sure, revision = s[f'sure{r}'], s[f'revision{r}']
        is_accepted = base == revision
        if self.is_mutated('edit accepted without comparing its base'):
            is_accepted = z3.BoolVal(True)
        after_edit = z3.If(z3.And(sure, is_accepted), offset, revision)
        covers_missed_records = folded + 1 >= s[f'first{r}']
        if self.is_mutated(
            'snapshot adopted although later records are missing'
        ):
            covers_missed_records = z3.BoolVal(True)
        is_adopted = z3.And(z3.Not(sure), covers_missed_records)
        if self.is_mutated('snapshot replaces a known revision'):
            is_adopted = z3.BoolVal(True)
        replay_start = z3.If(
            s[f'first{r}'] > folded, s[f'first{r}'], folded + 1
        )
        replayed = _fold_between(s, base, replay_start, offset)
        if self.is_mutated('snapshot replaces a known revision'):
            replayed = base
        after_snapshot = z3.If(is_adopted, replayed, revision)
        is_edit = kind == EDIT
        updates = {
            f'at{r}': offset,
            f'revision{r}': z3.If(is_edit, after_edit, after_snapshot),
            f'sure{r}': z3.Or(sure, z3.And(z3.Not(is_edit), is_adopted)),
            f'highest{r}': _make_highest(s, r),
        }
        return checker.Action(f'fold {r}', guard, updates)

    def _skip_gap(self, s, r):
        """Skips records that retention dropped before they were folded."""
        guard = s[f'at{r}'] + 1 < s['oldest']
        is_sure = z3.BoolVal(False)
        if self.is_mutated('edits applied after missed records'):
            is_sure = s[f'sure{r}']
        updates = {
            f'at{r}': s['oldest'] - 1,
            f'first{r}': s['oldest'],
            f'sure{r}': is_sure,
            f'highest{r}': _make_highest(s, r),
        }
        return checker.Action(f'skip gap {r}', guard, updates)

    def _restart(self, s, r):
        updates = {
            f'at{r}': s['oldest'] - 1,
            f'first{r}': s['oldest'],
            f'revision{r}': self.number(NO_REVISION),
            f'highest{r}': self.number(NO_REVISION),
            f'sure{r}': s['oldest'] == 0,
        }
        return checker.Action(f'restart {r}', z3.BoolVal(True), updates)

    def _fetch_from_peer(self, s, r, peer):
        guard = z3.And(s[f'sure{peer}'], s[f'at{peer}'] >= s[f'at{r}'])
        if self.is_mutated('state of an older peer adopted'):
            guard = s[f'sure{peer}']
        updates = {
            f'at{r}': s[f'at{peer}'],
            f'first{r}': s[f'at{peer}'] + 1,
            f'revision{r}': s[f'revision{peer}'],
            f'sure{r}': z3.BoolVal(True),
            f'highest{r}': _make_highest(s, r),
        }
        return checker.Action(f'fetch {r} from {peer}', guard, updates)


def _make_highest(s, r):
    revision, highest = s[f'revision{r}'], s[f'highest{r}']
    return z3.If(revision > highest, revision, highest)


def _fold(s, revision, start, end):
    """Returns the revision after folding the records [start, end)."""
    for i in range(start, end):
        accepted = z3.And(s[f'kind{i}'] == EDIT, s[f'base{i}'] == revision)
        revision = z3.If(accepted, i, revision)
    return revision


def _fold_between(s, revision, start, end):
    """Like ``_fold``, with a symbolic start and end."""
    for i in range(SLOTS):
        accepted = z3.And(
            start <= i,
            i < end,
            s[f'kind{i}'] == EDIT,
            s[f'base{i}'] == revision,
        )
        revision = z3.If(accepted, i, revision)
    return revision
