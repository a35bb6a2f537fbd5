"""Rules of the fold, checked against an oracle that sees the whole log."""

import hypothesis
from hypothesis import strategies

from lentildeal._internal.adapters import base
from lentildeal._internal.config import fold as fold_module
from lentildeal._internal.config import jsonc
from lentildeal._internal.config import records
from tests.lib import fake_log

FIXED = hypothesis.settings(derandomize=True, max_examples=300, deadline=None)


def check(raw):
    """Stands for the checks of a text."""
    if raw.startswith('bad'):
        raise jsonc.TextFaultsError([jsonc.Fault('', 1, 'bad', 'mend it')])
    return raw


def make_fold():
    """Makes a fold of test texts."""
    return fold_module.ConfigFold(check)


def edit(edit_id, base_revision, text='good'):
    """Makes the body of an edit."""
    return records.Edit(edit_id, base_revision, 'ann', text).to_body()


def accepted_at(bodies):
    """Oracle: the revision in effect after each offset."""
    revision, result = -1, []
    for offset, body in enumerate(bodies):
        is_edit = 'edit_id' in body
        if is_edit and body['base'] == revision:
            if not body['text'].startswith('bad'):
                revision = offset
        result.append(revision)
    return result


def make_snapshot(bodies, folded_to):
    """Makes the body of a true snapshot."""
    revision = accepted_at(bodies)[folded_to]
    if revision < 0:
        return {'kind': 'snapshot'}
    state = records.ConfigState(revision, folded_to, bodies[revision]['text'])
    return state.to_body()


@strategies.composite
def streams(draw, allow_future=True):
    """Draws the records of a stream: edits of all kinds, snapshots, junk."""
    bodies = []
    kinds = ['edit', 'edit', 'edit', 'race', 'stale', 'bad', 'repeat']
    kinds += ['snapshot', 'junk'] + ['future'] * allow_future
    for number in range(draw(strategies.integers(0, 25))):
        kind = draw(strategies.sampled_from(kinds))
        current = accepted_at(bodies)[-1] if bodies else -1
        name, earlier = f'e{number}', [b for b in bodies if 'edit_id' in b]
        if kind == 'snapshot' and bodies:
            lag = draw(strategies.integers(1, min(4, len(bodies))))
            bodies.append(make_snapshot(bodies, len(bodies) - lag))
        elif kind == 'junk':
            junk = [{}, {'kind': 'edit'}, {'kind': 'edit', 'base': True}]
            bodies.append(draw(strategies.sampled_from(junk)))
        elif kind == 'repeat' and earlier:
            bodies.append(draw(strategies.sampled_from(earlier)))
        elif kind == 'future':
            bodies.append(edit(name, len(bodies) + 1))
        elif kind == 'bad':
            bodies.append(edit(name, current, f'bad {name}'))
        elif kind == 'stale':
            stale = draw(strategies.integers(-1, max(current, -1)))
            bodies.append(edit(name, stale, f'good {name}'))
        elif kind == 'race':
            bodies.append(edit(name, current, f'good {name}'))
            bodies.append(edit(f'{name}b', current, f'good {name}b'))
        else:
            bodies.append(edit(name, current, f'good {name}'))
    return bodies


def make_log(bodies):
    """Makes a log that keeps all records."""
    log = fake_log.MemoryLog()
    log.bodies = list(bodies)
    return log


def fold_all(bodies):
    """Folds a whole stream in one page."""
    fold = make_fold()
    fold.fold(make_log(bodies).page(0))
    return fold


def assert_agrees(fold, bodies):
    """The state is the oracle's state after ``folded_to``."""
    expected = (
        accepted_at(bodies)[fold.folded_to] if fold.folded_to >= 0 else -1
    )
    assert fold.revision == expected
    if expected >= 0:
        assert fold.effective.text == bodies[expected]['text']


@FIXED
@hypothesis.given(streams(), strategies.data())
def test_readers_with_different_pages_agree(bodies, data):
    """Instances that read in other pages, or twice, diverge."""
    log, fold = make_log(bodies), make_fold()
    revision = -1
    while fold.next_offset < len(bodies):
        start = data.draw(strategies.integers(0, fold.next_offset))
        count = data.draw(strategies.integers(1, 6))
        page = log.page(start)
        page = base.LogPage(page.records[:count], page.oldest, page.next)
        fold.fold(page)
        assert fold.revision >= revision
        revision = fold.revision
        assert_agrees(fold, bodies)
    assert fold.effective == fold_all(bodies).effective
    assert fold.judgements == fold_all(bodies).judgements


