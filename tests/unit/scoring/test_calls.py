"""Load patterns of scoring calls, without a network."""

import heapq

import pytest

from lentildeal._internal.scoring import calls

LIMITS = calls.CallLimits(max_errors=3, objective_s=0.9)


def fail(call, outcome, started_s, now_s):
    call.record_start(started_s)
    call.record_outcome(outcome, started_s, now_s)


def test_text_that_always_fails_is_given_up_after_the_allowed_errors():
    # Guards against a step that waits for a score that never comes.
    call = calls.ScoringCall(LIMITS)
    for number in range(3):
        assert call.is_attempt_due(number)
        fail(call, calls.AttemptOutcome.ERROR, number, number + 0.2)
    assert call.is_exhausted
    assert not call.is_attempt_due(100.0)


def test_unavailable_service_never_exhausts_a_call():
    # Guards against texts that are dropped because of an outage.
    call = calls.ScoringCall(LIMITS)
    now_s, attempts = 0.0, 0
    while now_s < 20.0:
        if call.is_attempt_due(now_s):
            attempts += 1
            fail(call, calls.AttemptOutcome.UNAVAILABLE, now_s, now_s)
        now_s += 0.01
    assert not call.is_exhausted
    # With a delay of 0.4 to 0.8 s from the sixth attempt on.
    assert 25 <= attempts <= 60


def test_silent_attempt_is_hedged_once():
    # Guards against an item that waits for the timeout of a dead replica.
    call = calls.ScoringCall(LIMITS)
    call.record_start(0.0, 'r1')
    assert not call.is_attempt_due(0.8)
    assert call.is_attempt_due(0.9)
    call.record_start(0.9, 'r2')
    assert not call.is_attempt_due(5.0)
    assert call.tried == {'r1', 'r2'}


@pytest.mark.parametrize(
    'slots, live_peak, expected',
    [(1, 0, 1), (2, 0, 1), (6, 0, 5), (6, 1, 4), (6, 9, 3), (8, 2, 5)],
)
def test_slots_are_left_to_live_calls(slots, live_peak, expected):
    # Guards against live calls that wait behind a step's scoring calls.
    assert calls.count_scoring_slots(slots, live_peak) == expected


def test_peak_of_live_calls_is_remembered_for_seconds():
    # Guards against slots that are taken between two bursts of live calls.
    now_s = [0.0]
    load = calls.LiveLoad(lambda: now_s[0])
    load.record('r1', 3)
    now_s[0] = 2.0
    load.record('r1', 0)
    assert load.peak('r1') == 3
    assert load.peak('r2') == 0
    now_s[0] = 3.1
    load.record('r1', 1)
    assert load.peak('r1') == 1


def test_failing_service_gets_single_attempts_until_it_answers():
    # Guards against the backlog of a step that hits a failing service.
    now_s = [0.0]
    limit = calls.AdmissionLimit(lambda: now_s[0])
    for _ in range(6):
        now_s[0] += 1.0
        limit.record_outcome(
            calls.AttemptOutcome.UNAVAILABLE, limit.allowed(12), now_s[0]
        )
    assert limit.allowed(12) == 0
    now_s[0] += calls.MAX_PAUSE_S
    assert limit.allowed(12) == 1
    for _ in range(20):
        limit.record_outcome(calls.AttemptOutcome.SCORED, 1, now_s[0])
    assert limit.allowed(12) == 12


def test_failures_of_one_moment_lower_the_limit_once():
    # Guards against a single lost replica that stops all scoring.
    limit = calls.AdmissionLimit(lambda: 7.0)
    assert limit.allowed(12) == 12
    for _ in range(4):
        limit.record_outcome(calls.AttemptOutcome.UNAVAILABLE, 12, 6.5)
    assert limit.allowed(12) == 6


def test_nearly_complete_groups_are_scored_first():
    # Guards against many groups that each lack a few scores.
    keys = {
        'old job': (0, False, 8, 9),
        'resubmitted': (1, True, 8, 5),
        'one left': (1, False, 1, 40),
        'many left': (1, False, 7, 0),
    }
    ordered = sorted(
        keys,
        key=lambda name: calls.order_key(
            job_rank=keys[name][0],
            is_resubmitted=keys[name][1],
            left_in_group=keys[name][2],
            index=keys[name][3],
        ),
    )
    assert ordered == ['old job', 'resubmitted', 'one left', 'many left']


@pytest.mark.parametrize('outage', [(2.0, 6.0), (0.0, 4.0)])
def test_backlog_of_an_outage_is_worked_off(outage):
    """Plays a service of 12 slots that is down for four seconds.

    Every 4 s 64 texts need a score that takes 0.24 s. Guards against retries
    that keep the service overloaded after its return (metastable failure).
    """
    now_s = [0.0]
    limit = calls.AdmissionLimit(lambda: now_s[0])
    pending = []
    running = []
    attempts_during_outage = 0
    created_s = {}
    seconds_to_score = []
    for tick in range(1600):
        now_s[0] = tick / 100
        if tick % 400 == 0 and tick < 1200:
            step = [calls.ScoringCall(LIMITS) for _ in range(64)]
            created_s.update((id(call), now_s[0]) for call in step)
            pending += step
        is_down = outage[0] <= now_s[0] < outage[1]
        while running and running[0][0] <= now_s[0]:
            _, _, call, outcome, started_s = heapq.heappop(running)
            limit.record_outcome(outcome, len(running) + 1, started_s)
            call.record_outcome(outcome, started_s, now_s[0])
            if outcome is calls.AttemptOutcome.SCORED:
                pending.remove(call)
                seconds_to_score.append(now_s[0] - created_s[id(call)])
        for call in pending:
            if len(running) >= limit.allowed(12):
                break
            if call.is_attempt_due(now_s[0]):
                call.record_start(now_s[0])
                outcome = calls.AttemptOutcome.SCORED
                if is_down:
                    outcome = calls.AttemptOutcome.UNAVAILABLE
                    attempts_during_outage += 1
                seconds = 0.02 if is_down else 0.24
                heapq.heappush(
                    running,
                    (now_s[0] + seconds, id(call), call, outcome, now_s[0]),
                )
    assert not pending
    assert len(seconds_to_score) == 192
    # All results of a step are due after 7.5 s.
    assert max(seconds_to_score) < 7.5
    # Fewer than one attempt for each text that waits.
    assert attempts_during_outage < 64
