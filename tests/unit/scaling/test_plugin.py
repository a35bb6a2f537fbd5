"""The plug-in on a fake store, with a fake platform."""

import contextlib
import dataclasses

import eventlet
import pytest

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.duties import plugin as duties_plugin
from lentildeal._internal import exceptions
from lentildeal._internal.models import deployment
from lentildeal._internal.scaling import decisions
from lentildeal._internal.scaling import plugin
from tests.lib import duty_daemon
from tests.lib import fake_store
from tests.lib import job_builders
from tests.lib import store_kernel

SCALING = deployment.Scaling(1, 3, 4.0, 0.2, {'d1': 1.0, 'd2': 0.5})


class Daemon(duty_daemon.DutyDaemon):
    """One daemon with a service whose replicas are ordered."""

    def __init__(self, store, **options):
        super().__init__(store, **options)
        services = self.directory.text.services
        services[job_builders.SERVICE] = dataclasses.replace(
            services[job_builders.SERVICE], scaling=SCALING
        )
        self.replicas = self.directory.replicas
        self.add_replica('r1', 'd1')
        plugin.ReplicaScaling(self.kernel).start()

    def add_replica(self, replica_id, failure_domain):
        replica = job_builders.make_replica(
            replica_id, failure_domain=failure_domain
        )
        self.replicas.apply(deployment.ReplicaChange(replica_id, replica))


@pytest.fixture(autouse=True)
def short_times(monkeypatch):
    monkeypatch.setattr(plugin, 'CHECK_S', 0.02)
    monkeypatch.setattr(decisions, 'SETTLING_S', 0.1)
    monkeypatch.setattr(decisions, 'RETRY_S', 0.1)
    monkeypatch.setattr(duties_plugin, 'FIRST_PAUSE_S', 0.3)


@pytest.fixture
def start():
    store = fake_store.FakeStore()
    with contextlib.ExitStack() as stack:

        def start_daemon(**options):
            daemon = Daemon(store, **options)
            stack.callback(daemon.kernel.close)
            return daemon

        yield start_daemon


def test_number_is_ordered_once(start):
    """Guards against calls that are paid for and change nothing."""
    daemon = start()
    store_kernel.wait_for(lambda: daemon.platform.calls)
    eventlet.sleep(0.5)
    assert daemon.platform.calls == [
        platform_base.ReplicaOrder(job_builders.SERVICE, 'd2', 1)
    ]


@pytest.mark.parametrize(
    ('outcome', 'least_s'),
    [
        (platform_base.DutyOutcome.THROTTLED, 0.3),
        (exceptions.PlatformError('no answer'), 0.1),
    ],
)
def test_order_without_effect_is_repeated_after_a_pause(
    start, outcome, least_s
):
    """Guards against an order that is lost, and against a flood of calls."""
    daemon = start()
    daemon.platform.outcomes = [outcome]
    store_kernel.wait_for(lambda: daemon.platform.calls)
    eventlet.sleep(least_s - 0.05)
    assert len(daemon.platform.calls) == 1
    store_kernel.wait_for(lambda: len(daemon.platform.calls) > 1)
    assert daemon.platform.calls[0] == daemon.platform.calls[1]


def test_refusal_without_a_newer_token_means_that_none_are_to_be_had(start):
    """Guards against a holder that resigns because replicas are sold out.

    The other kind is ordered instead.
    """
    daemon = start()
    daemon.platform.outcomes = [platform_base.DutyOutcome.REFUSED]
    store_kernel.wait_for(lambda: len(daemon.platform.calls) > 1)
    eventlet.sleep(0.3)
    assert [order.is_spot for order in daemon.platform.calls] == [False, True]
    assert not daemon.resigned


def test_next_holder_knows_the_ordered_numbers(start):
    """Guards against a second order while the replica of the first starts."""
    first, second = start(), start(is_holder=False)
    store_kernel.wait_for(lambda: first.platform.calls)
    # The holder also writes that the order was answered.
    eventlet.sleep(0.3)
    first.is_holder = False
    second.is_holder = True
    eventlet.sleep(0.5)
    assert not second.platform.calls


def test_next_holder_repeats_an_order_that_may_be_lost(start):
    """Guards against an order that its holder wrote to the log only."""
    first, second = start(), start(is_holder=False)
    first.platform.outcomes = [exceptions.PlatformError('cut off')] * 100
    store_kernel.wait_for(lambda: first.platform.calls)
    first.is_holder = False
    second.is_holder = True
    store_kernel.wait_for(lambda: second.platform.calls)
    assert second.platform.calls[0] == first.platform.calls[0]


def test_calls_keep_below_the_rate_of_the_platform():
    """Guards against calls of the holder that use up what all may send."""
    times = [0.0]
    pacer = duties_plugin.Pacer(lambda: times[0])
    for _ in range(100):
        times[0] += pacer.wait_s()
        pacer.record_call(50.0)
        pacer.record_outcome(is_throttled=False)
    assert times[0] >= 99 / 25
    pauses = []
    for _ in range(6):
        pacer.record_outcome(is_throttled=True)
        pauses.append(pacer.wait_s())
        times[0] += pauses[-1]
    assert pauses == sorted(pauses)
    assert pauses[-1] == pytest.approx(duties_plugin.LONGEST_PAUSE_S)


def test_service_that_fails_costs_itself_alone(start, monkeypatch):
    """Guards against one service whose error ends the round of all."""
    original = plugin.ReplicaScaling._observe

    def observe(self, service):
        if service.name == 'broken':
            raise LookupError('unexpected')
        original(self, service)

    monkeypatch.setattr(plugin.ReplicaScaling, '_observe', observe)
    daemon = start()
    services = daemon.directory.text.services
    broken = dataclasses.replace(services[job_builders.SERVICE], name='broken')
    # The first one in the order of the text.
    others = dict(services)
    services.clear()
    services.update({'broken': broken, **others})
    store_kernel.wait_for(lambda: daemon.platform.calls)
    assert daemon.platform.calls[0].service == job_builders.SERVICE
