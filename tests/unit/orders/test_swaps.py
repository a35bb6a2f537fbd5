"""The loop that keeps owned replicas on the latest version."""

import types

import eventlet

from lentildeal._internal.adapters import base
from lentildeal._internal import exceptions
from lentildeal._internal.orders import swaps


class FakeEngine:
    """Loads at once, unless told otherwise."""

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
    """Tokens count up with each renewal."""

    def __init__(self, token):
        self.token = token

    def is_ready(self, address):
        return True

    def token_for(self, address, reported):
        return self.token

    def renew(self, address):
        self.token += 5


def make_orders(monkeypatch, engine, latest, token=1):
    """Plug-in with one owned replica "r1" that is due at once."""
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
    """A load that fails partway must not leave the old version for good."""
    engine = FakeEngine()
    engine.failures = 2
    orders, replica = make_orders(monkeypatch, engine, 3)
    run_rounds(orders, replica, engine)
    assert engine.orders == [(3, 1)] * 3
    assert orders.version_of('r1') == 3


def test_newer_version_is_never_set_back(monkeypatch):
    """An owner that knows an older version must not order it."""
    engine = FakeEngine(version=4)
    orders, replica = make_orders(monkeypatch, engine, 3)
    run_rounds(orders, replica, engine)
    assert engine.orders == []


def test_replica_set_back_by_other_owner_is_repaired(monkeypatch):
    """A late order at a target that ignores tokens must not last."""
    engine = FakeEngine(version=3)
    orders, replica = make_orders(monkeypatch, engine, 3)
    run_rounds(orders, replica, engine, 1)
    engine.version = 2
    run_rounds(orders, replica, engine)
    assert engine.version == 3


def test_refused_owner_takes_new_term(monkeypatch):
    """The rightful owner must get past a token that is above its own."""
    engine = FakeEngine(fence=4)
    orders, replica = make_orders(monkeypatch, engine, 1)
    run_rounds(orders, replica, engine)
    assert engine.orders == [(1, 1), (1, 6)]
    assert engine.version == 1


def test_state_read_before_a_pause_is_not_acted_on(monkeypatch):
    """A process paused after reading must read again before ordering."""
    engine = FakeEngine()
    orders, replica = make_orders(monkeypatch, engine, 1)
    read_s = swaps.clock.monotonic_s() - 60.0
    assert orders._handle_state(replica, engine.get_state(), read_s) == 0.0
    assert engine.orders == []
