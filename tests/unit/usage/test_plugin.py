"""The plug-in on a fake store, with a fake platform."""

import contextlib
import types

import eventlet
import pytest

from lentildeal._internal.adapters import platform_base
from lentildeal._internal import exceptions
from lentildeal._internal.jobs import lease_manager
from lentildeal._internal.jobs import records
from lentildeal._internal.usage import plugin
from lentildeal._internal.usage import reports
from tests.lib import duty_daemon
from tests.lib import fake_store
from tests.lib import job_builders
from tests.lib import store_kernel

WINDOW_S = 0.5
ROUTE = job_builders.make_scoring_route()
LEASE = lease_manager.USAGE_LEASE


class Daemon(duty_daemon.DutyDaemon):
    """One daemon on a store that others may share."""

    def __init__(self, store, incarnation=1):
        super().__init__(
            store, incarnation, window_s=WINDOW_S, due_s=2 * WINDOW_S
        )
        self.usage = plugin.Usage(self.kernel)
        self.usage.start()

    def find_counts(self):
        """Sums of the reports by account; each window once."""
        found = {}
        for window, counts, _ in self.platform.calls:
            for account, number in counts.items():
                found[window, account] = number
        return sum(found.values())


@pytest.fixture(autouse=True)
def short_times(monkeypatch):
    monkeypatch.setattr(reports, 'EARLY_CLOSE_S', 0.3)
    monkeypatch.setattr(reports, 'SENDING_S', 0.4)
    monkeypatch.setattr(reports, 'FIRST_RETRY_S', 0.05)
    monkeypatch.setattr(plugin, 'FLUSH_S', 0.05)
    monkeypatch.setattr(plugin, 'CHECK_S', 0.05)


@pytest.fixture
def store():
    return fake_store.FakeStore()


@pytest.fixture
def start(store):
    with contextlib.ExitStack() as stack:

        def start_daemon(incarnation=1):
            daemon = Daemon(store, incarnation)
            stack.callback(daemon.kernel.close)
            return daemon

        yield start_daemon


def test_requests_are_counted_once_and_reported(start):
    """Guards against calls that are billed per attempt, or never.

    A call that may have run is counted, one that was refused is not.
    """
    holder, other = start(1), start(2)
    other.is_holder = False
    with holder.usage.track(ROUTE, 'a'):
        pass
    with other.usage.track(ROUTE, None):
        pass
    with pytest.raises(exceptions.MayHaveRunError):
        with other.usage.track(ROUTE, 'a'):
            raise exceptions.MayHaveRunError('no answer')
    with pytest.raises(exceptions.NotRunError):
        with other.usage.track(ROUTE, 'a'):
            raise exceptions.NotRunError('busy', cause='busy')
    store_kernel.wait_for(lambda: holder.find_counts() == 2)
    eventlet.sleep(3 * WINDOW_S)
    assert holder.find_counts() == 2
    windows = [window for window, _, _ in holder.platform.calls]
    assert windows == list(range(windows[0], windows[0] + len(windows)))
    assert not other.platform.calls
    assert holder.platform.calls[0][2] == platform_base.DutyTerm('a', 7)


@pytest.mark.parametrize(
    'outcome',
    [
        platform_base.DutyOutcome.THROTTLED,
        exceptions.PlatformError('no answer'),
    ],
)
def test_report_without_a_clear_answer_is_repeated_unchanged(start, outcome):
    """Guards against a missing report, and against one made anew."""
    daemon = start()
    daemon.platform.outcomes = [outcome]
    with daemon.usage.track(ROUTE, 'a'):
        pass
    store_kernel.wait_for(lambda: len(daemon.platform.calls) > 1)
    first, second = daemon.platform.calls[:2]
    assert first == second


def test_next_holder_sends_the_report_of_the_log(start):
    """Guards against a second report made of counts that came later."""
    first, second = start(1), start(2)
    second.is_holder = False
    first.platform.outcomes = [exceptions.PlatformError('cut off')] * 100
    with first.usage.track(ROUTE, 'a'):
        pass
    store_kernel.wait_for(lambda: first.platform.calls)
    window, counts, _ = first.platform.calls[0]
    first.is_holder = False
    second.usage._log.append(
        [records.UsageCounts(3, 1, window, ((window, 'a', 5),))]
    )
    second.is_holder = True
    store_kernel.wait_for(lambda: second.platform.calls)
    assert second.platform.calls[0][:2] == (window, counts)


def test_confirmed_report_is_not_sent_by_the_next_holder(start):
    """Guards against calls that are paid for and have no effect."""
    first, second = start(1), start(2)
    second.is_holder = False
    store_kernel.wait_for(lambda: len(first.platform.calls) >= 3)
    first.is_holder = False
    second.is_holder = True
    store_kernel.wait_for(lambda: second.platform.calls)
    assert second.platform.calls[0][0] >= first.platform.calls[2][0]


def test_refused_holder_resigns(start):
    """Guards against a holder that calls with an outdated token."""
    daemon = start()
    daemon.platform.outcomes = [platform_base.DutyOutcome.REFUSED]
    store_kernel.wait_for(lambda: daemon.resigned)
    eventlet.sleep(2 * WINDOW_S)
    assert len(daemon.platform.calls) == 1


@pytest.mark.parametrize(
    'fault',
    [
        fake_store.Fault.LOST_RESPONSE,
        fake_store.Fault.REFUSED,
        fake_store.Fault.LATE,
    ],
)
def test_counts_survive_a_faulty_append(start, store, fault):
    """Guards against counts that are lost or doubled by the store."""
    daemon = start()
    eventlet.sleep(0.1)
    store.faults = [fault]
    with daemon.usage.track(ROUTE, 'a'):
        pass
    eventlet.sleep(0.2)
    store.apply_late_appends()
    store_kernel.wait_for(lambda: daemon.find_counts())
    eventlet.sleep(3 * WINDOW_S)
    assert daemon.find_counts() == 1


def test_holder_that_lost_its_lease_sends_nothing(start):
    """Guards against a call of a holder that was frozen before it."""
    daemon = start()
    store_kernel.wait_for(lambda: daemon.platform.calls)
    daemon.may_order = lambda lease_name: False
    count = len(daemon.platform.calls)
    assert daemon.calls.call(LEASE, '1', lambda duty: 1 / 0) is None
    eventlet.sleep(2 * WINDOW_S)
    assert len(daemon.platform.calls) == count


def test_without_the_duty_nothing_is_counted(store):
    """Guards against records where the settings do not ask for them."""
    kernel = store_kernel.StoreKernel(store)
    kernel.add_work_log(is_started=False)
    kernel.plugins['duty_calls'] = types.SimpleNamespace()
    usage = plugin.Usage(kernel)
    usage.start()
    with usage.track(ROUTE, 'a'):
        pass
    assert not store.streams
