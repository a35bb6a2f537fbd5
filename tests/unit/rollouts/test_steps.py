"""Tests of step state: exactly-once delivery and the staleness bound."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from lentildeal._internal.models import outcomes
from lentildeal._internal.models import samples
from lentildeal._internal.rollouts import entries
from lentildeal._internal.rollouts import ordering
from lentildeal._internal.rollouts import steps

State = entries.SampleState


def make_state(groups=2, size=2, bound=1, version=5, received=(), **plan):
    """Makes step 1 of trainer "t" with groups "g0", "g1" and so on."""
    values = {'staleness_weight': 0.5, 'is_scored': False, **plan}
    return steps.StepState(
        entries.StepPlan(
            trainer='t',
            step=1,
            prompts=tuple(
                samples.Prompt(f'g{number}', f'prompt {number}')
                for number in range(groups)
            ),
            group_size=size,
            max_tokens=100,
            received=frozenset(received),
            staleness_bound=bound,
            **values,
        ),
        version,
        ordering.LengthPredictor(),
    )


def pull(state, instance='a1', address='r1', version=5, now_s=0.0):
    """Pulls a sample; returns the attempt number, None without a sample."""
    item = state.pull(instance, address, version, now_s).item
    return item and item.attempt


def finish(state, attempt, *versions, instance='a1'):
    """Completes an attempt with one token of each version."""
    segments = tuple(
        samples.Segment(version, index, index + 1)
        for index, version in enumerate(versions or (5,))
    )
    return state.complete(attempt, instance, 'text', segments, 1.0)


def drain(state):
    """Takes all samples and versions that the stream can write now."""
    written = []
    while (delivery := state.take_delivery()) is not None:
        written.append(delivery)
    return written


def test_version_event_precedes_samples_checked_against_it():
    """A sample must follow the version its staleness is checked against."""
    state = make_state(groups=1, size=1)
    finish(state, pull(state))
    state.set_version(6)
    first, second = drain(state)
    assert first.version == 6 and second.sample.oldest_version == 5


def test_sample_over_bound_is_generated_again():
    """A finished sample that became stale must be generated again."""
    state = make_state(groups=1, size=1, bound=0)
    finish(state, pull(state))
    state.set_version(6)
    assert [d.version for d in drain(state)] == [6]
    assert pull(state, version=5) is None
    finish(state, pull(state, version=6), 6)
    assert drain(state)[0].sample.oldest_version == 6
    assert state.is_complete


def test_old_token_in_middle_counts_for_staleness():
    """Staleness uses the oldest version, also after a swap back and forth."""
    state = make_state(groups=1, size=1, bound=1)
    state.set_version(7)
    attempt = pull(state, version=7)
    assert finish(state, attempt, 7, 5, 7)[0] is None
    assert state.count_in_state(State.WAITING) == 1


def test_late_result_of_expired_attempt_is_ignored():
    """A paused worker may report after its sample was handed out again."""
    state = make_state(groups=1, size=1)
    late = pull(state, now_s=0.0)
    state.expire_leases(100.0)
    again = pull(state, 'a2', now_s=100.0)
    assert finish(state, late)[0] is None
    assert finish(state, again, instance='a2')[0] is not None
    assert finish(state, again, instance='a2')[0] is None


def test_result_from_other_instance_is_ignored():
    """An instance must not complete an attempt of another instance."""
    state = make_state()
    assert finish(state, pull(state, 'a1'), instance='a2')[0] is None


def test_received_samples_are_not_generated():
    """A trainer that attaches again must not get samples that it has."""
    state = make_state(groups=1, size=2, received=['t/1/g0/0'])
    finish(state, pull(state))
    assert [d.sample.sample_id for d in drain(state)[1:]] == ['t/1/g0/1']
    assert state.is_complete


def test_generation_pauses_while_scores_are_missing():
    """Samples without a score must not accumulate and become stale."""
    state = make_state(groups=4, size=4, is_scored=True)
    pause_cause = None
    while pause_cause is None:
        response = state.pull('a1', 'r1', 5, 0.0)
        if response.item is None:
            pause_cause = response.cause
        else:
            finish(state, response.item.attempt)
    assert pause_cause is outcomes.Cause.SCORING
    assert state.count_in_state(State.GENERATED) == 8


def test_dropped_attempts_are_returned_to_owner():
    """An owner must be able to cancel an attempt that was dropped."""
    state = make_state()
    attempt = pull(state)
    state.drop_instance_attempts('a1')
    assert state.attempts.record_progress('a1', [(attempt, 3, 5)], 1.0) == (
        attempt,
    )


def test_stale_attempt_is_dropped_at_version_change():
    """Slots must not be occupied by work that can't be delivered."""
    state = make_state(groups=1, size=2, bound=0)
    old, unknown = pull(state), pull(state)
    state.attempts.record_progress('a1', [(old, 3, 5), (unknown, 0, -1)], 1.0)
    assert [a.number for a in state.set_version(6)] == [old]


@pytest.mark.parametrize(
    'weight,tokens,version,is_restarted',
    [
        (0.0, 1, 6, False),
        (0.9, 1, 6, True),
        (0.9, 1, 5, False),
        (0.5, 90, 6, False),
    ],
)
def test_restart_on_new_version_follows_staleness_weight(
    weight, tokens, version, is_restarted
):
    """An attempt restarts only if less staleness outweighs the lost work.

    A replica on the old version must never restart the sample.
    """
    state = make_state(groups=1, size=1, bound=1, staleness_weight=weight)
    attempt = pull(state)
    state.attempts.record_progress('a1', [(attempt, tokens, 5)], 1.0)
    assert state.set_version(6) == []
    state.check_tail_work()
    response = state.pull('a2', 'r2', version, 1.0)
    assert (response.item is not None) == is_restarted
    assert (response.replaced is not None) == is_restarted


