"""Admission of live calls, each test named for the load that it answers."""

import math

import pytest

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.models import outcomes
from lentildeal._internal.routing import admission
from lentildeal._internal.routing import fair_shares
from tests.lib import admission_world

# Calls that four replicas of six slots can do in a second.
CAPACITY = 685.0
# The users' bounds: part of the average service that counts as starved, and
# how much better a less urgent kind may be served.
STARVED = 0.25
INVERSION = 0.05
# Calls may end late because replicas vary; most may not.
MAX_LATE = 0.01
DAEMONS = pytest.mark.parametrize('daemons', [3, 12, 137])

Source = admission_world.Source


def run_world(sources, until_s=5.0, **options):
    world = admission_world.AdmissionWorld(sources, **options)
    return world.run(until_s)


def check_answers(world):
    """Checks what holds under any load of 4 s above the capacity."""
    counts = world.counts['all']
    assert counts['served'] >= 0.85 * CAPACITY * 4
    assert counts['late'] <= MAX_LATE * counts['offered']
    assert counts['needless'] <= 0.01 * counts['offered']


class Clock:
    """A clock that tests move."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


def make_admission(now, ranks=(0,), slots=24):
    found = admission.ServiceAdmission(now, lambda: 0.5)
    found.set_ranks(ranks)
    found.set_slots(slots)
    found.record_run(0.035)
    return found


def make_request(now, number, account='a', priority=0, time_s=0.8):
    call = fair_shares.Call(number, account, priority, 0.035)
    return admission.Request(call, now() + time_s)


def report(found, running, waiting, replica_id='r1'):
    load = platform_base.ReplicaLoad(running, waiting, 6)
    found.record_report(replica_id, load)


def start_limit(found, now, starts=10):
    """Starts calls and reports a queue that is too long."""
    for number in range(starts):
        found.ask(make_request(now, -number))
        found.record_end()
    report(found, 6, 20)


@DAEMONS
def test_one_account_floods(daemons):
    # Guards against calls in the order of their arrival: an account with ten
    # times the calls of each other one would take the others' share.
    sources = [Source(f'a{n}', 45) for n in range(10)]
    world = run_world([*sources, Source('flood', 450)], daemons=daemons)
    check_answers(world)
    others = [world.share(f'a{n}') for n in range(10)]
    assert min(others) > world.share('all')
    assert world.share('flood') > STARVED * world.share('all')


def test_account_that_floods_without_end_leaves_the_others_their_calls():
    # Guards against floors that an account raises by sending more.
    sources = [Source(f'a{n}', 20) for n in range(10)]
    world = run_world([*sources, Source('flood', 3000)], daemons=12)
    assert min(world.share(f'a{n}') for n in range(10)) > 0.8


@DAEMONS
def test_all_come_at_once(daemons):
    # Guards against a burst that only the clients' second try serves, and
    # against one that fills the queues until its calls are late.
    world = run_world(
        [Source(f'a{n}', 0, burst=20, from_s=0.5) for n in range(20)],
        daemons=daemons,
    )
    assert world.share('all') > 0.6
    assert world.counts['all']['late'] <= MAX_LATE * 400
    shares = [world.share(f'a{n}') for n in range(20)]
    assert min(shares) > STARVED * world.share('all')


@DAEMONS
def test_service_loses_half_of_its_replicas(daemons):
    # Guards against calls that wait for a capacity that is gone.
    world = admission_world.AdmissionWorld(
        [Source(f'a{n}', 60) for n in range(10)], daemons=daemons
    )
    world.after(1.0, world.lose_replicas, 2)
    world.run(5.0)
    counts = world.counts['all']
    assert counts['late'] <= 2 * MAX_LATE * counts['offered']
    assert counts['served'] > 0.8 * CAPACITY * (0.9 + 0.5 * 3)


def test_waiting_calls_are_judged_again_when_replicas_are_lost():
    # Guards against clients that learn at their deadline what was known
    # before: of the calls that still fit, none may be refused.
    now = Clock()
    found = make_admission(now)
    start_limit(found, now)
    decisions = [found.ask(make_request(now, n)) for n in range(1, 200)]
    waiting = found.waiting_count
    assert waiting and decisions[-1].action is admission.Action.REFUSE
    assert found.refuse_excess() == []
    assert found.set_slots(12)
    refused = found.refuse_excess()
    assert 0.4 * waiting < len(refused) < 0.6 * waiting
    assert {d.action for _, d in refused} == {admission.Action.REFUSE}
    assert not found.set_slots(12)


def test_clients_return_together():
    # Guards against clients that were refused together and return together,
    # and against an account that floods and delays the returns of others.
    now = Clock()
    found = make_admission(now)
    start_limit(found, now)
    flood = [found.ask(make_request(now, n, 'flood')) for n in range(200)]
    times_s = [
        d.retry_after_s for d in flood if d.action is admission.Action.REFUSE
    ]
    assert len(set(times_s[:50])) == 50 and times_s[:50] == sorted(
        times_s[:50]
    )
    assert times_s[49] > 10 * times_s[0]
    late = found.ask(make_request(now, 300, 'other', time_s=0.01))
    assert late.cause is outcomes.Cause.DEADLINE
    assert late.retry_after_s < 0.2 * times_s[49]


def test_refusal_names_the_share_of_its_account_as_the_cause():
    now = Clock()
    found = make_admission(now)
    start_limit(found, now)
    last = [found.ask(make_request(now, n)) for n in range(100)][-1]
    assert last.cause is outcomes.Cause.ACCOUNT_SHARE


@DAEMONS
def test_88_accounts_of_very_unequal_size(daemons):
    # Guards against equal shares without a floor: the largest account would
    # be served a tenth as often as the small ones.
    sizes = [1500.0 / (n + 1) for n in range(88)]
    scale = 2 * CAPACITY / sum(sizes)
    sources = [Source(f'a{n}', scale * s) for n, s in enumerate(sizes)]
    world = run_world(sources, daemons=daemons)
    check_answers(world)
    shares = [world.share(f'a{n}') for n in range(88)]
    assert min(shares) > STARVED * world.share('all')
    # Ten small accounts are served more often than the largest one.
    assert sum(shares[-10:]) / 10 > shares[0]


@DAEMONS
@pytest.mark.parametrize('urgent, other', [(450, 450), (1200, 200)])
def test_less_urgent_kind_beside_a_more_urgent_one(daemons, urgent, other):
    # Guards against an order by arrival, and against a strict one that never
    # serves the less urgent kind.
    sources = [Source('u', urgent, 0), Source('o', other, 1)]
    world = run_world(sources, daemons=daemons)
    check_answers(world)
    assert world.share(0) > world.share(1) - INVERSION
    assert world.share(1) > STARVED * world.share('all')
    if urgent < CAPACITY:
        assert world.share(0) > world.share(1) + 0.15


@DAEMONS
def test_one_account_floods_replicas_with_short_queues(daemons):
    # Guards against a bound on queues that short ones never reach, so that no
    # limit is in force and the replicas refuse whoever comes.
    sources = [Source(f'a{n}', 45) for n in range(10)]
    world = run_world(
        [*sources, Source('flood', 450)], daemons=daemons, queue=6
    )
    check_answers(world)
    others = [world.share(f'a{n}') for n in range(10)]
    assert sum(others) / 10 > world.share('flood') + 0.05


@DAEMONS
@pytest.mark.parametrize('seed', [1, 4])
def test_kinds_that_arrive_at_different_daemons(daemons, seed):
    # Guards against an order that holds only within a daemon, and against a
    # low first limit that an urgent rank keeps while others fill the queues.
    half = daemons // 2
    sources = [
        Source('u', 500, 0, daemons=slice(half)),
        Source('o', 700, 1, daemons=slice(half, None)),
    ]
    world = run_world(sources, daemons=daemons, seed=seed)
    check_answers(world)
    assert world.share(0) > world.share(1) - INVERSION


@DAEMONS
def test_quiet_service_is_never_refused(daemons):
    sources = [Source(f'a{n}', 3) for n in range(40)]
    world = run_world(sources, until_s=7.0, daemons=daemons)
    assert world.counts['all']['refusals'] == 0
    assert world.share('all') == 1.0


@DAEMONS
def test_quiet_time_after_a_flood(daemons):
    # Guards against limits and records of use that outlast their cause.
    sources = [
        Source('flood', 2000, until_s=1.0),
        *[Source(f'a{n}', 10, from_s=2.0) for n in range(10)],
        Source('flood', 20, from_s=2.0),
    ]
    world = admission_world.AdmissionWorld(sources, daemons=daemons)
    world.run(2.0)
    before = world.counts['all']['refusals']
    world.run(6.0)
    assert before > 0
    assert world.counts['all']['refusals'] == before


def test_ignorance_never_refuses():
    # Guards against refusals for lack of reports, or because of old ones.
    now = Clock()
    found = make_admission(now)
    for number in range(20):
        hopeless = make_request(now, number, time_s=0.001)
        assert found.ask(hopeless).action is admission.Action.PLACE
        found.record_end()
    report(found, 6, 20)
    last = [found.ask(make_request(now, n)) for n in range(20, 200)][-1]
    assert last.action is admission.Action.REFUSE
    found.take_due()
    # Reports are valid for a second at most.
    now.now_s += 1.01
    found.take_due()
    for number in range(201, 210):
        hopeless = make_request(now, number, time_s=0.001)
        assert found.ask(hopeless).action is admission.Action.PLACE
        found.record_end()


def test_report_of_free_slots_places_as_many_waiting_calls():
    # Guards against refusals while under half of the slots are taken.
    now = Clock()
    found = make_admission(now)
    start_limit(found, now)
    for number in range(1, 10):
        found.ask(make_request(now, number))
    now.now_s += 0.01
    found.take_due()
    before = found.waiting_count
    report(found, 1, 0)
    placed = found.take_due()
    assert len(placed) >= 2 and found.waiting_count == before - len(placed)


def test_call_that_waits_has_time_left_to_run():
    # Guards against attempts that begin too late to end in time, and against
    # calls that wait until their deadline.
    now = Clock()
    found = make_admission(now)
    start_limit(found, now, starts=1)
    found.ask(make_request(now, 0))
    assert found.ask(make_request(now, 1)).action is admission.Action.WAIT
    while found.waiting_count:
        wait_s = found.find_wait_s()
        assert math.isfinite(wait_s)
        now.now_s += max(wait_s, 0.001)
        taken = found.take_due()
    assert [call_id for call_id, _ in taken] == [1]
    assert now.now_s <= 100.8 - 0.035


def test_client_that_leaves_while_waiting_frees_its_place():
    now = Clock()
    found = make_admission(now)
    start_limit(found, now)
    for number in range(1, 6):
        found.ask(make_request(now, number))
    assert found.waiting_count
    left = found.waiting_count
    found.forget(5)
    found.forget(5)
    assert found.waiting_count == left - 1
    now.now_s += 0.5
    assert 5 not in [call_id for call_id, _ in found.take_due()]


def test_calls_of_this_daemon_alone_fill_the_queues():
    # Guards against a daemon that sends a burst of any size at once because no
    # report has told it of the queues yet.
    now = Clock()
    found = make_admission(now, slots=4)
    actions = [
        found.ask(make_request(now, n, time_s=9.0)).action for n in range(40)
    ]
    assert actions.count(admission.Action.PLACE) == 12
    found.record_end()
    assert len(found.take_due()) == 1
