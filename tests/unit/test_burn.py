"""Tests of error budgets, burn rates and causes with a fake clock."""

import json

import pytest

from lentildeal._internal.models import outcomes
from lentildeal._internal.models import text as text_module
from lentildeal._internal.network import wire
from lentildeal._internal.reports import budgets
from lentildeal._internal.reports import burn
from lentildeal._internal.reports import causes

TEXT = text_module.FederationText(
    format=1,
    federation='f',
    clubs={'x': text_module.Club(), 'y': text_module.Club()},
    targets={},
    services={
        's': text_module.Service(
            club='x',
            target='t',
            objective=text_module.ServiceObjective(on_time=0.99),
        )
    },
    trainers={
        'r': text_module.Trainer(
            club='y',
            model='m',
            objective=text_module.TrainerObjective(idle_share=0.1),
        )
    },
)


class Daemon:
    """A recorder with its own clock."""

    def __init__(self):
        self.now_s = 5000.0
        self.recorder = burn.Recorder(lambda: self.now_s)

    def call(self, good, bad=0, cause=None):
        """Records calls of the service."""
        for number in range(good + bad):
            is_bad = number < bad
            self.recorder.record_call(
                's', not is_bad, 0.2, cause if is_bad else None
            )

    def state(self):
        """Returns the counts as another daemon receives them."""
        unpacker = wire.make_unpacker()
        state = self.recorder.make_state()
        unpacker.feed(
            wire.encode_frame(wire.Frame(wire.FrameKind.RESPONSE, 1, state))
        )
        return wire.to_frame(unpacker.unpack()).message


def describe(*daemons):
    """Returns the report over daemons as a client decodes it."""
    report = burn.describe(TEXT, [daemon.state() for daemon in daemons])
    return json.loads(json.dumps(report, allow_nan=False))


def test_burn_rate_is_bad_share_over_allowed_share():
    """Guards against rates that ignore the objective: false alerts."""
    daemon = Daemon()
    daemon.call(good=90, bad=10, cause=outcomes.Cause.DEADLINE)
    service = describe(daemon)['clubs']['x']['services']['s']
    assert service['on_time']['burn_rates']['5m'] == pytest.approx(10.0)
    assert service['on_time']['budget']['spent_share'] == pytest.approx(10.0)
    assert service['causes'] == [
        {
            'cause': 'deadline',
            'caused_by_club': None,
            'count': 10,
            'seconds': 2.0,
        }
    ]
    assert service['latency']['p50_ms'] == pytest.approx(200, rel=0.02)


def test_old_events_leave_the_short_window_first():
    """Guards against a short window that still burns after a burst."""
    daemon = Daemon()
    daemon.call(good=0, bad=20)
    daemon.now_s += 600
    daemon.call(good=20)
    burn_now = describe(daemon)['clubs']['x']['services']['s']['on_time']
    assert burn_now['burn_rates']['5m'] == 0.0
    assert burn_now['burn_rates']['1h'] == pytest.approx(50.0)
    burning = {p['short']: p['is_burning'] for p in burn_now['pairs']}
    assert burning == {'5m': False, '30m': True}
    daemon.now_s += 7 * 3600
    daemon.call(good=1)
    later = describe(daemon)['clubs']['x']['services']['s']['on_time']
    assert later['budget']['bad'] == 0


def test_daemons_are_summed_and_not_averaged():
    """Guards against few calls weighing as much as those of a busy daemon."""
    busy, idle = Daemon(), Daemon()
    busy.call(good=99)
    idle.call(good=0, bad=1)
    service = describe(busy, idle)['clubs']['x']['services']['s']
    assert service['on_time']['burn_rates']['5m'] == pytest.approx(1.0)
    assert service['latency']['count'] == 100


def test_idle_time_is_attributed_to_the_club_that_caused_it():
    """Guards against idle time without the club that caused it."""
    daemon = Daemon()
    daemon.recorder.record_step(
        'r', True, 100.0, 5.0, outcomes.Cause.CLUB_SHARE, 'x'
    )
    daemon.recorder.record_step(
        'r', False, 100.0, 35.0, outcomes.Cause.STRAGGLER
    )
    trainer = describe(daemon)['clubs']['y']['trainers']['r']
    assert trainer['idle']['burn_rates']['1h'] == pytest.approx(2.0)
    named = [(c['cause'], c['caused_by_club']) for c in trainer['causes']]
    assert named == [('straggler', None), ('club_share', 'x')]


def test_coverage_counts_recently_started_and_unreached_daemons():
    """Guards against reports that hide missing data."""
    rows = {
        row['window']: row
        for row in budgets.describe_coverage([150.0, 7200.0], unreached=2)
    }
    assert rows['5m']['covered_share'] == pytest.approx(450 / 1200)
    assert rows['1h']['shortest_covered_s'] == 150.0
    assert rows['6h']['longest_covered_s'] == 7200.0


def test_objective_without_events_or_text_has_no_rate():
    """Guards against a rate of 0, thus no errors, where data is missing."""
    daemon = Daemon()
    daemon.call(good=1)
    daemon.now_s += 600
    rates = describe(daemon)['clubs']['x']['services']['s']['on_time']
    assert rates['burn_rates']['5m'] is None
    assert burn.describe(None, [daemon.state()])['not_in_text'] == ['s']


def test_small_causes_are_summed_up():
    """Guards against a truncated list that omits the remaining causes."""
    table = causes.CauseTable()
    for number in range(causes.MAX_CAUSES + 3):
        table.add(f'c{number}', None, 1, float(number))
    rows = table.describe()
    assert rows[0]['cause'] == 'c7'
    assert rows[-1] == {
        'cause': causes.REST,
        'caused_by_club': None,
        'count': 3,
        'seconds': 3.0,
    }
