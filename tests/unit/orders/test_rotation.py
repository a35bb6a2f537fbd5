"""Which replica loads which version, by patterns of versions and loss."""

from lentildeal._internal.orders import rotation

REPLICAS = ('r0', 'r1', 'r2', 'r3', 'r4', 'r5')


class Fleet:
    """Replicas that carry out what is planned, in turns."""

    def __init__(self, models, replicas=REPLICAS):
        self.models = models
        self.versions = {r: {m: 1 for m in models} for r in replicas}
        self.avoided = set()
        self.loads = 0

    def holdings(self):
        return [
            rotation.Holding(r, v, is_avoided=r in self.avoided)
            for r, v in self.versions.items()
        ]

    def settle(self, named):
        """Carries plans out until nothing is left to do."""
        for _ in range(50):
            planned = rotation.plan(named, len(self.models), self.holdings())
            if not planned:
                return
            for load in planned:
                self.loads += 1
                self.versions[load.replica_id][load.model] = load.version
        raise AssertionError('the plan does not settle')

    def usable(self, model, version):
        return {r for r, v in self.versions.items() if v[model] >= version}


def test_each_version_costs_no_more_than_the_free_loads():
    # Pattern: three trainers name versions in turn. Two loads of six
    # replicas are free for each version.
    fleet = Fleet(('a', 'b', 'c'))
    for version in range(2, 12):
        for model in fleet.models:
            named = {m: version for m in fleet.models if m <= model}
            before = {m: version - 1 for m in fleet.models if m > model}
            fleet.settle(
                {**named, **{m: v for m, v in before.items() if v > 1}}
            )
    assert fleet.loads == 10 * 3 * 2


def test_replicas_of_the_version_before_go_on_serving():
    # Pattern: a step accepts the version before its own while the new one
    # is loaded.
    fleet = Fleet(('a', 'b', 'c'))
    for version in range(2, 12):
        fleet.settle({m: version for m in fleet.models})
        for model in fleet.models:
            assert len(fleet.usable(model, version)) == 2
            assert len(fleet.usable(model, version - 1)) >= 4


def test_lost_replica_is_replaced():
    # Pattern: a replica that holds the newest version dies.
    fleet = Fleet(('a', 'b', 'c'))
    fleet.settle({'a': 2})
    lost = sorted(fleet.usable('a', 2))[0]
    del fleet.versions[lost]
    fleet.settle({'a': 2})
    assert len(fleet.usable('a', 2)) >= 1
    fleet.settle({'a': 3})
    assert len(fleet.usable('a', 2)) >= 2


def test_avoided_replica_is_ordered_last():
    # Pattern: a replica does not answer orders.
    fleet = Fleet(('a',), ('r0', 'r1'))
    fleet.avoided = {'r0'}
    first = rotation.plan({'a': 2}, 2, fleet.holdings())
    assert [load.replica_id for load in first] == ['r1']


def test_loads_at_once_are_bounded():
    # Pattern: all trainers name versions at the same moment; more than two
    # loads of six replicas slow each other.
    fleet = Fleet(('a', 'b', 'c'))
    planned = rotation.plan({m: 2 for m in 'abc'}, 3, fleet.holdings())
    assert len(planned) == 2
    busy = [
        rotation.Holding(h.replica_id, h.versions, ('a', 2) if n < 2 else None)
        for n, h in enumerate(fleet.holdings())
    ]
    assert not rotation.plan({m: 2 for m in 'abc'}, 3, busy)


def test_next_load_begins_before_the_last_one_is_confirmed():
    # Pattern: after an outage all trainers name versions again. Confirming a
    # load of 0.9 s takes 1.2 s, and two loads at a time bound the steps.
    fleet = Fleet(('a', 'b', 'c'))
    unconfirmed = [
        rotation.Holding(
            h.replica_id,
            h.versions,
            ('a', 2) if n < 2 else None,
            is_load_over=n < 2,
        )
        for n, h in enumerate(fleet.holdings())
    ]
    planned = rotation.plan({m: 2 for m in 'abc'}, 3, unconfirmed)
    assert len(planned) == 2
    assert not {load.replica_id for load in planned} & {'r0', 'r1'}


def test_load_counts_as_over_a_report_lag_before_its_confirmation():
    # Guards against more loads at once than the replicas bear, as long as
    # the time of a load is not known.
    time = rotation.LoadTime()
    assert not time.is_over(60.0)
    for _ in range(20):
        time.note_confirmed(1.2)
    assert not time.is_over(0.95)
    assert time.is_over(1.05)


def test_slower_loads_are_waited_for():
    # Pattern: loads slow each other, so that each takes twice as long.
    time = rotation.LoadTime()
    time.note_confirmed(1.2)
    for _ in range(10):
        time.note_confirmed(2.2)
    assert not time.is_over(1.8)


def test_replica_loads_one_version_at_a_time():
    # Guards against a second order while one is in progress.
    fleet = Fleet(('a', 'b'), ('r0', 'r1', 'r2', 'r3', 'r4'))
    planned = rotation.plan({'a': 2, 'b': 2}, 2, fleet.holdings())
    replicas = [load.replica_id for load in planned]
    assert len(replicas) == len(set(replicas))


def test_nothing_is_planned_without_replicas():
    # Guards against a division by zero while all replicas are away.
    assert rotation.plan({'a': 2}, 1, []) == []
