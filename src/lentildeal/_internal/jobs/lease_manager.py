"""Plug-in ``duties``: claims vacant duties and renews those held."""

from __future__ import annotations

import dataclasses
import typing

import eventlet
import prometheus_client

from lentildeal._internal import exceptions
from lentildeal._internal.jobs import records
from lentildeal._internal.kernel import plugins
from lentildeal._internal.logs import events
from lentildeal._internal.models import ids
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import hashing
from lentildeal._internal.utils import wakeup

CHECK_INTERVAL_S = 0.1
RENEWAL_INTERVAL_S = 0.5
# On a slow store renewals are spaced by a multiple of its answer time, so
# that they do not fill its queue; up to this interval two may still be late.
LONGEST_RENEWAL_INTERVAL_S = 0.8
RENEWAL_INTERVAL_FACTOR = 3.0
# Three renewals may be lost or late before others take a duty over.
TIMEOUT_S = 2.0
# A holder stops before others take over. Its lease counts from before the
# renewal was sent, theirs from when they saw it.
LEASE_S = 1.7
# Claims are spread over this time, so that most of them are not made at all.
CLAIM_SPREAD_S = 0.3
# Each group of duties already held lets others be faster.
CLAIM_DELAY_PER_GROUP_S = 0.35
# An instance with less processor than this lets others be faster; running
# the jobs of 22 replicas takes up to a third of a core.
WANTED_CORES = 1.0
SMALL_DELAY_S = 0.6
# A renewal on a connection that went silent has to be repeated in time. Each
# one that gets no answer doubles the time, so that renewals do not fill the
# queue of a slow store.
RENEWAL_TIMEOUT_S = 0.6
LONGEST_RENEWAL_TIMEOUT_S = 1.2
# Renewals that go with other records cost no append of their own.
JOINT_RENEWAL_INTERVAL_S = 0.25

_held = prometheus_client.Gauge(
    'lentildeal_duties_held', 'Duties that this daemon holds.'
)


def orders_lease_name(service: ids.ServiceName) -> ids.LeaseName:
    """Name of the duty to order the replicas of a service."""
    return ids.LeaseName(f'orders/{service}')


def jobs_lease_name(model: ids.ModelName) -> ids.LeaseName:
    """Name of the duty to run the jobs of a model."""
    return ids.LeaseName(f'jobs/{model}')


@dataclasses.dataclass
class _HeldLease:
    group: str
    term: ids.Term
    until_s: float
    orders_from_s: float


