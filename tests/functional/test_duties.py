"""Three daemons of which one reports usage, and faults of the holder."""

import contextlib
import signal
import time

import pytest

from soak import duties
from tests.lib import platform_world
from tests.lib import processes

# Short windows; the lease time is that of the platform.
WINDOW_S = 1.0
DUE_S = 10.0


class DutyWorld(platform_world.World):
    """A deployment on a platform that expects reports and orders."""

    engine_section = {
        'Scaling': {
            'Min': 1,
            'Max': 3,
            'BootS': 1.0,
            'SpotPrice': 0.2,
            'ZonePrices': {'d1': 1.0, 'd2': 0.5},
        }
    }

    def __init__(self, launcher, daemons=3):
        self.platform = launcher.start_stand_in('platform.duties')
        sections = {
            'store': {'requires_fence': False},
            'duties': {
                'address': self.platform.address,
                'window_s': WINDOW_S,
                'due_s': DUE_S,
            },
        }
        super().__init__(launcher, daemons, 1, sections=sections)

    def list_reports(self):
        """Calls with reports, in order."""
        return [
            call
            for call in self.platform.read_journal()['calls']
            if call['path'] == '/usage'
        ]

    def list_orders(self):
        """Calls with orders, in order."""
        return [
            call
            for call in self.platform.read_journal()['calls']
            if call['path'] == '/scale'
        ]

    def write_replica_in(self, failure_domain, replica_id):
        """Writes the entry of a replica that the platform has started."""
        models = [{'Name': platform_world.MODEL, 'Version': 1}]
        entry = platform_world.make_entry(
            'engines', self.engines[0].address, models
        )
        self.write(
            'keyed.servers', replica_id, {**entry, 'Zone': failure_domain}
        )

    def find_holder(self):
        """The daemon that sent the last report."""
        reports = self.list_reports()
        if not reports:
            return None
        name = reports[-1]['holder']
        return next(d for d in self.daemons if d.name == name)


@pytest.fixture
def world():
    with processes.Launcher() as launcher:
        yield DutyWorld(launcher)


def wait_for_reports_of_another(world, holder):
    processes.wait_for(
        lambda: world.list_reports()[-1]['holder'] != holder.name,
        'reports of another holder',
    )
    # The holder before it may call again if it does not notice.
    time.sleep(3.0)


def test_one_daemon_reports_every_window(world):
    """Guards against missing windows and against two daemons that report."""
    processes.wait_for(lambda: len(world.list_reports()) > 4, 'reports')
    reports = world.list_reports()
    assert len({call['holder'] for call in reports}) == 1
    assert not duties.find_report_violations(reports)
    windows = [call['body']['WindowId'] for call in reports]
    assert len(windows) == len(set(windows))


@pytest.mark.parametrize('fault', ['delay_ms', 'lose_answers'])
def test_holder_killed_around_its_call(world, fault):
    """Guards against a report that is missing or made anew after a kill.

    With a delayed platform the holder is killed between the record in the log
    and the effect of the call, with lost answers between call and answer.
    """
    holder = processes.wait_for(world.find_holder, 'a holder')
    world.platform.set_faults(**{fault: 700 if fault == 'delay_ms' else 1000})
    count = len(holder.read_events('usage_window_closed'))
    processes.wait_for(
        lambda: len(holder.read_events('usage_window_closed')) > count,
        'a closed window',
    )
    if fault == 'lose_answers':
        calls = len(world.list_reports())
        processes.wait_for(lambda: len(world.list_reports()) > calls, 'a call')
    holder.kill()
    world.platform.set_faults(delay_ms=0, lose_answers=0)
    wait_for_reports_of_another(world, holder)
    assert not duties.find_report_violations(world.list_reports())


def test_holder_frozen_over_a_hand_over(world):
    """Guards against a holder that goes on with its duty after a freeze."""
    holder = processes.wait_for(world.find_holder, 'a holder')
    with contextlib.ExitStack() as stack:
        holder.signal(signal.SIGSTOP)
        stack.callback(holder.signal, signal.SIGCONT)
        wait_for_reports_of_another(world, holder)
    time.sleep(3.0)
    assert not duties.find_report_violations(world.list_reports())
    assert world.list_reports()[-1]['holder'] != holder.name


def test_failure_domain_without_replicas_gets_the_fewest(world):
    """Guards against orders that are lost with their holder, or repeated."""
    processes.wait_for(world.list_orders, 'an order')
    world.write_replica_in('d2', 'ordered')
    time.sleep(3.0)
    orders = world.list_orders()
    assert [call['body'] for call in orders] == [
        {'Service': 'engines', 'Zone': 'd2', 'BatchGroups': 1}
    ]
    holder = world.find_holder()
    assert holder.name == orders[0]['holder']
    holder.kill()
    world.write('keyed.servers', 'ordered', None)
    processes.wait_for(lambda: len(world.list_orders()) > 1, 'another order')
    first, second = world.list_orders()[:2]
    assert second['body']['Zone'] == 'd2'
    assert second['token'] > first['token']
    assert second['at_s'] - first['at_s'] >= 3.0
