"""Attempts of live calls that end with an error nobody expected."""

import contextlib
import dataclasses

import eventlet
import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.gateway import calls
from lentildeal._internal.gateway import plugin
from lentildeal._internal.models import deployment
from lentildeal._internal.settings import settings
from lentildeal._internal.utils import clock
from tests.lib import fake_store
from tests.lib import job_builders
from tests.lib import store_kernel


@pytest.fixture
def kernel():
    with contextlib.closing(
        store_kernel.StoreKernel(fake_store.FakeStore())
    ) as found:
        found.settings.failure_domain = 'd1'
        found.check_time_left = lambda limit_s: None
        found.add_work_log()
        for replica_id in ('r1', 'r2'):
            replica = job_builders.make_replica(
                replica_id, address=f'{replica_id}:80'
            )
            found.plugins['directory'].replicas.apply(
                deployment.ReplicaChange(replica_id, replica)
            )
        yield found


def make_call(request_id='1'):
    return calls.LiveCall(
        request_id=request_id,
        method='GET',
        host=job_builders.HOST,
        path='/',
        target='/',
        headers=(),
        body=b'',
        deadline=clock.Deadline(5.0),
        is_client_gone=lambda: False,
    )


def make_route(kind):
    return job_builders.make_route(kind=kind, timeout_s=5.0)


def make_gateway(kernel, monkeypatch, failing, error=None):
    """A gateway whose attempts at some replicas raise an error."""
    error = error or LookupError('unexpected')
    gateway = plugin.Gateway(kernel)
    sent = []

    def send(replica, *_):
        sent.append(replica.replica_id)
        if replica.replica_id in failing:
            raise error
        response = calls.LiveResponse(200, (), b'')
        return calls.AttemptResult(replica, response, False, 'status 200')

    monkeypatch.setattr(gateway, '_send', send)
    return gateway, sent


def test_attempt_that_raises_is_judged_as_a_failure(kernel, monkeypatch):
    # Guards against calls that wait until their deadline because an attempt
    # ended without a result, and against a replica that is never avoided.
    gateway, sent = make_gateway(kernel, monkeypatch, {'r1'})
    route = make_route(deployment.RouteKind.SAFE)
    for number in range(30):
        response = gateway.forward(route, make_call(str(number)))
        assert response.status == 200
    assert sent[-10:].count('r1') <= 2


def test_calls_without_a_body_are_answered_beside_each_other(
    kernel, monkeypatch
):
    # Guards against an answer that is lost as another call ends.
    gateway, _ = make_gateway(kernel, monkeypatch, {})
    send = gateway._send

    def send_slowly(replica, *rest):
        eventlet.sleep(0.05)
        return send(replica, *rest)

    monkeypatch.setattr(gateway, '_send', send_slowly)
    route = make_route(deployment.RouteKind.UNSAFE)
    threads = [
        eventlet.spawn(gateway.forward, route, make_call(str(number)))
        for number in range(20)
    ]
    with eventlet.Timeout(2.0):
        assert {thread.wait().status for thread in threads} == {200}


def test_attempt_that_ends_without_a_result_is_a_failure(kernel, monkeypatch):
    # Guards against a call that waits until its deadline for its result.
    gateway, _ = make_gateway(kernel, monkeypatch, {})

    def fail(*_):
        raise LookupError('unexpected')

    monkeypatch.setattr(gateway.admission, 'record_attempt', fail)
    route = make_route(deployment.RouteKind.UNSAFE)
    with eventlet.Timeout(2.0), pytest.raises(exceptions.MayHaveRunError):
        gateway.forward(route, make_call())


def test_unsafe_call_whose_attempt_raised_may_have_run(kernel, monkeypatch):
    # Guards against a refusal that says the call has not run.
    gateway, sent = make_gateway(kernel, monkeypatch, {'r1', 'r2'})
    with pytest.raises(exceptions.MayHaveRunError):
        gateway.forward(make_route(deployment.RouteKind.UNSAFE), make_call())
    assert len(sent) == 1


