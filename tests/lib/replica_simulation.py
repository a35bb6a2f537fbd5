"""Simulates daemons that choose replicas from late load reports."""

from __future__ import annotations

import collections
import heapq
import itertools
import random

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.routing import finish_times

SLOTS = 6
WORK_S = 0.035


class Simulation:
    """Replicas with slots and a queue, and daemons that send to them.

    Args:
        factors: Function from a replica's number and the time to its true
            work factor.
        replicas: Number of replicas.
        daemons: Number of daemons, which share no state.
        report_delay_s: Age of a report when it is used first.
        pick: Function from estimates to the chosen replica's name.
    """

    def __init__(
        self, factors, *, replicas=4, daemons=8, report_delay_s=0.0, pick=None
    ):
        self.now_s = 0.0
        self.counts = collections.Counter()
        self.times_s = []
        self._factors = factors
        self._random = random.Random(1)
        self._pick = pick or self._pick_soonest
        self._delay_s = report_delay_s
        self._names = [f'r{n}' for n in range(replicas)]
        self._ends = {name: [] for name in self._names}
        self._reports = [
            finish_times.LoadReports(lambda: self.now_s)
            for _ in range(daemons)
        ]
        self._own = [collections.Counter() for _ in range(daemons)]
        self._events = []
        self._order = itertools.count()

    def run(self, calls, per_s):
        """Sends calls at a rate; returns the mean time of a call."""
        start_s = self.now_s
        for number in range(calls):
            at_s = start_s + (number + self._random.random()) / per_s
            self._add(at_s, self._send, number % len(self._own))
        while self._events:
            self.now_s, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        return sum(self.times_s) / len(self.times_s)

    def _add(self, at_s, function, *arguments):
        heapq.heappush(
            self._events, (at_s, next(self._order), function, arguments)
        )

    def _pick_soonest(self, estimates):
        expected = finish_times.choose(estimates, (), self._random)
        return expected.estimate.replica_id

    def _send(self, daemon):
        own = self._own[daemon]
        name = self._pick(
            [
                self._reports[daemon].estimate(name, SLOTS, own[name])
                for name in self._names
            ]
        )
        own[name] += 1
        self.counts[name] += 1
        # Each entry is the time at which a slot of the replica is free.
        ends = [end for end in self._ends[name] if end > self.now_s]
        begin_s = self.now_s
        if len(ends) >= SLOTS:
            begin_s = sorted(ends)[len(ends) - SLOTS]
        end_s = begin_s + WORK_S * self._factors(int(name[1:]), self.now_s)
        self._ends[name] = [*ends, end_s]
        self.times_s.append(end_s - self.now_s)
        self._add(end_s, self._finish, daemon, name)

    def _finish(self, daemon, name):
        total = sum(end >= self.now_s for end in self._ends[name])
        running = min(SLOTS, total)
        load = platform_base.ReplicaLoad(
            running,
            total - running,
            SLOTS,
            self._factors(int(name[1:]), self.now_s),
        )
        own = self._own[daemon][name]
        self._own[daemon][name] -= 1
        self._add(
            self.now_s + self._delay_s,
            self._reports[daemon].record,
            name,
            load,
            own,
        )
