"""Items of jobs at replicas that report their speed."""

import pytest

from lentildeal._internal.jobs import scheduling
from tests.lib import job_builders

LONG = scheduling.Requirements(min_version=1, expected_left=60.0)
SHORT = scheduling.Requirements(min_version=1, expected_left=5.0)


def make_candidate(replica_id, **overrides):
    return job_builders.make_candidate(replica_id, **overrides)


@pytest.mark.parametrize('requirements', [LONG, SHORT])
def test_one_replica_at_a_third_of_its_speed_gets_no_item(requirements):
    # No item ran there yet, so that its pace is unknown.
    slow = make_candidate('slow', work_factor=3.0)
    usual = make_candidate('usual', work_factor=1.0, free_slots=1)
    chosen = scheduling.choose_replica(requirements, [slow, usual])
    assert chosen.replica_id == 'usual'


def test_work_factor_replaces_an_outdated_pace():
    # The replica was slow a while ago and reports that it is not any more.
    again = make_candidate('again', last_pace_s=0.12, work_factor=1.0)
    busy = make_candidate('busy', pace_s=0.04, free_slots=1)
    assert scheduling.choose_replica(LONG, [again, busy]) is again


def test_measured_pace_counts_more_than_a_work_factor():
    # Guards against a figure of a moment that overrules a measurement.
    measured = make_candidate('measured', pace_s=0.04, work_factor=3.0)
    assert scheduling.expect_pace_s(measured, 0.04) == 0.04


def find_faster(run_pace_s, expected_left, *candidates):
    found = scheduling.find_faster_replica(
        requirements=LONG,
        run_pace_s=run_pace_s,
        run_events=10,
        expected_left=expected_left,
        moves=0,
        current='slow',
        candidates=candidates,
    )
    return None if found is None else found.replica_id


def test_straggler_moves_to_a_replica_that_reports_its_usual_speed():
    # Guards against stragglers that stay, as nobody measured other replicas.
    slow = make_candidate('slow', pace_s=0.12, work_factor=3.0)
    usual = make_candidate('usual', work_factor=1.0)
    unknown = make_candidate('unknown')
    assert find_faster(0.12, 30.0, slow, usual, unknown) == 'usual'
    assert find_faster(0.12, 30.0, slow, unknown) is None
    # The move costs more than the rest of a short item.
    assert find_faster(0.07, 5.0, slow, usual) is None


def test_all_slow_together_moves_no_item():
    # Guards against items that go from one slow replica to the next.
    slow = make_candidate('slow', pace_s=0.12, work_factor=3.0)
    other = make_candidate('other', work_factor=3.0)
    assert find_faster(0.12, 30.0, slow, other) is None
