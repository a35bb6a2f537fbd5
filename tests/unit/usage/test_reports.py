"""Counts of requests and the reports that are made of them."""

import pytest

from lentildeal._internal.settings import settings as settings_module
from lentildeal._internal.usage import counting
from lentildeal._internal.usage import reports
from lentildeal._internal.usage import window_clock

# Start of a window, in Unix time.
START_S = 1_767_225_600.0
WINDOW = int(START_S // 5)
DUTIES = settings_module.Duties(address='127.0.0.1:1')


@pytest.fixture
def book():
    return reports.ReportBook(DUTIES, START_S)


def count(*accounts, incarnation=1, at_s=START_S + 1, taken_s=None):
    """Record of the requests of one daemon at a time."""
    counter = counting.RequestCounter(incarnation, DUTIES.window_s)
    for account in accounts:
        counter.record(account, at_s)
    return counter.take(taken_s or at_s)


def test_repeated_append_counts_once(book):
    """Guards against a bill that grows when the answer of an append is lost.

    The second copy is executed late, after the next record.
    """
    counter = counting.RequestCounter(1, 5.0)
    counter.record('a', START_S)
    first = counter.take(START_S)
    counter.record('a', START_S)
    for record in (first, first, counter.take(START_S), first):
        book.add_counts(record)
    assert book.make_report(WINDOW) == {'a': 2}


def test_counts_of_daemons_and_windows_add_up(book):
    """Guards against daemons or windows that overwrite each other."""
    book.add_counts(count('a', 'b'))
    book.add_counts(count('a', incarnation=2))
    book.add_counts(count('a', incarnation=3, at_s=START_S + 5.0))
    assert book.make_report(WINDOW) == {'a': 2, 'b': 1}
    assert book.make_report(WINDOW + 1) == {'a': 1}


def test_complete_window_is_closed_early(book):
    """Guards against a holder that is lost before an avoidable late close."""
    book.add_counts(count('a', taken_s=START_S + 6.0))
    assert book.list_to_close(START_S + 5.0) == []
    assert book.list_to_close(START_S + 7.0) == [WINDOW]


def test_window_waits_for_a_daemon_that_is_late(book):
    """Guards against counts of a frozen daemon that are left out.

    The window is closed all the same when its report becomes urgent.
    """
    book.add_counts(count('a'))
    assert book.list_to_close(START_S + 11.0) == []
    assert book.list_to_close(START_S + 11.6) == [WINDOW]


def test_daemon_without_requests_tells_that_its_counts_are_complete():
    """Guards against windows that are all closed late after one request."""
    counter = counting.RequestCounter(1, 5.0)
    assert not counter.is_due(START_S)
    counter.record('a', START_S)
    told = []
    for tenth in range(300):
        now_s = START_S + tenth / 10
        if counter.is_due(now_s):
            told.append(counter.take(now_s).complete_until - WINDOW)
    assert told == [-1, 0, 1, 2]


def test_report_never_changes(book):
    """Guards against two reports of one window with different counts."""
    book.add_counts(count('a'))
    assert book.add_report(WINDOW, {'a': 1})
    assert book.add_counts(count('a', incarnation=2)) == 1
    assert not book.add_report(WINDOW, {'a': 2})
    assert book.list_to_close(START_S + 16.6) == [WINDOW + 1]
    assert book.list_to_send(START_S + 8.0)[0].counts == {'a': 1}


def test_window_without_requests_is_reported(book):
    """Guards against a missing report of an idle deployment."""
    found = book.list_to_close(START_S + 17.5)
    assert found == [WINDOW, WINDOW + 1, WINDOW + 2]
    assert book.make_report(WINDOW) == {}


def test_windows_of_a_complete_outage_are_reported_empty():
    """Guards against a gap in the reports after all daemons were down."""
    book = reports.ReportBook(DUTIES, START_S + 20)
    book.add_report(WINDOW, {})
    assert book.list_to_close(START_S + 23) == [
        WINDOW + 1,
        WINDOW + 2,
        WINDOW + 3,
    ]


def test_report_is_sent_until_it_is_answered(book):
    """Guards against a report that is lost, and against a flood of calls."""
    book.add_report(WINDOW, {'a': 1})
    sent = []
    for tenth in range(70, 600):
        now_s = START_S + tenth / 10
        if book.list_to_send(now_s):
            sent.append(now_s)
            book.record_failure(now_s)
    assert 4 <= sum(s <= START_S + 15 for s in sent) <= 10
    assert len(sent) <= 25
    book.confirm(WINDOW)
    assert book.list_to_send(START_S + 20.0) == []


def test_old_windows_are_dropped_and_not_reported_again(book):
    """Guards against memory that grows, and against a second report."""
    for number in range(100):
        now_s = START_S + 5 * number
        book.add_counts(count('a', incarnation=number, at_s=now_s))
        for window in book.list_to_close(now_s):
            assert book.add_report(window, book.make_report(window))
        book.drop_old(now_s)
    assert len(book.list_to_send(now_s)) <= 10
    assert book.make_report(WINDOW) == {}


class Times:
    unix_s = 1000.0
    uptime_s = 10.0

    def advance(self, seconds):
        self.unix_s += seconds
        self.uptime_s += seconds


def test_short_step_of_the_time_of_day_is_ignored():
    """Guards against requests that are counted in another window.

    The time of day jumps by seconds and back; a jump that lasts is followed.
    """
    times = Times()
    clock = window_clock.WindowClock(
        lambda: times.unix_s, lambda: times.uptime_s
    )
    times.unix_s += 4.0
    times.advance(1.0)
    assert clock.now_s() == 1001.0
    times.unix_s -= 4.0
    assert clock.now_s() == 1001.0
    times.unix_s += 4.0
    clock.now_s()
    times.advance(31.0)
    assert clock.now_s() == 1036.0


def test_call_belongs_to_the_window_in_which_its_work_began():
    """Guards against calls that are counted when their answer arrives.

    Calls that waited before their work began are counted after the wait.
    """
    starts = counting.StartEstimator()
    for _ in range(20):
        starts.find_work_s('r', 0.035)
    assert starts.find_work_s('r', 0.4) == pytest.approx(0.035, rel=0.1)
    assert starts.find_work_s('r', 0.031) == 0.031
    for _ in range(2000):
        work_s = starts.find_work_s('r', 0.1)
    assert work_s == 0.1
