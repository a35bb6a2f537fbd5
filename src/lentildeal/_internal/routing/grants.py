"""Entry daemon's side of slot grants."""

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

# An owner grants, refuses or reports a wait at once. One that is silent for
# this time is paused or cut off, and another replica is tried.
OWNER_SILENCE_S = 0.5
# A silent owner is not asked again for this time.
AVOIDANCE_S = 1.0
# Extra time for the owner's own refusal at the deadline to arrive.
REPLY_GRACE_S = 0.05

ReleaseFunction = typing.Callable[[bool, float, int], None]


class Grant:
    """A slot of a replica, released exactly once."""

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
        """Gives the slot back; a second call has no effect.

        Args:
            outcome: None after a whole answer or for work that was given up
                for reasons of the caller.
            seconds: Time at the replica, 0 if it says nothing of its speed.
            tokens: Generated tokens.
        """
        release, self._release = self._release, None
        if release is not None:
            release(outcome is None, seconds, tokens)


class GrantClient:
    """Asks owners, here or elsewhere, for slots."""

    def __init__(self, kernel, membership, loads, acquire_locally) -> None:
        """Makes a client.

        Args:
            kernel: The kernel.
            membership: Plug-in ``membership``.
            loads: Load book that replies are entered into.
            acquire_locally: ``f(instance, SlotAcquire) -> SlotGranted``.
        """
        self._kernel = kernel
        self._membership = membership
        self._loads: chooser.LoadTracker = loads
        self._acquire_locally = acquire_locally
        self._asks: dict[ids.RequestId, _Ask] = {}
        self._avoided_until_s: dict[ids.InstanceId, float] = {}

    def start(self) -> None:
        """Registers the handlers of owners' notices."""
        peers = self._kernel.peers
        peers.handle(messages.SlotQueued, self._take_queued)
        peers.handle(messages.SlotLoad, self._take_load)

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
            reply = self._acquire_locally(owner, message)
        else:
            reply = self._acquire_remotely(owner, message, deadline)
        return self._make_grant(owner, message, reply)

    def abandon_moved(self) -> None:
        """Ends the asks at daemons that own their replica no longer."""
        for request_id, ask in list(self._asks.items()):
            if self._asks.get(request_id) is not ask:
                # Ending another ask lets this one end as well.
                continue
            domain, address = ask.message.domain, ask.message.address
            if self._membership.owner_of(domain, address) != ask.owner:
                ask.abandon()

    def _acquire_remotely(self, owner, message, deadline):
        now_s = clock.monotonic_s()
        if owner is None or self._avoided_until_s.get(owner, 0.0) > now_s:
            raise _unreachable(message.address, f'{owner} is avoided')
        try:
            reply = self._ask(owner, message, deadline)
        except exceptions.PeerError as error:
            self._withdraw(owner, message)
            raise _unreachable(message.address, error.message) from error
        except BaseException:
            self._withdraw(owner, message)
            raise
        if isinstance(reply, messages.SlotGranted):
            return reply
        if reply.load is not None:
            self._take_load(owner, reply.load)
        raise exceptions.NotRunError(
            reply.problem,
            cause=reply.cause,
            retry_after_s=reply.retry_after_ms / 1000,
        )

    def _ask(self, owner, message, deadline):
        ask = _Ask(owner, message)
        self._asks[message.request_id] = ask
        silence = exceptions.PeerTimeoutError(f'{owner} is silent')
        timeout_s = deadline.remaining_s + REPLY_GRACE_S
        try:
            with eventlet.Timeout(OWNER_SILENCE_S, silence) as timer:
                ask.timer = timer
                return self._kernel.peers.call(owner, message, timeout_s)
        except exceptions.PeerTimeoutError as error:
            if error is silence:
                until_s = clock.monotonic_s() + AVOIDANCE_S
                self._avoided_until_s[owner] = until_s
            raise
        finally:
            del self._asks[message.request_id]

    def _withdraw(self, owner, message) -> None:
        """Withdraws an ask whose reply is no longer waited for."""
        self._send_release(
            owner,
            messages.SlotRelease(
                message.address, message.request_id, ids.Incarnation(0)
            ),
        )

    def _make_grant(self, owner, message, reply) -> Grant:
        self._take_load(owner, reply.load)

        def release(is_success: bool, seconds: float, tokens: int) -> None:
            self._send_release(
                owner,
                messages.SlotRelease(
                    message.address,
                    message.request_id,
                    reply.incarnation,
                    is_success,
                    int(seconds * 1e6),
                    tokens,
                ),
            )

        return Grant(message.address, reply.incarnation, release)

    def _send_release(self, owner, message) -> None:
        try:
            if self._kernel.peers.is_connected(owner) or (
                owner == self._kernel.settings.instance
            ):
                self._kernel.peers.notify(owner, message)
        except exceptions.PeerError:
            # The owner reclaims slots at a disconnect.
            return

    def _take_queued(self, instance, message: messages.SlotQueued) -> None:
        ask = self._asks.get(message.request_id)
        if ask is not None:
            ask.note_queued()

    def _take_load(self, instance, message: messages.SlotLoad) -> None:
        self._loads.report(message.address, message.to_replica_load())


class _Ask:
    """An ask at another daemon that is not answered yet."""

    def __init__(
        self, owner: ids.InstanceId, message: messages.SlotAcquire
    ) -> None:
        self.owner = owner
        self.message = message
        self.timer: typing.Optional[eventlet.Timeout] = None
        self._greenlet = eventlet.getcurrent()

    def note_queued(self) -> None:
        """Stops the watch for silence; the owner is alive."""
        if self.timer is not None:
            self.timer.cancel()

    def abandon(self) -> None:
        """Ends the wait with an error, in the waiting green thread."""
        error = exceptions.PeerUnreachableError(
            f'{self.owner} owns {self.message.address} no longer'
        )
        eventlet.kill(self._greenlet, error)


def _unreachable(
    address: ids.ReplicaAddress, problem: str
) -> exceptions.NotRunError:
    return slots.refusal(
        outcomes.Cause.OWNER_UNREACHABLE,
        f'the owner of {address} does not answer: {problem}',
    )
