"""Plug-in ``usage``: counts requests by account and reports them."""

from __future__ import annotations

import contextlib
import typing

import eventlet
import prometheus_client

from lentildeal._internal.adapters import platform_base
from lentildeal._internal import exceptions
from lentildeal._internal.jobs import lease_manager
from lentildeal._internal.jobs import records
from lentildeal._internal.kernel import plugins
from lentildeal._internal.logs import events
from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.settings import settings as settings_module
from lentildeal._internal.usage import counting
from lentildeal._internal.usage import reports
from lentildeal._internal.usage import window_clock

# Interval of the appends of counts. A kill must not lose more than 0.5 s.
FLUSH_S = 0.4
# Longest time until the holder notices that a window can be closed.
CHECK_S = 0.2
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.5

_counted_total = prometheus_client.Counter(
    'lentildeal_usage_requests_total',
    'Requests of accounts that replicas began, by what became of the count.',
    ['state'],
)


@plugins.register('usage', after=('duty_calls', 'directory'))
class Usage(plugins.Plugin):
    """Counts requests, and reports them while this daemon holds the lease."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self._log = kernel.plugin('work_log')
        self._calls = kernel.plugin('duty_calls')
        self._platform = kernel.plugin('directory').platform
        duties = kernel.settings.duties
        self._is_enabled = duties is not None and duties.has(
            settings_module.DutyKind.USAGE_REPORT
        )
        if not self._is_enabled:
            return
        self._clock = window_clock.WindowClock()
        self._starts = counting.StartEstimator()
        self._counter = counting.RequestCounter(
            kernel.incarnation, duties.window_s
        )
        self._book = reports.ReportBook(duties, self._clock.now_s())
        # Windows whose confirmation the log does not have yet.
        self._to_confirm: set[int] = set()
        # Counts are only lost, not repeated, if this process ends.
        self._unsaved: typing.Optional[records.UsageCounts] = None

    def start(self) -> None:
        """See the base class."""
        if not self._is_enabled:
            return
        self._log.on_record(records.UsageCounts, self._handle_counts)
        self._calls.on_plan(lease_manager.USAGE_LEASE, self._handle_plan)
        self._kernel.spawn('usage-count', self._save_counts)
        self._kernel.spawn('usage-report', self._report)

    def stop(self) -> None:
        """Saves the last counts."""
        if self._is_enabled:
            self._save_once()

    @contextlib.contextmanager
    def track(
        self,
        route: deployment.Route,
        account: typing.Optional[ids.AccountName],
    ) -> typing.Iterator[None]:
        """Counts a call that a replica began, once for all its attempts.

        A call without an answer that may have run is counted as begun when it
        was sent, because a replica that took it has begun it in most cases. A
        call that no replica has run is not counted.
        """
        if not self._is_enabled or account is None:
            yield
            return
        started_s = self._clock.now_s()
        try:
            yield
        except exceptions.MayHaveRunError:
            self._record(account, started_s)
            raise
        now_s = self._clock.now_s()
        work_s = 0.0
        # The answer of a stream begins with its first token.
        if route.kind is not deployment.RouteKind.STREAM:
            work_s = self._starts.find_work_s(route.name, now_s - started_s)
        self._record(account, now_s - work_s)

    def _record(self, account: ids.AccountName, began_s: float) -> None:
        self._counter.record(account, began_s)
        _counted_total.labels('counted').inc()

    def _save_counts(self) -> None:
        retry_s = FIRST_RETRY_S
        while True:
            eventlet.sleep(FLUSH_S)
            while not self._save_once():
                eventlet.sleep(retry_s)
                retry_s = min(LONGEST_RETRY_S, 2 * retry_s)
            retry_s = FIRST_RETRY_S

    def _save_once(self) -> bool:
        """Appends the counts; returns False if it has to be repeated."""
        now_s = self._clock.now_s()
        if self._unsaved is None:
            if not self._counter.is_due(now_s):
                return True
            self._unsaved = self._counter.take(now_s)
        record = self._unsaved
        try:
            self._log.append([record])
        except exceptions.PlatformError as error:
            events.emit('append_retried', records=1, reason=error.message)
            return False
        self._unsaved = None
        return True

    def _report(self) -> None:
        while True:
            eventlet.sleep(CHECK_S)
            now_s = self._clock.now_s()
            self._book.drop_old(now_s)
            if self._calls.may_call(lease_manager.USAGE_LEASE):
                self._close_windows(now_s)
                self._send_reports()

    def _close_windows(self, now_s: float) -> None:
        """Writes the reports of windows that have ended to the log."""
        if not self._book.list_to_close(now_s) or not self._calls.sync():
            return
        confirmed = tuple(self._to_confirm)
        plans = []
        for window in self._book.list_to_close(now_s):
            counts = self._book.make_report(window)
            plans.append(
                records.DutyCallPlanned(
                    lease_manager.USAGE_LEASE,
                    str(window),
                    tuple(sorted(counts.items())),
                    tuple(map(str, confirmed)) if not plans else (),
                )
            )
        if plans and self._calls.plan(plans):
            self._to_confirm.difference_update(confirmed)

    def _send_reports(self) -> None:
        for report in self._book.list_to_send(self._clock.now_s()):
            outcome = self._calls.call(
                lease_manager.USAGE_LEASE,
                str(report.window),
                lambda duty, report=report: self._platform.report_usage(
                    report, duty
                ),
            )
            if outcome is platform_base.DutyOutcome.DONE:
                self._book.confirm(report.window)
                self._to_confirm.add(report.window)
            elif outcome is platform_base.DutyOutcome.REFUSED:
                # The same report would be refused again.
                self._book.confirm(report.window)
                self._calls.handle_refusal(lease_manager.USAGE_LEASE)
            else:
                self._book.record_failure(self._clock.now_s())
                return

    def _handle_counts(self, record: records.UsageCounts) -> None:
        late = self._book.add_counts(record)
        if late and self._calls.may_call(lease_manager.USAGE_LEASE):
            _counted_total.labels('late').inc(late)
            events.emit(
                'usage_counts_late',
                incarnation=record.incarnation,
                requests=late,
            )

    def _handle_plan(self, record: records.DutyCallPlanned) -> None:
        window = int(record.subject)
        is_complete = self._book.is_complete(window)
        is_first = self._book.add_report(window, dict(record.values))
        if is_first and self._calls.may_call(lease_manager.USAGE_LEASE):
            events.emit(
                'usage_window_closed',
                window=window,
                requests=sum(n for _, n in record.values),
                accounts=len(record.values),
                is_complete=is_complete,
                age_ms=int(
                    1000
                    * self._book.measure_age_s(window, self._clock.now_s())
                ),
            )
        for confirmed in record.confirmed:
            self._book.confirm(int(confirmed))
