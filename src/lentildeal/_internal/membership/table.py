"""What this daemon believes of the other members, by its own clock only.

A member of this domain is judged by its own heartbeats. A member of another
domain is judged by its heartbeats or by the rosters of members of its domain
that are heard themselves (vouchers). Incarnations are random and have no
order: one heard directly replaces the one before, which is then retired.
"""

from __future__ import annotations

import dataclasses
import typing

from lentildeal._internal.adapters import base
from lentildeal._internal.membership import judging
from lentildeal._internal.models import ids
from lentildeal._internal.models import members
from lentildeal._internal.settings import settings as settings_module
from lentildeal._internal.utils import clock as clock_module

State = members.MemberState

# Intervals by which a tick may be late before it counts as a pause, and the
# most silence that one tick adds to every member.
LATE_INTERVALS = 2
# A daemon that starts while the instance list is down takes its own view as
# complete after this time; members that knew its address have dialled by
# then.
ALONE_S = 10.0
# Shorter than the replacement of an instance, longer than a restart.
FORGET_S = 600.0
# Retired incarnations kept for each instance.
MAX_RETIRED = 8


@dataclasses.dataclass
class _Heard:
    """Last direct heartbeat of an instance.

    Attributes:
        member: What the instance said of itself.
        at_s: When, in seconds of listening time.
        is_refused: Its address has refused a connection since then.
        retired: Incarnations that came before.
    """

    member: members.Member
    at_s: float
    is_refused: bool = False
    retired: tuple[ids.Incarnation, ...] = ()


Roster = dict[ids.InstanceId, members.Member]


