"""Client side of slot grants, used by entry daemons."""

from __future__ import annotations

import math
import typing

import eventlet

from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.models import outcomes
from lentildeal._internal.routing import chooser
from lentildeal._internal.routing import messages
from lentildeal._internal.routing import slots
from lentildeal._internal.utils import clock

# An owner responds to a request for a slot at once: it grants, refuses or
# queues it. An owner that sends nothing for this time is paused or
# unreachable, and another replica is tried.
OWNER_TIMEOUT_S = 0.5
# An owner that did not respond gets no further requests for this time.
AVOIDANCE_S = 1.0
# Time after the deadline in which the owner's refusal may still arrive.
RESPONSE_GRACE_S = 0.05

ReleaseFunction = typing.Callable[[bool, float, int], None]


class Grant:
    """A granted slot of a replica, released exactly once."""

    def __init__(
        self,
        address: ids.ReplicaAddress,
        incarnation: ids.Incarnation,
        release: ReleaseFunction,
    ) -> None:
        self.address = address
        self.incarnation = incarnation
        self._release: typing.Optional[ReleaseFunction] = release

    def release(
        self,
        outcome: typing.Optional[outcomes.Outcome] = None,
        seconds: float = 0.0,
        tokens: int = 0,
    ) -> None:
        """Releases the slot; a second call has no effect.

        Args:
            outcome: None after a complete response or for work that the
                caller cancelled.
            seconds: Time at the replica, 0 if it doesn't reflect its speed.
            tokens: Generated tokens.
        """
        release, self._release = self._release, None
        if release is not None:
            release(outcome is None, seconds, tokens)


class GrantClient:
    """Requests slots from the owners of replicas, local or remote."""

    def __init__(self, kernel, membership, loads, acquire_locally) -> None:
        """Initializes the client.

        Args:
            kernel: The kernel.
            membership: Plug-in ``membership``.
            loads: Tracker that records the loads in the responses.
            acquire_locally: Called with the instance and a ``SlotAcquire``
                for replicas that this daemon owns; returns ``SlotGranted``.
        """
        self._kernel = kernel
        self._membership = membership
        self._loads: chooser.LoadTracker = loads
        self._acquire_locally = acquire_locally
        self._pending: dict[ids.RequestId, _PendingRequest] = {}
        self._avoided_until_s: dict[ids.InstanceId, float] = {}

    def start(self) -> None:
        """Registers the handlers of notifications from owners."""
        peers = self._kernel.peers
        peers.handle(messages.SlotQueued, self._handle_queued)
        peers.handle(messages.SlotLoad, self._handle_load)

    def acquire(
        self,
        domain: ids.FailureDomain,
        address: ids.ReplicaAddress,
        club: ids.ClubName,
        request_id: ids.RequestId,
        deadline: clock.Deadline,
    ) -> Grant:
        """Waits for a slot; see ``SlotOwner.acquire``."""
        owner = self._membership.owner_of(domain, address)
        message = messages.SlotAcquire(
            domain,
            address,
            club,
            request_id,
            math.floor(deadline.remaining_s * 1000),
        )
        if owner == self._kernel.settings.instance:
            response = self._acquire_locally(owner, message)
        else:
            response = self._acquire_remotely(owner, message, deadline)
        return self._make_grant(owner, message, response)

    def cancel_moved(self) -> None:
        """Cancels requests to daemons that no longer own the replica."""
        for request_id, pending in list(self._pending.items()):
            if self._pending.get(request_id) is not pending:
                # It ended while another request was being cancelled.
                continue
            domain, address = pending.message.domain, pending.message.address
            if self._membership.owner_of(domain, address) != pending.owner:
                pending.cancel()

    def _acquire_remotely(self, owner, message, deadline):
        now_s = clock.monotonic_s()
        if owner is None or self._avoided_until_s.get(owner, 0.0) > now_s:
            raise _unreachable(
                message.address, f'{owner} did not respond recently'
            )
        try:
            response = self._request_slot(owner, message, deadline)
        except exceptions.PeerError as error:
            self._withdraw(owner, message)
            raise _unreachable(message.address, error.message) from error
        except BaseException:
            self._withdraw(owner, message)
            raise
        if isinstance(response, messages.SlotGranted):
            return response
        if response.load is not None:
            self._handle_load(owner, response.load)
        raise exceptions.NotRunError(
            response.problem,
            cause=response.cause,
            retry_after_s=response.retry_after_ms / 1000,
        )

    def _request_slot(self, owner, message, deadline):
        pending = _PendingRequest(owner, message)
        self._pending[message.request_id] = pending
        timeout_error = exceptions.PeerTimeoutError(f'{owner} did not respond')
        timeout_s = deadline.remaining_s + RESPONSE_GRACE_S
        try:
            with eventlet.Timeout(OWNER_TIMEOUT_S, timeout_error) as timer:
                pending.timer = timer
                return self._kernel.peers.call(owner, message, timeout_s)
        except exceptions.PeerTimeoutError as error:
            if error is timeout_error:
                until_s = clock.monotonic_s() + AVOIDANCE_S
                self._avoided_until_s[owner] = until_s
            raise
        finally:
            del self._pending[message.request_id]

    def _withdraw(self, owner, message) -> None:
        """Withdraws a request whose response is no longer awaited."""
        self._send_release(
            owner,
            messages.SlotRelease(
                message.address, message.request_id, ids.Incarnation(0)
            ),
        )

    def _make_grant(self, owner, message, response) -> Grant:
        self._handle_load(owner, response.load)

        def release(is_success: bool, seconds: float, tokens: int) -> None:
            self._send_release(
                owner,
                messages.SlotRelease(
                    message.address,
                    message.request_id,
                    response.incarnation,
                    is_success,
                    int(seconds * 1e6),
                    tokens,
                ),
            )

        return Grant(message.address, response.incarnation, release)

    def _send_release(self, owner, message) -> None:
        try:
            if self._kernel.peers.is_connected(owner) or (
                owner == self._kernel.settings.instance
            ):
                self._kernel.peers.notify(owner, message)
        except exceptions.PeerError:
            # The owner reclaims the slots after the disconnect.
            return

    def _handle_queued(self, instance, message: messages.SlotQueued) -> None:
        pending = self._pending.get(message.request_id)
        if pending is not None:
            pending.mark_queued()

    def _handle_load(self, instance, message: messages.SlotLoad) -> None:
        self._loads.record_report(message.address, message.to_replica_load())


class _PendingRequest:
    """A request to another daemon that has no response yet."""

    def __init__(
        self, owner: ids.InstanceId, message: messages.SlotAcquire
    ) -> None:
        self.owner = owner
        self.message = message
        self.timer: typing.Optional[eventlet.Timeout] = None
        self._greenlet = eventlet.getcurrent()

    def mark_queued(self) -> None:
        """Cancels the response timer, since the owner is alive."""
        if self.timer is not None:
            self.timer.cancel()

    def cancel(self) -> None:
        """Raises an error in the green thread that waits."""
        error = exceptions.PeerUnreachableError(
            f'{self.owner} no longer owns {self.message.address}'
        )
        eventlet.kill(self._greenlet, error)


def _unreachable(
    address: ids.ReplicaAddress, problem: str
) -> exceptions.NotRunError:
    return slots.refusal(
        outcomes.Cause.OWNER_UNREACHABLE,
        f'the owner of {address} does not respond: {problem}',
    )
