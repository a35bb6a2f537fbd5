"""Plug-in ``duty_calls``: calls of the holder of a duty to the platform."""

from __future__ import annotations

import typing

import eventlet
import prometheus_client

from lentildeal._internal.adapters import platform_base
from lentildeal._internal import exceptions
from lentildeal._internal.jobs import lease_manager
from lentildeal._internal.jobs import records
from lentildeal._internal.kernel import plugins
from lentildeal._internal.logs import events
from lentildeal._internal.models import ids
from lentildeal._internal.utils import clock

# The holder uses at most this share of the calls a second that the platform
# accepts, so that calls of a previous holder that are executed late fit in.
RATE_SHARE = 0.5
# Pause after a call that the platform has throttled. Doubled by each further
# one.
FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 2.0

_calls_total = prometheus_client.Counter(
    'lentildeal_duty_calls_total',
    'Calls to the platform that only one daemon may make.',
    ['kind', 'outcome'],
)

PlanHandler = typing.Callable[[records.DutyCallPlanned], None]
Send = typing.Callable[[platform_base.DutyTerm], platform_base.DutyOutcome]


class Pacer:
    """Spaces the calls of this daemon."""

    def __init__(self, now: typing.Callable[[], float] = clock.uptime_s):
        self._now = now
        self._next_s = 0.0
        self._pause_s = FIRST_PAUSE_S

    def wait_s(self) -> float:
        """Time until the next call may be sent."""
        return max(0.0, self._next_s - self._now())

    def record_call(self, calls_per_s: float) -> None:
        """Records that a call is sent."""
        self._next_s = self._now() + 1.0 / (RATE_SHARE * calls_per_s)

    def record_outcome(self, is_throttled: bool) -> None:
        """Waits longer after each throttled call."""
        if not is_throttled:
            self._pause_s = FIRST_PAUSE_S
            return
        self._next_s = self._now() + self._pause_s
        self._pause_s = min(LONGEST_PAUSE_S, 2 * self._pause_s)


@plugins.register('duty_calls', after=('duties', 'work_log'))
class DutyCalls(plugins.Plugin):
    """Writes calls to the log and sends them while the lease is held."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self._log = kernel.plugin('work_log')
        self._leases = kernel.plugin('duties')
        self._duties = kernel.settings.duties
        self._handlers: dict[str, PlanHandler] = {}
        self._pacer = Pacer()

    def start(self) -> None:
        """See the base class."""
        self._log.on_record(records.DutyCallPlanned, self._handle_plan)

    def reload(self, settings) -> None:
        """See the base class."""
        if settings.duties is not None:
            self._duties = settings.duties

    def on_plan(self, kind: str, handler: PlanHandler) -> None:
        """Registers the handler of the planned calls of a kind of duty.

        Args:
            kind: Name of its leases up to the first slash.
            handler: Called with each record, in the order of the log.
        """
        self._handlers[kind] = handler

    def may_call(self, lease_name: ids.LeaseName) -> bool:
        """Whether this daemon may make calls under a lease now.

        A daemon that does not read the log could miss that another one has
        claimed the lease.
        """
        return self._log.is_synced and self._leases.may_order(lease_name)

    def plan(self, plans: typing.Sequence[records.DutyCallPlanned]) -> bool:
        """Writes calls to the log and reads it; returns whether it did.

        A plan that was not confirmed may still be in the log, now or later.
        The handlers get those that are.
        """
        try:
            self._log.append(plans)
            self._log.sync()
        except exceptions.PlatformError as error:
            events.emit(
                'append_retried', records=len(plans), reason=error.message
            )
            return False
        return True

    def sync(self) -> bool:
        """Reads the log to its end; returns whether it could be read."""
        try:
            self._log.sync()
        except exceptions.PlatformError:
            return False
        return True

    def call(
        self, lease_name: ids.LeaseName, subject: str, send: Send
    ) -> typing.Optional[platform_base.DutyOutcome]:
        """Makes a call if the lease still allows it.

        Args:
            lease_name: Lease of the duty.
            subject: What the call is about, for the log.
            send: Makes the call.

        Returns:
            Its outcome, None if the lease does not allow it or if the call
            may or may not have been executed.
        """
        eventlet.sleep(self._pacer.wait_s())
        # Checked after all waits: a holder that was suspended or cut off finds
        # out here, right before it would send.
        term = self._leases.find_term(lease_name)
        if term is None or not self.may_call(lease_name):
            return None
        self._pacer.record_call(self._duties.calls_per_s)
        duty = platform_base.DutyTerm(
            self._kernel.settings.instance, ids.FencingToken(term)
        )
        started_s = clock.monotonic_s()
        outcome, reason = None, None
        try:
            outcome = send(duty)
        except exceptions.PlatformError as error:
            reason = error.message
        self._pacer.record_outcome(
            outcome is platform_base.DutyOutcome.THROTTLED
        )
        outcome_name = outcome.value if outcome is not None else 'unknown'
        _calls_total.labels(_find_kind(lease_name), outcome_name).inc()
        events.emit(
            'duty_call',
            duty=lease_name,
            subject=subject,
            term=term,
            outcome=outcome_name,
            reason=reason,
            elapsed_ms=int((clock.monotonic_s() - started_s) * 1000),
        )
        return outcome

    def handle_refusal(self, lease_name: ids.LeaseName) -> None:
        """Resigns after a refusal that a higher token may have caused.

        Tokens come from the log. If the log names no higher one, the call was
        refused for another reason.
        """
        if not self._kernel.settings.store.requires_fence:
            return
        if lease_name == lease_manager.USAGE_LEASE or not self.sync():
            self._leases.resign(
                lease_name, 'the platform saw a newer fencing token'
            )

    def _handle_plan(self, record: records.DutyCallPlanned) -> None:
        handler = self._handlers.get(_find_kind(record.duty))
        if handler is not None:
            handler(record)


def _find_kind(lease_name: ids.LeaseName) -> str:
    return lease_name.partition('/')[0]
