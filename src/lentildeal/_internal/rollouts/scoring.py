"""Scores finished samples through the trainer's scoring service."""

from __future__ import annotations

import json
import math
import typing

import eventlet
from loguru import logger
import prometheus_client

from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.models import samples
from lentildeal._internal.scoring import calls
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import wakeup

# Concurrent calls of one step. Scoring takes milliseconds and generation
# takes seconds, so a few calls suffice.
CONCURRENCY = 16
# The objective gives each call five seconds.
LIMITS = calls.CallLimits(max_errors=5, objective_s=2.0)
STATUS_OK = 200
REFUSED_STATUSES = (429, 503)

_failures_total = prometheus_client.Counter(
    'lentildeal_scoring_failures_total',
    'Calls of a scoring service that returned no score.',
    ['service'],
)

# Called with a sample and its score, None if scoring was given up.
OnOutcome = typing.Callable[[samples.Sample, typing.Optional[float]], None]


class _PendingSample:
    """A sample without an outcome and its scoring call."""

    def __init__(self, sample: samples.Sample, prompt: str) -> None:
        self.sample = sample
        self.prompt = prompt
        self.call = calls.ScoringCall(LIMITS)
        self.is_done = False


class Scorer:
    """Scores the samples of one step in green threads.

    A sample that the service answers only with errors ends without a score. An
    unavailable service is called again until the step is closed.
    """

    def __init__(
        self, callers: typing.Any, service: ids.ServiceName, on_end: OnOutcome
    ) -> None:
        self._callers = callers
        self._service = service
        self._on_end = on_end
        self._pending: list[_PendingSample] = []
        self._limit = calls.AdmissionLimit()
        self._changed = wakeup.Wakeup()
        self._attempts: set = set()
        self._thread = eventlet.spawn(self._start_attempts)

    def submit(self, sample: samples.Sample, prompt: str) -> None:
        """Queues a sample; ``on_end`` is called with its score."""
        self._pending.append(_PendingSample(sample, prompt))
        self._changed.set()

    def stop(self) -> None:
        """Kills the green threads."""
        self._thread.kill()
        for thread in list(self._attempts):
            thread.kill()

    def _start_attempts(self) -> None:
        while True:
            for pending in list(self._pending):
                if len(self._attempts) >= self._limit.allowed(CONCURRENCY):
                    break
                now_s = clock.monotonic_s()
                if pending.call.is_attempt_due(now_s):
                    pending.call.record_start(now_s)
                    thread = eventlet.spawn(self._attempt, pending, now_s)
                    self._attempts.add(thread)
                    thread.link(self._attempts.discard)
            self._changed.wait(calls.FIRST_RETRY_DELAY_S)

    def _attempt(self, pending: _PendingSample, started_s: float) -> None:
        running = len(self._attempts)
        outcome, score = self._call(pending.sample, pending.prompt)
        self._limit.record_outcome(outcome, running, started_s)
        pending.call.record_outcome(outcome, started_s, clock.monotonic_s())
        if outcome is not calls.AttemptOutcome.SCORED:
            _failures_total.labels(self._service).inc()
        is_over = score is not None or pending.call.is_exhausted
        if is_over and not pending.is_done:
            pending.is_done = True
            self._pending.remove(pending)
            self._on_end(pending.sample, score)
        self._changed.set()

    def _call(
        self, sample: samples.Sample, prompt: str
    ) -> tuple[calls.AttemptOutcome, typing.Optional[float]]:
        body = json.dumps({'prompt': prompt, 'text': sample.text}).encode()
        try:
            response = self._callers.call_service(
                self._service,
                '/score',
                'POST',
                {'Content-Type': 'application/json'},
                body,
                clock.Deadline(LIMITS.timeout_s),
            )
        except exceptions.LentildealError as error:
            logger.debug('cannot score {}: {}', sample.sample_id, error)
            return calls.AttemptOutcome.UNAVAILABLE, None
        score = read_score(response.status, response.body)
        if score is not None:
            return calls.AttemptOutcome.SCORED, score
        if response.status in REFUSED_STATUSES:
            return calls.AttemptOutcome.UNAVAILABLE, None
        return calls.AttemptOutcome.ERROR, None


def read_score(status: int, body: bytes) -> typing.Optional[float]:
    """Parses the score of a response, None if there is no finite number."""
    if status != STATUS_OK:
        return None
    try:
        score = json.loads(body)['score']
    except (ValueError, KeyError, TypeError):
        return None
    is_number = isinstance(score, (int, float)) and not isinstance(score, bool)
    return float(score) if is_number and math.isfinite(score) else None
