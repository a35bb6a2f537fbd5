"""Stand-in of a plain service: any path, with a journal of true runs."""

from __future__ import annotations

import argparse
import hashlib
import json

import eventlet

from standins import common


class Service(common.StandIn):
    """Plain service."""

    # errors: run and answer 500; break_before: cut the connection without
    # running; break_after: run, then cut it; truncate: run, then send half
    # of the answer.
    fault_defaults = {
        'errors': 0,
        'break_before': 0,
        'break_after': 0,
        'truncate': 0,
        'service_ms': 0,
    }

    def __init__(self, arguments: argparse.Namespace) -> None:
        super().__init__(arguments)
        self._calls: list[dict] = []
        self._running = 0
        self._most_running = 0

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """See the base class."""
        parser.add_argument('--service-ms', type=float, default=5.0)

    def handle(self, request: common.Request) -> common.Response:
        """See the base class."""
        if self.faults.should_inject('break_before'):
            request.break_connection()
        entry = self._run(request)
        if self.faults.should_inject('break_after'):
            entry['answered'] = 'broken'
            request.break_connection()
        if self.faults.should_inject('errors'):
            entry['answered'] = 'error'
            raise common.RefusedError(500, 'failed', call=entry['call'])
        answer = common.json_response(self.make_answer(request, entry))
        if self.faults.should_inject('truncate'):
            entry['answered'] = 'truncated'
            return _truncate(request, answer)
        return answer

    def make_answer(self, request: common.Request, entry: dict) -> dict:
        """Value of the answer."""
        return {'call': entry['call'], 'path': request.path}

    def journal(self) -> dict:
        """Calls that ran, in order, and the most that ran at once."""
        return {'calls': self._calls, 'most_running': self._most_running}

    def _run(self, request: common.Request) -> dict:
        entry = {
            'call': identify(request.path, request.body),
            'key': request.headers.get('idempotency-key'),
            'method': request.method,
            'path': request.path,
            'started_s': common.now_s(),
            'answered': 'whole',
        }
        self._calls.append(entry)
        self._running += 1
        self._most_running = max(self._most_running, self._running)
        extra_ms = self.faults['service_ms']
        try:
            eventlet.sleep((self.arguments.service_ms + extra_ms) / 1000)
        finally:
            self._running -= 1
        entry['ended_s'] = common.now_s()
        return entry


def identify(path: str, body: bytes) -> str:
    """Id of a call: its field ``call``, or a hash of path and body."""
    try:
        value = json.loads(body or b'null')
    except ValueError:
        value = None
    if isinstance(value, dict) and 'call' in value:
        return str(value['call'])
    return hashlib.sha256(path.encode() + b'\0' + body).hexdigest()[:16]


def _truncate(
    request: common.Request, answer: common.Response
) -> common.Response:
    whole = answer.body
    headers = {**answer.headers, 'Content-Length': str(len(whole))}

    def iter_half():
        yield whole[: len(whole) // 2]
        request.cut()

    return common.Response(answer.status, headers, iter_half())


if __name__ == '__main__':
    common.run(Service)