@FIXED
@hypothesis.given(streams(), strategies.data())
def test_truncation_and_snapshots_never_revert(bodies, data):
    """A reader that missed records takes an older or a wrong text."""
    log, fold, revision = make_log([]), make_fold(), -1
    steps = ['append', 'append', 'read', 'truncate', 'peer']
    while len(log.bodies) < len(bodies):
        step = data.draw(strategies.sampled_from(steps))
        if step == 'append':
            log.bodies.append(bodies[len(log.bodies)])
        elif step == 'read':
            fold.fold(log.page(fold.next_offset))
        elif step == 'truncate':
            limit = len(log.bodies)
            log.oldest = data.draw(strategies.integers(log.oldest, limit))
        elif log.bodies:
            seen = data.draw(strategies.integers(1, len(log.bodies)))
            fold.close_gap(fold_all(log.bodies[:seen]).effective.state)
        assert fold.revision >= revision
        revision = fold.revision
        assert_agrees(fold, bodies)
    fold.fold(log.page(fold.next_offset))
    assert_agrees(fold, bodies)
    if not fold.has_gap:
        assert fold.folded_to == len(bodies) - 1
    for judgement in fold.judgements:
        known = accepted_at(bodies)[judgement.offset]
        if judgement.verdict is records.Verdict.ACCEPTED:
            assert known == judgement.offset
        elif judgement.verdict is not records.Verdict.UNKNOWN:
            assert known != judgement.offset


@FIXED
@hypothesis.given(streams(), strategies.integers(2, 6))
def test_one_of_the_racing_edits_is_accepted(bodies, count):
    """Two edits of one revision both take effect, or none does."""
    current = accepted_at(bodies)[-1] if bodies else -1
    race = [edit(f'race{n}', current, f'good {n}') for n in range(count)]
    fold = fold_all(bodies + race)
    verdicts = [fold.find_verdict(f'race{n}', current) for n in range(count)]
    assert verdicts[0] is records.Verdict.ACCEPTED
    assert set(verdicts[1:]) == {records.Verdict.CONFLICT}
    absent = fold.find_verdict('not in the log', current)
    assert absent is records.Verdict.CONFLICT


@FIXED
@hypothesis.given(streams(allow_future=False))
def test_repeated_appends_change_nothing(bodies):
    """An edit that is appended again after a lost answer runs twice."""
    seen, single = set(), []
    for body in bodies:
        name = body.get('edit_id')
        single.append({} if name in seen else body)
        seen.add(name or id(body))
    repeated, plain = fold_all(bodies), fold_all(single)
    assert repeated.effective == plain.effective
    assert repeated.judgements == plain.judgements


def test_edit_behind_a_gap_waits_for_a_snapshot():
    """An edit is accepted though an unseen one may have come before it."""
    bodies = [edit('a', -1), edit('b', 0), edit('c', 0), {}, edit('d', 1)]
    log, fold = make_log(bodies[:1]), make_fold()
    fold.fold(log.page(0))
    log.bodies, log.oldest = bodies[:3], 2
    fold.fold(log.page(1))
    assert (fold.has_gap, fold.revision) == (True, 0)
    assert fold.find_verdict('c') is records.Verdict.UNKNOWN
    log.bodies = bodies + [make_snapshot(bodies, 2)]
    fold.fold(log.page(3))
    assert (fold.has_gap, fold.revision, fold.folded_to) == (False, 4, 5)
    assert fold.find_verdict('c') is records.Verdict.CONFLICT
    assert fold.find_verdict('d') is records.Verdict.ACCEPTED


def test_snapshot_that_leaves_part_of_the_gap_is_not_used():
    """An edit between the snapshot and the oldest record is missed."""
    bodies = [
        edit('a', -1),
        edit('b', 0),
        {},
        make_snapshot([edit('a', -1)], 0),
    ]
    log, fold = make_log(bodies), make_fold()
    log.oldest = 2
    fold.fold(log.page(0))
    assert (fold.has_gap, fold.revision) == (True, -1)


def test_false_snapshot_of_a_later_revision_has_no_effect():
    """A record that names a revision beyond its own offset is taken over."""
    lie = records.ConfigState(9, 9, 'good').to_body()
    bodies = [edit('a', -1), lie]
    fold = fold_all(bodies)
    assert fold.revision == 0
    log, late = make_log(bodies), make_fold()
    log.oldest = 1
    late.fold(log.page(0))
    assert (late.has_gap, late.revision) == (True, -1)
