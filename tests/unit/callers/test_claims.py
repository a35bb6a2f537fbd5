"""At most one run for each idempotency key."""

import random

import eventlet
import pytest

from lentildeal._internal.callers import calls
from lentildeal._internal.callers import claims
from lentildeal._internal import exceptions
from lentildeal._internal.utils import clock
from tests.lib import plugin_fakes

ANSWER = calls.ServiceResponse(200, {'X-A': 'b'}, b'done')


class Cluster:
    """Instances that share one log."""

    def __init__(self):
        self.log = plugin_fakes.FakeLog()
        self.network = {}
        self.runs = 0
        self.one, self.two = self.make('i1'), self.make('i2')

    def make(self, instance):
        kernel = plugin_fakes.FakeKernel(instance, self.network)
        kernel.incarnation = random.getrandbits(63)
        made = claims.Claims(kernel, self.log)
        made.start()
        return made

    def run(self, instance, key='k', fingerprint=1, result=ANSWER, wait=5.0):
        def function():
            if not isinstance(result, exceptions.NotRunError):
                self.runs += 1
            eventlet.sleep(0.01)
            if isinstance(result, Exception):
                raise result
            return result

        deadline = clock.Deadline(wait)
        return instance.run_once('s', key, fingerprint, deadline, function)


@pytest.fixture
def cluster():
    return Cluster()


def refused():
    return exceptions.NotRunError('full', cause='target_full')


def test_concurrent_repeats_run_once_and_get_the_answer(cluster):
    """A key that arrives at two instances at once must not run twice."""
    threads = [
        eventlet.spawn(cluster.run, instance)
        for instance in [cluster.one, cluster.two] * 5
    ]
    assert [thread.wait() for thread in threads] == [ANSWER] * 10
    assert cluster.runs == 1


def test_waiting_claims_share_one_append(cluster):
    """One append for each call would exceed the log's append rate."""
    threads = [
        eventlet.spawn(cluster.run, cluster.one, f'k{number}')
        for number in range(50)
    ]
    for thread in threads:
        thread.wait()
    assert cluster.runs == 50
    assert len(cluster.log.records) <= 3


def test_claim_is_resolved_after_lost_append_responses(cluster):
    """A lost append response must not refuse a key or run it twice."""
    cluster.log.lost_answers = 2
    assert cluster.run(cluster.one) == ANSWER
    assert cluster.run(cluster.two) == ANSWER
    assert cluster.runs == 1
    assert len(cluster.log.records) == 3


def test_log_outage_refuses_new_keys_and_answers_known_ones(cluster):
    """A keyed call must not run without a claim while the log is down."""
    cluster.run(cluster.one)
    cluster.log.is_down = True
    assert cluster.run(cluster.one) == ANSWER
    with pytest.raises(exceptions.MayHaveRunError):
        cluster.run(cluster.one, 'other')
    assert cluster.runs == 1
    cluster.log.is_down = False
    assert cluster.run(cluster.one, 'other') == ANSWER


def test_repeat_after_claimant_ended_may_have_run(cluster):
    """A call whose claiming instance has ended must not run again."""
    cluster.run(cluster.one)
    restarted = cluster.make('i1')
    for instance in (restarted, cluster.two):
        with pytest.raises(exceptions.MayHaveRunError):
            cluster.run(instance)
    assert cluster.runs == 1


def test_call_that_did_not_run_is_handed_over_once(cluster):
    """A refused call may be run by exactly one other instance."""
    with pytest.raises(exceptions.NotRunError):
        cluster.run(cluster.one, result=refused())
    with pytest.raises(exceptions.NotRunError):
        cluster.run(cluster.two, result=refused())
    with pytest.raises(exceptions.MayHaveRunError):
        cluster.run(cluster.make('i3'))
    with pytest.raises(exceptions.MayHaveRunError):
        cluster.run(cluster.one)
    assert cluster.run(cluster.two) == ANSWER
    assert cluster.runs == 1


def test_call_with_unknown_result_is_not_run_again(cluster):
    """A call that was interrupted must not be run again by a repeat."""
    interrupted = exceptions.MayHaveRunError('interrupted')
    for instance in (cluster.one, cluster.one, cluster.two):
        with pytest.raises(exceptions.MayHaveRunError):
            cluster.run(instance, result=interrupted)
    assert cluster.runs == 1


def test_call_whose_response_was_dropped_is_not_run_again(
    cluster, monkeypatch
):
    """A repeat must not run after its stored response was dropped."""
    monkeypatch.setattr(claims, 'MAX_RUNS', 2)
    for number in range(5):
        cluster.run(cluster.one, f'k{number}')
    for instance in (cluster.one, cluster.two):
        with pytest.raises(exceptions.MayHaveRunError):
            cluster.run(instance, 'k0')
    assert cluster.runs == 5


def test_key_reused_for_another_request_is_refused(cluster):
    """A caller must not receive the response to a different request."""
    cluster.run(cluster.one)
    for instance in (cluster.one, cluster.two):
        with pytest.raises(exceptions.BadRequestError):
            cluster.run(instance, fingerprint=2)
    assert cluster.runs == 1


def test_claim_fails_if_records_were_dropped_unread(cluster):
    """A dropped record may hold an earlier claim of the same key."""
    cluster.run(cluster.one, 'first')
    log = cluster.log
    read, log.read = log.read, _raise_unavailable
    # Lets a read end that started before the log became unavailable.
    eventlet.sleep(0.05)
    thread = eventlet.spawn(cluster.run, cluster.one, 'second')
    eventlet.sleep(0.05)
    log.oldest = len(log.records)
    log.records.append({'kind': 'other'})
    log.read = read
    with pytest.raises(exceptions.MayHaveRunError):
        thread.wait()
    assert cluster.runs == 1


def test_new_instance_reads_earlier_claims_first(cluster):
    """A new instance must not run a key claimed before it started."""
    cluster.run(cluster.one)
    del cluster.network['i1'].handlers[claims.ClaimFetch]
    cluster.network['i1'].handlers[claims.ClaimFetch] = _raise_unreachable
    with pytest.raises(exceptions.MayHaveRunError):
        cluster.run(cluster.make('i3'))
    assert cluster.runs == 1


def _raise_unavailable(*_):
    eventlet.sleep(0.001)
    raise exceptions.LogUnavailableError('down')


def _raise_unreachable(*_):
    raise exceptions.PeerUnreachableError('gone')
