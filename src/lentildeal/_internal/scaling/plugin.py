"""Plug-in ``scaling``: orders replicas for the open work of services."""

from __future__ import annotations

import collections

import eventlet
import prometheus_client

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.jobs import lease_manager
from lentildeal._internal.jobs import records
from lentildeal._internal.jobs import table
from lentildeal._internal.kernel import plugins
from lentildeal._internal.logs import events
from lentildeal._internal.logs import failures
from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.scaling import allocation
from lentildeal._internal.scaling import decisions
from lentildeal._internal.scaling import need as need_module
from lentildeal._internal.settings import settings as settings_module
from lentildeal._internal.utils import clock

CHECK_S = 0.5
# The log drops old records, so the ordered numbers are written again.
RENEWAL_S = 60.0
# Time within which the results of a job are due without a text that says so.
DEFAULT_DUE_S = 10.0

_ordered = prometheus_client.Gauge(
    'lentildeal_replicas_ordered',
    'Replicas that this daemon ordered while it holds the lease.',
    ['service', 'failure_domain', 'kind'],
)


@plugins.register('scaling', after=('duty_calls', 'directory'))
class ReplicaScaling(plugins.Plugin):
    """Orders the replicas of services whose lease this daemon holds."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self._directory = kernel.plugin('directory')
        self._log = kernel.plugin('work_log')
        self._calls = kernel.plugin('duty_calls')
        self._plans: dict[ids.ServiceName, decisions.ScalingPlan] = {}
        self._durations: dict[ids.ServiceName, need_module.ItemDuration] = {}
        self._job_durations: dict[
            ids.ServiceName, need_module.JobDuration
        ] = {}
        self._seen_s: dict[ids.JobId, float] = {}
        self._renewed_s: dict[ids.ServiceName, float] = {}

    def start(self) -> None:
        """See the base class."""
        duties = self._kernel.settings.duties
        if duties is None or not duties.has(
            settings_module.DutyKind.AUTOSCALE
        ):
            return
        self._calls.on_plan('scaling', self._handle_plan)
        self._kernel.spawn('scaling', self._run)

    def _run(self) -> None:
        while True:
            eventlet.sleep(CHECK_S)
            text = self._directory.text
            if text is None or not self._directory.is_loaded:
                continue
            self._note_jobs()
            for service in text.services.values():
                if service.scaling is not None:
                    self._update(service)

    def _update(self, service: deployment.Service) -> None:
        try:
            self._observe(service)
            self._order(service)
        except Exception as error:
            # The other services are scaled all the same.
            failures.report('scaling', service.name, error)

    def _note_jobs(self) -> None:
        """Notes when this daemon has read of each open job."""
        now_s = clock.uptime_s()
        self._seen_s = {
            entry.head.job_id: self._seen_s.get(entry.head.job_id, now_s)
            for entry in self._log.table.iter_open()
        }

    def _observe(self, service: deployment.Service) -> None:
        """Records replicas and open work, also while it holds no lease.

        A new holder then knows the need of the last time.
        """
        now_s = clock.uptime_s()
        plan = self._get_plan(service.name)
        ready = self._directory.replicas.list_ready(service.name)
        places = collections.Counter(
            allocation.Place(replica.failure_domain, replica.is_spot)
            for replica in ready
        )
        plan.record_ready(service.scaling, places, now_s)
        if not service.models:
            # The load of a service without jobs is not known here. It keeps
            # as many replicas as there were.
            return
        jobs = self._list_jobs(service)
        duration = self._durations.setdefault(
            service.name, need_module.ItemDuration()
        )
        duration.record(jobs, service.slots * len(ready), CHECK_S)
        job_duration = self._job_durations.setdefault(
            service.name, need_module.JobDuration()
        )
        job_duration.record(jobs)
        slots = need_module.find_job_slots(
            jobs, duration.item_s, job_duration.longest_s
        )
        plan.need.record(slots, now_s)

    def _list_jobs(
        self, service: deployment.Service
    ) -> list[need_module.OpenJob]:
        now_s = clock.uptime_s()
        return [
            need_module.OpenJob(
                entry.head.job_id,
                entry.head.item_count - len(entry.results),
                len(entry.results),
                now_s - self._seen_s.get(entry.head.job_id, now_s),
                self._find_due_s(entry),
            )
            for entry in self._log.table.iter_open()
            if entry.head.model in service.models
        ]

    def _find_due_s(self, entry: table.JobEntry) -> float:
        route = self._directory.text.find_route(
            entry.head.host, entry.head.path
        )
        return DEFAULT_DUE_S if route is None else route.deadline_s

    def _order(self, service: deployment.Service) -> None:
        lease_name = lease_manager.scaling_lease_name(service.name)
        if not self._calls.may_call(lease_name):
            self._renewed_s.pop(service.name, None)
            return
        plan = self._get_plan(service.name)
        if service.name not in self._renewed_s:
            self._take_over(service.name)
        orders = plan.decide(service.scaling, service.slots, clock.uptime_s())
        if not orders:
            self._renew(service.name)
            return
        # A previous holder may have ordered something that was not read yet.
        if not self._calls.sync():
            return
        orders = plan.decide(service.scaling, service.slots, clock.uptime_s())
        previous = {place: plan.get(place).target for place in orders}
        if not orders or not self._plan(service.name, orders):
            return
        for place, count in orders.items():
            self._emit(service, place, count, previous[place])
            self._send(service.name, place, count)

    def _plan(
        self, service: ids.ServiceName, orders: allocation.Counts
    ) -> bool:
        lease_name = lease_manager.scaling_lease_name(service)
        self._renewed_s[service] = clock.uptime_s()
        return self._calls.plan(
            [
                _make_plan(lease_name, place, count, False)
                for place, count in orders.items()
            ]
        )

    def _take_over(self, service: ids.ServiceName) -> None:
        """Begins with the orders of the previous holder."""
        if self._calls.sync():
            now_s = clock.uptime_s()
            self._renewed_s[service] = now_s
            self._get_plan(service).take_over(now_s)

    def _renew(self, service: ids.ServiceName) -> None:
        """Writes the ordered numbers again, without calls."""
        now_s = clock.uptime_s()
        if now_s - self._renewed_s.get(service, now_s) < RENEWAL_S:
            return
        ordered = self._get_plan(service).list_ordered()
        if ordered:
            self._plan(service, ordered)

    def _send(
        self, service: ids.ServiceName, place: allocation.Place, count: int
    ) -> None:
        lease_name = lease_manager.scaling_lease_name(service)
        order = platform_base.ReplicaOrder(
            service, place.failure_domain, count, place.is_spot
        )
        outcome = self._calls.call(
            lease_name,
            place.subject,
            lambda duty: self._directory.platform.order_replicas(order, duty),
        )
        plan = self._get_plan(service)
        if outcome is platform_base.DutyOutcome.DONE:
            plan.record_answer(place)
            # Tells the next holder that it need not repeat the order.
            self._log.enqueue(_make_plan(lease_name, place, count, True))
        elif outcome is platform_base.DutyOutcome.REFUSED:
            plan.record_refusal(place, clock.uptime_s())
            self._calls.handle_refusal(lease_name)
        else:
            plan.record_failure(place, clock.uptime_s())

    def _emit(
        self,
        service: deployment.Service,
        place: allocation.Place,
        count: int,
        previous: int,
    ) -> None:
        plan = self._get_plan(service.name)
        _ordered.labels(
            service.name,
            place.failure_domain,
            'spot' if place.is_spot else 'lasting',
        ).set(count)
        events.emit(
            'replicas_ordered',
            service=service.name,
            failure_domain=place.failure_domain,
            is_spot=place.is_spot,
            count=count,
            previous=previous,
            ready=plan.get(place).ready,
            need_slots=round(plan.need.slots, 1),
            open_jobs=len(self._list_jobs(service)),
        )

    def _get_plan(self, service: ids.ServiceName) -> decisions.ScalingPlan:
        return self._plans.setdefault(service, decisions.ScalingPlan())

    def _handle_plan(self, record: records.DutyCallPlanned) -> None:
        service = ids.ServiceName(record.duty.partition('/')[2])
        place = allocation.parse_subject(record.subject)
        count = dict(record.values)['count']
        plan = self._get_plan(service)
        if not record.confirmed:
            plan.record_order(place, count, clock.uptime_s())
        elif plan.get(place).ordered == count:
            plan.record_answer(place)


def _make_plan(
    lease_name: ids.LeaseName,
    place: allocation.Place,
    count: int,
    is_answered: bool,
) -> records.DutyCallPlanned:
    subject = place.subject
    return records.DutyCallPlanned(
        lease_name,
        subject,
        (('count', count),),
        (subject,) if is_answered else (),
    )