class MemberTable:
    """States of all members; changes only in ``note_...`` and ``tick``."""

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
        # Time during which this daemon was able to hear heartbeats. Silence
        # is measured in it, so that a pause does not count as silence.
        self._listened_s = 0.0
        self._woken_s = 0.0
        self._is_settled = False
        self.pauses = 0
        self._has_listed = False
        self._heard: dict[ids.InstanceId, _Heard] = {}
        self._rosters: dict[ids.InstanceId, Roster] = {}
        self._contacts: dict[ids.InstanceId, base.ListedInstance] = {}
        self._members: Roster = {own.instance: own}
        # Last judgement of each other domain, with the states of the members
        # heard directly that it came from. It holds until one of these or a
        # roster changes.
        self._judged: dict[ids.FailureDomain, tuple[Roster, Roster]] = {}
        self._silent_since_s: dict[ids.InstanceId, float] = {}
        self._cut_off: frozenset[ids.FailureDomain] = frozenset()

    @property
    def cut_off_domains(self) -> frozenset[ids.FailureDomain]:
        """Other domains from which nothing is heard."""
        return self._cut_off

    @property
    def is_settled(self) -> bool:
        """Whether the view is fresh enough to act as an owner.

        False at the start and right after a pause. The time of the last
        tick is looked at too, because a request may be served before the
        first tick after a pause.
        """
        late_s = self._clock() - self._ticked_s
        return self._is_settled and late_s < self._longest_tick_s()

    def members(self) -> list[members.Member]:
        """All members ever heard or vouched for, this one included."""
        return list(self._members.values())

    def get(self, instance: ids.InstanceId) -> typing.Optional[members.Member]:
        """One member, None if it is not known."""
        return self._members.get(instance)

    def contacts(self) -> list[base.ListedInstance]:
        """Addresses of all instances known in any way, but this one."""
        return list(self._contacts.values())

    def live(self) -> list[members.Member]:
        """Members that are live and on this side of any partition."""
        return [
            member
            for member in self._members.values()
            if member.state is State.LIVE
            and member.failure_domain not in self._cut_off
        ]

    def owner_candidates(
        self, domain: ids.FailureDomain
    ) -> list[ids.InstanceId]:
        """Members among which the owner of a domain's replica is chosen."""
        if domain in self._cut_off:
            return []
        live = self.live()
        inside = [m.instance for m in live if m.failure_domain == domain]
        if inside or not self._is_known_dead(domain):
            return inside
        return [m.instance for m in live]

    def set_own(self, **changes: typing.Any) -> bool:
        """Changes what this daemon says of itself; whether it differs."""
        changed = dataclasses.replace(self.own, **changes)
        is_new = changed != self.own
        self.own = self._members[changed.instance] = changed
        return is_new

    def note_self(self, member: members.Member) -> None:
        """Takes what a member says of itself, heard from it directly."""
        heard = self._heard.get(member.instance)
        retired: tuple[ids.Incarnation, ...] = ()
        if heard is not None:
            retired = heard.retired
            if member.incarnation in retired:
                return
            if member.incarnation != heard.member.incarnation:
                retired += (heard.member.incarnation,)
                self._rosters.pop(member.instance, None)
        self._heard[member.instance] = _Heard(
            member, self._now_s(), retired=retired[-MAX_RETIRED:]
        )
        self._judged.pop(member.failure_domain, None)
        self._add_contact(member)

    def note_beat(
        self, instance: ids.InstanceId, incarnation: ids.Incarnation
    ) -> bool:
        """Takes a heartbeat; False if the incarnation is not known yet."""
        heard = self._heard.get(instance)
        if heard is None or incarnation != heard.member.incarnation:
            return heard is not None and incarnation in heard.retired
        heard.at_s = self._now_s()
        heard.is_refused = False
        return True

    def note_roster(
        self,
        voucher: ids.InstanceId,
        entries: typing.Iterable[members.Member],
        removed: typing.Iterable[ids.InstanceId],
        is_full: bool,
    ) -> None:
        """Takes what a member says of its domain."""
        roster = self._rosters.setdefault(voucher, {})
        if is_full:
            roster.clear()
        for instance in removed:
            roster.pop(instance, None)
            self._forget_judgement(instance)
        for member in entries:
            if member.instance == self.own.instance:
                continue
            roster[member.instance] = member
            self._judged.pop(member.failure_domain, None)
            self._add_contact(member)

    def note_refused(self, instance: ids.InstanceId) -> None:
        """Takes that an instance's address refuses connections.

        A process that ends without a word is then suspect at once instead
        of after the silence.
        """
        heard = self._heard.get(instance)
        if heard is not None:
            heard.is_refused = True

    def note_listed(self, listed: list[base.ListedInstance]) -> None:
        """Takes the instance list: first contacts, and whom to forget.

        A list without this daemon is wrong and forgets nobody.
        """
        self._has_listed = True
        named = {item.instance for item in listed}
        for item in listed:
            if item.instance not in self._contacts and not item.is_leaving:
                self._contacts[item.instance] = item
        self._contacts.pop(self.own.instance, None)
        if self.own.instance not in named:
            return
        for instance in list(self._contacts):
            if instance not in named and self._is_long_silent(instance):
                self._forget(instance)

    def tick(self) -> bool:
        """Judges all members again; whether anything has changed.

        Called once every heartbeat interval.
        """
        now_s = self._clock()
        gap_s = now_s - self._ticked_s
        self._ticked_s = now_s
        is_late = gap_s >= self._longest_tick_s()
        # How much of a pause fell into listening time is not known; one
        # interval is what the tick would have added without it.
        self._listened_s += self._interval_s if is_late else gap_s
        if is_late:
            self._is_settled = False
            self.pauses += 1
            self._woken_s = self._listened_s
        return self.refresh()

    def refresh(self) -> bool:
        """Derives the states from what was heard; whether they differ."""
        before = (self._members, self._cut_off, self._is_settled)
        after: Roster = {self.own.instance: self.own}
        cut_off = set()
        for domain, instances in self._group_by_domain().items():
            if domain == self.own.failure_domain:
                judged = self._judge_own_domain(instances)
            else:
                judged = self._judge_other_domain(domain, instances)
                if judged is None:
                    judged = judging.keep_last(instances, self._members)
                    if not judging.are_all_dead(judged.values()):
                        cut_off.add(domain)
            after.update(judged)
        self._members = after
        self._cut_off = frozenset(cut_off)
        self._track_silence()
        self._is_settled = self._is_settled or self._may_settle()
        return before != (after, self._cut_off, self._is_settled)

    def _longest_tick_s(self) -> float:
        return LATE_INTERVALS * self._interval_s

    def _now_s(self) -> float:
        gap_s = self._clock() - self._ticked_s
        return self._listened_s + min(gap_s, self._longest_tick_s())

    def _add_contact(self, member: members.Member) -> None:
        self._contacts[member.instance] = base.ListedInstance(
            member.instance,
            member.failure_domain,
            member.peer_address,
            member.http_address,
        )

    def _group_by_domain(
        self,
    ) -> dict[ids.FailureDomain, list[ids.InstanceId]]:
        groups: dict[ids.FailureDomain, list[ids.InstanceId]] = {}
        for item in self._contacts.values():
            groups.setdefault(item.failure_domain, []).append(item.instance)
        return groups

    def _silence_s(self, heard: _Heard) -> float:
        return self._now_s() - heard.at_s

    def _judge_direct(self, heard: _Heard) -> members.Member:
        silence_s = self._silence_s(heard)
        said = state = heard.member.state
        if silence_s >= self._dead_s:
            state = State.DEAD
        elif state is State.LEAVING:
            pass
        elif silence_s >= self._suspect_s or heard.is_refused:
            state = State.SUSPECT
        if state is said:
            return heard.member
        return dataclasses.replace(heard.member, state=state)

    def _judge_own_domain(self, instances: list[ids.InstanceId]) -> Roster:
        return {
            instance: self._judge_direct(self._heard[instance])
            for instance in instances
            if instance in self._heard
        }

    def _judge_other_domain(
        self, domain: ids.FailureDomain, instances: list[ids.InstanceId]
    ) -> typing.Optional[Roster]:
        """Merges direct heartbeats and rosters; None if all are silent."""
        direct = {
            instance: self._judge_direct(self._heard[instance])
            for instance in instances
            if instance in self._heard
            and self._silence_s(self._heard[instance]) < self._dead_s
        }
        if not direct:
            self._judged.pop(domain, None)
            return None
        known = self._judged.get(domain)
        if known is not None and known[0] == direct:
            return known[1]
        result = self._merge_domain(instances, direct)
        self._judged[domain] = (direct, result)
        return result

    def _merge_domain(
        self, instances: list[ids.InstanceId], direct: Roster
    ) -> Roster:
        rosters = [self._rosters.get(voucher, {}) for voucher in direct]
        result = {}
        for instance in instances:
            said = [r[instance] for r in rosters if instance in r]
            merged = judging.merge(
                direct.get(instance), said, self._members.get(instance)
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
        for instance, item in self._contacts.items():
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
        return since_s is not None and self._listened_s - since_s > FORGET_S

    def _forget_judgement(self, instance: ids.InstanceId) -> None:
        member = self._members.get(instance)
        if member is not None:
            self._judged.pop(member.failure_domain, None)

    def _forget(self, instance: ids.InstanceId) -> None:
        self._forget_judgement(instance)
        del self._contacts[instance]
        self._silent_since_s.pop(instance, None)
        self._heard.pop(instance, None)
        self._rosters.pop(instance, None)
        for roster in self._rosters.values():
            roster.pop(instance, None)

    def _may_settle(self) -> bool:
        """Whether each live neighbour was heard since the start or wake."""
        if self._listened_s - self._woken_s < self._interval_s:
            return False
        if not self._has_listed:
            return self._listened_s >= ALONE_S or bool(self._heard)
        neighbours = [
            item.instance
            for item in self._contacts.values()
            if item.failure_domain == self.own.failure_domain
        ]
        waited_s = self._listened_s - self._woken_s
        return waited_s >= self._suspect_s or all(
            instance in self._heard
            and (
                self._heard[instance].at_s > self._woken_s
                or self._members[instance].state is not State.LIVE
            )
            for instance in neighbours
        )
