"""Claims of leases by several daemons on one log."""

import random
import types

import eventlet
import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.jobs import lease_manager
from lentildeal._internal.jobs import leases
from lentildeal._internal.jobs import records
from lentildeal._internal.jobs import table
from lentildeal._internal.models import deployment
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import read_pacing
from tests.lib import job_builders

MODELS = ('m0', 'm1', 'm2')
# After this time a single daemon holds the leases of both groups.
CLAIMS_S = 1.0


class SharedLog:
    """A work log that all lease managers read at once."""

    def __init__(self):
        self.leases = leases.LeaseTable()
        self.table = table.JobTable()
        self.is_caught_up = True
        self.connected_since_s = 0.0
        self.offset = 0
        self.make_delay_s = lambda: 0.0
        self.appends = 0

    def add_piggyback_source(self, source):
        self.source = source

    def append(self, batch, timeout_s=None):
        eventlet.sleep(self.make_delay_s())
        self.appends += 1
        for record in batch:
            self.leases.apply(record, self.offset, clock.uptime_s())
            self.offset += 1

    def sync(self):
        """Everything has been read already."""

    def enqueue(self, record):
        self.append([record])


def make_manager(log, name, cores=2.0, requires_fence=True):
    text = deployment.PublishedText(
        1,
        (),
        {
            job_builders.SERVICE: deployment.Service(
                job_builders.SERVICE, MODELS, 4, 100
            )
        },
        deployment.IngressLimits(),
    )
    plugins = {
        'directory': types.SimpleNamespace(
            is_loaded=True, text=text, read_demand=read_pacing.ReadDemand()
        ),
        'work_log': log,
    }
    kernel = types.SimpleNamespace(
        plugin=plugins.get,
        spawn=lambda _, function: eventlet.spawn(function),
        incarnation=hash(name),
        settings=types.SimpleNamespace(
            instance=name,
            duties=None,
            resources=types.SimpleNamespace(cores=cores),
            store=types.SimpleNamespace(
                lease_ms=3000, requires_fence=requires_fence
            ),
        ),
    )
    return lease_manager.LeaseManager(kernel)


@pytest.fixture
def log():
    return SharedLog()


def run(managers, seconds):
    for manager in managers:
        manager.start()
    eventlet.sleep(seconds)


def holders(log):
    return {
        model: log.leases.get(lease_manager.jobs_lease_name(model)).holder
        for model in MODELS
    }


def test_one_daemon_runs_all_models_of_a_service(log):
    # Guards against two holders that fill the same replica concurrently.
    run([make_manager(log, f'n{n}') for n in range(5)], 1.0)
    found = set(holders(log).values())
    assert len(found) == 1 and None not in found
    orders = log.leases.get(
        lease_manager.orders_lease_name(job_builders.SERVICE)
    )
    assert orders.holder is not None


def test_one_check_claims_one_group(log, monkeypatch):
    # Guards against one daemon that takes both the orders and the jobs of a
    # service where others could take one of them, so that its loss stops both.
    # Both groups are due at the second check, as it is later than the spread.
    monkeypatch.setattr(lease_manager, 'CHECK_INTERVAL_S', 0.4)
    manager = make_manager(log, 'n0')
    orders = lease_manager.orders_lease_name(job_builders.SERVICE)
    run([manager], 0.5)
    is_holder = [
        log.leases.get(orders).holder is not None,
        all(holder is not None for holder in holders(log).values()),
    ]
    assert sorted(is_holder) == [False, True]
    # No other daemon wants the second group.
    eventlet.sleep(0.8)
    assert manager.find_term(orders) is not None
    assert set(holders(log).values()) == {'n0'}


@pytest.mark.parametrize('seed', range(3))
def test_models_of_a_service_are_claimed_together(log, seed):
    # Guards against daemons that start at the same time and win one model
    # each while the claims of the first are in flight.
    # The delays interleave the appends of several daemons.
    chance = random.Random(seed)
    log.make_delay_s = lambda: chance.uniform(0.0, 0.2)
    run([make_manager(log, f'n{n}') for n in range(15)], 1.5)
    assert len(set(holders(log).values())) == 1


