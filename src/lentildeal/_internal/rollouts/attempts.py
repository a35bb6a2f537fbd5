"""Running attempts of a step and their leases."""

from __future__ import annotations

import collections
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.rollouts import entries

# Lease of an attempt that its owner does not report: a multiple of the
# reporting interval, and a lower bound in seconds.
LEASE_INTERVALS = 4
LEASE_MIN_S = 5.0
# Size of one attempt in a progress notice, and the maximum rate of the
# notices of a step (of 23 KB/s for all control traffic of a daemon).
PROGRESS_BYTES = 9
PROGRESS_BYTES_PER_S = 12_000
REPORT_MIN_S = 0.5


class AttemptTable:
    """Running attempts by their number; numbers are never reused."""

    def __init__(self) -> None:
        self._attempts: dict[int, entries.Attempt] = {}
        self._by_address: collections.Counter[ids.ReplicaAddress] = (
            collections.Counter()
        )
        self._next_number = 1

    def __len__(self) -> int:
        return len(self._attempts)

    def __iter__(self) -> typing.Iterator[entries.Attempt]:
        return iter(list(self._attempts.values()))

    @property
    def report_s(self) -> float:
        """Interval of progress notices, limited by their maximum rate."""
        return max(
            REPORT_MIN_S,
            len(self._attempts) * PROGRESS_BYTES / PROGRESS_BYTES_PER_S,
        )

    def start(
        self,
        entry: entries.Entry,
        instance: ids.InstanceId,
        address: ids.ReplicaAddress,
        now_s: float,
    ) -> entries.Attempt:
        """Creates and adds an attempt at a sample."""
        attempt = entries.Attempt(
            number=self._next_number,
            entry=entry,
            instance=instance,
            address=address,
            started_s=now_s,
            last_report_s=now_s,
        )
        self._next_number += 1
        self._attempts[attempt.number] = attempt
        entry.attempts[attempt.number] = attempt
        self._by_address[address] += 1
        return attempt

    def find(
        self, number: int, instance: ids.InstanceId
    ) -> typing.Optional[entries.Attempt]:
        """Finds a running attempt of an instance, None if unknown."""
        attempt = self._attempts.get(number)
        if attempt is None or attempt.instance != instance:
            return None
        return attempt

    def drop(self, attempt: entries.Attempt) -> None:
        """Removes an attempt; a later result of it is ignored."""
        entry = attempt.entry
        entry.reached_tokens = max(entry.reached_tokens, attempt.tokens)
        del self._attempts[attempt.number]
        del entry.attempts[attempt.number]
        self._by_address[attempt.address] -= 1

    def count_at(self, address: ids.ReplicaAddress) -> int:
        """Number of running attempts at a replica."""
        return self._by_address[address]

    def list_by_instance(
        self, instance: ids.InstanceId
    ) -> list[entries.Attempt]:
        """Attempts that an instance runs."""
        return [a for a in self if a.instance == instance]

    def list_expired(self, now_s: float) -> list[entries.Attempt]:
        """Attempts whose lease has expired."""
        lease_s = max(LEASE_MIN_S, LEASE_INTERVALS * self.report_s)
        return [a for a in self if now_s - a.last_report_s > lease_s]

    def record_progress(
        self,
        instance: ids.InstanceId,
        reports: typing.Iterable[tuple[int, int, int]],
        now_s: float,
    ) -> tuple[int, ...]:
        """Records progress and renews leases.

        Returns:
            Numbers of reported attempts that are not in the table.
        """
        unknown = []
        for number, tokens, oldest in reports:
            attempt = self.find(number, instance)
            if attempt is None:
                unknown.append(number)
                continue
            attempt.last_report_s = now_s
            attempt.tokens = tokens
            if oldest >= 0:
                attempt.oldest_version = ids.Version(oldest)
        return tuple(unknown)
