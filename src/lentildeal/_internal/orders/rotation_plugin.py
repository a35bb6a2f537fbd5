"""Plug-in ``rotation``: orders replicas to load announced versions."""

from __future__ import annotations

import dataclasses
import typing

import eventlet
import prometheus_client

from lentildeal._internal.adapters import platform_base
from lentildeal._internal import exceptions
from lentildeal._internal.jobs import lease_manager
from lentildeal._internal.jobs import records
from lentildeal._internal.kernel import plugins
from lentildeal._internal.logs import events
from lentildeal._internal.logs import failures
from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.orders import rotation
from lentildeal._internal.utils import clock

# Longest time until an announced version or a new replica is noticed.
CHECK_S = 0.1
# Longest time until a new lease is noticed.
IDLE_CHECK_S = 0.3
# A load takes 0.9 s, and longer while others load; reports lag by 0.2 s.
FIRST_POLL_S = 0.9
POLL_S = 0.15
# The same at a replica that limits its requests and leaves no room now.
LONGEST_POLL_S = 0.3
# An order that has no effect within this time is sent again. An order that is
# carried out late, 2 to 12 s after it was sent, is then rejected because its
# expected order count is outdated.
CONFIRM_S = 4.0
CONFLICT_DELAY_S = 0.3
# A replica that did not respond is avoided for this time.
AVOIDANCE_S = 2.0

_orders_total = prometheus_client.Counter(
    'lentildeal_orders_total', 'Orders to replicas by outcome.', ['outcome']
)


@dataclasses.dataclass
class _PendingLoad:
    load: rotation.PlannedLoad
    started_s: float
    # Time at which the last order was accepted, None without one.
    ordered_at_s: typing.Optional[float] = None
    order_count: int = 0


