"""Scoring of complete texts, with a fake gateway."""

import contextlib
import types

import eventlet
from eventlet import event
import pytest

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.gateway import calls as gateway_calls
from lentildeal._internal.gateway import calls
from lentildeal._internal.jobs import records
from lentildeal._internal.jobs import runner as runner_module
from lentildeal._internal.models import deployment
from lentildeal._internal.models import jobs
from tests.lib import fake_store
from tests.lib import job_builders
from tests.lib import store_kernel


class Gateway:
    """Gateway whose attempts run until the test answers them."""

    def __init__(self, replicas):
        self._replicas = replicas
        self.attempts = []

    def choose(self, service, tried):
        for replica in self._replicas.list_ready(service):
            if replica.replica_id not in tried:
                return replica
        return None

    def attempt(self, replica, route, call, deadline):
        found = types.SimpleNamespace(
            replica=replica,
            call=call,
            deadline=deadline,
            end=event.Event(),
            is_stopped=False,
        )
        self.attempts.append(found)
        try:
            return found.end.wait()
        except eventlet.greenlet.GreenletExit:
            found.is_stopped = True
            raise

    def answer(self, attempt, status, signature='signature', load=None):
        response = gateway_calls.LiveResponse(status, (), b'', signature)
        attempt.end.send(
            calls.AttemptResult(
                attempt.replica, response, False, f'status {status}', load
            )
        )

    def fail(self, attempt, is_not_run=False):
        attempt.end.send(
            calls.AttemptResult(
                attempt.replica, None, is_not_run, 'no response'
            )
        )


@pytest.fixture
def kernel(monkeypatch):
    monkeypatch.setattr(
        runner_module.clock, 'unix_s', lambda: job_builders.NOW_S
    )
    store = fake_store.FakeStore()
    with contextlib.closing(store_kernel.StoreKernel(store)) as found:
        directory = found.plugins['directory']
        directory.text = job_builders.make_published_text(
            job_builders.make_route(), job_builders.make_scoring_route()
        )
        for number in range(2):
            replica = job_builders.make_replica(
                f's{number}',
                service=job_builders.SCORING_SERVICE,
                slots=6,
                versions={},
            )
            directory.replicas.apply(
                deployment.ReplicaChange(replica.replica_id, replica)
            )
        found.plugins['gateway'] = Gateway(directory.replicas)
        found.add_work_log()
        found.runner = runner_module.JobRunner(found)
        found.spawn('runner', found.runner.run)
        yield found


@pytest.fixture
def log(kernel):
    return kernel.plugins['work_log']


@pytest.fixture
def gateway(kernel):
    return kernel.plugins['gateway']


def submit_generated(log, job_id='job', count=1, is_ended=False):
    """Stores a job whose items have complete texts without scores."""
    item_ids = [f'i{number}' for number in range(count)]
    items = [
        job_builders.make_item(
            item_id, scoring=job_builders.make_scoring(f's{item_id}')
        )
        for item_id in item_ids
    ]
    stream = records.text_stream_name(job_id)
    ((_, part),) = records.split_items(items, 262_144)
    (location,) = log.append_texts(stream, [part])
    texts = [records.EventTexts((f'{i} text',)) for i in item_ids]
    places = log.append_texts(stream, texts)
    head = job_builders.make_accepted(
        job_id, item_ids, submitted_ms=int(job_builders.NOW_S * 1000)
    ).head
    found = [
        records.JobAccepted(
            head, tuple(item_ids), ((0, location.offset, location.size_bytes),)
        )
    ]
    found += [
        records.Checkpoint(
            job_id, n, (1,), 1, '0', place.offset, place.size_bytes, True
        )
        for n, place in enumerate(places)
    ]
    log.append(found)


def wait_for_results(log, count, job_id='job'):
    store_kernel.wait_for(
        lambda: (
            log.table.get(job_id)
            and len(log.table.get(job_id).results) == count
        )
    )
    return log.table.get(job_id).results


