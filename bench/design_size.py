"""Arithmetic at the design size (design page, section 1.5).

``python -m bench.design_size`` prints the tables of docs/CAPACITY.md from the
measured slopes below; the command behind each one stands beside it.
"""

from __future__ import annotations

import dataclasses
import typing

DAY_S = 86_400.0


@dataclasses.dataclass(frozen=True)
class Slopes:
    """Measured costs on the machine of docs/CAPACITY.md.

    Attributes:
        measured_peer_role: CPU of a daemon with the peers and members of the
            design size, part of a core.
        base_cpu_share: Daemon without peers, part of a core.
        base_bytes: Daemon without peers, resident.
        peer_cpu_us_s: Two heartbeats each way a second with one peer.
        peer_bytes: Memory of one connected peer.
        beat_bytes_s: Heartbeats to one peer, each way.
        member_bytes: Memory of one known member.
        text_check_s: Check of the text of the design size.
        text_bytes: That text.
        poll_us: One long poll of one stream, or another short HTTP call.
        token_us: One relayed token when a stream is read every 50 ms.
    """

    # python -m bench.capacity peers
    base_bytes: float = 37_134 * 1024
    peer_cpu_us_s: float = 409.7
    peer_bytes: float = 255.2 * 1024
    beat_bytes_s: float = 108.0
    # python -m bench.capacity members
    member_bytes: float = 72.3 * 1024
    # python -m bench.capacity design: the whole peer role at once, largest
    # of four runs (3.3, 3.5, 3.8 and 4.0 %).
    measured_peer_role: float = 0.040
    # python -m bench.spread
    base_cpu_share: float = 0.0053
    text_check_s: float = 0.0779
    text_bytes: float = 70_717
    poll_us: float = 957.0
    # Design page, section 7.
    token_us: float = 7.6

    @property
    def frame_us(self) -> float:
        """One frame that comes alone, at one end."""
        return self.peer_cpu_us_s / 4


@dataclasses.dataclass(frozen=True)
class Size:
    """Design size and settings."""

    daemons: int = 350
    domains: int = 16
    regions: int = 7
    replicas: int = 2600
    requests_s: float = 26_000.0
    tokens_s: float = 5.6e6
    trainers: int = 6
    samples_per_step: int = 4096
    step_s: float = 19 * 60.0
    version_interval_s: float = 120.0
    changes_per_day: float = 3000.0
    failures_per_day: float = 32.0
    replacements_per_day: float = 570.0
    cpu_bound: float = 0.042
    memory_bound: float = 128e6
    bytes_bound: float = 23e3

    @property
    def per_domain(self) -> float:
        """Daemons of a failure domain."""
        return self.daemons / self.domains

    @property
    def receivers(self) -> float:
        """Daemons that a daemon sends heartbeats to; as many send to it."""
        return self.per_domain - 1 + 2 * (self.domains - 1)

    @property
    def owned(self) -> float:
        """Replicas that a daemon owns on average."""
        return self.replicas / self.daemons

    @property
    def changes_s(self) -> float:
        """Configuration changes a second."""
        return self.changes_per_day / DAY_S


# Sizes on the wire, in bytes: rows from tests/unit/test_heartbeats.py's
# member, HTTP messages and slot frames as the adapters write them.
ROW_BYTES = 85
HTTP_BYTES = 450
SLOT_BYTES = 150
SLOT_FRAMES = 3
# IP and TCP headers with time stamps, and an acknowledgement for half of
# the segments.
HEADER_BYTES = 52 + 26
# Polls of `config` and of `claims` at `log_poll_ms`, instance list at
# 30 times `instances_poll_ms` (membership/instance_list.py).
POLLS_S = 2.0
LIST_POLLS_S = 1 / 60
LIST_ENTRY_BYTES = 130
# Read-backs of an owner for each replica (orders/swaps.py).
READ_BACKS_S = 1.0
# Backlog notices of a coordinator to each owner (rollouts/coordinator.py),
# and progress that it takes at most (rollouts/attempts.py).
BACKLOG_INTERVAL_S = 5.0
PROGRESS_BYTES_S = 12_000
# Members that gain replicas when one of 7.4 replicas ends, and its
# successor's own record.
CLAIM_INTERVAL_S = 2.0
LOG_APPENDS_S = 300.0


