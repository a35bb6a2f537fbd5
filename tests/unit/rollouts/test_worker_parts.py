"""Tests of token labels, fair pulls, causes of waiting and hedges."""

import types

from lentildeal._internal.adapters import base
from lentildeal._internal.models import outcomes
from lentildeal._internal.models import samples
from lentildeal._internal.rollouts import backlogs
from lentildeal._internal.rollouts import causes
from lentildeal._internal.rollouts import generation
from lentildeal._internal.rollouts import messages
from lentildeal._internal.rollouts import ordering
from tests.unit.rollouts import test_steps


def collect(*chunks):
    collector = generation.TokenCollector()
    for count, version in chunks:
        collector.add(base.TokenChunk('x' * count, count, version))
    return collector


def test_segments_follow_the_reported_versions():
    """A swap back and forth must give segments without gaps."""
    collector = collect((2, 5), (3, 5), (1, 6), (0, 7), (2, 5))
    assert collector.segments == (
        samples.Segment(5, 0, 5),
        samples.Segment(6, 5, 6),
        samples.Segment(5, 6, 8),
    )
    assert collector.oldest_version == 5


def test_empty_sample_is_labelled():
    """A sample without tokens must still have a version."""
    assert collect((0, 4)).segments == (samples.Segment(4, 0, 0),)


def make_table(**trainers):
    """Makes a table; trainers are name=(club, club weight, share of club)."""
    text = types.SimpleNamespace(
        clubs={
            club: types.SimpleNamespace(weight=weight)
            for club, weight, _ in trainers.values()
        },
        trainers={
            name: types.SimpleNamespace(share_of_club=share)
            for name, (_, _, share) in trainers.items()
        },
    )
    table = backlogs.BacklogTable(lambda: text)
    for name, (club, _, _) in trainers.items():
        key = messages.StepKey(name, 1, 1)
        table.record_notice('a1', messages.Backlog(key, club, 'm', 9, 0))
    return table


def test_slots_follow_club_weights_and_shares():
    """A club with several trainers must not get more than its share."""
    table = make_table(
        t1=('north', 3.0, 0.75), t2=('north', 3.0, 0.25), t3=('south', 1.0, 1)
    )
    tokens = {'t1': 0, 't2': 0, 't3': 0}
    for turn in range(1600):
        notice = table.choose_backlog('r1', 'm', 5, 0.0).notice
        cost = 50 + turn % 7
        table.charge(notice, cost)
        tokens[notice.key.trainer] += cost
    total = sum(tokens.values())
    shares = [round(count / total, 2) for count in tokens.values()]
    assert shares == [0.56, 0.19, 0.25]


def test_older_attachment_does_not_replace_newer_backlog():
    """A late notice of a closed attachment must be ignored."""
    table = make_table(t1=('north', 1.0, 1.0))
    key = messages.StepKey('t1', 1, 0)
    table.record_notice('a2', messages.Backlog(key, 'north', 'm', 9, 0))
    assert table.choose_backlog('r1', 'm', 5, 0.0).coordinator == 'a1'


def test_replica_below_minimum_version_gets_no_work():
    """A replica below the minimum version must not start a sample."""
    table = make_table()
    key = messages.StepKey('t', 1, 1)
    table.record_notice('a1', messages.Backlog(key, 'north', 'm', 9, 6))
    assert table.choose_backlog('r1', 'm', 5, 0.0) is None
    assert table.is_newer_version_needed('m', 5)


def test_every_incomplete_step_has_a_cause():
    """The status must always show why an incomplete step is waiting."""
    state = test_steps.make_state(groups=1, size=1)
    owners = causes.OwnerCauses()
    find = causes.find_cause
    assert find(state, owners, 0.0) is outcomes.Cause.OWNER_UNREACHABLE
    owners.record_report('a1', outcomes.Cause.CLUB_SHARE.value, 0.0)
    assert find(state, owners, 0.0) is outcomes.Cause.CLUB_SHARE
    attempt = test_steps.pull(state)
    assert find(state, owners, 0.0) is outcomes.Cause.STRAGGLER
    test_steps.finish(state, attempt)
    test_steps.drain(state)
    assert find(state, owners, 0.0) is None


def test_long_samples_are_not_hedged():
    """Hedging long samples would bias the data towards short ones."""
    fast = ordering.AttemptStats(1, 'r1', 100.0, 1000, True)
    slow = ordering.AttemptStats(2, 'r2', 20.0, 10, True)
    peers = [ordering.AttemptStats(n, 'r3', 10.0, 95, True) for n in (3, 4)]
    assert ordering.choose_hedge([fast, *peers], 'r4') is None
    assert ordering.choose_hedge([fast, slow, *peers], 'r4') == 2
    assert ordering.choose_hedge([fast, slow, *peers], 'r2') is None
    assert ordering.choose_hedge([slow], 'r4', [95.0, 99.0]) == 2
    assert not ordering.may_spend_on_hedge(40.0, 20.0, 1000, 55)
