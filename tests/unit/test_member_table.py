"""Tests of member states and replica owners, with a manual clock."""

import dataclasses

import pytest

from lentildeal._internal.adapters import base
from lentildeal._internal.membership import rendezvous
from lentildeal._internal.membership import table as table_module
from lentildeal._internal.models import members
from lentildeal._internal.settings import settings

State = members.MemberState
TIMING = settings.Timing()


def make_member(instance, incarnation=1, **fields):
    """Member whose name starts with its failure domain."""
    return members.Member(
        instance, incarnation, instance[0], 'h:1', '127.0.0.1:1', **fields
    )


def make_listed(*instances):
    """Instance list."""
    return [
        base.ListedInstance(name, name[0], '127.0.0.1:1', 'h:1')
        for name in instances
    ]


class View:
    """Table of ``a1`` with a clock and members that can become silent."""

    def __init__(self, *others):
        self.now_s = 100.0
        self.table = table_module.MemberTable(
            make_member('a1'), TIMING, lambda: self.now_s
        )
        self.sending = {name: 1 for name in others}
        self.table.apply_instance_list(make_listed('a1', *others))
        for name in others:
            self.table.record_member(make_member(name))
        self.run(1.0)

    def run(self, seconds):
        """Advances the clock in heartbeat intervals."""
        for _ in range(round(seconds / 0.5)):
            self.now_s += 0.5
            self.table.tick()
            for name, incarnation in self.sending.items():
                self.table.record_heartbeat(name, incarnation)
        self.table.refresh()

    def report(self, reporter, *entries):
        """Records a roster with entries (instance, state)."""
        rows = [make_member(name, state=state) for name, state in entries]
        self.table.record_roster(reporter, rows, (), True)
        self.table.refresh()

    def state(self, instance):
        """State of a member."""
        return self.table.get(instance).state


def test_silent_member_becomes_suspect_and_then_dead():
    """A member that crashes must not keep its replicas."""
    view = View('a2', 'a3')
    del view.sending['a2']
    view.run(1.5)
    assert view.state('a2') is State.LIVE
    view.run(1.0)
    assert view.state('a2') is State.SUSPECT
    view.run(3.0)
    assert view.state('a2') is State.DEAD
    assert view.table.owner_candidates('a') == ['a1', 'a3']


def test_refused_connection_makes_suspect_until_next_heartbeat():
    """Waiting 2 s for a process known to have ended delays failover."""
    view = View('a2')
    view.table.mark_refused('a2')
    view.table.refresh()
    assert view.state('a2') is State.SUSPECT
    view.table.record_heartbeat('a2', 1)
    view.table.refresh()
    assert view.state('a2') is State.LIVE


@pytest.mark.parametrize('pause_s', [3.0, 60.0, 3600.0])
def test_paused_process_declares_no_member_dead_and_owns_nothing(pause_s):
    """After a pause all members look silent, and others own its replicas."""
    view = View('a2', 'b1')
    assert view.table.is_settled
    view.now_s += pause_s
    # A request may be served before the first tick after the pause.
    assert not view.table.is_settled
    view.table.tick()
    assert not view.table.is_settled
    assert view.state('a2') is State.LIVE
    assert not view.table.cut_off_domains
    view.run(1.0)
    assert view.table.is_settled


def test_resumed_process_waits_for_each_neighbour_or_its_timeout():
    """A view that is fresh too early would miss a member that has ended."""
    view = View('a2', 'a3')
    view.now_s += 30.0
    view.table.tick()
    del view.sending['a3']
    view.run(1.0)
    assert not view.table.is_settled
    view.run(2.0)
    assert view.table.is_settled
    assert view.state('a3') is State.SUSPECT


def test_new_incarnation_replaces_and_old_one_is_ignored():
    """A late heartbeat of the old process must not make it live again."""
    view = View('a2')
    view.table.record_member(make_member('a2', 2))
    view.table.record_member(make_member('a2', 1, state=State.LEAVING))
    view.table.refresh()
    assert view.table.get('a2').incarnation == 2
    assert view.state('a2') is State.LIVE
    assert view.table.record_heartbeat('a2', 1)
    assert not view.table.record_heartbeat('a2', 3)


def test_dead_member_of_the_same_incarnation_is_readmitted():
    """A member that was paused until declared dead must come back."""
    view = View('a2')
    del view.sending['a2']
    view.run(6.0)
    assert view.state('a2') is State.DEAD
    view.sending['a2'] = 1
    view.run(0.5)
    assert view.state('a2') is State.LIVE


def test_leaving_member_owns_nothing_and_stays_leaving():
    """Work given to a leaving member would have to move again."""
    view = View('a2')
    view.table.record_member(make_member('a2', state=State.LEAVING))
    view.run(1.0)
    assert view.state('a2') is State.LEAVING
    assert view.table.owner_candidates('a') == ['a1']
    del view.sending['a2']
    view.run(6.0)
    assert view.state('a2') is State.DEAD


