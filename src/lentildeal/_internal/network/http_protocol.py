"""HTTP/1.1 protocol of the server: framing, limits and planned stops."""

from __future__ import annotations

import typing

import eventlet.wsgi

from lentildeal._internal.network import bounded_reads

if typing.TYPE_CHECKING:
    from lentildeal._internal.network import http_server

# Key of the function that closes the connection after the response.
CLOSE_KEY = 'lentildeal.close_connection'


class Protocol(eventlet.wsgi.HttpProtocol):
    """Counts requests, bounds reads, closes connections when needed."""

    def __init__(
        self, owner: http_server.HttpServer, conn_state, server
    ) -> None:
        self._owner = owner
        self._is_counted = False
        super().__init__(conn_state, server)

    def setup(self) -> None:
        """Also bounds the lines that a client may send."""
        super().setup()
        self._owner.record_connection(self)
        self.rfile = bounded_reads.BoundedReader.wrap(self.rfile)

    def _read_request_line(self):
        self.rfile.reset_line_count()
        line = super()._read_request_line()
        if line:
            self._owner.forget_connection(self)
            self._is_counted = True
            self._owner.record_request_start()
        return line

    def finish(self) -> None:
        """Also forgets the connection."""
        self._owner.forget_connection(self)
        super().finish()

    def get_environ(self) -> dict:
        """Also passes a function that closes the connection."""
        return {
            **super().get_environ(),
            CLOSE_KEY: self._close_after_response,
        }

    def _close_after_response(self) -> None:
        self.close_connection = 1

    def parse_request(self) -> bool:
        """Also rejects requests with an ambiguous body length.

        Prevents request smuggling: a request hidden in the body of another
        one must not run.
        """
        if not super().parse_request():
            return False
        lengths = self.headers.get_all('Content-Length', [])
        codings = self.headers.get_all('Transfer-Encoding', [])
        is_plain = all(
            value.isascii() and value.strip(' \t').isdigit()
            for value in lengths
        )
        is_chunked = [value.strip(' \t').lower() for value in codings] in (
            [],
            ['chunked'],
        )
        if is_plain and is_chunked and len(lengths) + len(codings) <= 1:
            return True
        self.wfile.write(
            b'HTTP/1.1 400 Bad Request\r\n'
            b'Connection: close\r\nContent-Length: 0\r\n\r\n'
        )
        self.close_connection = 1
        return False

    def handle_one_request(self) -> None:
        """Serves one request; returns after the response was written."""
        try:
            super().handle_one_request()
        finally:
            if self._is_counted:
                self._is_counted = False
                self._owner.record_request_end()

    def handle_one_response(self) -> None:
        """Writes the response; the base class sends ``Connection: close``."""
        if self._owner.is_closing:
            self.close_connection = 1
        super().handle_one_response()
