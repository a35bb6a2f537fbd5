"""Scores finished samples through the trainer's scoring service."""

from __future__ import annotations

import json
import math
import typing

import eventlet
import eventlet.queue
from loguru import logger
import prometheus_client

from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.models import samples
from lentildeal._internal.utils import backoff
from lentildeal._internal.utils import clock

# Concurrent calls of one step. Scoring takes milliseconds and generation
# takes seconds, so a few calls suffice.
CONCURRENCY = 16
CALL_TIMEOUT_S = 5.0
STATUS_OK = 200

_failures_total = prometheus_client.Counter(
    'lentildeal_scoring_failures_total',
    'Calls of a scoring service that returned no score.',
    ['service'],
)

OnScore = typing.Callable[[samples.Sample, float], None]


class Scorer:
    """Scores the samples of one step in green threads.

    A call is retried until the sample has a score or the step is closed: a
    sample without a score is of no use to the trainer.
    """

    def __init__(
        self, callers: typing.Any, service: ids.ServiceName, on_score: OnScore
    ) -> None:
        self._callers = callers
        self._service = service
        self._on_score = on_score
        self._queue = eventlet.queue.LightQueue()
        self._threads = [
            eventlet.spawn(self._score_samples) for _ in range(CONCURRENCY)
        ]

    def submit(self, sample: samples.Sample, prompt: str) -> None:
        """Queues a sample; ``on_score`` is called with its score."""
        self._queue.put((sample, prompt))

    def stop(self) -> None:
        """Kills the green threads."""
        for thread in self._threads:
            thread.kill()

    def _score_samples(self) -> None:
        while True:
            sample, prompt = self._queue.get()
            delays = backoff.Backoff()
            score = self._try_score(sample, prompt)
            while score is None:
                _failures_total.labels(self._service).inc()
                eventlet.sleep(delays.next_delay_s())
                score = self._try_score(sample, prompt)
            self._on_score(sample, score)

    def _try_score(self, sample, prompt: str) -> typing.Optional[float]:
        body = json.dumps({'prompt': prompt, 'text': sample.text}).encode()
        try:
            response = self._callers.call_service(
                self._service,
                '/score',
                'POST',
                {'Content-Type': 'application/json'},
                body,
                clock.Deadline(CALL_TIMEOUT_S),
            )
            return read_score(response.status, response.body)
        except exceptions.LentildealError as error:
            logger.debug('cannot score {}: {}', sample.sample_id, error)
            return None


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
