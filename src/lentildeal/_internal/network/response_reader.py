"""Strict reader of HTTP/1 responses (RFC 9112).

Repairs nothing: a message that is not valid, or without its end, is an error.
``httptools`` parses fields and chunks. This module checks what that parser
accepts beyond the standard, and bounds what a sender may keep busy or in
memory.
"""

from __future__ import annotations

import http
import re
import typing

import httptools

from lentildeal._internal import exceptions
from lentildeal._internal.network import green_sockets
from lentildeal._internal.network import yielding
from lentildeal._internal.utils import clock

READ_BYTES = 64 * 1024
# Bytes of heads, sizes of chunks and trailers between two parts of a body.
# Heads of all systems that a daemon calls have less than 4 KiB.
MAX_OVERHEAD_BYTES = 64 * 1024
MAX_FIELDS = 100
HEAD_END = b'\r\n\r\n'
_START = b'HTTP/1.'
# Status codes have three digits, the first of them from 1 to 5 (RFC 9110,
# section 15).
_STATUS_LINE = re.compile(
    rb'HTTP/1\.([01]) ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?\r\n'
)
_BODILESS = frozenset(
    (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)
)


class _Message:
    """Receives what the parser finds in one message."""

    def __init__(self) -> None:
        self.fields: list[tuple[str, str]] = []
        self.body_parts: list[bytes] = []
        self.is_complete = False
        self._has_head = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a field of the head; trailers are dropped."""
        if not self._has_head:
            text = value.decode('latin-1').strip(' \t')
            self.fields.append((name.decode('ascii'), text))

    def on_headers_complete(self) -> None:
        """Records the end of the head."""
        self._has_head = True

    def on_body(self, data: bytes) -> None:
        """Keeps a part of the body, but none of bytes after the message."""
        if not self.is_complete:
            self.body_parts.append(data)

    def on_message_complete(self) -> None:
        """Records the end of the message."""
        self.is_complete = True

    def take_body(self) -> bytes:
        """Returns the parts of the body that were found since then."""
        body = b''.join(self.body_parts)
        self.body_parts.clear()
        return body


class ResponseReader:
    """Reads one response.

    Attributes:
        status: Status code, from 200 to 599.
        fields: Names and values of the header fields.
        headers: Values by lower-case name; repeated fields are joined.
        is_complete: Whether the complete response was read.
        has_extra_bytes: Whether more bytes than the response were received.
    """

    def __init__(
        self, sock: typing.Any, *, is_head: bool, peer: str, timeout_s: float
    ) -> None:
        """Prepares to read; reads nothing.

        Args:
            sock: Connected green socket.
            is_head: Whether this is the response to a HEAD request.
            peer: Address of the sender, for messages.
            timeout_s: Time for the head, and for each read of the body.
        """
        self._socket = sock
        self._is_head = is_head
        self._peer = peer
        self._timeout_s = timeout_s
        self._received = bytearray()
        self._overhead_bytes = 0
        self._budget = yielding.YieldBudget()
        self._message = _Message()
        self._parser: typing.Any = None
        self._is_persistent_version = False
        self.status = 0
        self.fields: list[tuple[str, str]] = []
        self.headers: dict[str, str] = {}
        self.is_complete = False
        self.has_extra_bytes = False

    @property
    def is_delimited(self) -> bool:
        """Whether a truncated body can be detected."""
        return (
            self._is_head
            or self.status in _BODILESS
            or 'transfer-encoding' in self.headers
            or 'content-length' in self.headers
        )

    @property
    def may_reuse_connection(self) -> bool:
        """Whether the connection can carry another exchange."""
        options = self.headers.get('connection', '').lower().split(',')
        return (
            self.is_complete
            and self.is_delimited
            and not self.has_extra_bytes
            and self._is_persistent_version
            and 'close' not in (option.strip() for option in options)
        )

    def read_head(self) -> None:
        """Reads the head, and interim responses before it.

        Raises:
            exceptions.ConnectionClosedError: The connection was closed before
                the response.
            exceptions.TruncatedAnswerError: The head is not valid, or was not
                complete in time.
        """
        deadline = clock.Deadline(self._timeout_s)
        self.status = 0
        while self.status < http.HTTPStatus.OK:
            self._parse_head(self._receive_head(deadline))
        self._socket.settimeout(self._timeout_s)
        has_body = not (self._is_head or self.status in _BODILESS)
        # A body of length 0 ends with the head.
        if not has_body or self._message.is_complete:
            self._complete(bool(self._received))

    def read_part(self) -> bytes:
        """Reads the next part of the body; empty at its end.

        Raises:
            exceptions.TruncatedAnswerError: The body is not valid, or not
                complete.
        """
        while not self.is_complete:
            data = bytes(self._received) or self._receive()
            self._received.clear()
            if not data:
                self._handle_end()
                break
            body = self._parse_body(data)
            if body:
                self._overhead_bytes = 0
                return body
            self._count_overhead(len(data))
        return b''

    def _receive_head(self, deadline: clock.Deadline) -> bytes:
        """Returns the next head with its empty line."""
        searched = 0
        while True:
            end = self._received.find(HEAD_END, searched)
            if end >= 0:
                head = bytes(self._received[: end + len(HEAD_END)])
                del self._received[: len(head)]
                self._count_overhead(len(head))
                return head
            start = self._received[: len(_START)]
            if not _START.startswith(start):
                raise self._make_error(f'invalid start {bytes(start)!r}')
            if self._overhead_bytes + len(self._received) > MAX_OVERHEAD_BYTES:
                raise self._make_error('the head is too long')
            searched = max(0, len(self._received) - len(HEAD_END) + 1)
            self._socket.settimeout(max(0.001, deadline.remaining_s))
            data = self._receive()
            if not data:
                raise self._make_closed_error()
            self._received += data

    def _parse_head(self, head: bytes) -> None:
        match = _STATUS_LINE.match(head)
        if match is None:
            line = head.partition(b'\r\n')[0]
            raise self._make_error(f'invalid status line {line!r:.80}')
        self._message = _Message()
        self._parser = httptools.HttpResponseParser(self._message)
        self._feed(head)
        fields = self._message.fields
        if len(fields) > MAX_FIELDS:
            raise self._make_error(f'{len(fields)} header fields')
        headers: dict[str, str] = {}
        for name, value in fields:
            key = name.lower()
            headers[key] = (
                f'{headers[key]}, {value}' if key in headers else value
            )
        self.status = int(match[2])
        self.fields, self.headers = fields, headers
        self._is_persistent_version = match[1] == b'1'
        self._check_framing()

    def _check_framing(self) -> None:
        if self.status == http.HTTPStatus.SWITCHING_PROTOCOLS:
            raise self._make_error('the sender switches to another protocol')
        coding = self.headers.get('transfer-encoding')
        if coding is None:
            return
        # Only chunks were offered, and HTTP/1.0 has none.
        if coding.lower() != 'chunked' or not self._is_persistent_version:
            raise self._make_error(f'transfer coding {coding!r:.80}')

    def _parse_body(self, data: bytes) -> bytes:
        # The parser does not tell where a message ended. One that is complete
        # before the last byte of the data is followed by extra bytes.
        view = memoryview(data)
        if len(data) > 1:
            self._feed(view[:-1])
        if self._message.is_complete:
            self._complete(True)
        else:
            self._feed(view[-1:])
            if self._message.is_complete:
                self._complete(False)
        return self._message.take_body()

    def _feed(self, data: typing.Union[bytes, memoryview]) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            # Extra bytes after a complete message belong to no response.
            if not self._message.is_complete:
                raise self._make_error(f'{error}') from error

    def _complete(self, has_extra_bytes: bool) -> None:
        self.is_complete = True
        self.has_extra_bytes = has_extra_bytes

    def _handle_end(self) -> None:
        if self.is_delimited:
            raise exceptions.TruncatedAnswerError(
                f'{self._peer}: incomplete response: the connection was closed'
                ' before the end of the body'
            )
        self.is_complete = True

    def _receive(self) -> bytes:
        try:
            data = green_sockets.receive(self._socket, READ_BYTES)
        except ConnectionError as error:
            raise self._make_closed_error(repr(error)) from error
        except OSError as error:
            raise exceptions.TruncatedAnswerError(
                f'{self._peer}: incomplete response: {error!r}'
            ) from error
        self._budget.spend(len(data))
        return data

    def _count_overhead(self, size_bytes: int) -> None:
        self._overhead_bytes += size_bytes
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            raise self._make_error('too many bytes without a body')

    def _make_closed_error(
        self, reason: str = 'end of stream'
    ) -> exceptions.MayHaveRunError:
        if self.status == 0 and not self._received:
            return exceptions.ConnectionClosedError(
                f'{self._peer}: closed without a response: {reason}'
            )
        return exceptions.TruncatedAnswerError(
            f'{self._peer}: incomplete response: {reason}'
        )

    def _make_error(self, reason: str) -> exceptions.InvalidAnswerError:
        return exceptions.InvalidAnswerError(
            f'{self._peer}: invalid response: {reason}'
        )
