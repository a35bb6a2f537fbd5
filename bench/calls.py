"""Benchmarks of live calls through real daemons to stand-in services."""

from __future__ import annotations

import collections
import concurrent.futures
import contextlib
import time
import typing

from bench import registry
from tests.lib import builders
from tests.lib import federation
from tests.lib import processes

CALLERS = 400
SERVICE_MS = 50
CONCURRENCY = 4
REPLICAS = 3
CAPACITY_PER_S = REPLICAS * CONCURRENCY * 1000 / SERVICE_MS
DEADLINE_MS = 500
PHASE_S = 6.0
WARM_UP_S = 2.0
OVERLOAD_ROUNDS = 3
SETTLE_S = 6.0
SETTLE_CALLS = 120


class Load(typing.NamedTuple):
    """Responses of one phase.

    Attributes:
        on_time: Successful responses within the deadline, per second.
        refusal_s: Median time to a 503 response, 0 without one.
        latencies_s: Latencies of successful responses, sorted.
        statuses: Number of responses by HTTP status; 0 is no response.
    """

    on_time_per_s: float
    median_refusal_s: float
    latencies_s: list[float]
    statuses: collections.Counter


@contextlib.contextmanager
def start_federation(
    service_ms: float = SERVICE_MS, replicas: int = REPLICAS
) -> typing.Iterator[federation.Federation]:
    """Two daemons in front of a plain, idempotent service."""
    with federation.Federation() as started:
        made = started.start_services(
            {'a': replicas}, '--service-ms', service_ms
        )
        started.replicas = made['a']
        target = builders.make_service_target(
            federation.list_addresses(made), concurrency=CONCURRENCY
        )
        service = {
            'club': 'c',
            'target': 't',
            'idempotent': True,
            'deadline_ms': DEADLINE_MS,
        }
        started.publish(builders.make_text({'t': target}, {'s': service}))
        started.add_daemons({'a': 2})
        # Owners act only once their view of the members is stable.
        send_load(started, SETTLE_CALLS / SETTLE_S, SETTLE_S)
        yield started


def send_load(started, rate_per_s: float, seconds: float) -> Load:
    """Sends calls at a fixed rate, whether or not earlier ones have ended."""
    daemons = list(started.daemons.values())
    begin_s = time.monotonic() + 0.1
    count = int(rate_per_s * seconds)

    def attempt(number: int) -> tuple[int, float]:
        at_s = begin_s + number / rate_per_s
        time.sleep(max(0.0, at_s - time.monotonic()))
        sent_s = time.monotonic()
        try:
            status, _ = processes.call(
                'POST',
                f'{daemons[number % 2].url}/v1/services/s/x',
                {'call': f'{number}'},
            )
        except OSError:
            status = 0
        return status, time.monotonic() - sent_s

    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        responses = list(pool.map(attempt, range(count)))
    elapsed_s = max(seconds, time.monotonic() - begin_s - DEADLINE_MS / 1000)
    latencies = sorted(s for status, s in responses if status == 200)
    refusals = sorted(s for status, s in responses if status == 503)
    on_time_count = sum(s <= DEADLINE_MS / 1000 for s in latencies)
    return Load(
        on_time_count / elapsed_s,
        refusals[len(refusals) // 2] if refusals else 0.0,
        latencies,
        collections.Counter(status for status, _ in responses),
    )


@registry.benchmark('overload')
def measure_overload() -> typing.Iterable[tuple[str, registry.Result]]:
    """Goodput at twice the capacity, relative to goodput at capacity."""
    with start_federation() as started:
        send_load(started, CAPACITY_PER_S, WARM_UP_S)
        # Alternating rounds are equally affected by other load on the machine.
        rounds = [
            (
                send_load(started, CAPACITY_PER_S, PHASE_S),
                send_load(started, 2 * CAPACITY_PER_S, PHASE_S),
            )
            for _ in range(OVERLOAD_ROUNDS)
        ]
    at_capacity = sum(full.on_time_per_s for full, _ in rounds)
    overloaded = sum(over.on_time_per_s for _, over in rounds)
    yield (
        'overload.goodput',
        registry.Result(
            overloaded / at_capacity,
            'ratio',
            bound=0.95,
            is_upper=False,
        ),
    )
    yield (
        'overload.refusal-time',
        registry.Result(
            rounds[-1][1].median_refusal_s * 1000,
            'ms',
            DEADLINE_MS,
            note='deadline',
        ),
    )


@registry.benchmark('retries')
def measure_retries() -> typing.Iterable[tuple[str, registry.Result]]:
    """Attempts per request while 30 % of calls fail at all replicas."""
    with start_federation(service_ms=5.0) as started:
        for replica in started.replicas:
            replica.set_faults(errors=0.3)
        load = send_load(started, 100, PHASE_S)
        attempts = count_runs(started)
    # Requests before the faults count too: they fill the retry budget.
    requests = sum(load.statuses.values()) + SETTLE_CALLS
    yield (
        'retries.attempts-per-request',
        registry.Result(attempts / requests, 'ratio', bound=1.10),
    )


@registry.benchmark('slow-replica')
def measure_slow_replica() -> typing.Iterable[tuple[str, registry.Result]]:
    """Latency after one of six replicas becomes five times slower."""
    with start_federation(replicas=6) as started:
        rate = CAPACITY_PER_S / 2
        send_load(started, rate, WARM_UP_S)
        before = send_load(started, rate, PHASE_S)
        started.replicas[0].set_faults(service_ms=4 * SERVICE_MS)
        send_load(started, rate, WARM_UP_S)
        after = send_load(started, rate, PHASE_S)
    yield (
        'slow-replica.p99',
        registry.Result(
            percentile(after.latencies_s, 0.99) * 1000,
            'ms',
            percentile(before.latencies_s, 0.99) * 1000,
            note='before the replica turned slow',
        ),
    )


def percentile(values: list[float], share: float) -> float:
    """Value below which a share of the sorted values lies."""
    return values[min(len(values) - 1, int(share * len(values)))]


def count_runs(started) -> int:
    """Number of calls that ran at the replicas."""
    return sum(len(r.read_journal()['calls']) for r in started.replicas)