def send_with(kernel, monkeypatch, error):
    """Sends a safe call whose attempts end with an error; returns them."""
    gateway = plugin.Gateway(kernel)
    sent = []

    def send(address, *_, **__):
        sent.append(address)
        raise error

    monkeypatch.setattr(gateway._connections, 'send', send)
    kernel.plugins['directory'].platform.make_headers = lambda *_, **__: []
    with pytest.raises(exceptions.MayHaveRunError):
        gateway.forward(make_route(deployment.RouteKind.SAFE), make_call())
    return sent


def test_call_that_takes_a_replica_down_is_sent_to_no_other(
    kernel, monkeypatch
):
    # Guards against one deadly call that takes down all replicas of a service.
    error = exceptions.TargetCrashedError('closed; then refused')
    assert len(send_with(kernel, monkeypatch, error)) == 1


def test_safe_call_that_was_reset_is_sent_to_another_replica(
    kernel, monkeypatch
):
    # The replica still accepts connections, so the call did not end it.
    error = exceptions.ConnectionClosedError('closed')
    assert len(set(send_with(kernel, monkeypatch, error))) == 2


def test_call_of_several_attempts_is_counted_once(kernel, monkeypatch):
    """Guards against a bill that grows with the attempts of a call."""
    tracked = []

    @contextlib.contextmanager
    def track(route, account):
        yield
        tracked.append(account)

    kernel.plugins['usage'].track = track
    gateway, sent = make_gateway(kernel, monkeypatch, {'r1'})
    call = dataclasses.replace(make_call(), account='a')
    route = make_route(deployment.RouteKind.SAFE)
    while len(sent) == len(tracked):
        gateway.forward(route, call)
    assert len(sent) == len(tracked) + 1


def test_large_bodies_at_once_go_to_different_replicas(kernel, monkeypatch):
    # Guards against a replica whose memory is used up by large bodies, which
    # could also be kept by others, and against a call that waits in vain.
    limit_bytes = kernel.settings.limits.replica_bytes
    gateway = plugin.Gateway(kernel)
    running = []

    def send(replica, *_):
        assert replica.replica_id not in running
        running.append(replica.replica_id)
        eventlet.sleep(0.1)
        running.clear()
        response = calls.LiveResponse(200, (), b'')
        return calls.AttemptResult(replica, response, False, 'status 200')

    monkeypatch.setattr(gateway, '_send', send)
    call = dataclasses.replace(make_call(), body=b'x' * (limit_bytes // 2 + 1))
    route = make_route(deployment.RouteKind.UNSAFE)
    # Ties between replicas are broken at random.
    for _ in range(10):
        threads = [eventlet.spawn(gateway.forward, route, call) for _ in 'ab']
        eventlet.sleep(0.03)
        with pytest.raises(exceptions.NotRunError):
            gateway.forward(route, call)
        assert [thread.wait().status for thread in threads] == [200, 200]


def test_call_without_a_replica_is_refused_with_extra_copies(kernel):
    # Guards against an internal error where there is nothing to copy.
    kernel.settings.hedging = settings.Hedging(0.5)
    for replica_id in ('r1', 'r2'):
        kernel.plugins['directory'].replicas.apply(
            deployment.ReplicaChange(replica_id, None)
        )
    route = make_route(deployment.RouteKind.SAFE)
    with pytest.raises(exceptions.NotRunError):
        plugin.Gateway(kernel).forward(route, make_call())


def test_copy_whose_status_check_raises_ends(kernel, monkeypatch):
    # Guards against a call that waits until its deadline for a copy that ended
    # without a result, after its first attempt failed.
    kernel.settings.hedging = settings.Hedging(1.0)
    gateway = plugin.Gateway(kernel)

    def send(replica, *_):
        eventlet.sleep(0.1)
        return calls.AttemptResult(replica, None, False, 'broken')

    def fail(_replica):
        raise LookupError('unexpected')

    monkeypatch.setattr(gateway, '_send', send)
    monkeypatch.setattr(gateway, 'has_room_for_copy', fail)
    route = job_builders.make_route(
        kind=deployment.RouteKind.SAFE, timeout_s=5.0, objective_s=0.02
    )
    started_s = clock.monotonic_s()
    with pytest.raises(exceptions.MayHaveRunError):
        gateway.forward(route, make_call())
    assert clock.monotonic_s() - started_s < 2.0