@plugins.register('rotation', after=('duties', 'replica_limits'))
class Rotation(plugins.Plugin):
    """Sends the orders of services whose lease this daemon holds."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self._directory = kernel.plugin('directory')
        self._leases = kernel.plugin('duties')
        self._log = kernel.plugin('work_log')
        self._limits = kernel.plugin('replica_limits')
        self._pending: dict[ids.ReplicaId, _PendingLoad] = {}
        self._avoided_until_s: dict[ids.ReplicaId, float] = {}
        self._load_duration = rotation.LoadDuration()
        self._is_draining = False

    def start(self) -> None:
        """See the base class."""
        self._kernel.spawn('rotation', self._run)

    def drain(self) -> None:
        """Sends no more orders."""
        self._is_draining = True

    def _run(self) -> None:
        while not self._is_draining:
            text = self._directory.text
            is_holder = False
            if text is not None:
                for service in text.iter_engine_services():
                    if self._may_order(service.name):
                        is_holder = True
                        self._update(service)
            self._directory.changed.wait(
                CHECK_S if is_holder else IDLE_CHECK_S
            )

    def _update(self, service: deployment.Service) -> None:
        try:
            self._order_missing(service)
        except Exception as error:
            # The replicas of other services get their orders all the same.
            failures.report('rotation', service.name, error)

    def _may_order(self, service: ids.ServiceName) -> bool:
        lease_name = lease_manager.orders_lease_name(service)
        return self._leases.may_order(lease_name) and not self._is_draining

    def _order_missing(self, service: deployment.Service) -> None:
        announced = {}
        for model in service.models:
            version = self._directory.announced_version(model)
            if version is not None:
                announced[model] = version
        ready = self._directory.replicas.list_ready(service.name)
        states = [self._make_state(replica) for replica in ready]
        for load in rotation.plan(announced, len(service.models), states):
            self._pending[load.replica_id] = _PendingLoad(
                load, clock.monotonic_s()
            )
            eventlet.spawn_n(self._run_load, service.name, load)

    def _make_state(
        self, replica: deployment.Replica
    ) -> rotation.ReplicaLoadState:
        replica_id = replica.replica_id
        pending = self._pending.get(replica_id)
        avoided_until_s = self._avoided_until_s.get(replica_id, 0.0)
        return rotation.ReplicaLoadState(
            replica_id,
            replica.versions,
            None
            if pending is None
            else (pending.load.model, pending.load.version),
            pending is not None and self._is_load_over(pending),
            avoided_until_s > clock.monotonic_s(),
        )

    def _is_load_over(self, pending: _PendingLoad) -> bool:
        if pending.ordered_at_s is None:
            return False
        return self._load_duration.is_over(
            clock.monotonic_s() - pending.ordered_at_s
        )

    def _run_load(
        self, service: ids.ServiceName, load: rotation.PlannedLoad
    ) -> None:
        """Orders a load and waits until the replica confirms it."""
        try:
            self._order_until_confirmed(service, load)
        except exceptions.PlatformError as error:
            self._avoided_until_s[load.replica_id] = (
                clock.monotonic_s() + AVOIDANCE_S
            )
            events.emit(
                'attempt_failed',
                request=f'{load.model}/{load.version}',
                replica=load.replica_id,
                reason=error.message,
                elapsed_ms=self._elapsed_ms(load),
            )
        finally:
            self._pending.pop(load.replica_id, None)

    def _order_until_confirmed(
        self, service: ids.ServiceName, load: rotation.PlannedLoad
    ) -> None:
        deadline = clock.Deadline(0.0)
        is_ordered = False
        while self._may_order(service):
            replica = self._directory.replicas.get(load.replica_id)
            if replica is None:
                return
            self._limits.record_sent(replica.replica_id)
            report = self._directory.platform.get_report(replica)
            if report.is_leaving:
                self._directory.mark_leaving(replica)
                return
            if report.versions.get(load.model, 0) >= load.version:
                self._confirm(load)
                return
            if report.is_busy or (is_ordered and not deadline.has_passed):
                eventlet.sleep(self._poll_interval_s(load.replica_id))
                continue
            outcome = self._order(service, replica, load, report)
            if outcome is platform_base.OrderOutcome.ALREADY_LOADED:
                self._confirm(load)
                return
            is_ordered = outcome is platform_base.OrderOutcome.ACCEPTED
            if is_ordered:
                pending = self._pending[load.replica_id]
                pending.ordered_at_s = clock.monotonic_s()
                pending.order_count += 1
            deadline = clock.Deadline(CONFIRM_S)
            eventlet.sleep(FIRST_POLL_S if is_ordered else CONFLICT_DELAY_S)

    def _poll_interval_s(self, replica_id: ids.ReplicaId) -> float:
        """Time until the next report of a replica that loads weights."""
        wait_s = self._limits.wait_s(replica_id)
        return max(POLL_S, min(wait_s, LONGEST_POLL_S))

    def _order(
        self,
        service: ids.ServiceName,
        replica: deployment.Replica,
        load: rotation.PlannedLoad,
        report: platform_base.ReplicaReport,
    ) -> typing.Optional[platform_base.OrderOutcome]:
        """Sends an order; returns its outcome, None if it was not sent."""
        lease_name = lease_manager.orders_lease_name(service)
        term = self._leases.find_term(lease_name)
        # The lease may have expired while the report was fetched.
        if term is None or not self._may_order(service):
            return None
        order = platform_base.VersionOrder(
            load.model,
            load.version,
            keep_running=not self._is_single_version(service),
            holder=self._kernel.settings.instance,
            fence=ids.FencingToken(term),
            expected_orders=report.order_count,
        )
        outcome: typing.Optional[platform_base.OrderOutcome] = None
        self._limits.record_sent(replica.replica_id)
        try:
            outcome = self._directory.platform.order_version(replica, order)
        finally:
            name = outcome.value if outcome is not None else 'unknown'
            _orders_total.labels(name).inc()
            events.emit(
                'order_sent',
                replica=load.replica_id,
                model=load.model,
                version=load.version,
                fence=term,
                expected=report.order_count,
                outcome=name,
            )
        if outcome is platform_base.OrderOutcome.FENCED:
            # A newer lease holder has sent an order; ordering again requires
            # a new term.
            self._leases.resign(
                lease_name, 'a replica saw a newer fencing token'
            )
        return outcome

    def _confirm(self, load: rotation.PlannedLoad) -> None:
        pending = self._pending.get(load.replica_id)
        if pending is not None and pending.order_count == 1:
            self._load_duration.record_confirmed(
                clock.monotonic_s() - pending.ordered_at_s
            )
        self._directory.replicas.confirm_version(
            load.replica_id, load.model, load.version
        )
        self._log.enqueue(
            records.VersionLoaded(load.replica_id, load.model, load.version)
        )
        events.emit(
            'version_loaded',
            replica=load.replica_id,
            model=load.model,
            version=load.version,
            elapsed_ms=self._elapsed_ms(load),
        )

    def _is_single_version(self, service: ids.ServiceName) -> bool:
        return any(
            route.is_single_version
            for route in self._directory.text.routes
            if any(share.service == service for share in route.shares)
        )

    def _elapsed_ms(self, load: rotation.PlannedLoad) -> int:
        pending = self._pending.get(load.replica_id)
        if pending is None:
            return 0
        return int((clock.monotonic_s() - pending.started_s) * 1000)
