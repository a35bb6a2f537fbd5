"""States of the other members as seen by this daemon and its clock.

The state of a member of this domain follows from its own heartbeats. That of
a member of another domain follows from its heartbeats or from the rosters of
those members of its domain that send heartbeats here (reporters).
Incarnations are random and have no order: one received directly replaces the
previous one, which is then retired.
"""

from __future__ import annotations

import dataclasses
import typing

from lentildeal._internal.adapters import base
from lentildeal._internal.membership import merging
from lentildeal._internal.models import ids
from lentildeal._internal.models import members
from lentildeal._internal.settings import settings as settings_module
from lentildeal._internal.utils import clock as clock_module

State = members.MemberState

# Intervals after which a late tick counts as a pause; also the most silence
# that one tick adds to a member.
MAX_TICK_INTERVALS = 2
# Time after which a daemon that starts while the instance list is unavailable
# treats its view as complete; members that know its address have connected by
# then.
SETTLE_WITHOUT_LIST_S = 10.0
# Shorter than the replacement of an instance, longer than a restart.
FORGET_AFTER_S = 600.0
# Retired incarnations kept for each instance.
MAX_RETIRED = 8


@dataclasses.dataclass
class _LastHeartbeat:
    """Last direct heartbeat of an instance.

    Attributes:
        member: The instance as reported by itself.
        received_s: Time of receipt, in seconds of listening time.
        is_refused: Whether its address has refused a connection since then.
        retired: Earlier incarnations.
    """

    member: members.Member
    received_s: float
    is_refused: bool = False
    retired: tuple[ids.Incarnation, ...] = ()


Roster = dict[ids.InstanceId, members.Member]


