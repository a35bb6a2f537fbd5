"""Stand-in of the platform's store: a log with keyed streams."""

from __future__ import annotations

import argparse
import base64
import collections
import struct

import eventlet

from standins import common

LENGTH = struct.Struct('>I')
READ_HEADER = struct.Struct('>QQ')
WAIT_POLL_S = 0.01
LATE_APPEND_DELAY_S = 1.0


class Store(common.StandIn):
    """Log service of the platform."""

    # lose_answers: the append takes effect and the connection is closed
    # without a response; refuse_appends: 503 without effect; late_appends:
    # the connection is closed and the append takes effect a second later.
    fault_defaults = {
        'lose_answers': 0,
        'refuse_appends': 0,
        'late_appends': 0,
    }

    def __init__(self, arguments: argparse.Namespace) -> None:
        super().__init__(arguments)
        self._streams: dict[str, list[bytes]] = collections.defaultdict(list)

    def handle(self, request: common.Request) -> common.Response:
        """See the base class."""
        handlers = {
            ('POST', '/log-append'): self._append,
            ('GET', '/log-read'): self._read,
            ('GET', '/log-newest'): self._read_newest,
        }
        handler = handlers.get((request.method, request.path))
        if handler is None:
            return super().handle(request)
        return handler(request)

    def _append(self, request: common.Request) -> common.Response:
        name = request.query['Topic']
        if self.faults.should_inject('refuse_appends'):
            raise common.HttpError(503, 'append refused')
        records = _split_records(request.body)
        if self.faults.should_inject('late_appends'):
            eventlet.spawn_after(
                LATE_APPEND_DELAY_S, self._streams[name].extend, records
            )
            request.abort()
        offset = len(self._streams[name])
        self._streams[name].extend(records)
        if self.faults.should_inject('lose_answers'):
            request.abort()
        return common.json_response(
            {'Offset': offset, 'End': len(self._streams[name])}
        )

    def _read(self, request: common.Request) -> common.Response:
        start = int(request.query['From'])
        limit = int(request.query.get('MaxKb', '1024')) * 1024
        wait_s = int(request.query.get('WaitMs', '0')) / 1000
        stream = self._streams[request.query['Topic']]
        until_s = common.now_s() + wait_s
        while start >= len(stream) and common.now_s() < until_s:
            eventlet.sleep(WAIT_POLL_S)
            if self.faults['down']:
                raise common.HttpError(503, 'down')
        body = READ_HEADER.pack(len(stream), 0)
        for record in stream[start:]:
            if len(body) > READ_HEADER.size and len(body) > limit:
                break
            body += LENGTH.pack(len(record)) + record
        return common.Response(200, {}, body)

    def _read_newest(self, request: common.Request) -> common.Response:
        stream = self._streams[request.query['Topic']]
        newest: dict[str, dict] = {}
        for offset, record in enumerate(stream):
            end = 1 + record[0]
            key = record[1:end].decode(errors='replace')
            newest[key] = {
                'Key': key,
                'Value': base64.b64encode(record[end:]).decode(),
                'Offset': offset,
            }
        return common.json_response(
            {
                'Entries': [e for e in newest.values() if e['Value']],
                'HasMore': False,
                'End': len(stream),
            }
        )


def _split_records(body: bytes) -> list[bytes]:
    records, position = [], 0
    while position < len(body):
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        records.append(body[position : position + length])
        position += length
    return records


if __name__ == '__main__':
    common.run(Store)