@plugins.register('duties', after=('work_log',))
class LeaseManager(plugins.Plugin):
    """Holds a part of the duties of the deployment."""

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

    def start(self) -> None:
        """See the base class."""
        self._log.add_companion(self)
        self._kernel.spawn('duties', self._run)

    def find_term(self, duty: ids.LeaseName) -> typing.Optional[ids.Term]:
        """Term under which this daemon holds a duty now, None if not."""
        lease = self._leases.get(duty)
        if lease is None or lease.until_s <= clock.uptime_s():
            return None
        if self._log.duties.get(duty).term != lease.term:
            return None
        return lease.term

    def may_order(self, duty: ids.LeaseName) -> bool:
        """Whether orders may be given under a duty.

        Two holders must not order within the lease time of the platform,
        which is longer than the silence after which a duty is claimed.
        """
        lease = self._leases.get(duty)
        return (
            lease is not None
            and self.find_term(duty) is not None
            and clock.uptime_s() >= lease.orders_from_s
        )

    def is_taken_over(self, duty: ids.LeaseName) -> bool:
        """Whether the log shows that another daemon holds a duty."""
        state = self._log.duties.get(duty)
        return state.holder is not None and not self._is_mine(duty)

    def resign_all(self) -> None:
        """Gives all duties back, before a planned stop."""
        self._is_leaving = True
        for duty in list(self._leases):
            self.resign(duty, 'leaving')

    def resign(self, duty: ids.LeaseName, reason: str) -> None:
        """Gives one duty back."""
        lease = self._leases.pop(duty, None)
        if lease is None:
            return
        events.emit('duty_lost', duty=duty, term=lease.term, reason=reason)
        self._resigned.add(lease.term)
        self._log.enqueue(records.Resignation(duty, lease.term))
        self.changed.set()

    def make_companion(self) -> typing.Optional[records.Renewal]:
        """See ``append_queue.Companion``."""
        age_s = clock.uptime_s() - self._renewed_s
        if not self._leases or age_s < JOINT_RENEWAL_INTERVAL_S:
            return None
        return self._make_renewal()

    def note_appended(self, renewal: records.Renewal, sent_s: float) -> None:
        """See ``append_queue.Companion``."""
        self._renewed_s = sent_s
        for duty, term in renewal.duties:
            lease = self._leases.get(duty)
            if lease is not None and lease.term == term:
                lease.until_s = max(lease.until_s, sent_s + LEASE_S)

    def _make_renewal(self) -> records.Renewal:
        return records.Renewal(
            tuple((d, lease.term) for d, lease in self._leases.items())
        )

    def _is_mine(self, duty: ids.LeaseName) -> bool:
        state = self._log.duties.get(duty)
        return (
            state.holder == self._instance
            and state.incarnation == self._kernel.incarnation
        )

    def _run(self) -> None:
        while True:
            if self._directory.is_loaded and self._log.is_caught_up:
                self._drop_lost()
                self._renew()
                if not self._is_leaving:
                    self._claim_vacant()
                _held.set(len(self._leases))
            eventlet.sleep(CHECK_INTERVAL_S)

    def _wanted(self) -> typing.Iterator[tuple[ids.LeaseName, str]]:
        """Duties with the group that one daemon should hold together.

        The jobs of all models of a service share its replicas: two holders
        would fill the same replica at the same moment.
        """
        for service in self._directory.text.iter_engine_services():
            duty = orders_lease_name(service.name)
            yield duty, duty
            for model in service.models:
                yield jobs_lease_name(model), f'jobs of {service.name}'

    def _drop_lost(self) -> None:
        for duty, lease in list(self._leases.items()):
            if self._log.duties.get(duty).term != lease.term:
                del self._leases[duty]
                events.emit(
                    'duty_lost',
                    duty=duty,
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
        except exceptions.PlatformError:
            # Tried again at the next check; the lease ends if it fails on.
            self._renewal_timeout_s = min(
                LONGEST_RENEWAL_TIMEOUT_S, 2 * self._renewal_timeout_s
            )
            return
        self._renewal_timeout_s = RENEWAL_TIMEOUT_S
        self._interval_s = min(
            LONGEST_RENEWAL_INTERVAL_S,
            max(
                RENEWAL_INTERVAL_S,
                RENEWAL_INTERVAL_FACTOR * (clock.uptime_s() - now_s),
            ),
        )
        self.note_appended(renewal, now_s)

    def _claim_vacant(self) -> None:
        due: dict[str, list[ids.LeaseName]] = {}
        for duty, group in self._wanted():
            if duty in self._leases or not self._is_vacant(duty):
                self._vacant_since_s.pop(duty, None)
                self._adopt(duty, group)
                continue
            now_s = clock.uptime_s()
            since_s = self._vacant_since_s.setdefault(duty, now_s)
            if now_s - since_s >= self._claim_delay_s(duty, group):
                due.setdefault(group, []).append(duty)
        for group, names in due.items():
            self._claim(group, names)

    def _adopt(self, duty: ids.LeaseName, group: str) -> None:
        """Keeps a duty whose claim took effect without an answer.

        It is held from the next renewal on.
        """
        term = self._log.duties.get(duty).term
        is_known = duty in self._leases or term in self._resigned
        if self._is_mine(duty) and not is_known:
            self._leases[duty] = _HeldLease(
                group, term, 0.0, clock.uptime_s() + self._orders_wait_s()
            )
            self._renewed_s = 0.0

    def _is_vacant(self, duty: ids.LeaseName) -> bool:
        state = self._log.duties.get(duty)
        if state.holder == self._instance and not self._is_mine(duty):
            # The earlier process of this instance held it and is gone.
            return True
        return self._log.duties.is_vacant(
            duty,
            now_s=clock.uptime_s(),
            heard_since_s=self._log.heard_since_s,
            timeout_s=TIMEOUT_S,
        )

    def _claim_delay_s(self, duty: ids.LeaseName, group: str) -> float:
        held = {lease.group for lease in self._leases.values()}
        holder = self._log.duties.get(duty).holder
        if group in held or holder == self._instance:
            return 0.0
        # The same for all duties of a group that one holder has lost.
        share = hashing.hash_text(group, self._instance, str(holder)) / 2**64
        delay_s = CLAIM_SPREAD_S * share + CLAIM_DELAY_PER_GROUP_S * len(held)
        if self._kernel.settings.resources.cores < WANTED_CORES:
            delay_s += SMALL_DELAY_S
        return delay_s

    def _orders_wait_s(self) -> float:
        """Time after a claim until the previous holder's turn is over."""
        lease_s = self._kernel.settings.store.lease_ms / 1000
        return max(0.0, lease_s - TIMEOUT_S)

    def _claim(self, group: str, names: list[ids.LeaseName]) -> None:
        """Claims duties of a group in one append.

        With an append for each, two daemons that start together would each
        win a part of them.
        """
        previous = {d: self._log.duties.get(d).holder for d in names}
        claims = [
            self._log.duties.make_claim(
                duty, self._instance, self._kernel.incarnation
            )
            for duty in names
        ]
        sent_s = clock.uptime_s()
        try:
            self._log.append(claims)
            self._log.sync()
        except exceptions.PlatformError:
            # If the claims took effect after all, their terms are found by
            # the next check or run out.
            return
        for duty in names:
            if self._is_mine(duty):
                self._take(duty, group, previous[duty], sent_s)

    def _take(
        self,
        duty: ids.LeaseName,
        group: str,
        previous: typing.Optional[ids.InstanceId],
        sent_s: float,
    ) -> None:
        """Holds a duty whose claim has taken effect."""
        wait_s = 0.0
        if previous not in (None, self._instance):
            wait_s = self._orders_wait_s()
        term = self._log.duties.get(duty).term
        self._leases[duty] = _HeldLease(
            group, term, sent_s + LEASE_S, sent_s + wait_s
        )
        events.emit('duty_claimed', duty=duty, term=term, previous=previous)
        self.changed.set()
