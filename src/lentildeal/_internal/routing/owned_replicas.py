"""Slot queues of the replicas that this daemon owns."""

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

# A grant whose release was lost is reclaimed this long after the deadline of
# its call; the entry daemon has given up the call by then.
GRANT_GRACE_S = 5.0
# Most releases kept that arrived before their request, which happens when a
# paused owner resumes.
MAX_EARLY_RELEASES = 10_000

RequestKey = tuple[ids.InstanceId, ids.RequestId]


@dataclasses.dataclass
class OwnedReplica:
    """A replica and its slot queue."""

    target: ids.TargetName
    kind: text_module.TargetKind
    domain: ids.FailureDomain
    address: ids.ReplicaAddress
    queue: slots.SlotQueue
    is_owned: bool = True

    def load(self) -> messages.SlotLoad:
        """Current load."""
        return messages.SlotLoad(
            self.address,
            self.queue.in_flight,
            self.queue.waiting,
            self.queue.limit,
        )

    def release(
        self,
        request: slots.SlotRequest,
        is_success: bool,
        seconds: float,
        tokens,
    ) -> None:
        """Releases a slot, with the cost in the unit of the target kind."""
        is_engine = self.kind is text_module.TargetKind.ENGINE
        self.queue.release(
            request,
            is_success=is_success,
            seconds=seconds,
            cost=float(tokens) if is_engine else seconds,
            units=float(max(1, tokens)) if is_engine else 1.0,
        )


@dataclasses.dataclass
class _OpenRequest:
    replica: OwnedReplica
    request: slots.SlotRequest


class OwnedReplicas:
    """The owned replicas and all open requests for their slots."""

    def __init__(self, queue_length: int) -> None:
        self._queue_length = queue_length
        self._replicas: dict[ids.ReplicaAddress, OwnedReplica] = {}
        self._open: dict[RequestKey, _OpenRequest] = {}
        self._early_releases: collections.OrderedDict[RequestKey, None] = (
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
        """Adds and removes replicas according to text and membership."""
        self._clubs = text.clubs
        wanted = set()
        for name, target in text.targets.items():
            for domain, address in text.iter_replicas(name):
                if is_owner(domain, address):
                    wanted.add(address)
                    self._add_or_update(name, target, domain, address)
        for address in list(self._replicas):
            if address not in wanted:
                self._relinquish(address)

    def wait_for_slot(
        self,
        key: RequestKey,
        replica: OwnedReplica,
        club: ids.ClubName,
        deadline: clock.Deadline,
        on_queued: typing.Callable[[], None] = lambda: None,
    ) -> slots.SlotRequest:
        """Waits for a slot for a live call and returns the granted request.

        Raises:
            exceptions.NotRunError: There is none in time.
        """
        if self._early_releases.pop(key, False) is None:
            raise slots.refusal(outcomes.Cause.DEADLINE, 'withdrawn')
        request = replica.queue.enqueue_live(club, deadline)
        self._open[key] = _OpenRequest(replica, request)
        if request.state is slots.RequestState.WAITING:
            on_queued()
        try:
            request.wait()
        except BaseException:
            self.release(key)
            raise
        return request

    def refresh(self) -> None:
        """Grants slots that became available with the passing of time."""
        for replica in self:
            replica.queue.refresh()

    def release(
        self,
        key: RequestKey,
        is_success: bool = True,
        seconds: float = 0.0,
        tokens: int = 0,
    ) -> typing.Optional[OwnedReplica]:
        """Releases a slot or withdraws a request.

        Returns:
            The replica, None if the request is unknown.
        """
        open_request = self._open.pop(key, None)
        if open_request is None:
            return None
        open_request.replica.release(
            open_request.request, is_success, seconds, tokens
        )
        self._remove_if_unused(open_request.replica)
        return open_request.replica

    def record_early_release(self, key: RequestKey) -> None:
        """Records a release that arrived before its request."""
        self._early_releases[key] = None
        while len(self._early_releases) > MAX_EARLY_RELEASES:
            self._early_releases.popitem(last=False)

    def release_all_of(self, instance: ids.InstanceId) -> int:
        """Reclaims all slots of an entry daemon and returns their count."""
        keys = [h for h in self._open if h[0] == instance]
        for key in keys:
            self.release(key)
        return len(keys)

    def release_expired(self) -> int:
        """Reclaims slots held past the deadline and the grace period.

        Returns:
            The number of reclaimed slots.
        """
        expired = [
            key
            for key, open_request in self._open.items()
            if open_request.request.deadline is not None
            and open_request.request.deadline.overdue_s > GRANT_GRACE_S
        ]
        for key in expired:
            self.release(key)
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

    def _add_or_update(self, name, target, domain, address) -> None:
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

    def _relinquish(self, address: ids.ReplicaAddress) -> None:
        replica = self._replicas[address]
        replica.is_owned = False
        replica.queue.refuse_all(
            outcomes.Cause.OWNER_UNREACHABLE,
            'the queue moved to another instance',
        )
        replica.queue.set_paused(False)
        self._remove_if_unused(replica)

    def _remove_if_unused(self, replica: OwnedReplica) -> None:
        """Removes a replica that isn't owned once all its slots are free.

        The queue is kept until then, so that a replica that is owned again
        meanwhile does not get more requests than its limit.
        """
        if not replica.is_owned and replica.queue.in_flight == 0:
            self._replicas.pop(replica.address, None)