def test_complete_text_of_a_checkpoint_is_scored_and_not_generated(
    log, gateway
):
    # Guards against a text that is generated again after a takeover.
    submit_generated(log)
    store_kernel.wait_for(lambda: gateway.attempts)
    (attempt,) = gateway.attempts
    assert attempt.call.request_id == 'si0'
    assert attempt.call.method == 'POST'
    assert attempt.call.target == '/scores/1'
    assert attempt.call.body == b'text'
    assert not log.table.get('job').results
    gateway.answer(attempt, 200, 'p1')
    (result,) = wait_for_results(log, 1)
    assert (result.state, result.score) == (jobs.ResultState.DONE, 'p1')
    (text,) = log.read_texts([result.location])
    assert text.text == 'i0 text'


def test_answer_without_a_signature_is_not_a_score(log, gateway):
    # Guards against a result that is listed without its score.
    submit_generated(log)
    store_kernel.wait_for(lambda: gateway.attempts)
    gateway.answer(gateway.attempts[0], 200, None)
    store_kernel.wait_for(lambda: len(gateway.attempts) == 2)
    assert not log.table.get('job').results
    gateway.answer(gateway.attempts[1], 200)
    wait_for_results(log, 1)


def test_item_is_given_up_after_the_route_s_number_of_errors(log, gateway):
    # Guards against a group that is never complete.
    submit_generated(log)
    for number in range(3):
        store_kernel.wait_for(lambda n=number: len(gateway.attempts) == n + 1)
        assert not log.table.get('job').results
        gateway.answer(gateway.attempts[number], 500)
    (result,) = wait_for_results(log, 1)
    assert result.state is jobs.ResultState.GIVEN_UP
    assert result.score == ''


def test_lost_answers_are_repeated_at_the_other_replica(log, gateway):
    # Guards against an item that is given up because of an outage.
    submit_generated(log)
    for number in range(5):
        store_kernel.wait_for(lambda n=number: len(gateway.attempts) == n + 1)
        gateway.fail(gateway.attempts[number], is_not_run=number % 2 == 0)
    store_kernel.wait_for(lambda: len(gateway.attempts) == 6)
    used = [a.replica.replica_id for a in gateway.attempts]
    assert all(a != b for a, b in zip(used, used[1:], strict=False))
    gateway.answer(gateway.attempts[-1], 200)
    wait_for_results(log, 1)


def test_slots_stay_free_for_live_calls(log, gateway):
    # Guards against live calls that wait behind a step's scoring calls.
    submit_generated(log, count=30)
    store_kernel.wait_for(lambda: len(gateway.attempts) == 10)
    eventlet.sleep(3 * runner_module.POLL_INTERVAL_S)
    assert len(gateway.attempts) == 10
    by_replica = [a.replica.replica_id for a in gateway.attempts]
    assert by_replica.count('s0') == by_replica.count('s1') == 5
    # Five scoring calls and two live calls run at the replica.
    load = platform_base.ReplicaLoad(6, 1, 6)
    gateway.answer(gateway.attempts[0], 200, load=load)
    gateway.answer(gateway.attempts[1], 200, load=load)
    wait_for_results(log, 2)
    eventlet.sleep(3 * runner_module.POLL_INTERVAL_S)
    assert len(gateway.attempts) == 10
    gateway.answer(gateway.attempts[2], 200, load=load)
    store_kernel.wait_for(lambda: len(gateway.attempts) == 11)


def test_end_of_a_job_stops_its_scoring_calls(log, gateway):
    # Guards against calls to a replica after the end was confirmed.
    submit_generated(log, count=2)
    store_kernel.wait_for(lambda: len(gateway.attempts) == 2)
    log.append([records.JobEnd('job')])
    store_kernel.wait_for(lambda: all(a.is_stopped for a in gateway.attempts))


def test_planned_stop_ends_the_scoring_calls(kernel, log, gateway):
    # Guards against two daemons that score an item at the same time.
    submit_generated(log)
    store_kernel.wait_for(lambda: gateway.attempts)
    kernel.runner.drain()
    assert gateway.attempts[0].is_stopped


def test_hedged_call_is_stopped_by_the_first_answer(log, gateway, monkeypatch):
    # Guards against an item that waits for the timeout of a dead replica.
    monkeypatch.setattr('lentildeal._internal.scoring.calls.HEDGE_FACTOR', 0.3)
    submit_generated(log)
    store_kernel.wait_for(lambda: len(gateway.attempts) == 2)
    first, second = gateway.attempts
    assert first.replica is not second.replica
    gateway.answer(second, 200, 'p2')
    (result,) = wait_for_results(log, 1)
    assert result.score == 'p2'
    assert first.is_stopped
