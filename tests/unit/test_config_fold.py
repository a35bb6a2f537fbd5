"""The configuration state machine, compared with an oracle.

The oracle sees the complete log, without truncation or pages.
"""

import hypothesis
from hypothesis import strategies

from lentildeal._internal.adapters import base
from lentildeal._internal.config import jsonc
from lentildeal._internal.config import records
from lentildeal._internal.config import state_machine as state_machine_module
from tests.lib import fake_log

FIXED = hypothesis.settings(derandomize=True, max_examples=300, deadline=None)


def check(raw):
    """Replaces the checks of a text; a text that starts with "bad" fails."""
    if raw.startswith('bad'):
        raise jsonc.TextFaultsError([jsonc.Fault('', 1, 'bad', 'fix it')])
    return raw


def make_state_machine():
    """Makes a state machine with simple checks of the texts."""
    return state_machine_module.ConfigStateMachine(check)


def edit(edit_id, base_revision, text='good'):
    """Makes the body of an edit."""
    return records.Edit(edit_id, base_revision, 'ann', text).to_body()


def accepted_at(bodies):
    """Returns the revision in effect after each offset (the oracle)."""
    revision, result = -1, []
    for offset, body in enumerate(bodies):
        is_edit = 'edit_id' in body
        if is_edit and body['base'] == revision:
            if not body['text'].startswith('bad'):
                revision = offset
        result.append(revision)
    return result


def make_snapshot(bodies, applied_offset):
    """Makes the body of a correct snapshot."""
    revision = accepted_at(bodies)[applied_offset]
    if revision < 0:
        return {'kind': 'snapshot'}
    state = records.ConfigState(
        revision, applied_offset, bodies[revision]['text']
    )
    return state.to_body()


@strategies.composite
def streams(draw, allow_future=True):
    """Draws records: edits of all kinds, snapshots and malformed ones."""
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


def apply_all(bodies):
    """Applies a complete stream in one page."""
    state_machine = make_state_machine()
    state_machine.apply_page(make_log(bodies).page(0))
    return state_machine


def assert_agrees(state_machine, bodies):
    """Asserts that the state is the oracle's after the same offset."""
    expected = (
        accepted_at(bodies)[state_machine.applied_offset]
        if state_machine.applied_offset >= 0
        else -1
    )
    assert state_machine.revision == expected
    if expected >= 0:
        assert state_machine.effective.text == bodies[expected]['text']


@FIXED
@hypothesis.given(streams(), strategies.data())
def test_readers_with_different_pages_agree(bodies, data):
    """Instances that read pages of other sizes, or read twice, diverge."""
    log, state_machine = make_log(bodies), make_state_machine()
    revision = -1
    while state_machine.next_offset < len(bodies):
        start = data.draw(strategies.integers(0, state_machine.next_offset))
        count = data.draw(strategies.integers(1, 6))
        page = log.page(start)
        page = base.LogPage(page.records[:count], page.oldest, page.next)
        state_machine.apply_page(page)
        assert state_machine.revision >= revision
        revision = state_machine.revision
        assert_agrees(state_machine, bodies)
    assert state_machine.effective == apply_all(bodies).effective
    assert state_machine.history == apply_all(bodies).history


@FIXED
@hypothesis.given(streams(), strategies.data())
def test_truncation_and_snapshots_never_revert(bodies, data):
    """A reader that missed records adopts an older or a wrong text."""
    log, state_machine, revision = make_log([]), make_state_machine(), -1
    steps = ['append', 'append', 'read', 'truncate', 'peer']
    while len(log.bodies) < len(bodies):
        step = data.draw(strategies.sampled_from(steps))
        if step == 'append':
            log.bodies.append(bodies[len(log.bodies)])
        elif step == 'read':
            state_machine.apply_page(log.page(state_machine.next_offset))
        elif step == 'truncate':
            limit = len(log.bodies)
            log.oldest = data.draw(strategies.integers(log.oldest, limit))
        elif log.bodies:
            seen = data.draw(strategies.integers(1, len(log.bodies)))
            state_machine.close_gap(
                apply_all(log.bodies[:seen]).effective.state
            )
        assert state_machine.revision >= revision
        revision = state_machine.revision
        assert_agrees(state_machine, bodies)
    state_machine.apply_page(log.page(state_machine.next_offset))
    assert_agrees(state_machine, bodies)
    if not state_machine.has_gap:
        assert state_machine.applied_offset == len(bodies) - 1
    for entry in state_machine.history:
        known = accepted_at(bodies)[entry.offset]
        if entry.outcome is records.EditOutcome.ACCEPTED:
            assert known == entry.offset
        elif entry.outcome is not records.EditOutcome.UNKNOWN:
            assert known != entry.offset


