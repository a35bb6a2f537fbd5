"""Loading of weight versions by a stand-in engine."""

from __future__ import annotations

import typing

import eventlet
import urllib3

from standins import common

STORE_TIMEOUT_S = 5.0
RATE_LIMIT_ATTEMPTS = 10


class LoadFailedError(Exception):
    """A load failed before it was complete; the old version stays."""


class WeightLoader:
    """Loads the most recently ordered version, one load at a time.

    Args:
        weights_url: Base URL of the weight store, or an empty string.
        load_s: Time from the fetch to the version change, in seconds.
        version: Initial version.
        should_fail: Whether the current load fails halfway.
    """

    def __init__(
        self,
        weights_url: str,
        load_s: float,
        version: int,
        should_fail: typing.Callable[[], bool],
    ) -> None:
        self.version = version
        self.loading_version: typing.Optional[int] = None
        self.loads: list[dict] = []
        self._weights_url = weights_url
        self._load_s = load_s
        self._should_fail = should_fail
        self._ordered: typing.Optional[tuple[str, int]] = None
        self._pool = urllib3.PoolManager(retries=False)

    def order(self, model: str, version: int) -> None:
        """Accepts an order and returns before the load is complete."""
        if version in (self.version, self.loading_version):
            return
        self._ordered = (model, version)
        if self.loading_version is None:
            self.loading_version = version
            eventlet.spawn_n(self._run)

    def _run(self) -> None:
        while self._ordered:
            (model, version), self._ordered = self._ordered, None
            self.loading_version = version
            entry = {
                'from': self.version,
                'to': version,
                'started_s': common.now_s(),
            }
            self.loads.append(entry)
            try:
                self._load(model, version)
                self.version = version
                entry['result'] = 'done'
            except LoadFailedError as error:
                entry['result'] = f'failed: {error}'
            entry['ended_s'] = common.now_s()
        self.loading_version = None

    def _load(self, model: str, version: int) -> None:
        self._fetch(f'/models/{model}/versions/{version}')
        eventlet.sleep(self._load_s / 2)
        if self._should_fail():
            raise LoadFailedError('partway')
        eventlet.sleep(self._load_s / 2)

    def _fetch(self, path: str) -> None:
        if not self._weights_url:
            return
        for _ in range(RATE_LIMIT_ATTEMPTS):
            try:
                response = self._pool.request(
                    'GET', self._weights_url + path, timeout=STORE_TIMEOUT_S
                )
            except urllib3.exceptions.HTTPError as error:
                raise LoadFailedError(f'weight store: {error}') from error
            if response.status == 200:
                return
            if response.status != 429:
                raise LoadFailedError(f'weight store: {response.status}')
            eventlet.sleep(float(response.headers.get('Retry-After', '1')))
        raise LoadFailedError('weight store: rate limit')
