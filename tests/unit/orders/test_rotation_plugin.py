"""Orders of a lease holder to a replica with a given state."""

import functools
import importlib
import types
from unittest import mock

import prometheus_client
import pytest

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.directory import replicas
from lentildeal._internal.models import deployment
from lentildeal._internal.orders import rotation
from tests.lib import job_builders


# The stand-alone deployment has a metric of the same name; a daemon loads only
# one of the two modules.
with mock.patch.object(
    prometheus_client,
    'Counter',
    functools.partial(prometheus_client.Counter, registry=None),
):
    rotation_plugin = importlib.import_module(
        'lentildeal._internal.orders.rotation_plugin'
    )


class Replica:
    """Platform with one replica whose reports lag behind its version."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.orders = []
        self.reported = 1

    def get_report(self, _replica):
        return platform_base.ReplicaReport(
            {job_builders.MODEL: self.reported}, False, len(self.orders)
        )

    def order_version(self, _replica, order):
        self.orders.append(order)
        self.reported = order.version
        return self.outcome


@pytest.fixture(params=platform_base.OrderOutcome)
def platform(request):
    return Replica(request.param)


class Limits:
    """Request limits without any, unless the test sets a wait."""

    def __init__(self):
        self.sent = 0
        self.room_in_s = 0.0

    def record_sent(self, _replica_id):
        self.sent += 1

    def wait_s(self, _replica_id):
        return self.room_in_s


@pytest.fixture
def limits():
    return Limits()


@pytest.fixture
def plugin(platform, limits, monkeypatch):
    monkeypatch.setattr(rotation_plugin, 'FIRST_POLL_S', 0.01)
    monkeypatch.setattr(rotation_plugin, 'CONFLICT_DELAY_S', 0.01)
    table = replicas.ReplicaTable()
    table.apply(deployment.ReplicaChange('r1', job_builders.make_replica()))
    plugins = {
        'directory': types.SimpleNamespace(
            platform=platform,
            replicas=table,
            text=job_builders.make_published_text(),
        ),
        'duties': types.SimpleNamespace(
            may_order=lambda name: True,
            find_term=lambda name: 7,
            resign=lambda name, reason: None,
        ),
        'work_log': types.SimpleNamespace(enqueue=lambda record: None),
        'replica_limits': limits,
    }
    return rotation_plugin.Rotation(
        types.SimpleNamespace(
            plugin=plugins.get,
            settings=types.SimpleNamespace(instance='n0'),
        )
    )


def test_reports_of_a_limited_replica_wait_for_room(plugin, limits):
    """Guards against reports that use up the limit of a loading replica."""
    assert plugin._poll_interval_s('r1') == rotation_plugin.POLL_S
    limits.room_in_s = 0.2
    assert plugin._poll_interval_s('r1') == 0.2
    limits.room_in_s = 5.0
    assert plugin._poll_interval_s('r1') == rotation_plugin.LONGEST_POLL_S


def test_only_a_load_that_was_ordered_is_measured(plugin, platform, limits):
    """Guards against an estimate that overlaps more loads than allowed.

    A replica that holds the version already, or refused the order, has spent
    no time on a load, and its confirmation says nothing about one.
    """
    load = rotation.PlannedLoad('r1', job_builders.MODEL, 2)
    plugin._pending['r1'] = rotation_plugin._PendingLoad(load, 0.0)
    plugin._run_load(job_builders.SERVICE, load)
    assert len(platform.orders) == 1
    # Reports and orders count as requests to the replica.
    assert limits.sent >= 2
    is_measured = plugin._load_duration.is_over(3600.0)
    is_load = platform.outcome is platform_base.OrderOutcome.ACCEPTED
    assert is_measured == is_load