def test_small_step_is_spread_over_replicas():
    """One replica must not take all samples while others are idle."""
    state = make_state(groups=2, size=2)
    numbers = [state.pull('a1', 'r1', 5, 0.0, 2).item for _ in range(3)]
    assert numbers[1] is not None and numbers[2] is None
    assert state.pull('a2', 'r2', 5, 0.1, 2).item is not None
    assert state.pull('a1', 'r1', 5, 0.4, 2).item is not None


def test_unacknowledged_samples_are_reused_once():
    """A new attachment must not generate finished samples again."""
    old, new = make_state(), make_state(received=['t/1/g0/1'])
    for _ in range(3):
        finish(old, pull(old))
    reused = [
        s.sample_id for s in old.iter_unacknowledged() if new.reuse_sample(s)
    ]
    assert reused == ['t/1/g0/0', 't/1/g1/0']
    assert not any(
        new.reuse_sample(sample) for sample in old.iter_unacknowledged()
    )


def test_fully_reused_groups_do_not_block_later_groups():
    """Groups after one without waiting samples must be handed out."""
    old, new = make_state(), make_state()
    for _ in range(2):
        finish(old, pull(old))
    assert all(
        new.reuse_sample(sample) for sample in old.iter_unacknowledged()
    )
    assert new.pull('a1', 'r1', 5, 0.0).item.sample_id == 't/1/g1/0'


class StepMachine(stateful.RuleBasedStateMachine):
    """Interleaves results, losses, duplicates and version changes."""

    def __init__(self):
        super().__init__()
        self.state = make_state(groups=2, size=2, bound=1, is_scored=True)
        self.seen = []
        self.delivered = []
        self.announced = 5
        self.current = None
        self.now_s = 0.0
        self.results = []

    @stateful.rule(
        instance=strategies.sampled_from(['a1', 'a2']),
        lag=strategies.integers(0, 3),
    )
    def pull(self, instance, lag):
        response = self.state.pull(
            instance, f'r-{instance}', self.announced - lag, self.now_s
        )
        if response.item is not None:
            assert response.item.minimum_version == self.announced - 1
            assert lag <= 1
            self.seen.append((response.item.attempt, instance))

    @stateful.precondition(lambda self: self.seen)
    @stateful.rule(data=strategies.data(), lag=strategies.integers(0, 3))
    def complete(self, data, lag):
        """Also reports results twice and results of dropped attempts."""
        attempt, instance = data.draw(strategies.sampled_from(self.seen))
        versions = (self.announced - lag, self.announced)
        sample, _ = finish(self.state, attempt, *versions, instance=instance)
        if sample is not None:
            self.results.append(sample)

    @stateful.precondition(lambda self: self.results)
    @stateful.rule(data=strategies.data())
    def score(self, data):
        sample = data.draw(strategies.sampled_from(self.results))
        self.state.set_score(sample, 1.0)

    @stateful.precondition(lambda self: self.seen)
    @stateful.rule(data=strategies.data())
    def fail(self, data):
        attempt, instance = data.draw(strategies.sampled_from(self.seen))
        self.state.fail(
            attempt, instance, outcomes.Cause.TARGET_DOWN, self.now_s
        )

    @stateful.precondition(lambda self: self.seen)
    @stateful.rule(data=strategies.data(), lag=strategies.integers(0, 3))
    def report(self, data, lag):
        attempt, instance = data.draw(strategies.sampled_from(self.seen))
        progress = (attempt, 10, self.announced - lag)
        self.state.attempts.record_progress(instance, [progress], self.now_s)

    @stateful.rule(instance=strategies.sampled_from(['a1', 'a2']))
    def lose(self, instance):
        self.state.drop_instance_attempts(instance)

    @stateful.rule(seconds=strategies.sampled_from([1.0, 4.0, 20.0]))
    def pass_time(self, seconds):
        self.now_s += seconds
        self.state.expire_leases(self.now_s)

    @stateful.rule(step=strategies.integers(1, 2))
    def announce(self, step):
        self.announced += step
        self.state.set_version(self.announced)

    @stateful.rule()
    def look_for_tail_work(self):
        self.state.check_tail_work()

    @stateful.rule()
    def write(self):
        delivery = self.state.take_delivery()
        if delivery is None:
            return
        if delivery.sample is None:
            self.current = delivery.version
            return
        assert self.current - delivery.sample.oldest_version <= 1
        assert delivery.cursor == len(self.delivered) + 1
        self.delivered.append(delivery.sample.sample_id)

    @stateful.rule()
    def acknowledge(self):
        self.state.acknowledge(len(self.delivered))

    @stateful.invariant()
    def each_sample_is_in_one_state(self):
        total = sum(self.state.count_in_state(state) for state in State)
        assert total == self.state.requested == 4
        assert len(set(self.delivered)) == len(self.delivered)

    def teardown(self):
        """The remaining samples can be finished after any sequence."""
        self.now_s += 1000.0
        self.state.expire_leases(self.now_s)
        for sample in list(self.state.iter_unacknowledged()):
            self.state.set_score(sample, 1.0)
        for _ in range(8):
            attempt = pull(self.state, 'a3', 'r3', self.announced, self.now_s)
            if attempt is not None:
                version = self.announced
                sample, _ = finish(self.state, attempt, version, instance='a3')
                self.state.set_score(sample, 1.0)
            self.write()
            self.write()
        assert self.state.is_complete
        assert len(self.delivered) == 4


StepMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, max_examples=200, stateful_step_count=60, deadline=None
)
TestStepMachine = StepMachine.TestCase
