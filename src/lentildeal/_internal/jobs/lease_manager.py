"""Plug-in ``duties``: claims vacant leases and renews those it holds."""

from __future__ import annotations

import dataclasses
import typing

import eventlet
import prometheus_client

from lentildeal._internal import exceptions
from lentildeal._internal.jobs import leases
from lentildeal._internal.jobs import records
from lentildeal._internal.kernel import plugins
from lentildeal._internal.logs import events
from lentildeal._internal.models import ids
from lentildeal._internal.settings import settings as settings_module
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import hashing
from lentildeal._internal.utils import wakeup

CHECK_INTERVAL_S = 0.1
RENEWAL_INTERVAL_S = 0.5
# On a slow store the renewal interval is a multiple of its latency, so that
# renewals do not fill its queue. Up to this interval two renewals may be late
# without loss of the lease.
MAX_RENEWAL_INTERVAL_S = 0.8
RENEWAL_INTERVAL_FACTOR = 3.0
# Time without a renewal after which other daemons may claim a lease; three
# renewals may be lost or late before that.
HOLDER_TIMEOUT_S = 2.0
# Shorter than the timeout, so that a holder stops before others take over. The
# holder counts from before it sent the renewal, others from when they read it.
LEASE_S = 1.7
# Claims are delayed by up to this time, so that most daemons see the claim of
# another one before they make their own.
CLAIM_SPREAD_S = 0.3
# Additional delay for each group of leases held, so that daemons that hold
# fewer groups claim first.
CLAIM_DELAY_PER_GROUP_S = 0.35
# Instances with fewer cores delay their claims, so that larger ones win.
# Running the jobs of 22 replicas takes up to a third of a core.
PREFERRED_CORES = 1.0
SMALL_INSTANCE_DELAY_S = 0.6
# A renewal on an unresponsive connection has to be retried before the lease
# expires. Each renewal without a response doubles the timeout, so that
# renewals do not fill the queue of a slow store.
RENEWAL_TIMEOUT_S = 0.6
MAX_RENEWAL_TIMEOUT_S = 1.2
# Longest time from the check of a lease to the arrival of an order that was
# sent under it: an attempt on an idle connection and one on a new connection.
ORDER_FLIGHT_S = 1.0
# Renewals that are added to a batch of other records need no append of their
# own.
PIGGYBACK_RENEWAL_INTERVAL_S = 0.25

# Lease for reporting usage, and the group of all calls to the platform.
USAGE_LEASE = ids.LeaseName('usage')
PLATFORM_DUTIES = 'duties at the platform'
# Group of the jobs of models that no service has.
UNSERVED_JOBS = 'jobs without a service'

_held = prometheus_client.Gauge(
    'lentildeal_duties_held', 'Leases that this daemon holds.'
)


def orders_lease_name(service: ids.ServiceName) -> ids.LeaseName:
    """Name of the lease for sending orders to a service's replicas."""
    return ids.LeaseName(f'orders/{service}')


def jobs_lease_name(model: ids.ModelName) -> ids.LeaseName:
    """Name of the lease for running the jobs of a model."""
    return ids.LeaseName(f'jobs/{model}')


def scaling_lease_name(service: ids.ServiceName) -> ids.LeaseName:
    """Name of the lease for ordering replicas of a service."""
    return ids.LeaseName(f'scaling/{service}')


@dataclasses.dataclass
class _HeldLease:
    group: str
    term: ids.Term
    expires_s: float
    orders_from_s: float


