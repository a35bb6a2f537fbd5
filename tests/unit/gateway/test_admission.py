"""Live calls that wait for their place, or are refused."""

import contextlib
import types

import eventlet
import prometheus_client
import pytest

from lentildeal._internal.adapters import platform_base
from lentildeal._internal import exceptions
from lentildeal._internal.gateway import calls
from lentildeal._internal.gateway import plugin
from lentildeal._internal.models import deployment
from lentildeal._internal.utils import clock
from tests.lib import fake_store
from tests.lib import job_builders
from tests.lib import store_kernel

LONG_QUEUE = platform_base.ReplicaLoad(4, 20, 4)
IDLE = platform_base.ReplicaLoad(0, 0, 4)
# Turns in which a call that waits for nothing is sent: its own thread, the one
# of its attempt, and as many to spare.
SENDING_TURNS = 4
ROUTE = job_builders.make_route(
    kind=deployment.RouteKind.UNSAFE, timeout_s=5.0
)


def make_text(has_accounts=True):
    accounts = {
        name: deployment.Account(name, frozenset()) for name in ('a', 'b')
    }
    text = job_builders.make_published_text(ROUTE)
    return deployment.PublishedText(
        1, text.routes, text.services, text.limits,
        accounts if has_accounts else None,
    )  # fmt: skip


@pytest.fixture
def kernel():
    with contextlib.closing(
        store_kernel.StoreKernel(fake_store.FakeStore())
    ) as found:
        found.settings.failure_domain = 'd1'
        found.check_time_left = lambda limit_s: None
        found.add_work_log()
        found.plugins['directory'].text = make_text()
        for replica_id in ('r1', 'r2'):
            replica = job_builders.make_replica(
                replica_id, address=f'{replica_id}:80'
            )
            found.plugins['directory'].replicas.apply(
                deployment.ReplicaChange(replica_id, replica)
            )
        yield found


def make_call(number, account='a', time_s=5.0, is_client_gone=lambda: False):
    return calls.LiveCall(
        request_id=str(number),
        method='GET',
        host=job_builders.HOST,
        path='/',
        target='/',
        headers=(),
        body=b'',
        deadline=clock.Deadline(time_s),
        is_client_gone=is_client_gone,
        account=account,
    )


class World:
    """A gateway whose replicas answer as a test says.

    Attributes:
        sent: Request id and replica of each attempt.
        load: Load that replicas report.
        full: Replicas that refuse calls.
    """

    def __init__(self, kernel, monkeypatch):
        self.gateway = plugin.Gateway(kernel)
        self.sent = []
        self.load = IDLE
        self.full = set()
        monkeypatch.setattr(self.gateway, '_send', self._send)

    def _send(self, replica, _route, call, _deadline):
        self.sent.append((call.request_id, replica.replica_id))
        if replica.replica_id in self.full:
            return calls.AttemptResult(
                replica, None, True, 'status 503', LONG_QUEUE
            )
        response = calls.LiveResponse(200, (), b'')
        return calls.AttemptResult(
            replica, response, False, 'status 200', self.load
        )

    def start(self, *arguments, **options):
        """Forwards a call in a green thread; returns its outcome's holder."""
        found = types.SimpleNamespace(outcome=None)

        def run():
            try:
                call = make_call(*arguments, **options)
                found.outcome = self.gateway.forward(ROUTE, call).status
            except exceptions.LentildealError as error:
                found.outcome = error

        eventlet.spawn(run)
        return found

    def fill(self):
        """Lets a call show a long queue, so that a limit is in force."""
        self.load = LONG_QUEUE
        first = self.start('first')
        store_kernel.wait_for(lambda: first.outcome)

    def report(self, load):
        replica = self.gateway._directory.replicas.get('r1')
        self.gateway.admission.record_attempt(replica, load, None, False)

    @property
    def waiting(self):
        return prometheus_client.REGISTRY.get_sample_value(
            'lentildeal_admission_waiting_calls'
        )


@pytest.fixture
def world(kernel, monkeypatch):
    return World(kernel, monkeypatch)


def start_waiting(world, **options):
    """Starts calls until one waits; returns it."""
    for number in range(20):
        last = world.start(number, **options)
        eventlet.sleep(0.005)
        if world.waiting:
            return last
    raise AssertionError('no call waits')


def test_text_without_accounts_has_no_admission(kernel, world):
    # Guards against a change for deployments that don't ask for it.
    kernel.plugins['directory'].text = make_text(has_accounts=False)
    world.load = LONG_QUEUE
    started = [world.start(number) for number in range(50)]
    store_kernel.wait_for(lambda: all(c.outcome for c in started))
    assert {c.outcome for c in started} == {200}
    assert len(world.sent) == 50
    assert not world.gateway.admission._services


def test_calls_of_an_idle_service_are_sent_at_once(world):
    # Guards against extra calls, and a wait in calls that need none.
    started = [world.start(number) for number in range(4)]
    # A call that waits for a timer is not sent within some turns of the hub.
    for _ in range(SENDING_TURNS):
        eventlet.sleep(0)
    assert len(world.sent) == 4
    store_kernel.wait_for(lambda: all(c.outcome for c in started))
    assert len(world.sent) == 4


