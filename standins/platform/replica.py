"""Stand-in of a replica: a streaming engine or a plain service."""

from __future__ import annotations

import argparse
import typing

import eventlet
from eventlet import semaphore

from standins import common

REQUEST_ID_HEADER = 'Lentildeal-Request-Id'
ACCOUNT_HEADER = 'Lentildeal-Tenant'
VERSIONS_HEADER = 'Lentildeal-Weight-Versions'
LOAD_HEADER = 'Lentildeal-Replica-Load'
HEALTH_PATH = '/health/load'
LOAD_DURATION_S = 0.2
SLOW_WORK_S = 1.0
# Interval at which a plain request notices that its connection was closed.
CHECK_INTERVAL_S = 0.02
UNLIMITED = 1_000_000


class Replica(common.StandIn):
    """One replica; the text of a request depends on its id only."""

    # busy: requests that load reports add to the running ones; cut: the
    # connection is closed after three events; fail: run, then respond with
    # 500; foreign: the response names another request; full: 503 without
    # running the request; leaving: all answers say so; limit: requests a
    # second that it names, 0 for none; lose: run, then closed without a
    # response; slow: a plain request takes a second; slots: slots that it
    # names in load reports, 0 for no reports; work: percentage of the usual
    # work time that it names.
    fault_defaults = {
        'busy': 0,
        'cut': 0,
        'fail': 0,
        'foreign': 0,
        'full': 0,
        'leaving': 0,
        'limit': 0,
        'lose': 0,
        'slots': 0,
        'slow': 0,
        'work': 100,
    }

    def __init__(self, arguments: argparse.Namespace) -> None:
        super().__init__(arguments)
        self._versions = dict.fromkeys(arguments.models.split(','), 1)
        self._orders: list[dict] = []
        self._runs: list[dict] = []
        self._is_loading = False
        self._dropped = 0
        # Calls without a model that run and that wait for a slot.
        self._running = 0
        self._waiting = 0
        self._slots = semaphore.Semaphore(arguments.slots or UNLIMITED)

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """See the base class."""
        parser.add_argument('--replica-id', default='r1')
        parser.add_argument('--models', default='model')
        parser.add_argument('--events', type=int, default=10)
        parser.add_argument('--event-ms', type=int, default=20)
        # A replica without a model: calls that it runs at once (0 for any
        # number, then it reports no load), that wait, and their work.
        parser.add_argument('--slots', type=int, default=0)
        parser.add_argument('--queue', type=int, default=24)
        parser.add_argument('--work-ms', type=int, default=0)

    def journal(self) -> dict:
        """Requests that ran, orders, and requests dropped by callers."""
        return {
            'runs': self._runs,
            'orders': self._orders,
            'dropped': self._dropped,
        }

    def handle(self, request: common.Request) -> common.Response:
        """See the base class."""
        expected = request.headers.get('lentildeal-expect-instance')
        if expected not in (None, self.arguments.replica_id):
            return common.Response(421)
        if request.path == HEALTH_PATH:
            return common.Response(200, dict(self._state_headers))
        if request.path == '/report':
            response = common.json_response(self._make_report())
            response.headers.update(self._state_headers)
            return response
        if request.path == '/order':
            return self._handle_order(request.read_json())
        return self._run(request)

    def _make_report(self) -> dict:
        return {
            'Models': [
                {'Name': name, 'Version': version, 'Adapters': []}
                for name, version in self._versions.items()
            ],
            'Busy': self._is_loading,
            'Sequence': len(self._orders),
        }

    def _handle_order(self, order: dict) -> common.Response:
        if self._is_loading or order['Expect'] != len(self._orders):
            return common.Response(409)
        if any(o['Fence'] > order['Fence'] for o in self._orders):
            return common.Response(412)
        self._orders.append(order)
        self._is_loading = True
        eventlet.spawn_after(LOAD_DURATION_S, self._load, order)
        return common.Response(202)

    def _load(self, order: dict) -> None:
        self._versions[order['Model']] = order['Version']
        self._is_loading = False

    def _run(self, request: common.Request) -> common.Response:
        request_id = request.headers.get(REQUEST_ID_HEADER.lower(), '')
        is_plain = 'lentildeal-model' not in request.headers
        if is_plain and self._waiting >= self.arguments.queue:
            return common.Response(
                503, {'Lentildeal-Not-Executed': '1', **self._state_headers}
            )
        if self.faults.should_inject('full'):
            return common.Response(
                503, {'Lentildeal-Not-Executed': '1', **self._state_headers}
            )
        last_event_id = request.headers.get('last-event-id')
        self._runs.append(
            {
                'id': request_id,
                'after': last_event_id,
                'path': request.path,
                'at_s': common.now_s(),
                'account': request.headers.get(ACCOUNT_HEADER.lower()),
                # Text of all headers, to search for what must not be there.
                'headers': repr(request.headers),
            }
        )
        if self.faults.should_inject('foreign'):
            request_id = 'another'
        headers = {
            REQUEST_ID_HEADER: request_id,
            'Lentildeal-Response-Stamp': f'{request_id}.{len(self._runs)}',
            **self._state_headers,
        }
        if self.faults.should_inject('lose'):
            request.abort()
        if self.faults.should_inject('fail'):
            return common.Response(500, headers)
        model = request.headers.get('lentildeal-model')
        if model is None:
            if self.faults.should_inject('slow'):
                self._work_slowly(request)
                headers.update(self._state_headers)
            elif self.arguments.slots:
                headers.update(self._work())
            return common.Response(200, headers, b'plain ' + request.body)
        headers[VERSIONS_HEADER] = str(self._versions[model])
        headers['Content-Type'] = 'text/event-stream'
        start = 0 if last_event_id is None else int(last_event_id) + 1
        return common.Response(200, headers, self._stream(request, start))

    def _work_slowly(self, request: common.Request) -> None:
        """Works for long; a request whose connection closes is dropped."""
        self._running += 1
        try:
            for _ in range(int(SLOW_WORK_S / CHECK_INTERVAL_S)):
                eventlet.sleep(CHECK_INTERVAL_S)
                if request.is_client_gone():
                    self._dropped += 1
                    request.abort()
        finally:
            self._running -= 1

    def _work(self) -> dict[str, str]:
        """Waits for a slot and works; returns the load at the end."""
        self._waiting += 1
        with self._slots:
            self._waiting -= 1
            self._running += 1
            eventlet.sleep(self.arguments.work_ms / 1000)
            headers = self._state_headers
            self._running -= 1
        return headers

    @property
    def _state_headers(self) -> dict[str, str]:
        limit = self.faults['limit']
        headers = {'Server-Limit': str(limit)} if limit else {}
        if self.arguments.slots:
            load = self._running, self._waiting, self.arguments.slots
            headers[LOAD_HEADER] = ','.join(map(str, load))
        if self.faults['leaving']:
            headers['Server-Leaving'] = '1'
        slots = self.faults['slots']
        if slots:
            work = self.faults['work']
            running = self._running + self.faults['busy']
            headers[LOAD_HEADER] = f'{running},0,{slots},{work}'
        return headers

    def _stream(
        self, request: common.Request, start: int
    ) -> typing.Iterator[bytes]:
        is_truncated = self.faults.should_inject('cut')
        request_id = request.headers[REQUEST_ID_HEADER.lower()]
        for number in range(start, self.arguments.events):
            if is_truncated and number >= start + 3:
                request.abort()
            eventlet.sleep(self.arguments.event_ms / 1000)
            yield f'id: {number}\ndata: {request_id}/{number}\n\n'.encode()


if __name__ == '__main__':
    common.run(Replica)
