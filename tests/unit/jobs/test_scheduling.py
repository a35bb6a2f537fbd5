"""Choice of items and replicas under patterns of load."""

import heapq
import random

from lentildeal._internal.jobs import scheduling
from lentildeal._internal.jobs import tasks
from lentildeal._internal.models import jobs
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


def test_resubmitted_groups_run_first():
    # A step waits for resubmitted groups even if all others are complete.
    assert order(
        make_key(expected_events=90.0), make_key(is_resubmitted=True)
    ) == [1, 0]


def test_longest_items_run_first():
    # With more items than slots, a long item that starts last delays the step.
    assert order(
        make_key(expected_events=5.0), make_key(expected_events=80.0)
    ) == [1, 0]


def test_older_job_of_a_trainer_runs_first():
    # A trainer submits the next job while its current step is late.
    assert order(make_key(job_rank=1, expected_events=80.0), make_key()) == [
        1,
        0,
    ]


def test_replica_with_an_old_version_is_not_chosen():
    # Guards against a sample of a version that its job does not accept.
    old = job_builders.make_candidate('old', version=4)
    assert scheduling.choose_replica(REQUIREMENTS, [old]) is None


def test_full_replicas_make_an_item_wait():
    # Guards against queues at engines, which ignore the order of items.
    full = job_builders.make_candidate('full', version=5, free_slots=0)
    assert scheduling.choose_replica(REQUIREMENTS, [full]) is None


def test_slow_replica_gets_an_item_only_if_others_are_full():
    # One replica is three times slower than the others.
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
    # Guards against overload of the replica with the best measured pace.
    one = job_builders.make_candidate(
        'one', version=5, free_slots=1, pace_s=0.038
    )
    two = job_builders.make_candidate(
        'two', version=5, free_slots=3, pace_s=0.042
    )
    assert (
        scheduling.choose_replica(REQUIREMENTS, [one, two]).replica_id == 'two'
    )


def test_partly_failing_replica_is_chosen_last():
    # A replica fails 45 of 100 attempts while its health check succeeds.
    grey = job_builders.make_candidate(
        'grey', version=5, free_slots=4, failure_rate=0.45
    )
    sound = job_builders.make_candidate('sound', version=5, free_slots=1)
    full = job_builders.make_candidate('sound', version=5, free_slots=0)
    assert (
        scheduling.choose_replica(REQUIREMENTS, [grey, sound]).replica_id
        == 'sound'
    )
    # It completes half of its attempts, which is better than waiting.
    assert (
        scheduling.choose_replica(REQUIREMENTS, [grey, full]).replica_id
        == 'grey'
    )


def test_one_failed_attempt_does_not_change_the_choice():
    # Guards against an item that fails everywhere and diverts load from each
    # replica at which it was tried.
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


def test_partial_failures_are_detected_between_successes():
    # Successes in between reset the avoidance of a partly failing replica.
    now = [0.0]
    tracker = tasks.ReplicaTracker(lambda: now[0])
    for _ in range(4):
        tracker.record_error('grey')
        tracker.record_error('grey')
        tracker.record_success('grey')
    assert tracker.failure_rate('grey') > 0.4
    # A replica that has recovered is used again.
    now[0] = 30.0
    assert tracker.failure_rate('grey') < 0.05


def test_failed_replica_is_tried_with_one_attempt():
    # A failure domain is unreachable. Each time the avoidance of its replicas
    # ends, all of their slots seem free.
    now = [0.0]
    tracker = tasks.ReplicaTracker(lambda: now[0])
    for _ in range(8):
        tracker.record_start('cut')
        tracker.record_failure('cut')
        tracker.record_end('cut')
    assert tracker.is_avoided('cut')
    now[0] += tasks.MAX_AVOIDANCE_S
    assert tracker.count_free('cut', 8) == 1
    tracker.record_start('cut')
    assert tracker.count_free('cut', 8) == 0
    tracker.record_event('cut')
    assert tracker.count_free('cut', 8) == 7


def test_events_of_other_attempts_do_not_end_a_refusal():
    # A replica loads weights for a second. It continues its requests and
    # refuses every waiting item.
    now = [0.0]
    tracker = tasks.ReplicaTracker(lambda: now[0])
    tracker.record_refusal('loading')
    tracker.record_event('loading')
    assert tracker.is_avoided('loading')
    now[0] += tasks.REFUSAL_AVOIDANCE_S
    tracker.record_event('loading')
    assert not tracker.is_on_trial('loading')


def test_replica_on_trial_is_used_when_all_others_are_full():
    # Guards against a long item that is sent to a failed replica, and against
    # a replica that stays unused although slots are needed.
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


def test_single_version_item_continues_at_that_version_only():
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


def test_item_is_moved_from_a_slow_replica():
    # A replica becomes slow while a long item runs on it.
    fast = job_builders.make_candidate('fast', version=5, pace_s=0.04)
    slow = job_builders.make_candidate('slow', version=5, pace_s=0.12)
    assert find_faster_replica(0.12, [slow, fast]) == 'fast'
    assert find_faster_replica(0.05, [slow, fast]) is None


def test_item_is_not_moved_without_gain():
    # Guards against moving items back and forth.
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


