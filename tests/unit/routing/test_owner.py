"""Slot grants between daemons."""

import eventlet
import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.models import outcomes
from lentildeal._internal.models import text as text_module
from lentildeal._internal.routing import owner
from lentildeal._internal.utils import clock
from tests.lib import plugin_fakes

ADDRESS = '127.0.0.1:9'


class Pair:
    """An entry daemon "e1" and the owner "o1" of one replica."""

    def __init__(self, concurrency=1):
        self.network = {}
        self.owners = {ADDRESS: 'o1'}
        target = text_module.Target(
            text_module.TargetKind.SERVICE,
            {'a': [ADDRESS]},
            concurrency=concurrency,
        )
        self.text = text_module.FederationText(
            1, 'f', {'c': text_module.Club()}, {'t': target}
        )
        self.entry = self.make('e1')
        self.owner = self.make('o1')

    def make(self, instance):
        membership = plugin_fakes.FakeMembership(instance, self.owners)
        config = plugin_fakes.FakeConfig(self.text)
        kernel = plugin_fakes.FakeKernel(
            instance, self.network, config=config, membership=membership
        )
        plugin = owner.SlotOwner(kernel)
        plugin.start()
        return plugin

    def acquire(self, request_id, seconds=5.0):
        return self.entry.acquire(
            'a', ADDRESS, 'c', request_id, clock.Deadline(seconds)
        )

    def load(self):
        return self.owner.load_of(ADDRESS)


@pytest.fixture
def pair():
    return Pair()


def wait_until(condition):
    with eventlet.Timeout(10):
        while not condition():
            eventlet.sleep(0.01)


def test_grant_is_released_once_and_load_is_reported(pair):
    """Guards against a double release and against missing load reports."""
    grant = pair.acquire('r1')
    assert pair.load().in_flight == 1
    assert pair.entry.load_of(ADDRESS).in_flight == 1
    grant.release(None, 0.1, 0)
    grant.release(None, 0.1, 0)
    assert pair.load().in_flight == 0
    assert pair.entry.load_of(ADDRESS).in_flight == 0


def test_disconnect_of_entry_frees_its_slots(pair):
    """Guards against slots that a crashed entry daemon holds forever."""
    pair.acquire('r1')
    waiting = eventlet.spawn(pair.owner.acquire, *_acquire_arguments('l1'))
    wait_until(lambda: pair.load().waiting == 1)
    for function in pair.network['o1'].disconnect_handlers:
        function('e1', 1)
    waiting.wait().release(None, 0.1, 0)
    assert pair.load().in_flight == 0


def test_release_of_another_incarnation_is_ignored(pair):
    """Guards against a release of a grant made before the owner restarted."""
    grant = pair.acquire('r1')
    restarted = pair.make('o1')
    grant.release(None, 0.1, 0)
    assert restarted.load_of(ADDRESS).in_flight == 0


def test_withdrawal_that_overtakes_its_request_is_kept(pair):
    """Guards against a resumed owner that grants a withdrawn request."""
    pair.network['o1'].is_silent = True
    with pytest.raises(exceptions.NotRunError) as info:
        pair.acquire('r1')
    assert info.value.cause == outcomes.Cause.OWNER_UNREACHABLE.value
    pair.network['o1'].is_silent = False
    message = owner.messages.SlotRelease(ADDRESS, 'r2', 0)
    pair.network['e1'].notify('o1', message)
    with pytest.raises(exceptions.NotRunError):
        pair.acquire('r2')
    assert pair.load().in_flight == 0


def test_wait_ends_when_the_replica_moves(pair):
    """Guards against waiting at a daemon that is no longer the owner."""
    held = pair.acquire('r1')
    waiting = eventlet.spawn(pair.acquire, 'r2')
    wait_until(lambda: pair.load().waiting == 1)
    pair.owners[ADDRESS] = 'e1'
    for function in pair.owner._membership.functions:
        function()
    with pytest.raises(exceptions.NotRunError) as info:
        waiting.wait()
    assert info.value.cause == outcomes.Cause.OWNER_UNREACHABLE.value
    held.release(None, 0.1, 0)


def test_rollout_slot_ends_with_ownership():
    """Guards against waiting forever for a slot of a lost replica."""
    pair = Pair(concurrency=1)
    first = pair.owner.wait_rollout_slot(ADDRESS)
    waiting = eventlet.spawn(pair.owner.wait_rollout_slot, ADDRESS)
    eventlet.sleep(0)
    pair.owners[ADDRESS] = 'e1'
    for function in pair.owner._membership.functions:
        function()
    with pytest.raises(exceptions.NotRunError):
        waiting.wait()
    first.release(None, 1.0, 10)
    assert pair.load() is None


def test_grant_without_release_expires(pair, monkeypatch):
    """Guards against leaking a slot whose release message was lost."""
    pair.acquire('r1', seconds=0.05)
    monkeypatch.setattr(owner.owned_replicas, 'GRANT_GRACE_S', 0.0)
    eventlet.sleep(0.1)
    assert pair.owner._owned.release_expired() == 1
    assert pair.load().in_flight == 0


def _acquire_arguments(request_id):
    return 'a', ADDRESS, 'c', request_id, clock.Deadline(5.0)