class Role(typing.NamedTuple):
    """Cost of one role at one daemon.

    Attributes:
        name: Role.
        cpu: Part of a core.
        memory: Bytes.
        traffic: Bytes a second in both directions, without headers.
        frames: Frames and HTTP messages a second, both directions.
        is_control: Whether it counts towards the bound.
        mechanism: What carries it.
    """

    name: str
    cpu: float
    memory: float
    traffic: float
    frames: float
    is_control: bool
    mechanism: str


def peer_role(size: Size, cost: Slopes) -> Role:
    """Heartbeats and the table of members."""
    peers = size.receivers
    rows_s = size.changes_s * (2 * (size.domains - 1) * size.per_domain)
    return Role(
        'peer',
        cost.base_cpu_share + peers * cost.peer_cpu_us_s / 1e6,
        peers * cost.peer_bytes + size.daemons * cost.member_bytes,
        2 * peers * cost.beat_bytes_s + 2 * rows_s * ROW_BYTES,
        4 * peers,
        True,
        'beats of 54 bytes, rows only when changed',
    )


def reader_role(size: Size, cost: Slopes) -> Role:
    """Configuration reader and instance list."""
    polls_s = POLLS_S + LIST_POLLS_S
    list_bytes_s = LIST_POLLS_S * size.daemons * LIST_ENTRY_BYTES
    return Role(
        'configuration reader',
        size.changes_s * cost.text_check_s + polls_s * cost.poll_us / 1e6,
        2 * cost.text_bytes * 10,
        size.changes_s * cost.text_bytes + list_bytes_s + polls_s * HTTP_BYTES,
        2 * polls_s,
        True,
        'long poll of the log, whole text for each edit',
    )


def issuer_role(size: Size, cost: Slopes) -> Role:
    """Weight orders with read-back."""
    orders_s = size.owned / size.version_interval_s
    calls_s = size.owned * READ_BACKS_S + orders_s
    return Role(
        'order issuer',
        calls_s * cost.poll_us / 1e6,
        size.owned * 20_000,
        calls_s * HTTP_BYTES,
        2 * calls_s,
        True,
        'state-based orders, one read-back a second for each replica',
    )


def reporter_role(size: Size, cost: Slopes) -> Role:
    """A status of the federation once a minute, at one daemon."""
    asked_s = (size.daemons - 1) / 60
    return Role(
        'reporter (one daemon)',
        asked_s * 4 * cost.frame_us / 1e6,
        (size.daemons - size.receivers) * cost.peer_bytes,
        asked_s * 3000,
        2 * asked_s,
        False,
        'one call to all members at once, 1.5 s',
    )


def entry_role(size: Size, cost: Slopes) -> Role:
    """Slots of live calls at their entry daemon, and relayed tokens."""
    requests_s = size.requests_s / size.daemons
    frames_s = requests_s * SLOT_FRAMES
    return Role(
        'entry',
        frames_s * cost.frame_us / 1e6
        + size.tokens_s / size.daemons * cost.token_us / 1e6,
        requests_s * 2 * 50_000,
        frames_s * SLOT_BYTES,
        frames_s,
        False,
        'slot grants only; the request goes straight to the replica',
    )


def owner_role(size: Size, cost: Slopes) -> Role:
    """Queues of the owned replicas."""
    frames_s = size.requests_s / size.daemons * SLOT_FRAMES
    return Role(
        'queue owner',
        frames_s * cost.frame_us / 1e6,
        size.owned * 1000 * 1000,
        frames_s * SLOT_BYTES,
        frames_s,
        False,
        'one queue for each replica, by rendezvous hashing',
    )


def coordinator_role(size: Size, cost: Slopes) -> Role:
    """One trainer's coordinator."""
    backlog_s = size.daemons / BACKLOG_INTERVAL_S
    samples_s = size.samples_per_step / size.step_s
    frames_s = backlog_s + 4 * samples_s
    return Role(
        'coordinator (6 daemons)',
        frames_s * cost.frame_us / 1e6,
        size.samples_per_step * 20_000,
        frames_s * SLOT_BYTES + PROGRESS_BYTES_S,
        frames_s,
        False,
        'owners pull; progress is bounded by the coordinator',
    )


ROLES = (
    peer_role,
    reader_role,
    issuer_role,
    entry_role,
    owner_role,
    coordinator_role,
    reporter_role,
)


