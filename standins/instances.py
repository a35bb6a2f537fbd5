"""Stand-in of the platform's instance list, with a lag."""

from __future__ import annotations

import argparse

from standins import common


class Instances(common.StandIn):
    """Instance list."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        super().__init__(arguments)
        self._history: list[tuple[float, dict[str, dict]]] = [(0.0, {})]

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """See the base class."""
        parser.add_argument('--lag-ms', type=int, default=0)

    def handle(self, request: common.Request) -> common.Response:
        """See the base class."""
        name = request.path.removeprefix('/instances').strip('/')
        if not request.path.startswith('/instances'):
            return super().handle(request)
        if request.method == 'PUT':
            entry = {'leaving': False, **request.read_json()}
            self._change(
                {**self._get_current(), name: {**entry, 'instance': name}}
            )
        elif request.method == 'DELETE':
            rest = {k: v for k, v in self._get_current().items() if k != name}
            self._change(rest)
        return common.json_response({'instances': self._list_visible()})

    def journal(self) -> dict:
        """Times of the changes, and the list without the lag."""
        return {
            'changes': [time_s for time_s, _ in self._history[1:]],
            'instances': list(self._get_current().values()),
        }

    def _get_current(self) -> dict[str, dict]:
        return self._history[-1][1]

    def _change(self, entries: dict[str, dict]) -> None:
        self._history.append((common.now_s(), entries))

    def _list_visible(self) -> list[dict]:
        """Instance list as it was ``lag_ms`` ago."""
        limit_s = common.now_s() - self.arguments.lag_ms / 1000
        visible = [e for time_s, e in self._history if time_s <= limit_s]
        return list(visible[-1].values())


if __name__ == '__main__':
    common.run(Instances)