class MemberTable:
    """States of all members, derived in ``tick`` and ``refresh``."""

    def __init__(
        self,
        own: members.Member,
        timing: settings_module.Timing,
        clock: typing.Callable[[], float] = clock_module.monotonic_s,
    ) -> None:
        self.own = own
        self._interval_s = timing.heartbeat_ms / 1000
        self._suspect_s = timing.suspect_ms / 1000
        self._dead_s = timing.dead_ms / 1000
        self._clock = clock
        self._started_s = clock()
        self._ticked_s = self._started_s
        # Time during which this daemon could receive heartbeats. Silence is
        # measured in it, so that a pause does not count as silence.
        self._listened_s = 0.0
        self._resumed_s = 0.0
        self._is_settled = False
        self.pauses = 0
        self._has_listed = False
        self._last_heartbeats: dict[ids.InstanceId, _LastHeartbeat] = {}
        self._rosters: dict[ids.InstanceId, Roster] = {}
        self._known_instances: dict[ids.InstanceId, base.ListedInstance] = {}
        self._members: Roster = {own.instance: own}
        # Cached view of each other domain, with the directly received states
        # that it was derived from. Valid until one of these or a roster
        # changes.
        self._domain_views: dict[ids.FailureDomain, tuple[Roster, Roster]] = {}
        self._silent_since_s: dict[ids.InstanceId, float] = {}
        self._cut_off: frozenset[ids.FailureDomain] = frozenset()

    @property
    def cut_off_domains(self) -> frozenset[ids.FailureDomain]:
        """Other domains from which no heartbeats arrive."""
        return self._cut_off

    @property
    def is_settled(self) -> bool:
        """Whether the view is fresh enough to act as an owner.

        False at the start and right after a pause. The time of the last
        tick counts too, because a request may be served before the first
        tick after a pause.
        """
        late_s = self._clock() - self._ticked_s
        return self._is_settled and late_s < self._max_tick_s()

    def members(self) -> list[members.Member]:
        """Returns all members received or reported, this one included."""
        return list(self._members.values())

    def get(self, instance: ids.InstanceId) -> typing.Optional[members.Member]:
        """Returns a member, None if it is not known."""
        return self._members.get(instance)

    def known_instances(self) -> list[base.ListedInstance]:
        """Returns the addresses of all known instances except this one."""
        return list(self._known_instances.values())

    def live(self) -> list[members.Member]:
        """Returns live members on this side of any partition."""
        return [
            member
            for member in self._members.values()
            if member.state is State.LIVE
            and member.failure_domain not in self._cut_off
        ]

    def owner_candidates(
        self, domain: ids.FailureDomain
    ) -> list[ids.InstanceId]:
        """Returns the members that may own replicas of a domain."""
        if domain in self._cut_off:
            return []
        live = self.live()
        inside = [m.instance for m in live if m.failure_domain == domain]
        if inside or not self._is_known_dead(domain):
            return inside
        return [m.instance for m in live]

    def set_own(self, **changes: typing.Any) -> bool:
        """Changes the own member; returns whether it differs."""
        changed = dataclasses.replace(self.own, **changes)
        is_new = changed != self.own
        self.own = self._members[changed.instance] = changed
        return is_new

    def record_member(self, member: members.Member) -> None:
        """Records a member as reported by itself."""
        heartbeat = self._last_heartbeats.get(member.instance)
        retired: tuple[ids.Incarnation, ...] = ()
        if heartbeat is not None:
            retired = heartbeat.retired
            if member.incarnation in retired:
                return
            if member.incarnation != heartbeat.member.incarnation:
                retired += (heartbeat.member.incarnation,)
                self._rosters.pop(member.instance, None)
        self._last_heartbeats[member.instance] = _LastHeartbeat(
            member, self._now_s(), retired=retired[-MAX_RETIRED:]
        )
        self._domain_views.pop(member.failure_domain, None)
        self._add_known_instance(member)

    def record_heartbeat(
        self, instance: ids.InstanceId, incarnation: ids.Incarnation
    ) -> bool:
        """Records a heartbeat; False if the incarnation is not known yet."""
        heartbeat = self._last_heartbeats.get(instance)
        if heartbeat is None or incarnation != heartbeat.member.incarnation:
            return heartbeat is not None and incarnation in heartbeat.retired
        heartbeat.received_s = self._now_s()
        heartbeat.is_refused = False
        return True

    def record_roster(
        self,
        reporter: ids.InstanceId,
        entries: typing.Iterable[members.Member],
        removed: typing.Iterable[ids.InstanceId],
        is_full: bool,
    ) -> None:
        """Records a member's roster of its domain."""
        roster = self._rosters.setdefault(reporter, {})
        if is_full:
            roster.clear()
        for instance in removed:
            roster.pop(instance, None)
            self._invalidate_domain_view(instance)
        for member in entries:
            if member.instance == self.own.instance:
                continue
            roster[member.instance] = member
            self._domain_views.pop(member.failure_domain, None)
            self._add_known_instance(member)

    def mark_refused(self, instance: ids.InstanceId) -> None:
        """Records that an instance's address refuses connections.

        A process that has crashed is then suspect at once instead of after
        the heartbeat timeout.
        """
        heartbeat = self._last_heartbeats.get(instance)
        if heartbeat is not None:
            heartbeat.is_refused = True

    def apply_instance_list(self, listed: list[base.ListedInstance]) -> None:
        """Adds listed instances and removes unlisted ones that are silent.

        A list without this daemon is wrong and removes none.
        """
        self._has_listed = True
        named = {item.instance for item in listed}
        for item in listed:
            if (
                item.instance not in self._known_instances
                and not item.is_leaving
            ):
                self._known_instances[item.instance] = item
        self._known_instances.pop(self.own.instance, None)
        if self.own.instance not in named:
            return
        for instance in list(self._known_instances):
            if instance not in named and self._is_long_silent(instance):
                self._forget(instance)

    def tick(self) -> bool:
        """Advances the listening time and derives all states again.

        Called once every heartbeat interval. Returns whether anything has
        changed.
        """
        now_s = self._clock()
        gap_s = now_s - self._ticked_s
        self._ticked_s = now_s
        is_late = gap_s >= self._max_tick_s()
        # It is unknown how much of a pause was listening time; one interval
        # is what the tick would have added without the pause.
        self._listened_s += self._interval_s if is_late else gap_s
        if is_late:
            self._is_settled = False
            self.pauses += 1
            self._resumed_s = self._listened_s
        return self.refresh()

    def refresh(self) -> bool:
        """Derives the states of all members; returns whether they differ."""
        before = (self._members, self._cut_off, self._is_settled)
        after: Roster = {self.own.instance: self.own}
        cut_off = set()
        for domain, instances in self._group_by_domain().items():
            if domain == self.own.failure_domain:
                domain_view = self._derive_own_domain(instances)
            else:
                domain_view = self._derive_other_domain(domain, instances)
                if domain_view is None:
                    domain_view = merging.keep_last_view(
                        instances, self._members
                    )
                    if not merging.are_all_dead(domain_view.values()):
                        cut_off.add(domain)
            after.update(domain_view)
        self._members = after
        self._cut_off = frozenset(cut_off)
        self._track_silence()
        self._is_settled = self._is_settled or self._may_settle()
        return before != (after, self._cut_off, self._is_settled)

    def _max_tick_s(self) -> float:
        return MAX_TICK_INTERVALS * self._interval_s

    def _now_s(self) -> float:
        gap_s = self._clock() - self._ticked_s
        return self._listened_s + min(gap_s, self._max_tick_s())

    def _add_known_instance(self, member: members.Member) -> None:
        self._known_instances[member.instance] = base.ListedInstance(
            member.instance,
            member.failure_domain,
            member.peer_address,
            member.http_address,
        )

    def _group_by_domain(
        self,
    ) -> dict[ids.FailureDomain, list[ids.InstanceId]]:
        groups: dict[ids.FailureDomain, list[ids.InstanceId]] = {}
        for item in self._known_instances.values():
            groups.setdefault(item.failure_domain, []).append(item.instance)
        return groups

    def _silence_s(self, heartbeat: _LastHeartbeat) -> float:
        return self._now_s() - heartbeat.received_s

    def _derive_direct_view(self, heartbeat: _LastHeartbeat) -> members.Member:
        silence_s = self._silence_s(heartbeat)
        reported_state = state = heartbeat.member.state
        if silence_s >= self._dead_s:
            state = State.DEAD
        elif state is State.LEAVING:
            pass
        elif silence_s >= self._suspect_s or heartbeat.is_refused:
            state = State.SUSPECT
        if state is reported_state:
            return heartbeat.member
        return dataclasses.replace(heartbeat.member, state=state)

    def _derive_own_domain(self, instances: list[ids.InstanceId]) -> Roster:
        return {
            instance: self._derive_direct_view(self._last_heartbeats[instance])
            for instance in instances
            if instance in self._last_heartbeats
        }

    def _derive_other_domain(
        self, domain: ids.FailureDomain, instances: list[ids.InstanceId]
    ) -> typing.Optional[Roster]:
        """Merges direct heartbeats and rosters; None if all are silent."""
        direct = {
            instance: self._derive_direct_view(self._last_heartbeats[instance])
            for instance in instances
            if instance in self._last_heartbeats
            and self._silence_s(self._last_heartbeats[instance]) < self._dead_s
        }
        if not direct:
            self._domain_views.pop(domain, None)
            return None
        cached = self._domain_views.get(domain)
        if cached is not None and cached[0] == direct:
            return cached[1]
        result = self._merge_domain(instances, direct)
        self._domain_views[domain] = (direct, result)
        return result

    def _merge_domain(
        self, instances: list[ids.InstanceId], direct: Roster
    ) -> Roster:
        rosters = [self._rosters.get(reporter, {}) for reporter in direct]
        result = {}
        for instance in instances:
            reports = [r[instance] for r in rosters if instance in r]
            merged = merging.merge(
                direct.get(instance), reports, self._members.get(instance)
            )
            if merged is not None:
                result[instance] = merged
        return result

    def _is_known_dead(self, domain: ids.FailureDomain) -> bool:
        return not any(
            member.failure_domain == domain
            and member.state is not State.DEAD
            and member.state is not State.LEAVING
            for member in self._members.values()
        )

    def _track_silence(self) -> None:
        for instance, item in self._known_instances.items():
            member = self._members.get(instance)
            is_silent = (
                member is None
                or member.state is State.DEAD
                or item.failure_domain in self._cut_off
            )
            if not is_silent:
                self._silent_since_s.pop(instance, None)
            else:
                self._silent_since_s.setdefault(instance, self._listened_s)

    def _is_long_silent(self, instance: ids.InstanceId) -> bool:
        since_s = self._silent_since_s.get(instance)
        return (
            since_s is not None and self._listened_s - since_s > FORGET_AFTER_S
        )

    def _invalidate_domain_view(self, instance: ids.InstanceId) -> None:
        member = self._members.get(instance)
        if member is not None:
            self._domain_views.pop(member.failure_domain, None)

    def _forget(self, instance: ids.InstanceId) -> None:
        self._invalidate_domain_view(instance)
        del self._known_instances[instance]
        self._silent_since_s.pop(instance, None)
        self._last_heartbeats.pop(instance, None)
        self._rosters.pop(instance, None)
        for roster in self._rosters.values():
            roster.pop(instance, None)

    def _may_settle(self) -> bool:
        """Whether each live neighbour has sent since the start or a pause."""
        if self._listened_s - self._resumed_s < self._interval_s:
            return False
        if not self._has_listed:
            return self._listened_s >= SETTLE_WITHOUT_LIST_S or bool(
                self._last_heartbeats
            )
        neighbours = [
            item.instance
            for item in self._known_instances.values()
            if item.failure_domain == self.own.failure_domain
        ]
        waited_s = self._listened_s - self._resumed_s
        return waited_s >= self._suspect_s or all(
            instance in self._last_heartbeats
            and (
                self._last_heartbeats[instance].received_s > self._resumed_s
                or self._members[instance].state is not State.LIVE
            )
            for instance in neighbours
        )
