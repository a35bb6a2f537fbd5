"""Calculates the load at the design size (design page, section 1.5).

``python -m bench.design_size`` prints the tables of docs/CAPACITY.md from the
slopes below; a comment names the command that measures each of them.
"""

from __future__ import annotations

import dataclasses
import typing

DAY_S = 86_400.0


@dataclasses.dataclass(frozen=True)
class Slopes:
    """Costs on the machine of docs/CAPACITY.md.

    Attributes:
        measured_peer_role: CPU time of a daemon with the peers and members of
            the design size, as a share of a core.
        base_cpu_share: CPU time of a daemon without peers, as a share of a
            core.
        base_bytes: Resident memory of a daemon without peers.
        peer_cpu_us_per_s: CPU time for one peer, with two heartbeats each way
            per second.
        peer_bytes: Memory of one connected peer.
        heartbeat_bytes_per_s: Heartbeat traffic with one peer, each way.
        member_bytes: Memory of one known member.
        text_check_s: CPU time to check the text of the design size.
        text_bytes: Size of that text.
        poll_us: CPU time of one long poll of one stream, or of another short
            HTTP call.
        token_us: CPU time of one relayed token when a stream is read every
            50 ms.
    """

    # python -m bench.capacity peers
    base_bytes: float = 37_134 * 1024
    peer_cpu_us_per_s: float = 409.7
    peer_bytes: float = 255.2 * 1024
    heartbeat_bytes_per_s: float = 108.0
    # python -m bench.capacity members
    member_bytes: float = 72.3 * 1024
    # python -m bench.capacity design: the entire peer role, largest of four
    # runs (3.3, 3.5, 3.8 and 4.0 %).
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
        """CPU time of one single frame, at one end."""
        return self.peer_cpu_us_per_s / 4


@dataclasses.dataclass(frozen=True)
class Size:
    """Design size and settings."""

    daemons: int = 350
    domains: int = 16
    regions: int = 7
    replicas: int = 2600
    requests_per_s: float = 26_000.0
    tokens_per_s: float = 5.6e6
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
        """Daemons per failure domain."""
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
    def changes_per_s(self) -> float:
        """Configuration changes per second."""
        return self.changes_per_day / DAY_S


# Sizes on the wire, in bytes: a member row as in
# tests/unit/test_heartbeats.py, and HTTP messages and slot frames as the
# adapters write them.
ROW_BYTES = 85
HTTP_BYTES = 450
SLOT_BYTES = 150
SLOT_FRAMES = 3
# IP and TCP headers with timestamps, and an acknowledgement for every other
# segment.
HEADER_BYTES = 52 + 26
# Polls of `config` and `claims` every `log_poll_ms`, and of the instance list
# every 30 times `instances_poll_ms` (membership/instance_list.py).
POLLS_PER_S = 2.0
LIST_POLLS_PER_S = 1 / 60
LIST_ENTRY_BYTES = 130
# Read-backs of an owner per second for each replica (orders/swaps.py).
READ_BACKS_PER_S = 1.0
# Interval of a coordinator's backlog notices to each owner
# (rollouts/coordinator.py), and the most progress reports that it accepts
# (rollouts/attempts.py).
BACKLOG_INTERVAL_S = 5.0
PROGRESS_BYTES_PER_S = 12_000
# Interval of claims of one daemon, and the log's limit of appends per second.
CLAIM_INTERVAL_S = 2.0
MAX_LOG_APPENDS_PER_S = 300.0