@plugins.register('duties', after=('work_log',))
class LeaseManager(plugins.Plugin):
    """Holds some of the leases of the deployment."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self.changed = wakeup.Wakeup()
        self._directory = kernel.plugin('directory')
        self._log = kernel.plugin('work_log')
        self._instance = kernel.settings.instance
        self._leases: dict[ids.LeaseName, _HeldLease] = {}
        self._vacant_since_s: dict[ids.LeaseName, float] = {}
        self._resigned: set[ids.Term] = set()
        self._renewed_s = 0.0
        self._interval_s = RENEWAL_INTERVAL_S
        self._renewal_timeout_s = RENEWAL_TIMEOUT_S
        self._is_leaving = False
        self._has_read_demand = False

    def start(self) -> None:
        """See the base class."""
        self._log.add_piggyback_source(self)
        self._kernel.spawn('duties', self._run)

    def find_term(
        self, lease_name: ids.LeaseName
    ) -> typing.Optional[ids.Term]:
        """Term under which this daemon holds a lease, None if it does not."""
        lease = self._leases.get(lease_name)
        if lease is None or lease.expires_s <= clock.uptime_s():
            return None
        if self._log.leases.get(lease_name).term != lease.term:
            return None
        return lease.term

    def may_order(self, lease_name: ids.LeaseName) -> bool:
        """Whether orders may be sent under a lease.

        Two holders must not send orders within the lease time of the
        platform, which is longer than the time without a renewal after
        which a lease is claimed.
        """
        lease = self._leases.get(lease_name)
        return (
            lease is not None
            and self.find_term(lease_name) is not None
            and clock.uptime_s() >= lease.orders_from_s
        )

    def is_taken_over(self, lease_name: ids.LeaseName) -> bool:
        """Whether the log shows that another daemon holds a lease."""
        state = self._log.leases.get(lease_name)
        return state.holder is not None and not self._is_holder(lease_name)

    def resign_all(self) -> None:
        """Resigns from all leases before a planned stop."""
        self._is_leaving = True
        for lease_name in list(self._leases):
            self.resign(lease_name, 'leaving')

    def resign(self, lease_name: ids.LeaseName, reason: str) -> None:
        """Resigns from a lease."""
        lease = self._leases.pop(lease_name, None)
        if lease is None:
            return
        events.emit(
            'duty_lost', duty=lease_name, term=lease.term, reason=reason
        )
        self._resigned.add(lease.term)
        self._log.enqueue(records.Resignation(lease_name, lease.term))
        self.changed.set()

    def make_piggyback_record(self) -> typing.Optional[records.Renewal]:
        """See ``append_queue.PiggybackSource``."""
        age_s = clock.uptime_s() - self._renewed_s
        if not self._leases or age_s < PIGGYBACK_RENEWAL_INTERVAL_S:
            return None
        return self._make_renewal()

    def handle_appended(self, renewal: records.Renewal, sent_s: float) -> None:
        """See ``append_queue.PiggybackSource``.

        A renewal that was confirmed after the lease had expired may follow the
        claim of another daemon in the log, so it extends nothing.
        """
        self._renewed_s = sent_s
        for lease_name, term in renewal.leases:
            lease = self._leases.get(lease_name)
            if lease is None or lease.term != term:
                continue
            if lease.expires_s <= clock.uptime_s():
                # Renewed at the next check, which reads the log afterwards.
                self._renewed_s = 0.0
                continue
            lease.expires_s = max(lease.expires_s, sent_s + LEASE_S)

    def _make_renewal(self) -> records.Renewal:
        return records.Renewal(
            tuple((n, lease.term) for n, lease in self._leases.items())
        )

    def _is_holder(self, lease_name: ids.LeaseName) -> bool:
        state = self._log.leases.get(lease_name)
        return (
            state.holder == self._instance
            and state.incarnation == self._kernel.incarnation
        )

    def _run(self) -> None:
        while True:
            if self._directory.is_loaded and self._log.is_caught_up:
                self._drop_lost()
                self._renew()
                if self._is_leaving:
                    self._resign_late_claims()
                else:
                    self._claim_vacant()
                self._update_read_demand()
                _held.set(len(self._leases))
            eventlet.sleep(CHECK_INTERVAL_S)

    def _update_read_demand(self) -> None:
        """Reads without delay while this daemon holds a lease."""
        is_needed = bool(self._leases)
        if is_needed == self._has_read_demand:
            return
        self._has_read_demand = is_needed
        demand = self._directory.read_demand
        if is_needed:
            demand.add()
        else:
            demand.remove()

    def _iter_wanted_leases(
        self,
    ) -> typing.Iterator[tuple[ids.LeaseName, str]]:
        """Iterates over lease names and their groups.

        One daemon should hold all leases of a group. The jobs of all models
        of a service share its replicas, and two holders would fill the same
        replica at the same time.
        """
        served: set[ids.ModelName] = set()
        for service in self._directory.text.iter_engine_services():
            lease_name = orders_lease_name(service.name)
            yield lease_name, lease_name
            for model in service.models:
                served.add(model)
                yield jobs_lease_name(model), f'jobs of {service.name}'
        # Jobs of a model that the text no longer names have to be given up.
        models = {e.head.model for e in self._log.table.iter_open()}
        for model in sorted(models - served):
            yield jobs_lease_name(model), UNSERVED_JOBS
        duties = self._kernel.settings.duties
        if duties is None:
            return
        if duties.has(settings_module.DutyKind.USAGE_REPORT):
            yield USAGE_LEASE, PLATFORM_DUTIES
        if duties.has(settings_module.DutyKind.AUTOSCALE):
            for service in self._directory.text.services.values():
                if service.scaling is not None:
                    yield scaling_lease_name(service.name), PLATFORM_DUTIES

    def _drop_lost(self) -> None:
        for lease_name, lease in list(self._leases.items()):
            if self._log.leases.get(lease_name).term != lease.term:
                del self._leases[lease_name]
                events.emit(
                    'duty_lost',
                    duty=lease_name,
                    term=lease.term,
                    reason='another daemon has claimed it',
                )
                self.changed.set()

    def _renew(self) -> None:
        now_s = clock.uptime_s()
        if not self._leases or now_s - self._renewed_s < self._interval_s:
            return
        renewal = self._make_renewal()
        try:
            self._log.append([renewal], self._renewal_timeout_s)
            self._extend(renewal, now_s)
        except exceptions.PlatformError:
            # Retried at the next check; the lease expires if it keeps failing.
            self._renewal_timeout_s = min(
                MAX_RENEWAL_TIMEOUT_S, 2 * self._renewal_timeout_s
            )
            return
        self._renewal_timeout_s = RENEWAL_TIMEOUT_S
        self._interval_s = min(
            MAX_RENEWAL_INTERVAL_S,
            max(
                RENEWAL_INTERVAL_S,
                RENEWAL_INTERVAL_FACTOR * (clock.uptime_s() - now_s),
            ),
        )

    def _extend(self, renewal: records.Renewal, sent_s: float) -> None:
        """Extends the leases of a confirmed renewal.

        An expired lease is extended only if the log shows that no other
        daemon claimed it before the renewal.

        Raises:
            exceptions.PlatformError: The log could not be read.
        """
        is_expired = any(
            lease.expires_s <= clock.uptime_s()
            for lease in self._leases.values()
        )
        if is_expired:
            self._log.sync()
            self._drop_lost()
        self._renewed_s = sent_s
        for lease_name, term in renewal.leases:
            lease = self._leases.get(lease_name)
            if lease is not None and lease.term == term:
                lease.expires_s = max(lease.expires_s, sent_s + LEASE_S)

    def _claim_vacant(self) -> None:
        due: dict[str, list[ids.LeaseName]] = {}
        for lease_name, group in self._iter_wanted_leases():
            if lease_name in self._leases or not self._is_vacant(lease_name):
                self._vacant_since_s.pop(lease_name, None)
                self._recover_claim(lease_name, group)
                continue
            now_s = clock.uptime_s()
            since_s = self._vacant_since_s.setdefault(lease_name, now_s)
            if now_s - since_s >= self._claim_delay_s(lease_name, group):
                due.setdefault(group, []).append(lease_name)
        # One group a check: a held group delays the claim of the next one, so
        # that another daemon takes it. Otherwise the loss of one daemon stops
        # both the orders and the jobs of a service.
        for group, lease_names in list(due.items())[:1]:
            self._claim(group, lease_names)

    def _recover_claim(self, lease_name: ids.LeaseName, group: str) -> None:
        """Keeps a lease whose claim took effect without a response.

        The lease is held from the next renewal on.
        """
        term = self._log.leases.get(lease_name).term
        is_known = lease_name in self._leases or term in self._resigned
        if self._is_holder(lease_name) and not is_known:
            # The claim replaced a state that is not known any more.
            lease_s = self._kernel.settings.store.lease_ms / 1000
            self._leases[lease_name] = _HeldLease(
                group, term, 0.0, clock.uptime_s() + ORDER_FLIGHT_S + lease_s
            )
            self._renewed_s = 0.0

    def _resign_late_claims(self) -> None:
        """Resigns from leases whose claim was on its way at the resignation.

        Others would wait until the lease expires.
        """
        for lease_name, group in self._iter_wanted_leases():
            self._recover_claim(lease_name, group)
        for lease_name in list(self._leases):
            self.resign(lease_name, 'leaving')

    def _is_vacant(self, lease_name: ids.LeaseName) -> bool:
        state = self._log.leases.get(lease_name)
        if state.holder == self._instance and not self._is_holder(lease_name):
            # It was held by an earlier process of this instance.
            return True
        return self._log.leases.is_vacant(
            lease_name,
            now_s=clock.uptime_s(),
            connected_since_s=self._log.connected_since_s,
            timeout_s=HOLDER_TIMEOUT_S,
        )

    def _claim_delay_s(self, lease_name: ids.LeaseName, group: str) -> float:
        held = {lease.group for lease in self._leases.values()}
        holder = self._log.leases.get(lease_name).holder
        if group in held or holder == self._instance:
            return 0.0
        # The same delay for all leases of a group that one holder lost.
        share = hashing.hash_text(group, self._instance, str(holder)) / 2**64
        delay_s = CLAIM_SPREAD_S * share + CLAIM_DELAY_PER_GROUP_S * len(held)
        if self._kernel.settings.resources.cores < PREFERRED_CORES:
            delay_s += SMALL_INSTANCE_DELAY_S
        return delay_s

    def _orders_from_s(
        self, previous: leases.LeaseState, claimed_s: float
    ) -> float:
        """Time from which orders may be sent under a claimed lease.

        Orders of two holders to one replica have to be at least the lease
        time of the platform apart. Replicas that check fencing tokens refuse
        late orders themselves, and there only holders that are connected
        count, so a part of that time suffices.

        Args:
            previous: State of the lease that the claim replaced.
            claimed_s: When the claim was sent.
        """
        store = self._kernel.settings.store
        lease_s = store.lease_ms / 1000
        holder = previous.holder or previous.resigned_holder
        if holder in (None, self._instance):
            return claimed_s
        if store.requires_fence:
            if previous.holder is None:
                return claimed_s
            return claimed_s + max(0.0, lease_s - HOLDER_TIMEOUT_S)
        last_check_s = previous.seen_s
        if previous.holder is not None:
            last_check_s += LEASE_S
        return max(claimed_s, last_check_s + ORDER_FLIGHT_S + lease_s)

    def _claim(self, group: str, lease_names: list[ids.LeaseName]) -> None:
        """Claims leases of a group in one append.

        With one append per lease, two daemons that start at the same time
        would each win some of them.
        """
        previous = {n: self._log.leases.get(n) for n in lease_names}
        claims = [
            self._log.leases.make_claim(
                lease_name, self._instance, self._kernel.incarnation
            )
            for lease_name in lease_names
        ]
        sent_s = clock.uptime_s()
        try:
            self._log.append([self._log.leases.make_basis(), *claims])
            self._log.sync()
        except exceptions.PlatformError:
            # If the claims took effect anyway, the next check finds their
            # terms, or they expire.
            return
        for lease_name in lease_names:
            if self._is_holder(lease_name):
                self._hold(lease_name, group, previous[lease_name], sent_s)

    def _hold(
        self,
        lease_name: ids.LeaseName,
        group: str,
        previous: leases.LeaseState,
        sent_s: float,
    ) -> None:
        """Starts to hold a lease whose claim took effect."""
        term = self._log.leases.get(lease_name).term
        self._leases[lease_name] = _HeldLease(
            group,
            term,
            sent_s + LEASE_S,
            self._orders_from_s(previous, sent_s),
        )
        events.emit(
            'duty_claimed',
            duty=lease_name,
            term=term,
            previous=previous.holder,
        )
        self.changed.set()
