"""Plug-in ``slots``: grants slots of owned replicas to all daemons."""

from __future__ import annotations

import math
import typing

import eventlet
from loguru import logger
import prometheus_client

from lentildeal._internal import exceptions
from lentildeal._internal.kernel import plugins
from lentildeal._internal.models import ids
from lentildeal._internal.models import members
from lentildeal._internal.models import outcomes
from lentildeal._internal.routing import chooser
from lentildeal._internal.routing import grants
from lentildeal._internal.routing import messages
from lentildeal._internal.routing import owned_replicas
from lentildeal._internal.routing import slots
from lentildeal._internal.utils import clock

ReplicaLoad = chooser.ReplicaLoad
Grant = grants.Grant

UPKEEP_INTERVAL_S = 1.0
NO_WAIT = 'none'

_waits_seconds = prometheus_client.Histogram(
    'lentildeal_slot_wait_seconds',
    'Time that work waits for a slot at its owner.',
    ['work_class', 'cause'],
    buckets=(0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 30, 300),
)
_refusals_total = prometheus_client.Counter(
    'lentildeal_slot_refusals_total',
    'Slots refused by owners.',
    ['cause', 'club'],
)
_reclaimed_total = prometheus_client.Counter(
    'lentildeal_slots_reclaimed_total',
    'Slots taken back from entry daemons.',
    ['reason'],
)