def test_state_in_other_domain_comes_from_reporters():
    """Most members of other domains send no heartbeats to this daemon."""
    view = View('b1', 'b2')
    view.report('b1', ('b3', State.LIVE), ('b4', State.DEAD))
    view.report('b2', ('b3', State.DEAD), ('b4', State.DEAD))
    assert view.state('b3') is State.LIVE
    assert view.state('b4') is State.DEAD
    view.report('b2', ('b3', State.LEAVING))
    assert view.state('b3') is State.LEAVING


def test_silent_domain_is_cut_off_and_has_no_owner_here():
    """Both sides of a partition would own the same replicas."""
    view = View('a2', 'b1', 'b2')
    view.report('b1', ('b3', State.LIVE))
    view.sending = {'a2': 1}
    view.run(5.5)
    assert view.table.cut_off_domains == {'b'}
    assert view.state('b3') is State.LIVE
    assert view.table.owner_candidates('b') == []
    assert {m.instance for m in view.table.live()} == {'a1', 'a2'}
    view.sending['b2'] = 1
    view.run(0.5)
    assert not view.table.cut_off_domains


def test_domain_with_all_members_known_dead_is_owned_by_all():
    """Replicas of a domain without daemons would never get work."""
    view = View('a2', 'b1')
    view.report('b1', ('b2', State.DEAD))
    view.table.record_member(make_member('b1', state=State.LEAVING))
    view.sending = {'a2': 1}
    view.run(5.5)
    assert not view.table.cut_off_domains
    assert sorted(view.table.owner_candidates('b')) == ['a1', 'a2']


def test_listed_domain_without_heartbeats_counts_as_cut_off():
    """A daemon that starts during a partition must not own the other side."""
    view = View('a2')
    view.table.apply_instance_list(make_listed('a1', 'a2', 'b1'))
    view.table.refresh()
    assert view.table.owner_candidates('b') == []


@pytest.mark.parametrize('listed', [[], ['b9'], ['a2']])
def test_wrong_instance_list_removes_no_member(listed):
    """An empty or wrong list must not remove the members of a federation."""
    view = View('a2', 'a3')
    del view.sending['a3']
    view.run(table_module.FORGET_AFTER_S + 10)
    view.table.apply_instance_list(make_listed(*listed))
    view.table.refresh()
    assert view.state('a2') is State.LIVE
    assert view.state('a3') is State.DEAD


def test_member_that_was_dead_for_long_and_is_unlisted_is_forgotten():
    """Hundreds of replaced instances a day would fill the table."""
    view = View('a2', 'a3')
    del view.sending['a3']
    view.run(60)
    view.table.apply_instance_list(make_listed('a1', 'a2'))
    view.table.refresh()
    assert view.state('a3') is State.DEAD
    view.run(table_module.FORGET_AFTER_S)
    view.table.apply_instance_list(make_listed('a1', 'a2'))
    view.table.refresh()
    assert view.table.get('a3') is None


def test_start_without_instance_list_settles_after_a_while():
    """A daemon must be able to own replicas while the list is unavailable."""
    view = View()
    table = table_module.MemberTable(
        make_member('a1'), TIMING, lambda: view.now_s
    )
    view.table = table
    view.run(2.0)
    assert not table.is_settled
    view.run(table_module.SETTLE_WITHOUT_LIST_S)
    assert table.is_settled


def test_differing_views_choose_at_most_two_owners():
    """Views that differ in one member choose at most two owners."""
    names = [f'a{number}' for number in range(1, 9)]
    full = rendezvous.choose_owner('replica', names)
    without = rendezvous.choose_owner(
        'replica', [name for name in names if name != full]
    )
    assert without != full
    for name in names:
        view = [other for other in names if other != name]
        assert rendezvous.choose_owner('replica', view) in (full, without)


def test_each_daemon_gets_two_senders_of_another_domain():
    """A daemon without a sender would treat the domain as cut off."""
    senders = [f'b{number}' for number in range(22)]
    load = dict.fromkeys(senders, 0)
    for number in range(22):
        chosen = rendezvous.choose_senders(f'a{number}', senders)
        assert len(set(chosen)) == rendezvous.SENDERS_PER_DOMAIN
        for sender in chosen:
            load[sender] += 1
    assert max(load.values()) <= 8


def test_attachments_and_revision_do_not_change_the_incarnation():
    """A revision in a row must replace the previous one."""
    view = View('a2')
    newer = dataclasses.replace(make_member('a2'), revision=7)
    view.table.record_member(newer)
    view.table.refresh()
    assert view.table.get('a2').revision == 7