def test_waiting_call_is_sent_when_a_replica_reports_free_slots(world):
    world.fill()
    call = start_waiting(world)
    assert call.outcome is None
    world.report(IDLE)
    eventlet.sleep(0.005)
    store_kernel.wait_for(lambda: call.outcome)
    assert call.outcome == 200 and world.waiting == 0


def test_waiting_call_is_sent_without_any_report(world):
    # Guards against calls that wait for a report that nobody fetches.
    world.fill()
    call = start_waiting(world)
    store_kernel.wait_for(lambda: call.outcome)
    assert call.outcome == 200


def test_waiting_call_ends_with_its_time_without_the_timer(world):
    # Guards against threads that wait without end after an internal error.
    world.fill()
    call = start_waiting(world, time_s=0.5)
    for service in world.gateway.admission._services.values():
        service.timer.cancel()
    store_kernel.wait_for(lambda: call.outcome)
    assert call.outcome.cause == 'deadline'


def test_client_that_leaves_while_waiting_is_not_served(world):
    # Guards against calls that run for nobody, and whose place is lost.
    world.fill()
    is_gone = []
    call = start_waiting(world, is_client_gone=lambda: bool(is_gone))
    sent = len(world.sent)
    is_gone.append(True)
    store_kernel.wait_for(lambda: call.outcome)
    assert call.outcome.cause == 'client_gone'
    assert len(world.sent) == sent and world.waiting == 0
    services = world.gateway.admission._services.values()
    assert all(not s.decisions.waiting_count for s in services)


def test_planned_stop_answers_the_waiting_that_it_would_cut_off(kernel, world):
    # Guards against calls that wait past the end of a planned stop.
    world.fill()
    call = start_waiting(world)

    def check_time_left(limit_s):
        raise exceptions.NotRunError(
            'leaving', cause='leaving', retry_after_s=0.05
        )

    kernel.check_time_left = check_time_left
    store_kernel.wait_for(lambda: call.outcome)
    assert call.outcome.cause == 'leaving'


def test_call_without_time_for_its_turn_is_refused_at_once(world):
    # Guards against clients that learn at their deadline what was known
    # before, and against labels that callers choose.
    def read(account):
        return prometheus_client.REGISTRY.get_sample_value(
            'lentildeal_admission_refusals_total',
            {'cause': 'deadline', 'account': account},
        )

    world.fill()
    start_waiting(world)
    before = read('') or 0
    sent = len(world.sent)
    call = world.start('short', account='unknown', time_s=0.001)
    eventlet.sleep(0.005)
    assert isinstance(call.outcome, exceptions.NotRunError)
    assert call.outcome.cause == 'deadline'
    assert call.outcome.retry_after_s > 0
    assert len(world.sent) == sent
    assert read('') == before + 1 and read('unknown') is None


def test_call_that_replicas_refused_is_tried_until_its_attempts_end(world):
    # Guards against attempts beyond those of the route, and a refusal that
    # sends all clients back at the same time.
    world.full = {'r1', 'r2'}
    started = [world.start(number) for number in range(8)]
    store_kernel.wait_for(lambda: all(c.outcome for c in started))
    for number, call in enumerate(started):
        assert isinstance(call.outcome, exceptions.NotRunError)
        attempts = [r for i, r in world.sent if i == str(number)]
        assert len(attempts) == len(set(attempts)) <= 2
    assert len({c.outcome.retry_after_s for c in started}) > 1
    services = world.gateway.admission._services.values()
    assert all(not s.decisions._running for s in services)


def test_call_that_one_replica_refused_runs_once_at_another(world):
    world.full = {'r1'}
    started = [world.start(number) for number in range(8)]
    store_kernel.wait_for(lambda: all(c.outcome for c in started))
    assert {c.outcome for c in started} == {200}
    ran = [i for i, replica in world.sent if replica == 'r2']
    assert sorted(ran) == [str(number) for number in range(8)]


def test_call_that_a_replica_refused_waits_for_its_next_attempt(world):
    # Guards against attempts that are used up while the queues are full.
    world.full = {'r1', 'r2'}
    started = [world.start(number) for number in range(8)]

    def find_waiting():
        attempts = [int(request_id) for request_id, _ in world.sent]
        return [
            call
            for number, call in enumerate(started)
            if call.outcome is None and attempts.count(number) == 1
        ]

    store_kernel.wait_for(find_waiting)
    waiting = find_waiting()
    world.full = set()
    store_kernel.wait_for(lambda: all(c.outcome for c in started))
    assert {c.outcome for c in waiting} == {200}


def test_waiting_call_is_refused_when_replicas_are_lost(kernel, world):
    # Guards against calls that wait for a capacity that is gone.
    world.fill()
    start_waiting(world)
    last = None
    for number in range(100, 400):
        call = world.start(number, time_s=3.0)
        eventlet.sleep(0.005)
        if call.outcome:
            break
        last = call
    assert last.outcome is None
    replicas = kernel.plugins['directory'].replicas
    replicas.apply(deployment.ReplicaChange('r2', None))
    replicas.apply(
        deployment.ReplicaChange(
            'r1', job_builders.make_replica(slots=1, started_ms=2)
        )
    )
    waiting = world.waiting
    eventlet.sleep(0.15)
    assert world.waiting < 0.5 * waiting
    assert isinstance(last.outcome, exceptions.NotRunError)
