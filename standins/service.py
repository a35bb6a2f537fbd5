"""Stand-in of a plain service with any path; it records what it ran."""

from __future__ import annotations

import argparse
import hashlib
import json

import eventlet

from standins import common


class Service(common.StandIn):
    """Plain service."""

    # errors: run the call and respond with 500; break_before: close the
    # connection without running the call; break_after: run it, then close the
    # connection; truncate: run it, then send half of the response;
    # service_ms: additional duration of each call.
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
        self._max_running = 0

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """See the base class."""
        parser.add_argument('--service-ms', type=float, default=5.0)

    def handle(self, request: common.Request) -> common.Response:
        """See the base class."""
        if self.faults.should_inject('break_before'):
            request.abort()
        entry = self._run(request)
        if self.faults.should_inject('break_after'):
            entry['answered'] = 'broken'
            request.abort()
        if self.faults.should_inject('errors'):
            entry['answered'] = 'error'
            raise common.HttpError(500, 'failed', call=entry['call'])
        response = common.json_response(self.make_response(request, entry))
        if self.faults.should_inject('truncate'):
            entry['answered'] = 'truncated'
            return _truncate(request, response)
        return response

    def make_response(self, request: common.Request, entry: dict) -> dict:
        """JSON value of the response."""
        return {'call': entry['call'], 'path': request.path}

    def journal(self) -> dict:
        """Calls that ran, in order, and the most that ran concurrently."""
        return {'calls': self._calls, 'most_running': self._max_running}

    def _run(self, request: common.Request) -> dict:
        entry = {
            'call': identify_call(request.path, request.body),
            'key': request.headers.get('idempotency-key'),
            'method': request.method,
            'path': request.path,
            'started_s': common.now_s(),
            'answered': 'whole',
        }
        self._calls.append(entry)
        self._running += 1
        self._max_running = max(self._max_running, self._running)
        extra_ms = self.faults['service_ms']
        try:
            eventlet.sleep((self.arguments.service_ms + extra_ms) / 1000)
        finally:
            self._running -= 1
        entry['ended_s'] = common.now_s()
        return entry


def identify_call(path: str, body: bytes) -> str:
    """Id of a call: the body's field ``call``, or a hash of path and body."""
    try:
        value = json.loads(body or b'null')
    except ValueError:
        value = None
    if isinstance(value, dict) and 'call' in value:
        return str(value['call'])
    return hashlib.sha256(path.encode() + b'\0' + body).hexdigest()[:16]


def _truncate(
    request: common.Request, response: common.Response
) -> common.Response:
    complete_body = response.body
    headers = {**response.headers, 'Content-Length': str(len(complete_body))}

    def iter_half():
        yield complete_body[: len(complete_body) // 2]
        request.close_connection()

    return common.Response(response.status, headers, iter_half())


if __name__ == '__main__':
    common.run(Service)
