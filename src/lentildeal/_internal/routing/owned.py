"""Queues of the replicas that this daemon owns."""

from __future__ import annotations

import collections
import dataclasses
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.models import outcomes
from lentildeal._internal.models import text as text_module
from lentildeal._internal.routing import chooser
from lentildeal._internal.routing import limits
from lentildeal._internal.routing import messages
from lentildeal._internal.routing import slots
from lentildeal._internal.utils import clock

# A grant whose release was lost is taken back this long after the deadline
# of its call; the entry daemon has given up the call by then.
GRANT_GRACE_S = 5.0
# Releases that overtook their ask, as happens when a paused owner wakes.
MAX_EARLY_RELEASES = 10_000

Holder = tuple[ids.InstanceId, ids.RequestId]


@dataclasses.dataclass
class OwnedReplica:
    """A replica with its queue."""

    target: ids.TargetName
    kind: text_module.TargetKind
    domain: ids.FailureDomain
    address: ids.ReplicaAddress
    queue: slots.SlotQueue
    is_owned: bool = True

    def load(self) -> messages.SlotLoad:
        """Present load."""
        return messages.SlotLoad(
            self.address,
            self.queue.in_flight,
            self.queue.waiting,
            self.queue.limit,
        )

    def release(
        self, ticket: slots.Ticket, is_success: bool, seconds: float, tokens
    ) -> None:
        """Gives a slot back, with the cost in the target's unit."""
        is_engine = self.kind is text_module.TargetKind.ENGINE
        self.queue.release(
            ticket,
            is_success=is_success,
            seconds=seconds,
            cost=float(tokens) if is_engine else seconds,
            units=float(max(1, tokens)) if is_engine else 1.0,
        )


@dataclasses.dataclass
class _Held:
    replica: OwnedReplica
    ticket: slots.Ticket


class OwnedReplicas:
    """The owned replicas and who holds or waits for their slots."""

    def __init__(self, queue_length: int) -> None:
        self._queue_length = queue_length
        self._replicas: dict[ids.ReplicaAddress, OwnedReplica] = {}
        self._held: dict[Holder, _Held] = {}
        self._early: collections.OrderedDict[Holder, None] = (
            collections.OrderedDict()
        )
        self._clubs: dict[ids.ClubName, text_module.Club] = {}

    def get(
        self, address: ids.ReplicaAddress
    ) -> typing.Optional[OwnedReplica]:
        """Returns an owned replica, None for any other."""
        replica = self._replicas.get(address)
        return replica if replica and replica.is_owned else None

    def __iter__(self) -> typing.Iterator[OwnedReplica]:
        return iter([r for r in self._replicas.values() if r.is_owned])

    def update(
        self,
        text: text_module.FederationText,
        is_owner: typing.Callable[
            [ids.FailureDomain, ids.ReplicaAddress], bool
        ],
    ) -> None:
        """Takes over and hands on replicas by text and membership."""
        self._clubs = text.clubs
        wanted = set()
        for name, target in text.targets.items():
            for domain, address in text.iter_replicas(name):
                if is_owner(domain, address):
                    wanted.add(address)
                    self._take(name, target, domain, address)
        for address in list(self._replicas):
            if address not in wanted:
                self._hand_on(address)

    def wait_for_slot(
        self,
        holder: Holder,
        replica: OwnedReplica,
        club: ids.ClubName,
        deadline: clock.Deadline,
        on_queued: typing.Callable[[], None] = lambda: None,
    ) -> slots.Ticket:
        """Waits for a slot for a live call and returns its ticket.

        Raises:
            exceptions.NotRunError: There is none in time.
        """
        if self._early.pop(holder, False) is None:
            raise slots.refusal(outcomes.Cause.DEADLINE, 'withdrawn')
        ticket = replica.queue.enqueue_live(club, deadline)
        self._held[holder] = _Held(replica, ticket)
        if ticket.state is slots.TicketState.WAITING:
            on_queued()
        try:
            ticket.wait()
        except BaseException:
            self.release(holder)
            raise
        return ticket

    def refresh(self) -> None:
        """Lets all queues hand out what time has made free."""
        for replica in self:
            replica.queue.refresh()

    def release(
        self,
        holder: Holder,
        is_success: bool = True,
        seconds: float = 0.0,
        tokens: int = 0,
    ) -> typing.Optional[OwnedReplica]:
        """Ends a grant or a wait; returns the replica if it was known."""
        held = self._held.pop(holder, None)
        if held is None:
            return None
        held.replica.release(held.ticket, is_success, seconds, tokens)
        self._forget_if_empty(held.replica)
        return held.replica

    def note_early_release(self, holder: Holder) -> None:
        """Keeps a release whose ask has not been seen yet."""
        self._early[holder] = None
        while len(self._early) > MAX_EARLY_RELEASES:
            self._early.popitem(last=False)

    def release_all_of(self, instance: ids.InstanceId) -> int:
        """Takes back all slots of an entry daemon and returns their count."""
        holders = [h for h in self._held if h[0] == instance]
        for holder in holders:
            self.release(holder)
        return len(holders)

    def release_expired(self) -> int:
        """Takes back slots long after the deadline of their calls."""
        expired = [
            holder
            for holder, held in self._held.items()
            if held.ticket.deadline is not None
            and held.ticket.deadline.overdue_s > GRANT_GRACE_S
        ]
        for holder in expired:
            self.release(holder)
        return len(expired)

    def load_of(
        self, address: ids.ReplicaAddress
    ) -> typing.Optional[chooser.ReplicaLoad]:
        """Load of an owned replica, None for any other."""
        replica = self.get(address)
        return replica.load().to_replica_load() if replica else None

    def _weight_of(self, club: ids.ClubName) -> float:
        known = self._clubs.get(club)
        return known.weight if known else 1.0

    def _take(self, name, target, domain, address) -> None:
        replica = self._replicas.get(address)
        if replica is None:
            queue = slots.SlotQueue(
                limits.AdaptiveLimit(target.concurrency),
                self._weight_of,
                self._queue_length,
            )
            replica = OwnedReplica(name, target.kind, domain, address, queue)
            self._replicas[address] = replica
        replica.target, replica.kind = name, target.kind
        replica.domain, replica.is_owned = domain, True
        replica.queue.set_configured(target.concurrency)

    def _hand_on(self, address: ids.ReplicaAddress) -> None:
        replica = self._replicas[address]
        replica.is_owned = False
        replica.queue.refuse_all(
            outcomes.Cause.OWNER_UNREACHABLE, 'the queue has moved'
        )
        replica.queue.set_paused(False)
        self._forget_if_empty(replica)

    def _forget_if_empty(self, replica: OwnedReplica) -> None:
        """Keeps a queue that was handed on until its slots are free.

        A replica that comes back meanwhile is not filled twice.
        """
        if not replica.is_owned and replica.queue.in_flight == 0:
            self._replicas.pop(replica.address, None)
