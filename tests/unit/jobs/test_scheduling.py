"""Where items run, by patterns of load."""

from lentildeal._internal.jobs import scheduling
from lentildeal._internal.jobs import tasks
from tests.lib import job_builders

REQUIREMENTS = scheduling.Requirements(min_version=5)


def order(*items):
    keys = [scheduling.order_key(**item) for item in items]
    return sorted(range(len(items)), key=lambda n: keys[n])


def make_key(**overrides):
    return {
        'job_rank': 0,
        'is_resubmitted': False,
        'expected_events': 10.0,
        'left_in_group': 4,
        **overrides,
    }


def test_groups_that_come_again_run_first():
    # Pattern: a step waits for carried groups whatever else is complete.
    assert order(
        make_key(expected_events=90.0), make_key(is_resubmitted=True)
    ) == [1, 0]


def test_longest_items_run_first():
    # Pattern: more items than slots; a straggler that starts last ends last.
    assert order(
        make_key(expected_events=5.0), make_key(expected_events=80.0)
    ) == [1, 0]


def test_older_job_of_a_trainer_runs_first():
    # Pattern: a trainer asks ahead while its step is late.
    assert order(make_key(job_rank=1, expected_events=80.0), make_key()) == [
        1,
        0,
    ]


def test_replica_with_an_old_version_is_not_chosen():
    # Guards against a sample below the version that its job accepts.
    old = job_builders.make_candidate('old', version=4)
    assert scheduling.choose_replica(REQUIREMENTS, [old]) is None


def test_full_replicas_make_an_item_wait():
    # Guards against queues at engines, which know no order.
    full = job_builders.make_candidate('full', version=5, free_slots=0)
    assert scheduling.choose_replica(REQUIREMENTS, [full]) is None


def test_slow_replica_gets_an_item_only_if_others_are_full():
    # Pattern: one replica is three times slower than the others.
    slow = job_builders.make_candidate('slow', version=5, pace_s=0.12)
    fast = job_builders.make_candidate(
        'fast', version=5, free_slots=1, pace_s=0.04
    )
    full = job_builders.make_candidate(
        'fast', version=5, free_slots=0, pace_s=0.04
    )
    assert (
        scheduling.choose_replica(REQUIREMENTS, [slow, fast]).replica_id
        == 'fast'
    )
    assert (
        scheduling.choose_replica(REQUIREMENTS, [slow, full]).replica_id
        == 'slow'
    )


def test_load_decides_among_replicas_of_about_the_same_pace():
    # Guards against herding on the replica that measured fastest.
    one = job_builders.make_candidate(
        'one', version=5, free_slots=1, pace_s=0.038
    )
    two = job_builders.make_candidate(
        'two', version=5, free_slots=3, pace_s=0.042
    )
    assert (
        scheduling.choose_replica(REQUIREMENTS, [one, two]).replica_id == 'two'
    )


def test_replica_that_fails_part_of_its_runs_gets_items_last():
    # Pattern: a replica fails 45 in 100 runs while its status check is good.
    grey = job_builders.make_candidate(
        'grey', version=5, free_slots=4, failure_rate=0.45
    )
    sound = job_builders.make_candidate('sound', version=5, free_slots=1)
    full = job_builders.make_candidate('sound', version=5, free_slots=0)
    assert (
        scheduling.choose_replica(REQUIREMENTS, [grey, sound]).replica_id
        == 'sound'
    )
    # It still makes half of its runs, which beats waiting.
    assert (
        scheduling.choose_replica(REQUIREMENTS, [grey, full]).replica_id
        == 'grey'
    )


def test_one_failed_run_changes_no_order():
    # Guards against an item that fails everywhere and takes the load off
    # each replica that it was tried at.
    tracker = tasks.ReplicaTracker()
    tracker.record_error('tried')
    tried = job_builders.make_candidate(
        'tried',
        version=5,
        free_slots=3,
        failure_rate=tracker.failure_rate('tried'),
    )
    other = job_builders.make_candidate('other', version=5, free_slots=2)
    assert (
        scheduling.choose_replica(REQUIREMENTS, [tried, other]).replica_id
        == 'tried'
    )


def test_failing_part_of_the_runs_is_found_between_successes():
    # Pattern: successes in between reset the avoidance of a grey replica.
    now = [0.0]
    tracker = tasks.ReplicaTracker(lambda: now[0])
    for _ in range(4):
        tracker.record_error('grey')
        tracker.record_error('grey')
        tracker.record_success('grey')
    assert tracker.failure_rate('grey') > 0.4
    # A replica that is well again is used again.
    now[0] = 30.0
    assert tracker.failure_rate('grey') < 0.05


