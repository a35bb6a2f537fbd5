"""What clients saw, and the promises that it has to agree with."""

from __future__ import annotations

import collections
import threading

from tests.lib import platform_world


class Evidence:
    """Answers by job and call, checked as they come."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._positions: dict[tuple[str, int], dict] = {}
        self._items: dict[str, set[str]] = {}
        self.accepted: set[str] = set()
        self.statuses: dict[str, list[int]] = collections.defaultdict(list)
        self.calls: dict[str, int | None] = {}
        self.broken: list[str] = []

    def add_job(self, job_id: str, item_ids: list[str]) -> None:
        """Notes a job before its first submission."""
        self._items[job_id] = set(item_ids)

    def add_submission(self, job_id: str, status: int) -> None:
        """Notes the answer to a submission, 0 for none."""
        with self._lock:
            self.statuses[job_id].append(status)
            if status == 202:
                self.accepted.add(job_id)

    def add_page(self, job_id: str, after: int, page: dict) -> None:
        """Checks a page of results against all seen before."""
        with self._lock:
            if page['Total'] != len(self._items[job_id]):
                self._break(f'job {job_id}: total {page["Total"]}')
            for number, result in enumerate(page['Results']):
                self._add_result(job_id, after + number, result)

    def add_read(self, job_id: str, status: int) -> None:
        """Checks the status of a read of an accepted job."""
        if status not in (0, 200, 502, 503, 504):
            self._break(f'accepted job {job_id} was read with {status}')

    def judge_runs(self, runs: list[dict]) -> None:
        """Compares what ran with what clients were told."""
        counts = collections.Counter(run['id'] for run in runs)
        for call_id, status in self.calls.items():
            if counts[call_id] > 1:
                self._break(f'call {call_id} ran {counts[call_id]} times')
            if counts[call_id] and status in (408, 421, 429, 503):
                self._break(f'call {call_id} ran and was refused')
        for job_id, statuses in self.statuses.items():
            if set(statuses) <= {408, 421, 429, 503}:
                ran = [i for i in self._items[job_id] if counts[i]]
                if ran:
                    self._break(f'refused job {job_id}: {ran} ran')

    def judge_whole(self) -> None:
        """Every accepted job has all results."""
        for job_id in self.accepted:
            seen = {
                result['Id']
                for (job, _), result in self._positions.items()
                if job == job_id
            }
            if seen != self._items[job_id]:
                missing = sorted(self._items[job_id] - seen)
                self._break(f'job {job_id} misses {missing}')

    def _add_result(self, job_id: str, position: int, result: dict) -> None:
        known = self._positions.setdefault((job_id, position), result)
        if known != result:
            self._break(f'job {job_id}: position {position} changed')
        others = [
            other
            for (job, place), other in self._positions.items()
            if job == job_id and place != position
        ]
        item_id = result['Id']
        if any(other['Id'] == item_id for other in others):
            self._break(f'job {job_id}: item {item_id} at two positions')
        if item_id not in self._items[job_id]:
            self._break(f'job {job_id}: foreign item {item_id}')
        if result['State'] != 'done':
            self._break(f'job {job_id}: item {item_id} was given up')
        elif result['Text'] != platform_world.expected_text(item_id):
            self._break(f'job {job_id}: wrong text of item {item_id}')

    def _break(self, text: str) -> None:
        self.broken.append(text)
