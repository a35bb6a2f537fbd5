"""Replicas by their entries, through outages and restarts."""

import pytest

from lentildeal._internal.directory import replicas
from lentildeal._internal.models import deployment
from tests.lib import job_builders

READY, LEAVING = deployment.ReplicaState.READY, deployment.ReplicaState.LEAVING


class Clock:
    """Clock that a test moves."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def found(clock):
    result = replicas.ReplicaTable(clock)
    result.apply(make_change())
    return result


def make_change(**overrides):
    replica = job_builders.make_replica(**overrides)
    return deployment.ReplicaChange(replica.replica_id, replica)


def ready(found):
    return [r.replica_id for r in found.list_ready(job_builders.SERVICE)]


def test_leaving_replica_gets_no_new_work(found):
    # Guards against requests after a replica has announced its stop.
    found.apply(make_change(state=LEAVING))
    assert ready(found) == []
    assert found.get('r1') is not None


def test_removed_entry_is_gone_at_once(found):
    # Guards against requests to a replica that left without notice.
    found.apply(deployment.ReplicaChange('r1', None))
    assert found.get('r1') is None


def test_entry_that_lapsed_in_an_outage_is_used_for_two_seconds(found, clock):
    # Guards against a service without replicas after an outage, in which
    # all entries lapse.
    found.note_store_lost()
    clock.now_s += 5.0
    found.note_store_regained()
    found.apply(deployment.ReplicaChange('r1', None))
    assert ready(found) == ['r1']
    clock.now_s += replicas.LAPSE_GRACE_S + 0.01
    assert ready(found) == []


def test_entry_that_is_back_after_an_outage_stays(found, clock):
    # Guards against dropping a replica whose entry only lapsed.
    found.note_store_lost()
    found.note_store_regained()
    found.replace_all([])
    clock.now_s += 1.0
    found.apply(make_change())
    clock.now_s += 10.0
    assert ready(found) == ['r1']


def test_leaving_replica_does_not_lapse(found, clock):
    # Guards against work for a replica that left during an outage.
    found.apply(make_change(state=LEAVING))
    found.note_store_lost()
    found.note_store_regained()
    found.apply(deployment.ReplicaChange('r1', None))
    assert found.get('r1') is None


def test_all_entries_read_again_remove_the_others(found):
    # Guards against a replica that stays after the history was dropped.
    found.replace_all([make_change(replica_id='r2')])
    assert ready(found) == ['r2']


def test_confirmed_version_survives_an_older_entry(found):
    # Guards against a version that falls back, as entries lag.
    found.confirm_version('r1', job_builders.MODEL, 4)
    found.apply(make_change(versions={job_builders.MODEL: 2}))
    assert found.get('r1').versions[job_builders.MODEL] == 4


def test_restart_under_the_same_id_forgets_versions(found):
    # Guards against belief in a version that the new process does not hold.
    found.confirm_version('r1', job_builders.MODEL, 4)
    found.apply(make_change(versions={job_builders.MODEL: 2}, started_ms=9))
    assert found.get('r1').versions[job_builders.MODEL] == 2


def test_late_entry_of_an_earlier_start_is_ignored(found):
    # Guards against an old entry that is read after a newer one.
    found.apply(make_change(address='10.0.0.9:80', started_ms=9))
    found.apply(make_change(started_ms=1))
    assert found.get('r1').address == '10.0.0.9:80'