@plugins.register('slots', after=('config', 'membership'))
class SlotOwner(plugins.Plugin):
    """Grants slots of owned replicas and requests slots of others."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self._config = kernel.plugin('config')
        self._membership = kernel.plugin('membership')
        self._owned = owned_replicas.OwnedReplicas(
            kernel.settings.limits.queue_length
        )
        self.loads = chooser.LoadTracker()
        self._client = grants.GrantClient(
            kernel, self._membership, self.loads, self._acquire_locally
        )

    def start(self) -> None:
        """Registers handlers and adds the owned replicas."""
        peers = self._kernel.peers
        peers.handle(messages.SlotAcquire, self._handle_acquire)
        peers.handle(messages.SlotRelease, self._handle_release)
        peers.on_disconnect(self._reclaim_after_disconnect)
        self._client.start()
        self._config.on_change(self._update)
        self._membership.on_change(self._update)
        self._update()
        self._kernel.spawn('slot-upkeep', self._run_upkeep)

    def acquire(
        self,
        domain: ids.FailureDomain,
        address: ids.ReplicaAddress,
        club: ids.ClubName,
        request_id: ids.RequestId,
        deadline: clock.Deadline,
    ) -> Grant:
        """Waits for a slot of a replica for a live call.

        Raises:
            exceptions.NotRunError: No slot was granted; the cause is
                ``owner_unreachable`` if another replica should be tried.
        """
        return self._client.acquire(
            domain, address, club, request_id, deadline
        )

    def wait_rollout_slot(self, address: ids.ReplicaAddress) -> Grant:
        """Waits for a slot of an owned replica for a rollout.

        Raises:
            exceptions.NotRunError: Another daemon owns the replica or
                became its owner during the wait.
        """
        replica = self._owned.get(address)
        if replica is None:
            raise _not_owner(address)
        started_s = clock.monotonic_s()
        request = replica.queue.enqueue_rollout()
        try:
            request.wait()
        except BaseException:
            replica.release(request, True, 0.0, 0)
            raise
        _record_wait(request, started_s)

        def release(is_success: bool, seconds: float, tokens: int) -> None:
            replica.release(request, is_success, seconds, tokens)

        return Grant(address, self._kernel.incarnation, release)

    def load_of(
        self, address: ids.ReplicaAddress
    ) -> typing.Optional[ReplicaLoad]:
        """Last known load of a replica, None if it is unknown."""
        load = self._owned.load_of(address)
        return load or self.loads.last_report(address)

    def pause_rollouts(self, address: ids.ReplicaAddress) -> None:
        """Starts no more rollouts at an owned replica, before a swap."""
        self._set_paused(address, True)

    def resume_rollouts(self, address: ids.ReplicaAddress) -> None:
        """Starts rollouts at an owned replica again."""
        self._set_paused(address, False)

    def iter_owned(
        self,
    ) -> typing.Iterator[
        tuple[ids.TargetName, ids.FailureDomain, ids.ReplicaAddress]
    ]:
        """Yields target, domain and address of each owned replica."""
        for replica in self._owned:
            yield replica.target, replica.domain, replica.address

    def _set_paused(self, address, is_paused) -> None:
        replica = self._owned.get(address)
        if replica is not None:
            replica.queue.set_paused(is_paused)

    def _update(self) -> None:
        text = self._config.text
        if text is None:
            return
        self._owned.update(text, self._membership.is_owner)
        self._client.cancel_moved()
        for member in self._membership.members():
            if member.state is members.MemberState.DEAD:
                self._reclaim(member.instance, 'dead')

    def _reclaim_after_disconnect(
        self, instance: ids.InstanceId, incarnation: ids.Incarnation
    ) -> None:
        self._reclaim(instance, 'disconnect')

    def _reclaim(self, instance: ids.InstanceId, reason: str) -> None:
        count = self._owned.release_all_of(instance)
        if count:
            _reclaimed_total.labels(reason).inc(count)
            logger.warning('reclaimed {} slots of {}', count, instance)

    def _run_upkeep(self) -> None:
        while True:
            eventlet.sleep(UPKEEP_INTERVAL_S)
            self._owned.refresh()
            count = self._owned.release_expired()
            if count:
                _reclaimed_total.labels('expired').inc(count)

    def _acquire_locally(
        self,
        instance: ids.InstanceId,
        message: messages.SlotAcquire,
        on_queued: typing.Callable[[], None] = lambda: None,
    ) -> messages.SlotGranted:
        """Waits for a slot of an owned replica.

        Raises:
            exceptions.NotRunError: No slot became free in time.
        """
        replica = self._owned.get(message.address)
        if replica is None:
            raise _not_owner(message.address)
        started_s = clock.monotonic_s()
        deadline = clock.Deadline(message.remaining_ms / 1000)
        key = instance, message.request_id
        try:
            request = self._owned.wait_for_slot(
                key, replica, message.club, deadline, on_queued
            )
        except exceptions.NotRunError as error:
            _refusals_total.labels(error.cause, message.club).inc()
            raise
        _record_wait(request, started_s)
        return messages.SlotGranted(self._kernel.incarnation, replica.load())

    def _handle_acquire(
        self, instance: ids.InstanceId, message: messages.SlotAcquire
    ) -> typing.Any:
        def notify_queued() -> None:
            self._notify(instance, messages.SlotQueued(message.request_id))

        try:
            return self._acquire_locally(instance, message, notify_queued)
        except exceptions.NotRunError as error:
            replica = self._owned.get(message.address)
            return messages.SlotRefused(
                error.cause,
                error.message,
                math.ceil(error.retry_after_s * 1000),
                replica.load() if replica else None,
            )

    def _handle_release(
        self, instance: ids.InstanceId, message: messages.SlotRelease
    ) -> None:
        if message.incarnation not in (0, self._kernel.incarnation):
            return
        key = instance, message.request_id
        replica = self._owned.release(
            key,
            message.is_success,
            message.micros / 1e6,
            message.tokens,
        )
        if replica is not None:
            if instance != self._kernel.settings.instance:
                self._notify(instance, replica.load())
        elif message.incarnation == 0:
            self._owned.record_early_release(key)

    def _notify(self, instance: ids.InstanceId, message: typing.Any) -> None:
        try:
            self._kernel.peers.notify(instance, message)
        except exceptions.PeerError:
            # The handler of the disconnect reclaims the peer's slots.
            return


def _not_owner(address: ids.ReplicaAddress) -> exceptions.NotRunError:
    return slots.refusal(
        outcomes.Cause.OWNER_UNREACHABLE,
        f'this instance does not own the queue of {address}',
    )


def _record_wait(request: slots.SlotRequest, started_s: float) -> None:
    waited_s = clock.monotonic_s() - started_s
    cause = request.wait_cause.value if request.wait_cause else NO_WAIT
    _waits_seconds.labels(request.work_class.value, cause).observe(waited_s)
