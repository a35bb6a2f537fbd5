"""A server that sends its answers twice."""

from __future__ import annotations

import contextlib
import re
import time
import typing

from tests.lib import keep_alive_server

_LENGTH = re.compile(rb'\r\ncontent-length: *(\d+)', re.IGNORECASE)
_REQUEST_ID = re.compile(
    rb'\r\nlentildeal-request-id: *([^\r]+)', re.IGNORECASE
)


class CopyingServer(keep_alive_server.KeepAliveServer):
    """Sends each answer once more where the next one is expected.

    Attributes:
        runs: Path and id of each request, in the order of their arrival.
        copies: Number of answers that were sent once more.
    """

    def __init__(
        self,
        make_answer: typing.Callable[[str, str], bytes],
        *,
        delay_s: float = 0.0,
        part_bytes: int = 100_000,
    ) -> None:
        """Starts to listen.

        Args:
            make_answer: Makes the answer for a path and an id.
            delay_s: Time from a request to the copy that comes before its
                answer.
            part_bytes: Size of the parts in which a copy is sent.
        """
        self.runs: list[tuple[str, str]] = []
        self.copies = 0
        self._make_answer = make_answer
        self._delay_s = delay_s
        self._part_bytes = part_bytes
        super().__init__()

    def answer(self, connection) -> None:
        """See the base class."""
        data, last = b'', b''
        with contextlib.closing(connection):
            while True:
                while not _is_complete(data):
                    part = connection.recv(65536)
                    if not part:
                        return
                    data += part
                head, _, data = data.partition(b'\r\n\r\n')
                data = data[_get_length(head) :]
                found = _REQUEST_ID.search(head)
                path = head.split(b' ', 2)[1].decode()
                request_id = found[1].decode() if found else ''
                self.runs.append((path, request_id))
                answer = self._make_answer(path, request_id)
                if last:
                    self.copies += 1
                    time.sleep(self._delay_s)
                    for start in range(0, len(last), self._part_bytes):
                        connection.sendall(
                            last[start : start + self._part_bytes]
                        )
                        time.sleep(0.001)
                connection.sendall(answer)
                last = answer


def _get_length(head: bytes) -> int:
    found = _LENGTH.search(head)
    return int(found[1]) if found else 0


def _is_complete(data: bytes) -> bool:
    head, end, rest = data.partition(b'\r\n\r\n')
    return bool(end) and len(rest) >= _get_length(head)


def make_answer(
    status: str, request_id: str, body: bytes = b'', *fields: str
) -> bytes:
    """Makes an answer with a length that names the request."""
    lines = (
        f'HTTP/1.1 {status}',
        f'Lentildeal-Request-Id: {request_id}',
        'Lentildeal-Response-Stamp: s',
        'Keep-Alive: timeout=10',
        f'Content-Length: {len(body)}',
        *fields,
    )
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def make_text(request_id: str, text: str, events: int = 10) -> bytes:
    """Makes the answer to an item of version 1, in one chunk.

    Args:
        request_id: Identifier of the item.
        text: Data of each event, before its number.
        events: Number of events.
    """
    data = b''.join(
        f'id: {number}\ndata: {text}/{number}\n\n'.encode()
        for number in range(events)
    )
    head = make_answer(
        '200 OK',
        request_id,
        b'',
        'Lentildeal-Weight-Versions: 1',
        'Transfer-Encoding: chunked',
    ).replace(b'Content-Length: 0\r\n', b'')
    return head + b'%x\r\n%s\r\n0\r\n\r\n' % (len(data), data)
