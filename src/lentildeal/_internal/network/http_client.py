"""HTTP client that reports whether a failed request may have run.

Automatic retries are off: only the caller knows which requests are safe to
repeat.
"""

from __future__ import annotations

import dataclasses
import functools
import json
import typing

import eventlet
import urllib3

from lentildeal._internal import exceptions
from lentildeal._internal.network import bounded_reads
from lentildeal._internal.utils import clock

CONNECT_TIMEOUT_S = 1.0
CHUNK_BYTES = 64 * 1024
# Largest body that is kept in memory. A page of the store has at most 1 MB of
# records, and one record more.
MAX_BODY_BYTES = 4 * 1024 * 1024
# Size at which a batch ends although the sender has more.
MAX_BATCH_BYTES = 256 * 1024
# A read that takes longer than this has waited for the sender.
BLOCKING_READ_S = 0.001
MAX_CONNECTIONS_PER_HOST = 256
MAX_HOSTS = 256


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

    def __init__(self, response: urllib3.BaseHTTPResponse) -> None:
        self._response = response
        self.status: int = response.status
        self.headers = {k.lower(): v for k, v in response.headers.items()}

    def read(self) -> bytes:
        """Reads the rest of the body.

        Raises:
            exceptions.TruncatedAnswerError: The body is not complete, or too
                large.
        """
        batches = []
        size_bytes = 0
        for batch in self.iter_batches(0.0):
            size_bytes += len(batch)
            if size_bytes > MAX_BODY_BYTES:
                self.close()
                raise exceptions.TruncatedAnswerError(
                    'the body is larger than the limit of'
                    f' {MAX_BODY_BYTES} bytes'
                )
            batches.append(batch)
        return b''.join(batches)

    def iter_batches(self, batch_s: float) -> typing.Iterator[bytes]:
        """Yields the first bytes immediately and later ones in batches.

        Args:
            batch_s: Pause after each read that had to wait, in seconds. A
                wake-up takes about 65 microseconds of CPU time; batches
                share it among all tokens that arrive during the pause.

        Raises:
            exceptions.TruncatedAnswerError: The connection ended before the
                end of the body, or the response has neither a length nor
                chunks.
        """
        _check_body_is_delimited(self._response)
        batch: list[bytes] = []
        size_bytes = 0
        chunks = self._response.stream(CHUNK_BYTES)
        is_complete = False
        try:
            while True:
                started_s = clock.monotonic_s()
                chunk = next(chunks, None)
                if chunk is None:
                    break
                batch.append(chunk)
                size_bytes += len(chunk)
                is_large = size_bytes >= MAX_BATCH_BYTES
                if (
                    is_large
                    or clock.monotonic_s() - started_s > BLOCKING_READ_S
                ):
                    size_bytes = 0
                    yield b''.join(batch)
                    batch.clear()
                    if batch_s:
                        eventlet.sleep(batch_s)
            is_complete = True
            if batch:
                yield b''.join(batch)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise exceptions.TruncatedAnswerError(
                f'incomplete response: {error}'
            ) from error
        finally:
            if is_complete:
                self._response.release_conn()
            else:
                self.close()

    def close(self) -> None:
        """Closes the connection, so that the sender stops."""
        self._response.close()


class _BoundedPool(urllib3.HTTPConnectionPool):
    ConnectionCls = bounded_reads.BoundedConnection


class HttpClient:
    """HTTP client with a connection pool."""

    def __init__(self) -> None:
        self._pool = urllib3.PoolManager(
            num_pools=MAX_HOSTS,
            maxsize=MAX_CONNECTIONS_PER_HOST,
            retries=False,
        )
        self._pool.pool_classes_by_scheme = {'http': _BoundedPool}

    def request(
        self,
        method: str,
        url: str,
        *,
        timeout_s: float,
        body: typing.Optional[bytes] = None,
        headers: typing.Optional[dict[str, str]] = None,
        is_repeatable: bool = False,
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
                response.status, response.headers, response.read()
            )

    def close_idle(self) -> None:
        """Closes all idle connections."""
        self._pool.clear()

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
            timeout_s: Longest wait for each read, in seconds.
            body: Request body.
            headers: Request headers.

        Raises:
            exceptions.NotRunError: No byte was sent.
            exceptions.MayHaveRunError: Bytes were sent, but no response
                headers arrived.
        """
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
        )
        try:
            response = self._pool.request(
                method,
                url,
                body=body,
                headers=headers,
                timeout=timeout,
                preload_content=False,
                redirect=False,
                decode_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise exceptions.NotRunError(
                f'{method} {url}: no connection: {error}',
                cause='target_down',
            ) from error
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            error_class = exceptions.MayHaveRunError
            if _is_closed(error):
                error_class = exceptions.ConnectionClosedError
            raise error_class(
                f'{method} {url}: no response: {error}'
            ) from error
        return StreamingResponse(response)


def _is_closed(error: Exception) -> bool:
    """Whether the connection was closed before any response."""
    causes = (error, *error.args)
    return any(isinstance(cause, ConnectionError) for cause in causes)


def _check_body_is_delimited(response: urllib3.BaseHTTPResponse) -> None:
    """Rejects a body whose truncation could not be detected."""
    if response.status in (204, 304):
        return
    headers = response.headers
    if 'chunked' in headers.get('Transfer-Encoding', '').lower():
        return
    if 'Content-Length' not in headers:
        response.close()
        raise exceptions.TruncatedAnswerError(
            'the response has neither Content-Length nor chunks'
        )
