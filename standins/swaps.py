"""Loading of weight versions by a stand-in engine."""

from __future__ import annotations

import typing

import eventlet
import urllib3

from standins import common

STORE_TIMEOUT_S = 5.0
RATE_LIMIT_ATTEMPTS = 10


class LoadFailedError(Exception):
    """A load ended partway; the old version stays."""


class Loader:
    """Loads the version that was ordered last, one at a time.

    Args:
        weights: Base URL of the weight store, or an empty string.
        load_s: Time from the fetch to the swap, in seconds.
        version: First version.
        fires_failure: Whether the load at hand fails partway.
    """

    def __init__(
        self,
        weights: str,
        load_s: float,
        version: int,
        fires_failure: typing.Callable[[], bool],
    ) -> None:
        self.version = version
        self.swapping_to: typing.Optional[int] = None
        self.swaps: list[dict] = []
        self._weights = weights
        self._load_s = load_s
        self._fires_failure = fires_failure
        self._ordered: typing.Optional[tuple[str, int]] = None
        self._pool = urllib3.PoolManager(retries=False)

    def order(self, model: str, version: int) -> None:
        """Takes an order and returns before it is carried out."""
        if version in (self.version, self.swapping_to):
            return
        self._ordered = (model, version)
        if self.swapping_to is None:
            self.swapping_to = version
            eventlet.spawn_n(self._run)

    def _run(self) -> None:
        while self._ordered:
            (model, version), self._ordered = self._ordered, None
            self.swapping_to = version
            entry = {
                'from': self.version,
                'to': version,
                'started_s': common.now_s(),
            }
            self.swaps.append(entry)
            try:
                self._load(model, version)
                self.version = version
                entry['result'] = 'done'
            except LoadFailedError as error:
                entry['result'] = f'failed: {error}'
            entry['ended_s'] = common.now_s()
        self.swapping_to = None

    def _load(self, model: str, version: int) -> None:
        self._fetch(f'/models/{model}/versions/{version}')
        eventlet.sleep(self._load_s / 2)
        if self._fires_failure():
            raise LoadFailedError('partway')
        eventlet.sleep(self._load_s / 2)

    def _fetch(self, path: str) -> None:
        if not self._weights:
            return
        for _ in range(RATE_LIMIT_ATTEMPTS):
            try:
                answer = self._pool.request(
                    'GET', self._weights + path, timeout=STORE_TIMEOUT_S
                )
            except urllib3.exceptions.HTTPError as error:
                raise LoadFailedError(f'weight store: {error}') from error
            if answer.status == 200:
                return
            if answer.status != 429:
                raise LoadFailedError(f'weight store: {answer.status}')
            eventlet.sleep(float(answer.headers.get('Retry-After', '1')))
        raise LoadFailedError('weight store: rate limit')
