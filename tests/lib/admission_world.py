"""Simulates daemons with admission, replicas and clients without a network."""

from __future__ import annotations

import collections
import heapq
import itertools
import math
import random
import typing

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.routing import admission
from lentildeal._internal.routing import fair_shares

DELAY_S = 0.001
TIME_S = 0.8
# Time between a daemon's looks at the directory, in seconds.
LOOK_S = 0.1


class Source(typing.NamedTuple):
    """Calls of one account and rank; a burst has all of them at once.

    The daemon of a call is chosen among ``daemons``, by default all.
    """

    account: str
    rate: float
    priority: int = 0
    from_s: float = 0.0
    until_s: float = 4.0
    burst: int = 0
    daemons: slice = slice(None)


class _Replica:
    """Runs calls in the order of their arrival; refuses with a full queue."""

    def __init__(self, world, number, slots, queue, run_s) -> None:
        self.replica_id = f'r{number}'
        self.slots, self._queue, self._run_s = slots, queue, run_s
        self._world = world
        self.running = 0
        self.waiting: collections.deque = collections.deque()

    def report(self):
        return platform_base.ReplicaLoad(
            self.running, len(self.waiting), self.slots
        )

    def arrive(self, answer):
        if self.running < self.slots:
            self._start(answer)
        elif len(self.waiting) < self._queue:
            self.waiting.append(answer)
        else:
            self._world.after(DELAY_S, answer, False, self.report())

    def _start(self, answer):
        self.running += 1
        low_s, high_s = self._run_s
        run_s = self._world.random.uniform(low_s, high_s)
        self._world.after(run_s, self._end, answer)

    def _end(self, answer):
        self._world.after(DELAY_S, answer, True, self.report())
        self.running -= 1
        if self.waiting:
            self._start(self.waiting.popleft())


class _Daemon:
    """The gateway's part: reports to the admission and does what it says."""

    def __init__(self, world, ranks) -> None:
        self._world = world
        self._admission = admission.ServiceAdmission(
            world.now, world.random.random
        )
        self._admission.set_ranks(ranks)
        self._loads: dict = {}
        self._own: collections.Counter = collections.Counter()
        self._waiting: dict = {}
        # When the waiting calls are looked at next.
        self._pump_s = math.inf
        self.look()

    def look(self):
        ready = self._world.replicas
        if self._admission.set_slots(sum(r.slots for r in ready)):
            for call_id, decision in self._admission.refuse_excess():
                self._follow(*self._waiting.pop(call_id), decision)
        self._pump()
        self._world.after(LOOK_S, self.look)

    def submit(self, client):
        call = fair_shares.Call(
            next(self._world.numbers),
            client.source.account,
            client.source.priority,
            self._admission.cost,
        )
        request = admission.Request(call, client.ends_s)
        client.tried = ()
        self._follow(client, request, self._admission.ask(request))

    def _follow(self, client, request, decision):
        if decision.action is admission.Action.PLACE:
            self._place(client, request)
        elif decision.action is admission.Action.REFUSE:
            client.refuse(decision.retry_after_s)
        else:
            self._waiting[request.call.call_id] = client, request
            self._pump()

    def _pump(self):
        if self._world.now() >= self._pump_s:
            self._pump_s = math.inf
        for call_id, decision in self._admission.take_due():
            self._follow(*self._waiting.pop(call_id), decision)
        wait_s = max(0.001, self._admission.find_wait_s())
        pump_s = self._world.now() + wait_s
        if wait_s < LOOK_S and pump_s < self._pump_s:
            self._pump_s = pump_s
            self._world.after(wait_s, self._pump)

    def _place(self, client, request):
        untried = [r for r in self._world.replicas if r not in client.tried]
        if not untried or len(client.tried) >= 3:
            self._admission.record_end()
            client.refuse(0.2)
            return

        def find_load(replica):
            load, at_s = self._loads.get(replica, (0, -9.0))
            if self._world.now() - at_s > 1.0:
                load = 0
            own = self._own[replica]
            return max(load, own) / replica.slots, self._world.random.random()

        replica = min(untried, key=find_load)
        started_s = self._world.now()
        self._own[replica] += 1
        self._world.in_flight += 1

        def answer(has_run, load):
            self._own[replica] -= 1
            self._world.in_flight -= 1
            self._loads[replica] = load.running + load.waiting - 1, started_s
            if has_run:
                self._admission.record_report(replica.replica_id, load)
                self._admission.record_run(self._world.now() - started_s)
                self._admission.record_end()
                client.finish()
            else:
                self._admission.record_full(load)
                client.tried = (*client.tried, replica)
                decision = self._admission.ask_again(request)
                self._follow(client, request, decision)
            self._pump()

        self._world.after(DELAY_S, replica.arrive, answer)