def print_roles(size: Size, cost: Slopes) -> list[Role]:
    """Prints all roles and what they sum up to."""
    roles = [role(size, cost) for role in ROLES]
    for role in roles:
        print(
            f'{role.name}: {role.cpu * 100:.2f} % of a core,'
            f' {role.memory / 1e6:.1f} MB, {role.traffic / 1e3:.1f} kB/s,'
            f' {role.frames:.0f} messages/s; {role.mechanism}'
        )
    return roles


def print_bounds(size: Size, cost: Slopes, roles: list[Role]) -> None:
    """Prints whether the control plane holds its bounds."""
    control = [role for role in roles if role.is_control]
    cpu = sum(role.cpu for role in control)
    memory = cost.base_bytes + sum(role.memory for role in control)
    traffic = sum(role.traffic for role in control)
    headers = sum(role.frames for role in control) * HEADER_BYTES
    rest = cpu - roles[0].cpu
    whole = cost.measured_peer_role + rest
    for name, value, bound, scale, unit in (
        ('CPU by slopes', cpu, size.cpu_bound, 100, '% of a core'),
        ('CPU, peer role measured', whole, size.cpu_bound, 100, '% of a core'),
        ('memory', memory, size.memory_bound, 1e-6, 'MB'),
        ('payload', traffic, size.bytes_bound, 1e-3, 'kB/s'),
        ('with headers', traffic + headers, size.bytes_bound, 1e-3, 'kB/s'),
    ):
        verdict = 'held' if value <= bound else 'NOT HELD'
        print(
            f'{name}: {value * scale:.2f} of {bound * scale:.1f} {unit},'
            f' {verdict}'
        )


def print_log(size: Size) -> None:
    """Prints appends a second to the log."""
    gainers = min(size.owned, size.per_domain - 1)
    events_s = (size.failures_per_day + size.replacements_per_day) / DAY_S
    rows = (
        ('configuration', size.changes_s),
        ('terms, ordinary day', events_s * (gainers + 1)),
        (
            f'claims, interval {CLAIM_INTERVAL_S:.0f} s',
            size.daemons / CLAIM_INTERVAL_S,
        ),
    )
    for name, rate in rows:
        print(f'log appends, {name}: {rate:.3f}/s')
    total = sum(rate for _, rate in rows)
    print(f'log appends, sum: {total:.1f} of about {LOG_APPENDS_S:.0f}/s')
    print(
        'shortest claim interval that fits:'
        f' {size.daemons / LOG_APPENDS_S:.2f} s'
    )


def print_bad_days(size: Size, cost: Slopes) -> None:
    """Prints what failures of several sizes cause."""
    rack = size.per_domain / 4
    print(
        f'rack ({rack:.1f} daemons): {rack * size.owned:.0f} replicas move to'
        f' {size.per_domain - rack:.0f} owners, as many term appends'
    )
    print(
        f'failure domain ({size.per_domain:.0f} daemons): no owner moves;'
        f' {size.per_domain:.0f} term appends when it returns'
    )
    cut = size.domains / size.regions
    dials_s = 2 * cut / 2.0
    print(
        f'region cut off ({cut:.1f} domains): {dials_s:.1f} dials/s at each'
        f' daemon, {dials_s * 4 * cost.frame_us / 1e4:.2f} % of a core'
    )
    roster = size.per_domain * ROW_BYTES
    print(
        f'region back: {2 * cut * roster / 1e3:.0f} kB of rosters sent by'
        ' each daemon, once'
    )


def print_limit(size: Size, cost: Slopes) -> None:
    """Prints at how many daemons the peer role alone meets the bound."""
    left = size.cpu_bound - cost.base_cpu_share
    peers = left * 1e6 / cost.peer_cpu_us_s
    domain = peers + 1 - 2 * (size.domains - 1)
    print(
        f'peer role alone: bound met up to {peers:.0f} peers, which is'
        f' {domain:.0f} daemons in each of {size.domains} domains'
    )


def main() -> None:
    """Prints all tables."""
    size, cost = Size(), Slopes()
    roles = print_roles(size, cost)
    print_bounds(size, cost, roles)
    print_log(size)
    print_bad_days(size, cost)
    print_limit(size, cost)


if __name__ == '__main__':
    main()
