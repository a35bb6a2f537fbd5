"""Membership of real daemons: kill, pause, partition, planned stop."""

import signal

import pytest

from tests.lib import federation as federation_module
from tests.lib import forwarder as forwarder_module
from tests.lib import processes

# A tenth of the default intervals, so that the tests take seconds; still long
# enough for a busy machine.
TIMING = {
    'heartbeat_ms': 100,
    'suspect_ms': 800,
    'dead_ms': 2000,
    'instances_poll_ms': 200,
    'leave_ms': 3000,
}
COUNTS = {'a': 3, 'b': 2}


class Members(federation_module.Federation):
    """Daemons whose peer connections run through a forwarder."""

    def __init__(self):
        super().__init__()
        self.network = forwarder_module.Forwarder()
        for domain, count in COUNTS.items():
            for number in range(1, count + 1):
                self.add_member(f'{domain}{number}')
        self.wait('all', lambda: self.sees(self.names, self.names, 'live'))

    @property
    def names(self):
        """Names of all daemons."""
        return list(self.daemons)

    def add_member(self, name):
        """Starts a daemon behind the forwarder."""
        bind = processes.find_free_port()
        daemon = self.add_daemon(
            name,
            name[0],
            timing=TIMING,
            peer_bind_address=f'127.0.0.1:{bind}',
        )
        self.network.add(name, daemon.peer_port, bind)
        return daemon

    def status(self, name):
        """Reads the status of one daemon."""
        return self.daemons[name].call('GET', '/v1/status')[1]

    def view(self, name):
        """Reads the members that one daemon sees, by name."""
        try:
            rows = self.status(name)['members']
        except OSError:
            return {}
        return {row['instance']: row for row in rows}

    def sees(self, observers, members, state):
        """Whether all observers see all members in a state."""
        return all(
            view.get(name, {}).get('state') == state
            for view in map(self.view, observers)
            for name in members
        )

    def wait(self, description, condition):
        """Waits for a condition."""
        processes.wait_for(condition, description)

    def close(self):
        """See the base class."""
        self.network.close()
        super().close()


@pytest.fixture(name='members')
def start_members():
    """Starts five daemons in two failure domains that see each other."""
    with Members() as members:
        yield members


def test_killed_member_dies_and_returns_with_a_new_incarnation(members):
    """Guards against a restarted instance taken for its dead predecessor."""
    old = members.view('b1')['a2']['incarnation']
    members.daemons['a2'].kill()
    others = ['a1', 'a3', 'b1', 'b2']
    members.wait('dead', lambda: members.sees(others, ['a2'], 'dead'))
    members.add_member('a2')
    members.wait('back', lambda: members.sees(others, ['a2'], 'live'))
    assert members.view('b1')['a2']['incarnation'] != old


def test_paused_member_declares_nobody_dead_when_it_wakes(members):
    """Guards against a resumed daemon that declares the others dead.

    Its clock has run on, so it would take over all replicas.
    """
    members.daemons['a2'].signal(signal.SIGSTOP)
    others = ['a1', 'a3', 'b1', 'b2']
    members.wait('dead', lambda: members.sees(others, ['a2'], 'dead'))
    members.daemons['a2'].signal(signal.SIGCONT)
    members.wait('back', lambda: members.sees(others, ['a2'], 'live'))
    members.wait('fresh', lambda: members.status('a2')['is_view_fresh'])
    assert members.sees(['a2'], members.names, 'live')
    assert members.status('a2')['cut_off_domains'] == []
    metrics = members.daemons['a2'].call('GET', '/metrics')[1].decode()
    assert 'lentildeal_pauses_total 1.0' in metrics


def test_partition_cuts_domains_off_until_it_heals(members):
    """Each side keeps its members and reports the other domain as cut off."""
    side_a, side_b = ['a1', 'a2', 'a3'], ['b1', 'b2']
    members.network.cut(side_a, side_b)
    members.wait(
        'both cut off',
        lambda: (
            all(members.status(n)['cut_off_domains'] for n in side_a)
            and all(members.status(n)['cut_off_domains'] for n in side_b)
        ),
    )
    assert members.status('a1')['cut_off_domains'] == ['b']
    assert members.sees(side_a, members.names, 'live')
    members.network.heal()
    members.wait(
        'healed',
        lambda: (
            not any(
                members.status(n)['cut_off_domains'] for n in members.names
            )
        ),
    )
    members.wait('all', lambda: members.sees(members.names, side_b, 'live'))


def test_cut_inside_a_domain_gives_two_views_that_converge(members):
    """Two daemons with different views converge without intervention."""
    members.network.cut(['a1'], ['a2'])
    members.wait('cut', lambda: members.sees(['a1'], ['a2'], 'dead'))
    members.wait('cut', lambda: members.sees(['a2'], ['a1'], 'dead'))
    assert members.sees(['a3', 'b1', 'b2'], ['a1', 'a2'], 'live')
    members.network.heal()
    members.wait(
        'healed', lambda: members.sees(['a1', 'a2'], ['a1', 'a2'], 'live')
    )


def test_leaving_is_known_everywhere_before_new_work_is_refused(members):
    """Guards against work sent to a leaving member, refused after 3 s."""
    others = ['a1', 'a3', 'b1', 'b2']
    leaver = members.daemons['a2']
    assert leaver.call('POST', '/v1/drain')[0] == 202
    members.wait('leaving', lambda: members.sees(others, ['a2'], 'leaving'))
    # It exits 3 s (leave_ms) after the announcement at the earliest.
    assert leaver.exit_status is None
    assert leaver.call('GET', '/readyz')[0] == 503
    assert leaver.wait() == 0
    members.wait('dead', lambda: members.sees(others, ['a2'], 'dead'))


def test_members_stay_when_the_instance_list_is_empty_or_down(members):
    """Heartbeats don't depend on the instance list, which lags and fails."""
    for name in members.names:
        members.instances.call('DELETE', f'/instances/{name}')
    members.wait(
        'polled', lambda: not members.instances.read_journal()['instances']
    )
    assert members.sees(members.names, members.names, 'live')
    members.instances.kill()
    members.daemons['a3'].kill()
    others = ['a1', 'a2', 'b1', 'b2']
    members.wait('dead', lambda: members.sees(others, ['a3'], 'dead'))
    assert members.sees(others, others, 'live')


def test_report_names_the_daemons_that_do_not_answer(members):
    """Guards against a partial report that looks like a complete one."""
    stopped = ['a2', 'b1', 'b2']
    for name in stopped:
        members.daemons[name].signal(signal.SIGSTOP)
    status, response = members.daemons['a1'].call(
        'GET', '/v1/status?scope=federation'
    )
    assert status == 200
    assert sorted(s['instance'] for s in response['answered']) == ['a1', 'a3']
    assert [u['instance'] for u in response['unreached']] == stopped
    _, report = members.daemons['a1'].call(
        'GET', '/v1/reports/burn?scope=federation'
    )
    assert report['answered'] == ['a1', 'a3']
    assert [u['instance'] for u in report['unreached']] == stopped
