"""Stand-in of the log service: append-only streams with offsets."""

from __future__ import annotations

import argparse
import collections

import eventlet

from standins import common

MAX_RECORDS = 1000
WAIT_POLL_S = 0.01


class Stream:
    """Records of one stream; retention drops the oldest."""

    def __init__(self, retention: int) -> None:
        self._records: collections.deque[dict] = collections.deque(
            maxlen=retention or None
        )
        self._next = 0

    @property
    def next(self) -> int:
        """Offset of the next append."""
        return self._next

    @property
    def oldest(self) -> int:
        """Offset of the oldest retained record."""
        return self._next - len(self._records)

    def append(self, body: dict) -> int:
        """Adds a record and returns its offset."""
        offset = self._next
        self._records.append({'offset': offset, 'body': body})
        self._next += 1
        return offset

    def read(self, start: int) -> list[dict]:
        """Returns records from an offset on, at most ``MAX_RECORDS``."""
        skipped = max(0, start - self.oldest)
        records = list(self._records)[skipped : skipped + MAX_RECORDS]
        return records


class Log(common.StandIn):
    """Log service."""

    # lose_answers: the append takes effect and the connection is closed
    # without a response; refuse_appends: 503 without effect; garble_answers:
    # the append takes effect and the response has no offset.
    fault_defaults = {
        'lose_answers': 0,
        'refuse_appends': 0,
        'garble_answers': 0,
    }

    def __init__(self, arguments: argparse.Namespace) -> None:
        super().__init__(arguments)
        self._streams: dict[str, Stream] = {}
        self._appends: list[dict] = []
        self._current_second = 0
        self._appends_in_second = 0

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """See the base class."""
        parser.add_argument(
            '--retention', type=int, default=0, help='records kept; 0: all'
        )
        parser.add_argument(
            '--appends-per-s', type=int, default=0, help='limit; 0: none'
        )

    def handle(self, request: common.Request) -> common.Response:
        """See the base class."""
        parts = request.path.strip('/').split('/')
        if len(parts) != 2 or parts[0] != 'streams':
            return super().handle(request)
        if request.method == 'POST':
            return self._append(request, parts[1])
        return self._read(request, parts[1])

    def journal(self) -> dict:
        """Appends in order, and whether the client got a response."""
        return {'appends': self._appends}

    def _append(self, request: common.Request, name: str) -> common.Response:
        body = request.read_json()
        if (
            self.faults.should_inject('refuse_appends')
            or self._is_over_rate_limit()
        ):
            raise common.HttpError(503, 'append refused')
        offset = self._get_stream(name).append(body)
        is_lost = self.faults.should_inject('lose_answers')
        self._appends.append(
            {
                'stream': name,
                'offset': offset,
                'time_s': common.now_s(),
                'answered': not is_lost,
            }
        )
        if is_lost:
            request.abort()
        if self.faults.should_inject('garble_answers'):
            return common.json_response({'error': 'internal'}, 500)
        return common.json_response({'offset': offset})

    def _read(self, request: common.Request, name: str) -> common.Response:
        start = int(request.query.get('from', '0'))
        wait_s = int(request.query.get('wait_ms', '0')) / 1000
        until_s = common.now_s() + wait_s
        stream = self._get_stream(name)
        while start >= stream.next and common.now_s() < until_s:
            eventlet.sleep(WAIT_POLL_S)
            if self.faults['down']:
                raise common.HttpError(503, 'down')
        return common.json_response(
            {
                'records': stream.read(start),
                'oldest': stream.oldest,
                'next': stream.next,
            }
        )

    def _get_stream(self, name: str) -> Stream:
        if name not in self._streams:
            self._streams[name] = Stream(self.arguments.retention)
        return self._streams[name]

    def _is_over_rate_limit(self) -> bool:
        limit = self.arguments.appends_per_s
        second = int(common.now_s())
        if second != self._current_second:
            self._current_second, self._appends_in_second = second, 0
        self._appends_in_second += 1
        return bool(limit) and self._appends_in_second > limit


if __name__ == '__main__':
    common.run(Log)
