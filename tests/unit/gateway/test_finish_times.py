"""Load reports that a gateway receives and acts on."""

import collections
import contextlib

import pytest

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.gateway import plugin
from lentildeal._internal.models import deployment
from tests.lib import fake_store
from tests.lib import job_builders
from tests.lib import store_kernel

SERVICE = job_builders.SERVICE


@pytest.fixture
def gateway():
    with contextlib.closing(
        store_kernel.StoreKernel(fake_store.FakeStore())
    ) as kernel:
        kernel.settings.failure_domain = 'd1'
        kernel.add_work_log()
        for replica_id in ('r1', 'r2'):
            replica = job_builders.make_replica(
                replica_id, address=f'{replica_id}:80'
            )
            kernel.plugins['directory'].replicas.apply(
                deployment.ReplicaChange(replica_id, replica)
            )
        yield plugin.Gateway(kernel)


def report(gateway, replica_id, *figures):
    """Passes a report in the same way as the answer of a replica."""
    gateway.record_load(replica_id, platform_base.ReplicaLoad(*figures))


def count_choices(gateway):
    return collections.Counter(
        gateway.choose(SERVICE, ()).replica_id for _ in range(100)
    )


def test_slow_replica_with_free_slots_is_not_chosen(gateway):
    # Guards against a work factor that is read and not used.
    report(gateway, 'r1', 1, 0, 8, 3.0)
    report(gateway, 'r2', 4, 0, 8, 1.0)
    assert count_choices(gateway) == {'r2': 100}


def test_without_work_factors_the_least_loaded_replica_is_chosen(gateway):
    # Guards against a change for replicas that don't report their speed: near
    # equal ones would share the calls.
    report(gateway, 'r1', 2, 0, 8)
    report(gateway, 'r2', 3, 0, 8)
    assert count_choices(gateway) == {'r1': 100}


def test_log_fields_show_why_a_replica_was_chosen(gateway):
    # Guards against lines that name a replica without the reasons, and against
    # reasons of an earlier call.
    report(gateway, 'r1', 1, 0, 8, 3.0)
    report(gateway, 'r2', 4, 0, 8, 1.0)
    assert gateway.choose(SERVICE, ()).replica_id == 'r2'
    fields = gateway.pop_choice_fields('r2')
    assert (fields['work_factor'], fields['load']) == (1.0, 4.0)
    assert fields['expected'] > 1.0 and fields['report_age_ms'] < 1000
    assert gateway.pop_choice_fields('r2') == {}
