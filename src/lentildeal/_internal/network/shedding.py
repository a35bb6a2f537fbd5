"""Decides whose memory and whose connection is taken back under pressure.

Nothing here waits or does input and output.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

# Time without progress after which a client counts as stalled. Round trips
# take up to 11 ms, and a lost packet is sent again after 0.2 s, then 0.4 s.
STALLED_S = 1.0
# Holdings up to this size are ordinary requests. They are shed only while they
# are stalled.
SMALL_BYTES = 64 * 1024


class Phase(enum.IntEnum):
    """What a connection does; lower ones are closed first."""

    # Waits for the next request, after at least one.
    IDLE = 0
    # Has sent no complete head yet.
    HEAD = 1
    # Sends a body.
    BODY = 2
    # Is sent an answer.
    ANSWER = 3
    # A handler has the request, which may have run.
    HANDLER = 4


# A request in these phases has not run, or its answer is not taken.
_SHEDDABLE = (Phase.HEAD, Phase.BODY, Phase.ANSWER)


@dataclasses.dataclass(eq=False)
class Holder:
    """One connection and what is held for it.

    Attributes:
        phase: What it does.
        progress_s: Steady time of the last byte that it sent or took, or of
            the change of its phase.
        size_bytes: Memory that is held for it.
        is_shed: Whether it is being closed.
    """

    phase: Phase
    progress_s: float
    size_bytes: int = 0
    is_shed: bool = False

    def is_stalled(self, now_s: float) -> bool:
        """Whether it waits for its client, which makes no progress."""
        return (
            self.phase in _SHEDDABLE and now_s - self.progress_s >= STALLED_S
        )


H = typing.TypeVar('H', bound=Holder)


def choose_for_memory(
    holders: typing.Iterable[H],
    requester: H,
    size_bytes: int,
    needed_bytes: int,
    now_s: float,
) -> list[H]:
    """Chooses who is closed so that a requester gets memory.

    Stalled connections come first, the largest of them foremost, then the
    largest holders that receive a body, if they hold more than the requester
    would. Who is handled, and who takes its answer, is not closed.

    Args:
        holders: All connections.
        requester: Who asks.
        size_bytes: What the requester asks for.
        needed_bytes: What is missing.
        now_s: Steady time.

    Returns:
        The connections to close, empty if they would not suffice.
    """
    own_bytes = requester.size_bytes + size_bytes
    others = [
        holder
        for holder in holders
        if holder is not requester
        and not holder.is_shed
        and holder.size_bytes > 0
    ]
    stalled = [h for h in others if h.is_stalled(now_s)]
    larger = [
        h
        for h in others
        if h.phase is Phase.BODY
        and not h.is_stalled(now_s)
        and h.size_bytes > max(own_bytes, SMALL_BYTES)
    ]
    chosen = []
    for group in (stalled, larger):
        for holder in sorted(group, key=_get_size, reverse=True):
            if needed_bytes <= 0:
                return chosen
            chosen.append(holder)
            needed_bytes -= holder.size_bytes
    return chosen if needed_bytes <= 0 else []


def choose_for_connection(
    holders: typing.Iterable[H], now_s: float
) -> typing.Optional[H]:
    """Chooses whose connection is closed so that a new one has room.

    Idle connections come first, the longest idle foremost, then stalled ones,
    the longest stalled foremost, then those that have sent no head.

    Returns:
        The connection to close, None if all are in use.
    """
    open_holders = [h for h in holders if not h.is_shed]
    groups = (
        [h for h in open_holders if h.phase is Phase.IDLE],
        [h for h in open_holders if h.is_stalled(now_s)],
        [h for h in open_holders if h.phase is Phase.HEAD],
    )
    for group in groups:
        if group:
            return min(group, key=lambda holder: holder.progress_s)
    return None


def _get_size(holder: Holder) -> int:
    return holder.size_bytes
