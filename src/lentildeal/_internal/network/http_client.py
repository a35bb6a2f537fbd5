"""HTTP client that reports whether a failed request may have run.

Automatic retries are off: only the caller knows which requests are safe to
repeat.
"""

from __future__ import annotations

import dataclasses
import functools
import json
import typing
import urllib.parse

import eventlet

from lentildeal._internal import exceptions
from lentildeal._internal.network import client_connections
from lentildeal._internal.utils import clock

# Largest body that is kept in memory. A page of the store has at most 1 MB of
# records, and one record more.
MAX_BODY_BYTES = 4 * 1024 * 1024
# Idle time of a connection whose server sends no Keep-Alive timeout.
DEFAULT_IDLE_S = 60.0
MAX_IDLE_S = 60.0
# Interval of the search for connections that have been idle for too long.
EXPIRY_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True)
class HttpResponse:
    """A complete response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def read_json(self) -> typing.Any:
        """Decodes the body.

        Raises:
            exceptions.PlatformError: The body is not valid JSON.
        """
        try:
            return json.loads(self.body)
        except (ValueError, RecursionError) as error:
            raise exceptions.PlatformError(
                f'body of response {self.status} is not valid JSON: {error}'
            ) from error


class StreamingResponse:
    """A response whose body is read as it arrives."""

    def __init__(self, response: client_connections.Response) -> None:
        self._response = response
        self.status = response.status
        self.headers = response.headers

    def read(self, limit_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Reads the rest of the body.

        Raises:
            exceptions.TruncatedAnswerError: The body is not complete, or too
                large.
        """
        self._check_body_is_delimited()
        return self._response.read(limit_bytes)

    def iter_batches(self, batch_s: float) -> typing.Iterator[bytes]:
        """Yields the first bytes immediately and later ones in batches.

        Args:
            batch_s: Pause after each read, in seconds. A wake-up takes about
                65 microseconds of CPU time; batches share it among all tokens
                that arrive during the pause.

        Raises:
            exceptions.TruncatedAnswerError: The connection ended before the
                end of the body, or the response has neither a length nor
                chunks.
        """
        self._check_body_is_delimited()
        for batch in self._response.iter_chunks():
            yield batch
            eventlet.sleep(batch_s)

    def close(self) -> None:
        """Closes the connection, so that the sender stops."""
        self._response.close()

    def _check_body_is_delimited(self) -> None:
        """Rejects a body whose truncation could not be detected."""
        if not self._response.has_delimited_body:
            self.close()
            raise exceptions.TruncatedAnswerError(
                'the response has neither Content-Length nor chunks'
            )


class HttpClient:
    """HTTP client with a connection pool."""

    def __init__(self) -> None:
        self._idle = client_connections.IdleConnections(
            DEFAULT_IDLE_S, MAX_IDLE_S
        )
        self._expiry = clock.Deadline(EXPIRY_INTERVAL_S)

    def request(
        self,
        method: str,
        url: str,
        *,
        timeout_s: float,
        body: typing.Optional[bytes] = None,
        headers: typing.Optional[dict[str, str]] = None,
        is_repeatable: bool = False,
        limit_bytes: int = MAX_BODY_BYTES,
    ) -> HttpResponse:
        """Sends a request and reads the complete response.

        A server may close an idle connection at any time and reset the next
        request on it. A repeatable request is then sent once more on a new
        connection.

        Args:
            method: HTTP method.
            url: Absolute URL.
            timeout_s: Time limit for the complete response, in seconds.
            body: Request body.
            headers: Request headers.
            is_repeatable: Whether the request may take effect twice.
            limit_bytes: Largest body of the response.

        Raises:
            exceptions.NotRunError: No byte was sent.
            exceptions.MayHaveRunError: No complete response came in time.
        """
        with eventlet.Timeout(
            timeout_s,
            exceptions.MayHaveRunError(
                f'{method} {url}: no complete response within'
                f' {timeout_s:.1f} s'
            ),
        ):
            call = functools.partial(
                self.open,
                method,
                url,
                timeout_s=timeout_s,
                body=body,
                headers=headers,
            )
            try:
                response = call()
            except exceptions.ConnectionClosedError:
                if not is_repeatable:
                    raise
                # The other idle connections are probably closed as well.
                self.close_idle()
                response = call()
            return HttpResponse(
                response.status, response.headers, response.read(limit_bytes)
            )

    def close_idle(self) -> None:
        """Closes all idle connections."""
        self._idle.close_all()

    def send_json(
        self,
        method: str,
        url: str,
        value: typing.Any = None,
        *,
        timeout_s: float,
    ) -> HttpResponse:
        """Sends a request with a JSON body, or without a body for None."""
        body = None if value is None else json.dumps(value).encode()
        headers = {} if body is None else {'Content-Type': 'application/json'}
        return self.request(
            method, url, timeout_s=timeout_s, body=body, headers=headers
        )

    def open(
        self,
        method: str,
        url: str,
        *,
        timeout_s: float,
        body: typing.Optional[bytes] = None,
        headers: typing.Optional[dict[str, str]] = None,
    ) -> StreamingResponse:
        """Sends a request and returns once the response headers arrive.

        Args:
            method: HTTP method.
            url: Absolute URL.
            timeout_s: Time for the response headers and longest wait for each
                read of the body, in seconds.
            body: Request body.
            headers: Request headers.

        Raises:
            exceptions.NotRunError: No byte was sent.
            exceptions.MayHaveRunError: Bytes were sent, but no response
                headers arrived.
        """
        address, target = _split_url(url)
        request = client_connections.Request(
            method, target, tuple((headers or {}).items()), body or b''
        )
        self._close_expired()
        connection = self._idle.pop(address)
        if connection is None:
            connection = client_connections.ClientConnection.connect(
                address, timeout_s
            )
        reader = connection.exchange(request, timeout_s)
        return StreamingResponse(
            client_connections.Response(
                self._idle, address, connection, reader
            )
        )

    def _close_expired(self) -> None:
        if self._expiry.has_passed:
            self._expiry = clock.Deadline(EXPIRY_INTERVAL_S)
            self._idle.close_expired()


def _split_url(url: str) -> tuple[str, str]:
    """Returns the address and the target of an absolute URL."""
    parts = urllib.parse.urlsplit(url)
    target = parts.path or '/'
    if parts.query:
        target += f'?{parts.query}'
    address = parts.netloc if parts.port else f'{parts.netloc}:80'
    return address, target
