"""Heartbeats, sent by one green thread for each receiver.

Most heartbeats are a `Beat` of about 40 bytes. Changes since the last
message to the same receiver are sent as an `Update`. Both carry the number
of updates sent; a receiver that has missed one requests a full update.
"""

from __future__ import annotations

import dataclasses
import typing

import eventlet
import prometheus_client

from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.models import members
from lentildeal._internal.network import peers
from lentildeal._internal.network import wire
from lentildeal._internal.utils import backoff
from lentildeal._internal.utils import clock

# Longest delay between two attempts to reach an unreachable member.
MAX_RETRY_DELAY_S = 2.0

_sent_total = prometheus_client.Counter(
    'lentildeal_heartbeats_sent_total', 'Heartbeats sent.', ['kind']
)
_beats_total = _sent_total.labels('beat')
_updates_total = _sent_total.labels('update')
_failed_total = prometheus_client.Counter(
    'lentildeal_heartbeats_failed_total', 'Heartbeats that found no peer.'
)

# A member as it is sent: instance, incarnation, failure domain, HTTP and
# peer address, state, revision, and attachments as (trainer, step, number,
# version). A tuple, because field names would double the size of a roster.
Row = tuple
Versions = dict[ids.ModelName, ids.Version]


@wire.message('member.heartbeat')
@dataclasses.dataclass(frozen=True)
class Beat:
    """Nothing has changed since update ``number``."""

    incarnation: ids.Incarnation
    number: int


@wire.message('member.update')
@dataclasses.dataclass(frozen=True)
class Update:
    """Changes since the previous update.

    Attributes:
        incarnation: Incarnation of the sender.
        number: Count of updates sent to this receiver, from 1.
        is_full: Whether it replaces everything sent before.
        rows: Members of the sender's domain, the sender included.
        removed: Members that the sender has removed.
        versions: Highest known weight version by model.
    """

    incarnation: ids.Incarnation
    number: int
    is_full: bool
    rows: tuple[Row, ...]
    removed: tuple[ids.InstanceId, ...] = ()
    versions: Versions = dataclasses.field(default_factory=dict)


@wire.message('member.resend')
@dataclasses.dataclass(frozen=True)
class Resend:
    """Requests a full update after a missed one."""


def pack_member(member: members.Member) -> Row:
    """Makes the row of a member."""
    attachments = tuple(
        (a.trainer, a.step, a.number, a.version) for a in member.attachments
    )
    return (
        member.instance,
        member.incarnation,
        member.failure_domain,
        member.http_address,
        member.peer_address,
        member.state.value,
        member.revision,
        attachments,
    )


def unpack_member(row: Row) -> members.Member:
    """Reads a row; columns added by a later release are dropped.

    Raises:
        exceptions.WireError: The row is not valid.
    """
    try:
        head, attachments = row[:5], row[7]
        return members.Member(
            *head,
            members.MemberState(row[5]),
            row[6],
            tuple(members.Attachment(*item[:4]) for item in attachments),
        )
    except (IndexError, TypeError, ValueError) as error:
        raise exceptions.WireError(f'not a member row: {error}') from error


def reduce_to_address(member: members.Member) -> members.Member:
    """Drops the mutable fields, for receivers that need only the address."""
    return members.Member(
        member.instance,
        member.incarnation,
        member.failure_domain,
        member.http_address,
        member.peer_address,
    )


class Content(typing.NamedTuple):
    """State to send to a receiver; ``epoch`` grows with each change."""

    epoch: int
    rows: dict[ids.InstanceId, Row]
    versions: Versions


