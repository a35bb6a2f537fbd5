"""At most one run for each idempotency key."""

import random

import eventlet
import pytest

from lentildeal._internal.callers import calls
from lentildeal._internal.callers import claims
from lentildeal._internal import exceptions
from lentildeal._internal.utils import clock
from tests.lib import plugin_fakes

ANSWER = calls.ServiceAnswer(200, {'X-A': 'b'}, b'done')


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
    """Two runs of one key that arrives at two instances at once."""
    threads = [
        eventlet.spawn(cluster.run, instance)
        for instance in [cluster.one, cluster.two] * 5
    ]
    assert [thread.wait() for thread in threads] == [ANSWER] * 10
    assert cluster.runs == 1


def test_waiting_claims_share_one_append(cluster):
    """One append for each call, which the log's rate does not allow."""
    threads = [
        eventlet.spawn(cluster.run, cluster.one, f'k{number}')
        for number in range(50)
    ]
    for thread in threads:
        thread.wait()
    assert cluster.runs == 50
    assert len(cluster.log.records) <= 3


def test_lost_append_answer_is_resolved(cluster):
    """A key that is refused or run twice after a lost answer."""
    cluster.log.lost_answers = 2
    assert cluster.run(cluster.one) == ANSWER
    assert cluster.run(cluster.two) == ANSWER
    assert cluster.runs == 1
    assert len(cluster.log.records) == 3


def test_log_outage_refuses_new_keys_and_answers_known_ones(cluster):
    """A keyed call that runs unclaimed while the log is down."""
    cluster.run(cluster.one)
    cluster.log.is_down = True
    assert cluster.run(cluster.one) == ANSWER
    with pytest.raises(exceptions.MayHaveRunError):
        cluster.run(cluster.one, 'other')
    assert cluster.runs == 1
    cluster.log.is_down = False
    assert cluster.run(cluster.one, 'other') == ANSWER


def test_claimant_that_died_leaves_may_have_run(cluster):
    """A second run of a call whose first instance is gone."""
    cluster.run(cluster.one)
    restarted = cluster.make('i1')
    for instance in (restarted, cluster.two):
        with pytest.raises(exceptions.MayHaveRunError):
            cluster.run(instance)
    assert cluster.runs == 1


def test_call_that_did_not_run_is_handed_over_once(cluster):
    """A refused call that nobody may run, or that two instances may."""
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


def test_unknown_result_is_never_run_again(cluster):
    """A broken call that a repeat runs a second time."""
    broken = exceptions.MayHaveRunError('broken')
    for instance in (cluster.one, cluster.one, cluster.two):
        with pytest.raises(exceptions.MayHaveRunError):
            cluster.run(instance, result=broken)
    assert cluster.runs == 1


def test_forgotten_run_is_not_run_again(cluster, monkeypatch):
    """A key whose stored answer was dropped for lack of memory."""
    monkeypatch.setattr(claims, 'MAX_RUNS', 2)
    for number in range(5):
        cluster.run(cluster.one, f'k{number}')
    for instance in (cluster.one, cluster.two):
        with pytest.raises(exceptions.MayHaveRunError):
            cluster.run(instance, 'k0')
    assert cluster.runs == 5


def test_key_of_another_request_gets_no_answer_of_it(cluster):
    """A caller that receives the answer to another caller's request."""
    cluster.run(cluster.one)
    for instance in (cluster.one, cluster.two):
        with pytest.raises(exceptions.BadRequestError):
            cluster.run(instance, fingerprint=2)
    assert cluster.runs == 1


def test_records_dropped_before_they_are_read_stop_the_claim(cluster):
    """A claim that is judged without those that preceded it."""
    cluster.run(cluster.one, 'first')
    log = cluster.log
    read, log.read = log.read, _raise_unavailable
    # A read that has begun still ends with the records of its time.
    eventlet.sleep(0.05)
    thread = eventlet.spawn(cluster.run, cluster.one, 'second')
    eventlet.sleep(0.05)
    log.oldest = len(log.records)
    log.records.append({'kind': 'other'})
    log.read = read
    with pytest.raises(exceptions.MayHaveRunError):
        thread.wait()
    assert cluster.runs == 1


def test_new_instance_reads_the_stream_before_it_judges(cluster):
    """A new instance that runs a key claimed before it started."""
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