def test_renewal_in_a_batch_of_other_records_saves_an_append(log):
    # A slow store handles four appends a second, so the results of a holder
    # and its renewals delay each other.
    manager = make_manager(log, 'n0')
    run([manager], CLAIMS_S)
    log.appends = 0
    for _ in range(10):
        eventlet.sleep(0.1)
        renewal = manager.make_piggyback_record()
        if renewal is not None:
            log.append([renewal])
            manager.handle_appended(renewal, clock.uptime_s())
    # One every 0.25 s, checked every 0.1 s, and no separate renewal.
    assert 3 <= log.appends <= 4
    assert manager.find_term(lease_manager.jobs_lease_name('m0')) is not None


def test_renewals_without_a_response_back_off(log):
    # Guards against renewals that fill the queue of a slow store.
    manager = make_manager(log, 'n0')
    run([manager], CLAIMS_S)
    timeouts = []

    def append(batch, timeout_s=None):
        timeouts.append(timeout_s)
        eventlet.sleep(timeout_s)
        raise exceptions.LogAnswerLostError('no answer in time')

    log.append = append
    eventlet.sleep(2.5)
    assert timeouts[:2] == [
        lease_manager.RENEWAL_TIMEOUT_S,
        2 * lease_manager.RENEWAL_TIMEOUT_S,
    ]
    assert len(timeouts) <= 3


def test_small_instance_leaves_leases_to_larger_ones(log):
    # Guards against a job runner on a third of a core.
    run([make_manager(log, 'small', 0.36), make_manager(log, 'large')], 1.5)
    assert set(holders(log).values()) == {'large'}


def test_leases_of_a_leaving_daemon_are_claimed_at_once(log):
    # Guards against waiting for the timeout after a planned stop.
    managers = [make_manager(log, f'n{n}') for n in range(3)]
    run(managers, 1.0)
    leaving = next(k for k in managers if k._instance == holders(log)['m0'])
    leaving.resign_all()
    eventlet.sleep(0.8)
    found = set(holders(log).values())
    assert len(found) == 1
    assert not found & {None, leaving._instance}


def test_restarted_daemon_claims_the_leases_of_its_earlier_process(log):
    # Guards against two seconds without a holder after a power loss.
    lease_name = lease_manager.jobs_lease_name('m0')
    log.append([log.leases.make_claim(lease_name, 'n0', 1)])
    manager = make_manager(log, 'n0')
    run([manager], 0.3)
    assert manager.find_term(lease_name) is not None


def test_orders_wait_until_the_lease_of_the_last_holder_has_expired(log):
    # Guards against orders by two holders within the platform's lease time.
    lease_name = lease_manager.orders_lease_name(job_builders.SERVICE)
    log.append([log.leases.make_claim(lease_name, 'other', 1)])
    log.leases.get(lease_name).seen_s -= lease_manager.HOLDER_TIMEOUT_S + 0.1
    manager = make_manager(log, 'n0')
    run([manager], 0.9)
    assert manager.find_term(lease_name) is not None
    assert not manager.may_order(lease_name)
    eventlet.sleep(1.2)
    assert manager.may_order(lease_name)


class DelayedLog(SharedLog):
    """A log whose records this daemon reads only when it syncs."""

    def __init__(self):
        super().__init__()
        self.unread = []

    def append(self, batch, timeout_s=None):
        if self.is_cut:
            raise exceptions.LogUnavailableError('cut off')
        self.unread += [
            (record, self.offset + n) for n, record in enumerate(batch)
        ]
        self.offset += len(batch)

    def sync(self):
        for record, offset in self.unread:
            self.leases.apply(record, offset, clock.uptime_s())
        self.unread.clear()

    is_cut = False