class Session:
    """Tracks what one receiver was sent."""

    def __init__(self, incarnation: ids.Incarnation) -> None:
        self._incarnation = incarnation
        # Kept on reset, so that a receiver that misses the next update
        # detects the gap in the numbers.
        self._number = 0
        self.reset()

    def reset(self) -> None:
        """Makes the next message a full update."""
        self._is_full = True
        self._epoch: typing.Optional[int] = None
        self._rows: dict[ids.InstanceId, Row] = {}
        self._versions: Versions = {}

    def next_message(self, content: Content) -> typing.Union[Beat, Update]:
        """Makes the next heartbeat and records it as sent."""
        if content.epoch == self._epoch:
            return Beat(self._incarnation, self._number)
        rows = tuple(
            row
            for instance, row in content.rows.items()
            if self._rows.get(instance) != row
        )
        removed = tuple(self._rows.keys() - content.rows.keys())
        versions = dict(content.versions.items() - self._versions.items())
        self._epoch = content.epoch
        is_full = self._is_full
        if not (is_full or rows or removed or versions):
            return Beat(self._incarnation, self._number)
        self._rows = dict(content.rows)
        self._versions = dict(content.versions)
        self._is_full = False
        self._number += 1
        return Update(
            self._incarnation, self._number, is_full, rows, removed, versions
        )


class Sender:
    """Sends heartbeats to one receiver in a separate green thread.

    Args:
        network: Connections to other daemons.
        receiver: Instance that gets the heartbeats.
        incarnation: Incarnation of this daemon.
        interval_s: Time between two heartbeats, in seconds.
        phase_s: Offset of the wake-ups, shared by all senders of a daemon
            and different at each daemon, in seconds.
        content: Returns the state to send to the receiver.
        on_refused: Called when the receiver refuses the connection.
    """

    def __init__(
        self,
        network: peers.PeerNetwork,
        receiver: ids.InstanceId,
        incarnation: ids.Incarnation,
        interval_s: float,
        phase_s: float,
        content: typing.Callable[[], Content],
        on_refused: typing.Callable[[ids.InstanceId], None],
    ) -> None:
        self.receiver = receiver
        self.session = Session(incarnation)
        self._network = network
        self._interval_s = interval_s
        self._phase_s = phase_s
        self._content = content
        self._on_refused = on_refused
        self._is_sending = False
        self._is_send_requested = False
        self._is_stopped = False
        self._backoff = backoff.Backoff(interval_s, MAX_RETRY_DELAY_S)

    def start(self) -> None:
        """Starts the green thread."""
        eventlet.spawn_n(self._run)

    def stop(self) -> None:
        """Ends the green thread at its next wake-up."""
        self._is_stopped = True

    def send_now(self) -> None:
        """Sends the next heartbeat at once."""
        if self._is_send_requested:
            return
        self._is_send_requested = True
        if not self._is_sending:
            eventlet.spawn_n(self._send_if_requested)

    def _run(self) -> None:
        # A plain sleep takes half the CPU of a timed wait for an event, which
        # would be a quarter of a percent of a core at 50 receivers.
        while not self._is_stopped:
            delay_s = self._interval_s
            if not self._is_sending:
                delay_s = self._send()
            eventlet.sleep(delay_s)

    def _send_if_requested(self) -> None:
        if self._is_send_requested and not self._is_sending:
            self._send()

    def _send(self) -> float:
        """Sends while heartbeats are requested; returns the next delay."""
        self._is_sending = True
        try:
            delay_s = self._send_one()
            while self._is_send_requested and not self._is_stopped:
                delay_s = self._send_one()
            return delay_s
        finally:
            self._is_sending = False

    def _send_one(self) -> float:
        self._is_send_requested = False
        try:
            self._network.connect(self.receiver)
            message = self.session.next_message(self._content())
            self._network.notify(self.receiver, message)
        except exceptions.PeerError as error:
            _failed_total.inc()
            self.session.reset()
            if isinstance(error.__cause__, ConnectionRefusedError):
                self._on_refused(self.receiver)
            return self._backoff.next_delay_s()
        self._backoff.reset()
        if isinstance(message, Beat):
            _beats_total.inc()
        else:
            _updates_total.inc()
        # All senders of a daemon wake at the same time, in one iteration of
        # the event loop instead of one each.
        now_s = clock.monotonic_s() + self._phase_s
        return self._interval_s - now_s % self._interval_s
