"""Selects samples and attempts of a step by the ordering rules."""

from __future__ import annotations

import itertools
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.rollouts import attempts
from lentildeal._internal.rollouts import entries
from lentildeal._internal.rollouts import hedging
from lentildeal._internal.rollouts import ordering


class Selector:
    """Chooses what a replica with a free slot generates next."""

    def __init__(
        self,
        groups: list[entries.Group],
        running: attempts.AttemptTable,
        plan: entries.StepPlan,
        predictor: ordering.LengthPredictor,
    ) -> None:
        self._new_groups = {group.position: group for group in groups}
        self._started_groups: list[entries.Group] = []
        self._attempts = running
        self._plan = plan
        self._predictor = predictor
        self._pull_times = _PullTimes()
        self.hedge_budget = hedging.HedgeBudget(predictor, plan.group_size)

    def record_start(
        self,
        group: entries.Group,
        address: ids.ReplicaAddress,
        now_s: float,
    ) -> None:
        """Records that a replica started a sample of a group."""
        self._pull_times.record_pull(address, now_s)
        group.replicas.add(address)
        group.last_start_s = now_s
        if self._new_groups.pop(group.position, None) is not None:
            self._started_groups.append(group)

    def choose_waiting(
        self,
        address: ids.ReplicaAddress,
        now_s: float,
        pool_size: int,
        unfinished: int,
    ) -> typing.Optional[entries.Entry]:
        """Chooses a waiting sample, None to leave it to other replicas."""
        others_idle_s = self._pull_times.others_idle_s(address, now_s)
        running = self._attempts.count_at(address)
        if ordering.should_leave_to_others(
            running, unfinished, pool_size, others_idle_s
        ):
            return None
        for candidates in self._iter_affinity_classes(address, now_s):
            entry = _choose_best(candidates, address, now_s, self._predictor)
            if entry is not None:
                return entry
        return None

    def _iter_affinity_classes(
        self, address: ids.ReplicaAddress, now_s: float
    ) -> typing.Iterator[list[entries.Group]]:
        """Yields groups by their affinity to a replica, best first.

        Usually only one class is ranked: ranking the 512 groups of a large
        step takes 4 ms, and all replicas pull when a step begins.
        """
        waiting = [group for group in self._started_groups if group.waiting]
        yield [
            group
            for group in waiting
            if ordering.has_affinity(
                address, group.replicas, now_s - group.last_start_s
            )
        ]
        # New groups differ only in their position. All samples of a group
        # may have been received or reused.
        new_groups = (
            group for group in self._new_groups.values() if group.waiting
        )
        yield list(itertools.islice(new_groups, 1))
        yield waiting

    def find_restart(
        self, current: ids.Version
    ) -> typing.Optional[entries.Attempt]:
        """Finds an attempt that is worth restarting on a version."""
        return _choose_restart(
            self._attempts, current, self._plan, self._predictor
        )


def _choose_best(
    groups: typing.Iterable[entries.Group],
    address: ids.ReplicaAddress,
    now_s: float,
    predictor: ordering.LengthPredictor,
) -> typing.Optional[entries.Entry]:
    """Chooses the waiting sample that a replica generates next."""
    best = None
    for group in groups:
        if not group.waiting:
            continue
        entry = _find_longest(group, now_s)
        if entry is None:
            continue
        stats = ordering.GroupStats(
            unfinished=group.unfinished,
            predicted=predictor.predict(
                group.prompt.group, entry.reached_tokens
            ),
            replicas=group.replicas,
            idle_s=now_s - group.last_start_s,
            position=group.position,
        )
        rank = ordering.make_group_sort_key(stats, address)
        if best is None or rank < best[0]:
            best = (rank, entry)
    return best[1] if best else None


def _choose_restart(
    running: typing.Iterable[entries.Attempt],
    current: ids.Version,
    plan: entries.StepPlan,
    predictor: ordering.LengthPredictor,
) -> typing.Optional[entries.Attempt]:
    """Chooses the attempt to restart on the current version.

    Of the attempts worth restarting, it has the fewest tokens.
    """
    candidates = []
    for attempt in running:
        if attempt.oldest_version is None or len(attempt.entry.attempts) > 1:
            continue
        predicted = predictor.predict(
            attempt.entry.group.prompt.group, attempt.tokens
        )
        if ordering.should_restart(
            staleness=current - attempt.oldest_version,
            bound=plan.staleness_bound,
            progress=attempt.tokens / predicted,
            staleness_weight=plan.staleness_weight,
            restarts=attempt.entry.restarts,
        ):
            candidates.append(attempt)
    return min(candidates, key=lambda a: (a.tokens, a.number), default=None)


class _PullTimes:
    """Times at which replicas last pulled a sample."""

    def __init__(self) -> None:
        self._pulled_s: dict[ids.ReplicaAddress, float] = {}
        self._first_s: typing.Optional[float] = None

    def record_pull(self, address: ids.ReplicaAddress, now_s: float) -> None:
        """Records that a replica pulled a sample."""
        self._pulled_s[address] = now_s

    def others_idle_s(
        self, address: ids.ReplicaAddress, now_s: float
    ) -> float:
        """Time since another replica last pulled a sample."""
        if self._first_s is None:
            self._first_s = now_s
        others = [
            pulled_s
            for other, pulled_s in self._pulled_s.items()
            if other != address
        ]
        return now_s - max(others, default=self._first_s)


def _find_longest(
    group: entries.Group, now_s: float
) -> typing.Optional[entries.Entry]:
    waiting = [
        entry
        for entry in group.entries
        if entry.state is entries.SampleState.WAITING
        and entry.retry_at_s <= now_s
    ]
    # Within a group the predicted length grows with the tokens reached.
    return max(waiting, key=lambda entry: entry.reached_tokens, default=None)
