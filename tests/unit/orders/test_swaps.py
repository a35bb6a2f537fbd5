"""Loop that keeps owned replicas on the latest version."""

import types

import eventlet

from lentildeal._internal.adapters import base
from lentildeal._internal import exceptions
from lentildeal._internal.orders import swaps


class FakeEngine:
    """Loads immediately; the first ``failures`` loads have no effect."""

    def __init__(self, version=0, fence=0):
        self.version = version
        self.fence = fence
        self.orders = []
        self.failures = 0

    def get_state(self):
        return base.EngineState(self.version, self.fence)

    def load_version(self, model, version, fence):
        self.orders.append((version, fence))
        if fence < self.fence:
            raise exceptions.FenceRejectedError('old token')
        self.fence = fence
        if self.failures:
            self.failures -= 1
        else:
            self.version = version


class FakeTerms:
    """Terms whose token grows by 5 with each renewal."""

    def __init__(self, token):
        self.token = token

    def is_ready(self, address):
        return True

    def token_for(self, address, reported):
        return self.token

    def renew(self, address):
        self.token += 5


def make_orders(monkeypatch, engine, latest, token=1):
    """Creates a plug-in with one owned replica "r1" that may load now."""
    monkeypatch.setattr(swaps, 'REPEAT_S', 0.0)
    endpoint = types.SimpleNamespace(
        adapter='http', url='http://127.0.0.1:1', timeout_ms=10
    )
    platform = types.SimpleNamespace(weights=endpoint, log=endpoint)
    kernel = types.SimpleNamespace(
        settings=types.SimpleNamespace(platform=platform, instance='a1'),
        incarnation=1,
        plugin=lambda name: types.SimpleNamespace(
            versions=lambda: {'m': latest}, text=None, log=None
        ),
    )
    orders = swaps.WeightOrders(kernel)
    orders._terms = FakeTerms(token)
    orders._engines['r1'] = engine
    replica = swaps.Replica('engines', 'r1', 'm', ('r1',))
    orders._replicas['r1'] = replica
    return orders, replica


def run_rounds(orders, replica, engine, rounds=5):
    for _ in range(rounds):
        now_s = swaps.clock.monotonic_s()
        orders._handle_state(replica, engine.get_state(), now_s)
        eventlet.sleep(0)


def test_failed_load_is_ordered_again(monkeypatch):
    """Guards against keeping the old version after a failed load."""
    engine = FakeEngine()
    engine.failures = 2
    orders, replica = make_orders(monkeypatch, engine, 3)
    run_rounds(orders, replica, engine)
    assert engine.orders == [(3, 1)] * 3
    assert orders.version_of('r1') == 3


def test_newer_version_is_never_reverted(monkeypatch):
    """Guards against orders from an owner that knows an older version."""
    engine = FakeEngine(version=4)
    orders, replica = make_orders(monkeypatch, engine, 3)
    run_rounds(orders, replica, engine)
    assert engine.orders == []


def test_replica_reverted_by_other_owner_is_repaired(monkeypatch):
    """Guards against the effect of late orders if tokens are ignored."""
    engine = FakeEngine(version=3)
    orders, replica = make_orders(monkeypatch, engine, 3)
    run_rounds(orders, replica, engine, 1)
    engine.version = 2
    run_rounds(orders, replica, engine)
    assert engine.version == 3


def test_refused_owner_gets_new_term(monkeypatch):
    """Guards against an owner that is refused because of a higher token."""
    engine = FakeEngine(fence=4)
    orders, replica = make_orders(monkeypatch, engine, 1)
    run_rounds(orders, replica, engine)
    assert engine.orders == [(1, 1), (1, 6)]
    assert engine.version == 1


def test_state_read_before_a_pause_is_not_used(monkeypatch):
    """Guards against an order based on a state read before a pause."""
    engine = FakeEngine()
    orders, replica = make_orders(monkeypatch, engine, 1)
    read_s = swaps.clock.monotonic_s() - 60.0
    assert orders._handle_state(replica, engine.get_state(), read_s) == 0.0
    assert engine.orders == []
