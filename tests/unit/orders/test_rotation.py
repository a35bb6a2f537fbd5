"""Choice of the replicas that load new versions."""

from lentildeal._internal.orders import rotation

REPLICAS = ('r0', 'r1', 'r2', 'r3', 'r4', 'r5')


class Fleet:
    """Replicas that carry out planned loads immediately."""

    def __init__(self, models, replicas=REPLICAS):
        self.models = models
        self.versions = {r: {m: 1 for m in models} for r in replicas}
        self.avoided = set()
        self.loads = 0

    def make_states(self):
        return [
            rotation.ReplicaLoadState(r, v, is_avoided=r in self.avoided)
            for r, v in self.versions.items()
        ]

    def load_all(self, announced):
        """Carries out plans until no loads are left."""
        for _ in range(50):
            planned = rotation.plan(
                announced, len(self.models), self.make_states()
            )
            if not planned:
                return
            for load in planned:
                self.loads += 1
                self.versions[load.replica_id][load.model] = load.version
        raise AssertionError('the plan never becomes empty')

    def list_current(self, model, version):
        return {r for r, v in self.versions.items() if v[model] >= version}


def test_each_version_takes_two_loads():
    # Three trainers announce versions in turn. Guards against more than two
    # loads on six replicas for each version.
    fleet = Fleet(('a', 'b', 'c'))
    for version in range(2, 12):
        for model in fleet.models:
            announced = {m: version for m in fleet.models if m <= model}
            before = {m: version - 1 for m in fleet.models if m > model}
            fleet.load_all(
                {**announced, **{m: v for m, v in before.items() if v > 1}}
            )
    assert fleet.loads == 10 * 3 * 2


def test_replicas_with_previous_version_continue_to_serve():
    # A step accepts the previous version while the new one is loaded. Guards
    # against too few replicas with either version.
    fleet = Fleet(('a', 'b', 'c'))
    for version in range(2, 12):
        fleet.load_all({m: version for m in fleet.models})
        for model in fleet.models:
            assert len(fleet.list_current(model, version)) == 2
            assert len(fleet.list_current(model, version - 1)) >= 4


def test_lost_replica_is_replaced():
    # Guards against a missing version after a replica that loaded it crashes.
    fleet = Fleet(('a', 'b', 'c'))
    fleet.load_all({'a': 2})
    lost = sorted(fleet.list_current('a', 2))[0]
    del fleet.versions[lost]
    fleet.load_all({'a': 2})
    assert len(fleet.list_current('a', 2)) >= 1
    fleet.load_all({'a': 3})
    assert len(fleet.list_current('a', 2)) >= 2


def test_avoided_replica_is_ordered_last():
    # Guards against orders to a replica that does not respond to them.
    fleet = Fleet(('a',), ('r0', 'r1'))
    fleet.avoided = {'r0'}
    first = rotation.plan({'a': 2}, 2, fleet.make_states())
    assert [load.replica_id for load in first] == ['r1']


def test_concurrent_loads_are_bounded():
    # All trainers announce versions at the same time. Guards against more than
    # two concurrent loads on six replicas, which slow each other down.
    fleet = Fleet(('a', 'b', 'c'))
    planned = rotation.plan({m: 2 for m in 'abc'}, 3, fleet.make_states())
    assert len(planned) == 2
    busy = [
        rotation.ReplicaLoadState(
            s.replica_id, s.versions, ('a', 2) if n < 2 else None
        )
        for n, s in enumerate(fleet.make_states())
    ]
    assert not rotation.plan({m: 2 for m in 'abc'}, 3, busy)


def test_next_load_begins_before_the_last_one_is_confirmed():
    # After an outage, all trainers announce versions again. Guards against
    # idle time between loads: confirming a load of 0.9 s takes 1.2 s, and only
    # two replicas load at a time.
    fleet = Fleet(('a', 'b', 'c'))
    unconfirmed = [
        rotation.ReplicaLoadState(
            s.replica_id,
            s.versions,
            ('a', 2) if n < 2 else None,
            is_load_over=n < 2,
        )
        for n, s in enumerate(fleet.make_states())
    ]
    planned = rotation.plan({m: 2 for m in 'abc'}, 3, unconfirmed)
    assert len(planned) == 2
    assert not {load.replica_id for load in planned} & {'r0', 'r1'}


def test_load_counts_as_over_a_report_lag_before_its_confirmation():
    # Guards against too many concurrent loads while the duration of a load is
    # unknown.
    duration = rotation.LoadDuration()
    assert not duration.is_over(60.0)
    for _ in range(20):
        duration.record_confirmed(1.2)
    assert not duration.is_over(0.95)
    assert duration.is_over(1.05)


def test_estimate_follows_slower_loads():
    # Loads slow each other down, so that each takes twice as long.
    duration = rotation.LoadDuration()
    duration.record_confirmed(1.2)
    for _ in range(10):
        duration.record_confirmed(2.2)
    assert not duration.is_over(1.8)


def test_replica_loads_one_version_at_a_time():
    # Guards against a second order while one is in progress.
    fleet = Fleet(('a', 'b'), ('r0', 'r1', 'r2', 'r3', 'r4'))
    planned = rotation.plan({'a': 2, 'b': 2}, 2, fleet.make_states())
    replicas = [load.replica_id for load in planned]
    assert len(replicas) == len(set(replicas))


def test_nothing_is_planned_without_replicas():
    # Guards against a division by zero while no replica is available.
    assert rotation.plan({'a': 2}, 1, []) == []
