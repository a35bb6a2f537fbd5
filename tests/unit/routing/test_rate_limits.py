"""Pacing of requests to a replica that limits them, without a network.

Each test names the pattern of load that it answers.
"""

import pytest

from lentildeal._internal.routing import rate_limits

REPLICA = 'r1'
WINDOW_S = 4.0
STEP_S = 0.01
BATCH = rate_limits.Urgency.BATCH
LIVE = rate_limits.Urgency.LIVE


class Fleet:
    """Daemons that learn of each other's requests after a delay."""

    def __init__(self, daemons, rate, delay_s=0.3):
        self.now_s = 100.0
        self.sent_s = []
        self._delay_s = delay_s
        self._news = []
        self.is_store_up = True
        self.tables = [
            rate_limits.RateLimitTable(lambda: self.now_s)
            for _ in range(daemons)
        ]
        for table in self.tables:
            table.set(REPLICA, rate)

    def step(self):
        """Advances the time and delivers what others have sent."""
        self.now_s += STEP_S
        if not self.is_store_up:
            return
        while self._news and self._news[0][0] <= self.now_s:
            _, sender = self._news.pop(0)
            for number, table in enumerate(self.tables):
                if number != sender:
                    table.record_others(REPLICA, sender, 1)

    def try_send(self, number, urgency):
        """Sends a request of a daemon if the limit leaves room."""
        table = self.tables[number]
        is_isolated = not self.is_store_up
        if table.wait_s(REPLICA, urgency, is_isolated=is_isolated):
            return False
        table.record_own(REPLICA, is_isolated=is_isolated)
        self.sent_s.append(self.now_s)
        self._news.append((self.now_s + self._delay_s, number))
        return True

    def run(self, seconds, urgency, senders=None):
        """Lets daemons send whenever the limit leaves room."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.step()
            for number in range(len(self.tables))[:senders]:
                self.try_send(number, urgency)

    def busiest_window(self):
        return max(
            sum(start <= t < start + WINDOW_S for t in self.sent_s)
            for start in self.sent_s
        )


def bound(rate):
    return 1.5 * rate * WINDOW_S + 5


@pytest.mark.parametrize('rate', [0.0, 0.3, 1.0, 3.2, 20.0])
@pytest.mark.parametrize('urgency', list(rate_limits.Urgency))
def test_backlog_of_one_daemon_keeps_to_the_limit(rate, urgency):
    """A step of items waits at the only daemon that runs them."""
    fleet = Fleet(1, rate)
    fleet.run(20.0, urgency)
    assert fleet.busiest_window() <= bound(rate)
    assert len(fleet.sent_s) >= 0.9 * rate * 19.0 - 1


def test_pause_allows_a_burst_of_a_second():
    """Jobs come every few seconds, and replicas rest in between."""
    fleet = Fleet(1, 4.0)
    for _ in range(1000):
        fleet.step()
    sent = 0
    while fleet.try_send(0, LIVE):
        sent += 1
    assert sent == 5
    assert fleet.busiest_window() <= bound(4.0)


def test_named_limit_begins_without_a_burst():
    """A new holder does not know what its predecessor has just sent."""
    fleet = Fleet(1, 4.0)
    assert not fleet.try_send(0, LIVE)
    fleet.run(0.5, LIVE)
    assert len(fleet.sent_s) <= 2


def test_items_leave_room_for_live_calls():
    """A backlog of items meets single live calls of other daemons."""
    fleet = Fleet(2, 4.0)
    fleet.run(5.0, BATCH, senders=1)
    assert not fleet.try_send(0, BATCH)
    assert fleet.try_send(1, LIVE)


@pytest.mark.parametrize('daemons', [2, 4, 8])
def test_two_or_more_daemons_share_one_limit(daemons):
    """Several daemons have work whenever the limit leaves room.

    They learn of each other's requests late, so a burst may be higher, but it
    is paid back.
    """
    fleet = Fleet(daemons, 4.0, delay_s=0.1)
    fleet.run(40.0, BATCH)
    assert len(fleet.sent_s) / 40.0 <= 1.1 * 4.0
    assert fleet.busiest_window() <= bound(4.0)


def test_daemons_without_the_store_divide_the_limit():
    """The store fails while several daemons send to a limited replica."""
    fleet = Fleet(4, 4.0)
    fleet.run(10.0, LIVE)
    fleet.is_store_up = False
    fleet.sent_s.clear()
    fleet.run(20.0, LIVE)
    assert fleet.busiest_window() <= bound(4.0)
    assert len(fleet.sent_s) / 20.0 == pytest.approx(4.0, rel=0.2)


def test_requests_learned_of_after_an_outage_do_not_block_for_long():
    """Many requests of others become known at once."""
    fleet = Fleet(1, 1.0)
    fleet.tables[0].record_others(REPLICA, 'other', 500)
    assert fleet.tables[0].wait_s(REPLICA, LIVE) <= rate_limits.MAX_BACKLOG_S


def test_turns_of_all_daemons_follow_each_other():
    """Live calls of all daemons arrive at the same moment."""
    table = Fleet(1, 4.0).tables[0]
    waits_s = [table.record_turn(REPLICA) for _ in range(9)]
    # The limit begins without a burst.
    assert waits_s == pytest.approx([0.25 * n for n in range(1, 10)])


def test_replica_without_a_limit_is_not_paced():
    table = rate_limits.RateLimitTable()
    table.set(REPLICA, 1.0)
    table.set(REPLICA, None)
    for _ in range(100):
        assert table.wait_s(REPLICA, BATCH) == 0.0
        table.record_own(REPLICA)