class _Client:
    """One request with at most one retry at another daemon."""

    def __init__(self, world, source) -> None:
        self._world, self.source = world, source
        self.ends_s = world.now() + TIME_S
        self._is_retried = False
        self.tried: tuple = ()
        world.record(self, 'offered')
        self._send()

    def _send(self):
        daemon = self._world.random.choice(
            self._world.daemons[self.source.daemons]
        )
        self._world.after(DELAY_S, daemon.submit, self)

    def finish(self):
        is_late = self._world.now() + DELAY_S > self.ends_s
        self._world.record(self, 'late' if is_late else 'served')

    def refuse(self, retry_after_s):
        self._world.record(self, 'refusals')
        if self._world.is_idle:
            self._world.record(self, 'needless')
        left_s = self.ends_s - self._world.now()
        if self._is_retried or retry_after_s > left_s / 3:
            return
        self._is_retried = True
        self._world.after(retry_after_s, self._send)


class AdmissionWorld:
    """Runs sources of calls against daemons that share replicas."""

    def __init__(
        self,
        sources,
        daemons=12,
        replicas=4,
        slots=6,
        queue=24,
        run_s=(0.031, 0.038),
        seed=1,
    ) -> None:
        self.random = random.Random(seed)
        self.numbers = itertools.count()
        self._now_s = 1000.0
        self.in_flight = 0
        self._events: list = []
        self.replicas = [
            _Replica(self, n, slots, queue, run_s) for n in range(replicas)
        ]
        ranks = {source.priority for source in sources}
        self.daemons = [_Daemon(self, ranks) for _ in range(daemons)]
        self.counts: dict = collections.defaultdict(collections.Counter)
        self.refused_s: list[float] = []
        for source in sources:
            self._schedule(source)

    def now(self):
        return self._now_s

    def after(self, delay_s, function, *arguments):
        event = self._now_s + delay_s, next(self.numbers), function, arguments
        heapq.heappush(self._events, event)

    def lose_replicas(self, count):
        """Takes replicas out; the calls that are there end."""
        self.replicas = self.replicas[count:]

    @property
    def is_idle(self):
        """Whether calls, also on their way, take under half of the slots."""
        return self.in_flight < 0.5 * sum(r.slots for r in self.replicas)

    def record(self, client, name):
        source = client.source
        for key in (source.account, source.priority, 'all'):
            self.counts[key][name] += 1
        if name == 'refusals':
            self.refused_s.append(self._now_s - 1000.0)

    def run(self, until_s=5.0):
        """Runs until a time after the start."""
        while self._events and self._events[0][0] <= 1000.0 + until_s:
            self._now_s, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        return self

    def share(self, key):
        """Part of the calls of an account or rank that was served in time."""
        counts = self.counts[key]
        return counts['served'] / counts['offered']

    def _schedule(self, source):
        for _ in range(source.burst):
            self.after(source.from_s, _Client, self, source)
        at_s = source.from_s
        while source.rate and at_s < source.until_s:
            at_s += self.random.expovariate(source.rate)
            self.after(at_s, _Client, self, source)
