"""Budget of memory and connections of a daemon."""

import base64
import json

import eventlet
import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.network import bounded_json
from lentildeal._internal.network import memory_budget
from lentildeal._internal.network import shedding
from lentildeal._internal.settings import settings

MB = 1024 * 1024
# The smallest instance of a customer.
SMALLEST = {'memory_mb': 152, 'descriptors': 1535}


def make_budget(**resources):
    return memory_budget.MemoryBudget(
        settings.Settings(
            instance='n0',
            failure_domain='d1',
            http_address='127.0.0.1:1',
            resources=settings.Resources(**resources),
        )
    )


class FakeSocket:
    """Connection whose thread gives back its memory when it is closed."""

    def __init__(self, budget):
        self._budget = budget
        self.holder = None

    def shutdown(self, _):
        eventlet.spawn_after(0.0, self._budget.forget, self.holder)


def connect(budget):
    connection = FakeSocket(budget)
    connection.holder = budget.admit(connection)
    return connection.holder


def test_largest_legal_body_has_room_on_the_smallest_instance():
    """Guards against a legal call that is refused in calm."""
    budget = make_budget(**SMALLEST)
    budget.reserve(connect(budget), 32 * MB)


def test_legal_job_has_room_on_the_smallest_instance():
    """Guards against a job that is refused for its estimate."""
    entry = {
        'Id': 'item-0',
        'Path': '/rollouts/1/item-0',
        'Headers': {'Lentildeal-Model': 'model', 'X-Text': 'é'},
        'Body': base64.b64encode(b'x' * 8000).decode(),
        'Scorer': {'Id': 's', 'Host': 'h', 'Path': '/x', 'Body': 'eA=='},
    }
    body = json.dumps({'Step': 1, 'Entries': [entry] * 88}).encode()
    budget = make_budget(**SMALLEST)
    holder = connect(budget)
    budget.reserve(holder, len(body))
    budget.reserve(holder, bounded_json.estimate_bytes(body))


@pytest.mark.parametrize('item', [b'[],', b'{"a":{}},', b'{"a":1},'])
def test_body_of_many_values_is_refused_before_it_is_decoded(item):
    """Guards against 30 MB of lists that take 860 MB of memory."""
    body = b'[' + item * (30 * MB // len(item)) + b'0]'
    budget = make_budget(**SMALLEST)
    with pytest.raises(exceptions.RequestTooLargeError):
        budget.reserve(connect(budget), bounded_json.estimate_bytes(body))


def test_memory_in_use_means_a_refusal_and_no_error():
    """Guards against a legal request that is called too large."""
    budget = make_budget(**SMALLEST)
    running = connect(budget)
    budget.reserve(running, 60 * MB)
    running.enter(shedding.Phase.HANDLER)
    with pytest.raises(exceptions.NotRunError):
        budget.reserve(connect(budget), 30 * MB)
    budget.release(running)
    budget.reserve(connect(budget), 30 * MB)


def test_stalled_body_gives_its_memory_to_another_request():
    """Guards against memory that stalled clients keep."""
    budget = make_budget(**SMALLEST)
    stalled = connect(budget)
    stalled.enter(shedding.Phase.BODY)
    budget.reserve(stalled, 60 * MB)
    stalled.progress_s -= 5.0
    budget.reserve(connect(budget), 30 * MB)
    assert stalled.is_shed
    assert budget.used_bytes == 30 * MB


def test_new_connection_closes_an_idle_one():
    """Guards against idle clients that lock out new ones."""
    budget = make_budget(**SMALLEST)
    holders = [connect(budget) for _ in range(budget.max_connections)]
    holders[3].enter(shedding.Phase.IDLE)
    assert connect(budget) is not None
    assert [h for h in holders if h.is_shed] == [holders[3]]


def test_connections_leave_descriptors_for_replicas():
    """Guards against calls without a descriptor for their replica."""
    assert 2 * make_budget(descriptors=1535).max_connections < 1535 * 0.9


def test_budget_without_settings_is_as_before():
    """Guards against new limits that nobody asked for."""
    budget = make_budget()
    assert budget.limit_bytes == 40 * MB
    assert budget.max_connections == settings.Limits().connections