@FIXED
@hypothesis.given(streams(), strategies.integers(2, 6))
def test_one_of_the_racing_edits_is_accepted(bodies, count):
    """Of concurrent edits of one revision two are accepted, or none."""
    current = accepted_at(bodies)[-1] if bodies else -1
    race = [edit(f'race{n}', current, f'good {n}') for n in range(count)]
    state_machine = apply_all(bodies + race)
    outcomes = [
        state_machine.find_outcome(f'race{n}', current) for n in range(count)
    ]
    assert outcomes[0] is records.EditOutcome.ACCEPTED
    assert set(outcomes[1:]) == {records.EditOutcome.CONFLICT}
    absent = state_machine.find_outcome('not in the log', current)
    assert absent is records.EditOutcome.CONFLICT


@FIXED
@hypothesis.given(streams(allow_future=False))
def test_repeated_appends_change_nothing(bodies):
    """An edit appended again after a lost response takes effect twice."""
    seen, single = set(), []
    for body in bodies:
        name = body.get('edit_id')
        single.append({} if name in seen else body)
        seen.add(name or id(body))
    repeated, plain = apply_all(bodies), apply_all(single)
    assert repeated.effective == plain.effective
    assert repeated.history == plain.history


def test_edit_after_a_gap_waits_for_a_snapshot():
    """An edit is accepted though a dropped one may have preceded it."""
    bodies = [edit('a', -1), edit('b', 0), edit('c', 0), {}, edit('d', 1)]
    log, state_machine = make_log(bodies[:1]), make_state_machine()
    state_machine.apply_page(log.page(0))
    log.bodies, log.oldest = bodies[:3], 2
    state_machine.apply_page(log.page(1))
    assert (state_machine.has_gap, state_machine.revision) == (True, 0)
    assert state_machine.find_outcome('c') is records.EditOutcome.UNKNOWN
    log.bodies = bodies + [make_snapshot(bodies, 2)]
    state_machine.apply_page(log.page(3))
    assert (
        state_machine.has_gap,
        state_machine.revision,
        state_machine.applied_offset,
    ) == (False, 4, 5)
    assert state_machine.find_outcome('c') is records.EditOutcome.CONFLICT
    assert state_machine.find_outcome('d') is records.EditOutcome.ACCEPTED


def test_snapshot_that_leaves_part_of_the_gap_is_not_used():
    """A dropped edit between the snapshot and the oldest record is missed."""
    bodies = [
        edit('a', -1),
        edit('b', 0),
        {},
        make_snapshot([edit('a', -1)], 0),
    ]
    log, state_machine = make_log(bodies), make_state_machine()
    log.oldest = 2
    state_machine.apply_page(log.page(0))
    assert (state_machine.has_gap, state_machine.revision) == (True, -1)


def test_false_snapshot_of_a_later_revision_has_no_effect():
    """A snapshot that names a revision beyond its own offset is adopted."""
    false_snapshot = records.ConfigState(9, 9, 'good').to_body()
    bodies = [edit('a', -1), false_snapshot]
    state_machine = apply_all(bodies)
    assert state_machine.revision == 0
    log, late = make_log(bodies), make_state_machine()
    log.oldest = 1
    late.apply_page(log.page(0))
    assert (late.has_gap, late.revision) == (True, -1)