def test_replica_that_failed_is_tried_with_one_run():
    # Pattern: a failure domain is cut off; each time that the avoidance of
    # its replicas ends, all of their slots look free.
    now = [0.0]
    tracker = tasks.ReplicaTracker(lambda: now[0])
    for _ in range(8):
        tracker.record_start('cut')
        tracker.record_failure('cut')
        tracker.record_end('cut')
    assert tracker.is_avoided('cut')
    now[0] += tasks.LONGEST_AVOIDANCE_S
    assert tracker.count_free('cut', 8) == 1
    tracker.record_start('cut')
    assert tracker.count_free('cut', 8) == 0
    tracker.record_event('cut')
    assert tracker.count_free('cut', 8) == 7


def test_events_of_other_runs_end_no_refusal():
    # Pattern: a replica loads weights for a second; its runs go on and every
    # waiting item is refused.
    now = [0.0]
    tracker = tasks.ReplicaTracker(lambda: now[0])
    tracker.record_refusal('loading')
    tracker.record_event('loading')
    assert tracker.is_avoided('loading')
    now[0] += tasks.REFUSAL_AVOIDANCE_S
    tracker.record_event('loading')
    assert not tracker.is_on_trial('loading')


def test_replica_on_trial_is_used_when_all_others_are_full():
    # Guards against a straggler that is sent to a replica that failed, and
    # against a replica that stays unused although slots are needed.
    trial = job_builders.make_candidate('a', version=5, is_on_trial=True)
    sound = job_builders.make_candidate('b', version=5, free_slots=1)
    full = job_builders.make_candidate('b', version=5, free_slots=0)
    assert (
        scheduling.choose_replica(REQUIREMENTS, [trial, sound]).replica_id
        == 'b'
    )
    assert (
        scheduling.choose_replica(REQUIREMENTS, [trial, full]).replica_id
        == 'a'
    )


def test_single_version_goes_on_at_that_version_only():
    # Guards against a sample of two versions on a single-version route.
    requirements = scheduling.Requirements(min_version=5, required_version=5)
    newer = job_builders.make_candidate('newer', version=6)
    same = job_builders.make_candidate('same', version=5)
    assert scheduling.choose_replica(requirements, [newer]) is None
    assert (
        scheduling.choose_replica(requirements, [newer, same]).replica_id
        == 'same'
    )


def find_faster_replica(run_pace_s, candidates, **overrides):
    values = {
        'requirements': REQUIREMENTS,
        'run_pace_s': run_pace_s,
        'run_events': 10,
        'expected_left': 50.0,
        'moves': 0,
        'current': 'slow',
        'candidates': candidates,
        **overrides,
    }
    found = scheduling.find_faster_replica(**values)
    return None if found is None else found.replica_id


def test_run_is_moved_from_a_slow_replica():
    # Pattern: a replica turns slow while a straggler runs on it.
    fast = job_builders.make_candidate('fast', version=5, pace_s=0.04)
    slow = job_builders.make_candidate('slow', version=5, pace_s=0.12)
    assert find_faster_replica(0.12, [slow, fast]) == 'fast'
    assert find_faster_replica(0.05, [slow, fast]) is None


def test_run_is_not_moved_without_gain():
    # Guards against moving runs back and forth.
    fast = job_builders.make_candidate('fast', version=5, pace_s=0.04)
    full = job_builders.make_candidate(
        'fast', version=5, pace_s=0.04, free_slots=0
    )
    old = job_builders.make_candidate('fast', version=4, pace_s=0.04)
    unknown = job_builders.make_candidate('fast', version=5)
    assert (
        find_faster_replica(0.12, [fast], moves=scheduling.MAX_MOVES) is None
    )
    assert find_faster_replica(0.12, [fast], expected_left=2.0) is None
    assert find_faster_replica(0.12, [fast], run_events=2) is None
    assert find_faster_replica(0.12, [full]) is None
    assert find_faster_replica(0.12, [old]) is None
    assert find_faster_replica(0.12, [unknown]) is None


def test_silence_is_judged_by_the_pace_of_the_replica():
    # Pattern: connections go silent for good without a reset.
    assert scheduling.is_unresponsive(
        silence_s=1.1, has_event=False, pace_s=None
    )
    assert scheduling.is_unresponsive(
        silence_s=0.7, has_event=True, pace_s=0.04
    )
    assert not scheduling.is_unresponsive(
        silence_s=0.7, has_event=True, pace_s=0.15
    )
