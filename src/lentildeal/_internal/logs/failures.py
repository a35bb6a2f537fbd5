"""Reports unexpected errors that end one piece of work and not the others."""

from __future__ import annotations

import math

from loguru import logger
import prometheus_client

from lentildeal._internal.logs import events
from lentildeal._internal.utils import clock

# Interval of the log lines about one error that occurs again and again.
REPEAT_S = 10.0
# Bound of the errors that are remembered.
MAX_ERRORS = 1000

_failures_total = prometheus_client.Counter(
    'lentildeal_work_failures_total',
    'Unexpected errors of single items, jobs, records or services.',
    ['work'],
)

_reported_s: dict[tuple[str, str, str], float] = {}


def report(work: str, subject: str, error: Exception) -> None:
    """Counts an unexpected error and logs it with its traceback.

    Args:
        work: What was done.
        subject: Item, job, record or service that it was done for.
        error: The error.
    """
    _failures_total.labels(work).inc()
    key = work, subject, type(error).__name__
    now_s = clock.monotonic_s()
    if now_s - _reported_s.get(key, -math.inf) < REPEAT_S:
        return
    if len(_reported_s) >= MAX_ERRORS:
        _reported_s.clear()
    _reported_s[key] = now_s
    events.emit(
        'work_failed', work=work, subject=subject, reason=f'{error!r:.200}'
    )
    logger.opt(exception=error).error('{} failed for {}', work, subject)