def test_renewal_after_a_cut_does_not_revive_a_lease():
    """Guards against orders of two holders around a partition.

    The renewal of a holder that was cut off from the store is confirmed
    before the holder reads the claim that preceded it.
    """
    log = DelayedLog()
    manager = make_manager(log, 'n0')
    lease_name = lease_manager.orders_lease_name(job_builders.SERVICE)
    run([manager], CLAIMS_S)
    assert manager.may_order(lease_name)
    log.is_cut = True
    log.sync()
    claim = log.leases.make_claim(lease_name, 'other', 1)
    eventlet.sleep(lease_manager.HOLDER_TIMEOUT_S + 0.1)
    assert not manager.may_order(lease_name)
    log.unread.append((claim, log.offset))
    log.offset += 1
    log.is_cut = False
    # Piggybacked renewals are confirmed as well.
    renewal = manager.make_piggyback_record()
    log.append([renewal])
    manager.handle_appended(renewal, clock.uptime_s())
    for _ in range(40):
        assert not manager.may_order(lease_name)
        eventlet.sleep(0.02)
    assert manager.is_taken_over(lease_name)


def test_lease_without_another_claim_is_held_again_after_a_cut():
    # Guards against a holder that never orders again after a short outage.
    log = DelayedLog()
    manager = make_manager(log, 'n0')
    lease_name = lease_manager.orders_lease_name(job_builders.SERVICE)
    run([manager], CLAIMS_S)
    log.is_cut = True
    eventlet.sleep(lease_manager.LEASE_S + 0.1)
    assert not manager.may_order(lease_name)
    log.is_cut = False
    eventlet.sleep(0.6)
    assert manager.may_order(lease_name)


@pytest.mark.parametrize('is_resigned', [False, True])
def test_orders_to_replicas_without_fence_checks_are_a_lease_time_apart(
    log, is_resigned
):
    """Guards against holders that order alternately within the lease time.

    The previous holder may have checked its lease right before it expired or
    was resigned, and its order may have been in flight for a second.
    """
    lease_name = lease_manager.orders_lease_name(job_builders.SERVICE)
    log.append([log.leases.make_claim(lease_name, 'other', 1)])
    state = log.leases.get(lease_name)
    last_order_s = clock.uptime_s() + lease_manager.ORDER_FLIGHT_S
    if is_resigned:
        log.append([records.Resignation(lease_name, state.term)])
    else:
        state.seen_s -= lease_manager.HOLDER_TIMEOUT_S
        last_order_s -= lease_manager.HOLDER_TIMEOUT_S - lease_manager.LEASE_S
    manager = make_manager(log, 'n0', requires_fence=False)
    run([manager], 0.0)
    while clock.uptime_s() < last_order_s + 2.95:
        assert not manager.may_order(lease_name)
        eventlet.sleep(0.05)
    eventlet.sleep(0.2)
    assert manager.may_order(lease_name)


def test_jobs_of_a_model_without_a_service_have_a_holder():
    # Guards against a job that nobody gives up, as its model is in no text.
    log = SharedLog()
    log.table.apply(job_builders.make_accepted(model='gone'))
    run([make_manager(log, 'a')], CLAIMS_S)
    assert log.leases.get(lease_manager.jobs_lease_name('gone')).holder == 'a'


@pytest.mark.parametrize('is_answered', [True, False])
def test_claim_on_its_way_at_a_planned_stop_is_resigned(log, is_answered):
    """Guards against a lease that a leaving daemon holds until it ends."""
    manager = make_manager(log, 'n0')
    append = log.append
    claimed = []

    def append_late(batch, timeout_s=None):
        claimed.extend(r.lease_name for r in batch[1:])
        eventlet.sleep(0.1)
        append(batch)
        if not is_answered:
            raise exceptions.LogAnswerLostError('no answer')

    log.append = append_late
    log.enqueue = lambda record: append([record])
    manager.start()
    while not claimed:
        eventlet.sleep(0.01)
    manager.resign_all()
    eventlet.sleep(0.1 + 3 * lease_manager.CHECK_INTERVAL_S)
    for lease_name in claimed:
        state = log.leases.get(lease_name)
        assert state.resigned_holder == 'n0'
        assert state.holder is None
        assert manager.find_term(lease_name) is None