def test_event_timeout_depends_on_the_pace_of_the_replica():
    # Connections stop delivering data without a reset.
    assert scheduling.is_unresponsive(
        silence_s=1.1, has_event=False, pace_s=None
    )
    assert scheduling.is_unresponsive(
        silence_s=0.7, has_event=True, pace_s=0.04
    )
    assert not scheduling.is_unresponsive(
        silence_s=0.7, has_event=True, pace_s=0.15
    )


def simulate_step(seed):
    """Returns when 90 % of the groups of a step are complete, in seconds.

    30 replicas of 6 slots, a third of which takes 1.3 times as long for an
    event; 18 groups of 8 and 9 groups of 16 items, whose lengths have a long
    tail, are started in the order of their estimated length.
    """
    rng = random.Random(seed)
    paces = [0.038 * (1.3 if n % 3 == 2 else 1.0) for n in range(30)]
    items = []
    for group, size in enumerate([8] * 18 + [16] * 9):
        for _ in range(size):
            events = min(179.0, rng.lognormvariate(3.0, 0.6))
            if rng.random() < 0.08:
                events = min(179.0, 5 * events)
            items.append((events * rng.lognormvariate(0, 0.5), events, group))
    free = [6] * 30
    running, ends, now_s = [], {}, 0.0
    for expected, events, group in sorted(items, reverse=True):
        while not any(free):
            now_s, replica = heapq.heappop(running)
            free[replica] += 1
        requirements = scheduling.Requirements(5, expected_left=expected)
        chosen = scheduling.choose_replica(
            requirements,
            [
                job_builders.make_candidate(
                    n, version=5, free_slots=free[n], slots=6, pace_s=paces[n]
                )
                for n in range(30)
            ],
        )
        replica = chosen.replica_id
        free[replica] -= 1
        end_s = now_s + events * paces[replica]
        heapq.heappush(running, (end_s, replica))
        ends[group] = max(ends.get(group, 0.0), end_s)
    return sorted(ends.values())[int(0.9 * len(ends))]


def test_long_items_run_at_the_faster_replicas():
    """Pattern: two speeds of replicas, and more slots than items need.

    Guards against an item of the greatest length at a replica where it takes
    8.8 s, while the step is due after 7.5 s and others have free slots.
    """
    times = [simulate_step(seed) for seed in range(20)]
    assert max(times) < 7.5


def test_outdated_slow_pace_is_checked_with_a_short_item():
    # Guards against a long item that finds out that a replica is still slow.
    slow = job_builders.make_candidate(
        'a', version=5, free_slots=4, last_pace_s=0.12
    )
    fast = job_builders.make_candidate(
        'b', version=5, free_slots=2, pace_s=0.04, last_pace_s=0.04
    )
    for expected_left, expected in ((100.0, 'b'), (10.0, 'a')):
        requirements = scheduling.Requirements(5, expected_left=expected_left)
        found = scheduling.choose_replica(requirements, [slow, fast])
        assert found.replica_id == expected


def test_straggler_is_moved_to_a_slightly_faster_replica():
    # A replica takes 1.3 times as long, which adds seconds to a long item.
    fast = job_builders.make_candidate('fast', version=5, pace_s=0.038)
    assert find_faster_replica(0.049, [fast], expected_left=80.0) == 'fast'
    assert find_faster_replica(0.049, [fast], expected_left=20.0) is None
    assert find_faster_replica(0.041, [fast], expected_left=200.0) is None


def test_short_items_leave_the_fastest_replicas_to_long_ones():
    # Guards against a long item of the next step that finds them full.
    fast = job_builders.make_candidate(
        'fast', version=5, free_slots=2, pace_s=0.03
    )
    usual = job_builders.make_candidate(
        'usual', version=5, free_slots=3, pace_s=0.038
    )
    for expected_left, expected in ((100.0, 'fast'), (10.0, 'usual')):
        requirements = scheduling.Requirements(5, expected_left=expected_left)
        found = scheduling.choose_replica(requirements, [fast, usual])
        assert found.replica_id == expected


def test_item_far_beyond_its_estimate_is_expected_to_run_long():
    # Guards against a straggler that stays at a slightly slower replica.
    task = tasks.ItemTask(
        None,
        0,
        job_builders.make_item(),
        jobs.Progress(('text',) * 70, '70', (1,)),
        expected_events=25.0,
        is_resubmitted=False,
    )
    assert task.expected_left == 70
    task.expected_events = 60.0
    assert task.expected_left == 35
    task.expected_events = 140.0
    assert task.expected_left == 70


def test_blocked_item_keeps_its_text_while_its_version_may_be_free_soon():
    # Guards against texts that are discarded because a replica is busy for a
    # moment, and against items that wait for it without end.
    requirements = scheduling.Requirements(1, required_version=1)
    busy = job_builders.make_candidate('r1', version=1, free_slots=0)
    other = job_builders.make_candidate('r2', version=2)
    choose = scheduling.choose_for_restart
    assert choose(requirements, [busy, other], 0.5) is None
    assert choose(requirements, [busy, other], 1.1) is other
    assert choose(requirements, [other], 0.0) is other
    assert choose(scheduling.Requirements(1), [busy, other], 9.0) is None


def test_restarted_item_gets_no_version_that_its_step_refuses():
    # Guards against samples older than the step accepts.
    requirements = scheduling.Requirements(3, required_version=4)
    older = job_builders.make_candidate('r2', version=2)
    assert scheduling.choose_for_restart(requirements, [older], 9.0) is None
