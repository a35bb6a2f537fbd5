"""Stand-in of the weight store: model versions, with a rate limit."""

from __future__ import annotations

import argparse
import math

from standins import common


class Weights(common.StandIn):
    """Weight store."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        super().__init__(arguments)
        self._versions: dict[str, set[int]] = {}
        self._publishes: list[dict] = []
        self._served: list[dict] = []
        self._refused = 0
        # Token bucket that holds the tokens of one second.
        self._tokens = max(1.0, arguments.versions_per_s)
        self._refilled_s = common.now_s()

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """See the base class."""
        parser.add_argument(
            '--versions-per-s',
            type=float,
            default=0.0,
            help='versions served per second; 0: no limit',
        )

    def handle(self, request: common.Request) -> common.Response:
        """See the base class."""
        parts = request.path.strip('/').split('/')
        if len(parts) == 3 and parts[0] == 'models' and parts[2] == 'latest':
            return self._get_latest(parts[1])
        if len(parts) != 4 or parts[0::2] != ['models', 'versions']:
            return super().handle(request)
        model, version = parts[1], int(parts[3])
        if request.method == 'PUT':
            return self._put(model, version)
        return self._get(model, version)

    def journal(self) -> dict:
        """Versions published and served, with times, and requests refused."""
        return {
            'publishes': self._publishes,
            'served': self._served,
            'refused': self._refused,
        }

    def _get_latest(self, model: str) -> common.Response:
        if not self._versions.get(model):
            raise common.HttpError(404, f'no version of {model}')
        return common.json_response({'version': max(self._versions[model])})

    def _put(self, model: str, version: int) -> common.Response:
        self._versions.setdefault(model, set()).add(version)
        self._publishes.append(self._make_entry(model, version))
        return common.json_response({'version': version})

    def _get(self, model: str, version: int) -> common.Response:
        if version not in self._versions.get(model, set()):
            raise common.HttpError(404, f'no version {version} of {model}')
        wait_s = self._take_token()
        if wait_s > 0:
            self._refused += 1
            raise common.HttpError(
                429, 'rate limit', {'Retry-After': str(math.ceil(wait_s))}
            )
        self._served.append(self._make_entry(model, version))
        return common.json_response({'model': model, 'version': version})

    def _make_entry(self, model: str, version: int) -> dict:
        return {'model': model, 'version': version, 'time_s': common.now_s()}

    def _take_token(self) -> float:
        """Takes a token and returns 0, or the seconds until there is one."""
        rate = self.arguments.versions_per_s
        if not rate:
            return 0.0
        now_s = common.now_s()
        refilled = self._tokens + (now_s - self._refilled_s) * rate
        self._tokens = min(max(1.0, rate), refilled)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return (1.0 - self._tokens) / rate
        self._tokens -= 1.0
        return 0.0


if __name__ == '__main__':
    common.run(Weights)