class Role(typing.NamedTuple):
    """Cost of one role of a daemon.

    Attributes:
        name: Name of the role.
        cpu: CPU time as a share of a core.
        memory: Memory in bytes.
        traffic: Bytes per second in both directions, without headers.
        frames: Frames and HTTP messages per second in both directions.
        is_control: Whether it counts towards the bound of the control plane.
        mechanism: Mechanism that causes the cost.
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
    rows_per_s = size.changes_per_s * (
        2 * (size.domains - 1) * size.per_domain
    )
    return Role(
        'peer',
        cost.base_cpu_share + peers * cost.peer_cpu_us_per_s / 1e6,
        peers * cost.peer_bytes + size.daemons * cost.member_bytes,
        2 * peers * cost.heartbeat_bytes_per_s + 2 * rows_per_s * ROW_BYTES,
        4 * peers,
        True,
        'heartbeats of 54 bytes, rows only when changed',
    )


def reader_role(size: Size, cost: Slopes) -> Role:
    """Polls of the configuration log and of the instance list."""
    polls_per_s = POLLS_PER_S + LIST_POLLS_PER_S
    list_bytes_per_s = LIST_POLLS_PER_S * size.daemons * LIST_ENTRY_BYTES
    return Role(
        'configuration reader',
        size.changes_per_s * cost.text_check_s
        + polls_per_s * cost.poll_us / 1e6,
        2 * cost.text_bytes * 10,
        size.changes_per_s * cost.text_bytes
        + list_bytes_per_s
        + polls_per_s * HTTP_BYTES,
        2 * polls_per_s,
        True,
        'long poll of the log, complete text for each edit',
    )


def issuer_role(size: Size, cost: Slopes) -> Role:
    """Orders to load weights, with read-back."""
    orders_per_s = size.owned / size.version_interval_s
    calls_per_s = size.owned * READ_BACKS_PER_S + orders_per_s
    return Role(
        'order issuer',
        calls_per_s * cost.poll_us / 1e6,
        size.owned * 20_000,
        calls_per_s * HTTP_BYTES,
        2 * calls_per_s,
        True,
        'state-based orders, one read-back a second for each replica',
    )


def reporter_role(size: Size, cost: Slopes) -> Role:
    """A status of the federation once a minute, at one daemon."""
    status_requests_per_s = (size.daemons - 1) / 60
    return Role(
        'reporter (one daemon)',
        status_requests_per_s * 4 * cost.frame_us / 1e6,
        (size.daemons - size.receivers) * cost.peer_bytes,
        status_requests_per_s * 3000,
        2 * status_requests_per_s,
        False,
        'one call to all members at once, 1.5 s',
    )


def entry_role(size: Size, cost: Slopes) -> Role:
    """Slot requests of live calls at their entry daemon; relayed tokens."""
    requests_per_s = size.requests_per_s / size.daemons
    frames_per_s = requests_per_s * SLOT_FRAMES
    return Role(
        'entry',
        frames_per_s * cost.frame_us / 1e6
        + size.tokens_per_s / size.daemons * cost.token_us / 1e6,
        requests_per_s * 2 * 50_000,
        frames_per_s * SLOT_BYTES,
        frames_per_s,
        False,
        'slot grants only; the request goes directly to the replica',
    )


def owner_role(size: Size, cost: Slopes) -> Role:
    """Queues of the owned replicas."""
    frames_per_s = size.requests_per_s / size.daemons * SLOT_FRAMES
    return Role(
        'queue owner',
        frames_per_s * cost.frame_us / 1e6,
        size.owned * 1000 * 1000,
        frames_per_s * SLOT_BYTES,
        frames_per_s,
        False,
        'one queue for each replica, by rendezvous hashing',
    )


def coordinator_role(size: Size, cost: Slopes) -> Role:
    """One trainer's coordinator."""
    backlog_notices_per_s = size.daemons / BACKLOG_INTERVAL_S
    samples_per_s = size.samples_per_step / size.step_s
    frames_per_s = backlog_notices_per_s + 4 * samples_per_s
    return Role(
        'coordinator (6 daemons)',
        frames_per_s * cost.frame_us / 1e6,
        size.samples_per_step * 20_000,
        frames_per_s * SLOT_BYTES + PROGRESS_BYTES_PER_S,
        frames_per_s,
        False,
        'owners pull; the coordinator limits progress reports',
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
    """Prints all roles and returns them."""
    roles = [role(size, cost) for role in ROLES]
    for role in roles:
        print(
            f'{role.name}: {role.cpu * 100:.2f} % of a core,'
            f' {role.memory / 1e6:.1f} MB, {role.traffic / 1e3:.1f} kB/s,'
            f' {role.frames:.0f} messages/s; {role.mechanism}'
        )
    return roles


def print_bounds(size: Size, cost: Slopes, roles: list[Role]) -> None:
    """Prints whether the control plane meets its bounds."""
    control = [role for role in roles if role.is_control]
    cpu = sum(role.cpu for role in control)
    memory = cost.base_bytes + sum(role.memory for role in control)
    traffic = sum(role.traffic for role in control)
    headers = sum(role.frames for role in control) * HEADER_BYTES
    other_cpu = cpu - roles[0].cpu
    cpu_with_measured_peer_role = cost.measured_peer_role + other_cpu
    for name, value, bound, scale, unit in (
        ('CPU by slopes', cpu, size.cpu_bound, 100, '% of a core'),
        (
            'CPU, peer role measured',
            cpu_with_measured_peer_role,
            size.cpu_bound,
            100,
            '% of a core',
        ),
        ('memory', memory, size.memory_bound, 1e-6, 'MB'),
        ('payload', traffic, size.bytes_bound, 1e-3, 'kB/s'),
        ('with headers', traffic + headers, size.bytes_bound, 1e-3, 'kB/s'),
    ):
        verdict = 'met' if value <= bound else 'NOT MET'
        print(
            f'{name}: {value * scale:.2f} of {bound * scale:.1f} {unit},'
            f' {verdict}'
        )


def print_log(size: Size) -> None:
    """Prints appends per second to the log."""
    # When a daemon with 7.4 replicas ends, that many members gain replicas and
    # append a term each; its successor appends its own term.
    new_owners = min(size.owned, size.per_domain - 1)
    events_per_s = (size.failures_per_day + size.replacements_per_day) / DAY_S
    rows = (
        ('configuration', size.changes_per_s),
        ('terms, ordinary day', events_per_s * (new_owners + 1)),
        (
            f'claims, interval {CLAIM_INTERVAL_S:.0f} s',
            size.daemons / CLAIM_INTERVAL_S,
        ),
    )
    for name, rate in rows:
        print(f'log appends, {name}: {rate:.3f}/s')
    total = sum(rate for _, rate in rows)
    print(
        f'log appends, sum: {total:.1f} of about {MAX_LOG_APPENDS_PER_S:.0f}/s'
    )
    print(
        'shortest claim interval that fits:'
        f' {size.daemons / MAX_LOG_APPENDS_PER_S:.2f} s'
    )


def print_failures(size: Size, cost: Slopes) -> None:
    """Prints the effect of failures of several sizes."""
    rack_daemons = size.per_domain / 4
    print(
        f'rack ({rack_daemons:.1f} daemons):'
        f' {rack_daemons * size.owned:.0f} replicas move to'
        f' {size.per_domain - rack_daemons:.0f} owners, as many term appends'
    )
    print(
        f'failure domain ({size.per_domain:.0f} daemons): no owner moves;'
        f' {size.per_domain:.0f} term appends when it returns'
    )
    unreachable_domains = size.domains / size.regions
    attempts_per_s = 2 * unreachable_domains / 2.0
    print(
        f'region unreachable ({unreachable_domains:.1f} domains):'
        f' {attempts_per_s:.1f} connection attempts/s at each daemon,'
        f' {attempts_per_s * 4 * cost.frame_us / 1e4:.2f} % of a core'
    )
    domain_rows_bytes = size.per_domain * ROW_BYTES
    print(
        'region reachable again:'
        f' {2 * unreachable_domains * domain_rows_bytes / 1e3:.0f} kB of'
        ' member rows sent by each daemon, once'
    )


def print_limit(size: Size, cost: Slopes) -> None:
    """Prints up to how many daemons the peer role alone meets the bound."""
    remaining_cpu = size.cpu_bound - cost.base_cpu_share
    peers = remaining_cpu * 1e6 / cost.peer_cpu_us_per_s
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
    print_failures(size, cost)
    print_limit(size, cost)


if __name__ == '__main__':
    main()
