"""Checks the responses that clients received against the promises."""

from __future__ import annotations

import collections
import dataclasses
import math
import threading
import time
import typing

from soak import duties
from tests.lib import platform_world


# The users' bound on the requests to a replica that limits them.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
# The bound holds from this time after the limit was first named.
LIMIT_STABLE_S = 3.0


@dataclasses.dataclass
class NamedLimit:
    """Time in which a replica limits its requests.

    Attributes:
        replica: Stand-in of the replica.
        rate: Requests a second that it accepts.
        start_s: When it began to name the limit.
        end_s: When it ended to name it.
    """

    replica: typing.Any
    rate: float
    start_s: float = dataclasses.field(default_factory=time.monotonic)
    end_s: float = math.inf

    def find_excess(
        self,
        times_s: list[float],
        excused: typing.Iterable[tuple[float, float]],
    ) -> int:
        """Returns by how many requests some window exceeds the bound.

        Args:
            times_s: Arrivals of requests.
            excused: Times in which the connections of the replica held back
                requests, which arrive together when they are released.
        """
        named_s = min(
            (t for t in times_s if t > self.start_s), default=math.inf
        )
        excused = [(start, end + LIMIT_WINDOW_S) for start, end in excused]
        counts = [
            sum(start <= t < start + LIMIT_WINDOW_S for t in times_s)
            for start in times_s
            if named_s + LIMIT_STABLE_S <= start
            and start + LIMIT_WINDOW_S <= self.end_s
            and not any(
                a <= start + LIMIT_WINDOW_S and start <= b for a, b in excused
            )
        ]
        bound = LIMIT_FACTOR * self.rate * LIMIT_WINDOW_S + LIMIT_EXTRA
        return max(0, math.ceil(max(counts, default=0) - bound))


class ResponseChecker:
    """Records responses by job and call and checks them on arrival."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._positions: dict[tuple[str, int], dict] = {}
        self._items: dict[str, set[str]] = {}
        self._scored: set[str] = set()
        self.accepted: set[str] = set()
        self.statuses: dict[str, list[int]] = collections.defaultdict(list)
        self.calls: dict[str, int | None] = {}
        self.violations: list[str] = []

    def add_job(
        self, job_id: str, item_ids: list[str], is_scored: bool
    ) -> None:
        """Records a job before its first submission."""
        self._items[job_id] = set(item_ids)
        if is_scored:
            self._scored.add(job_id)

    def add_submission(self, job_id: str, status: int) -> None:
        """Records the status of a submission, 0 without a response."""
        with self._lock:
            self.statuses[job_id].append(status)
            if status == 202:
                self.accepted.add(job_id)

    def add_page(self, job_id: str, after: int, page: dict) -> None:
        """Checks a page of results against all earlier ones."""
        with self._lock:
            if page['Total'] != len(self._items[job_id]):
                self._add_violation(f'job {job_id}: total {page["Total"]}')
            for number, result in enumerate(page['Results']):
                self._add_result(job_id, after + number, result)

    def add_read(self, job_id: str, status: int) -> None:
        """Checks the status of a read of an accepted job."""
        if status not in (0, 200, 502, 503, 504):
            self._add_violation(
                f'accepted job {job_id} was read with {status}'
            )

    def check_runs(self, runs: list[dict]) -> None:
        """Compares the runs at the replicas with the responses to clients."""
        counts = collections.Counter(run['id'] for run in runs)
        for call_id, status in self.calls.items():
            if counts[call_id] > 1:
                self._add_violation(
                    f'call {call_id} ran {counts[call_id]} times'
                )
            if counts[call_id] and status in (408, 421, 429, 503):
                self._add_violation(f'call {call_id} ran and was refused')
        for job_id, statuses in self.statuses.items():
            if set(statuses) <= {408, 421, 429, 503}:
                ran = [i for i in self._items[job_id] if counts[i]]
                if ran:
                    self._add_violation(f'refused job {job_id}: {ran} ran')

    def check_limit(
        self,
        limit: NamedLimit,
        excused: typing.Iterable[tuple[float, float]],
    ) -> None:
        """Checks the requests to a replica that limited them."""
        runs = limit.replica.read_journal()['runs']
        excess = limit.find_excess([run['at_s'] for run in runs], excused)
        if excess:
            self._add_violation(
                f'{limit.replica.name} got {excess} requests over the bound of'
                f' its limit of {limit.rate} a second'
            )

    def check_reports(self, calls: list[dict]) -> None:
        """Checks the usage reports that the platform got."""
        if not calls:
            self._add_violation('no window was reported')
            return
        for text in duties.find_report_violations(calls):
            self._add_violation(text)

    def check_memory(self, name: str, pid: int, limit_mb: float) -> None:
        """Checks the peak memory of a daemon."""
        with open(f'/proc/{pid}/status') as status:
            lines = [line for line in status if line.startswith('VmHWM')]
        peak_mb = int(lines[0].split()[1]) / 1024 if lines else 0.0
        if peak_mb > limit_mb:
            self._add_violation(f'{name} used {peak_mb:.0f} MB')

    def check_all_complete(self) -> None:
        """Checks that all results of each accepted job were read."""
        for job_id in self.accepted:
            seen = {
                result['Id']
                for (job, _), result in self._positions.items()
                if job == job_id
            }
            if seen != self._items[job_id]:
                missing = sorted(self._items[job_id] - seen)
                self._add_violation(f'job {job_id} misses {missing}')

    def _add_result(self, job_id: str, position: int, result: dict) -> None:
        first_result = self._positions.setdefault((job_id, position), result)
        if first_result != result:
            self._add_violation(f'job {job_id}: position {position} changed')
        others = [
            other
            for (job, other_position), other in self._positions.items()
            if job == job_id and other_position != position
        ]
        item_id = result['Id']
        if any(other['Id'] == item_id for other in others):
            self._add_violation(
                f'job {job_id}: item {item_id} at two positions'
            )
        if item_id not in self._items[job_id]:
            self._add_violation(f'job {job_id}: foreign item {item_id}')
        if result['State'] != 'done':
            self._add_violation(f'job {job_id}: item {item_id} was given up')
        elif result['Text'] != platform_world.expected_text(item_id):
            self._add_violation(f'job {job_id}: wrong text of item {item_id}')
        score = result.get('Score', '').rpartition('.')[0]
        if score != (f'score-{item_id}' if job_id in self._scored else ''):
            self._add_violation(f'item {item_id} has the score {score!r}')

    def _add_violation(self, text: str) -> None:
        self.violations.append(text)
