"""HTTP calls that tell apart what certainly did not run.

Retries are off at this layer: only the caller knows what may be repeated.
"""

from __future__ import annotations

import dataclasses
import functools
import json
import typing

import eventlet
import urllib3

from lentildeal._internal import exceptions
from lentildeal._internal.utils import clock

CONNECT_TIMEOUT_S = 1.0
CHUNK_BYTES = 64 * 1024
# A read that took longer than this has waited for the sender.
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
            exceptions.PlatformError: The body is no JSON.
        """
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise exceptions.PlatformError(
                f'answer {self.status} is no JSON: {error}'
            ) from error


class StreamingResponse:
    """A response whose body is read while it arrives."""

    def __init__(self, response: urllib3.BaseHTTPResponse) -> None:
        self._response = response
        self.status: int = response.status
        self.headers = {k.lower(): v for k, v in response.headers.items()}

    def read(self) -> bytes:
        """Reads the rest of the body.

        Raises:
            exceptions.TruncatedAnswerError: The body is not complete.
        """
        return b''.join(self.iter_batches(0.0))

    def iter_batches(self, batch_s: float) -> typing.Iterator[bytes]:
        """Yields the first bytes at once and later ones in batches.

        Args:
            batch_s: Pause after each read that had to wait, in seconds. One
                wake-up for each token would cost about 65 microseconds of
                CPU; a batch shares it among the tokens of the pause.

        Raises:
            exceptions.TruncatedAnswerError: The connection ended before the
                end of the body, or the body marks no end.
        """
        _check_end_is_marked(self._response)
        batch: list[bytes] = []
        chunks = self._response.stream(CHUNK_BYTES)
        is_whole = False
        try:
            while True:
                started_s = clock.monotonic_s()
                chunk = next(chunks, None)
                if chunk is None:
                    break
                batch.append(chunk)
                if clock.monotonic_s() - started_s > BLOCKING_READ_S:
                    yield b''.join(batch)
                    batch.clear()
                    if batch_s:
                        eventlet.sleep(batch_s)
            is_whole = True
            if batch:
                yield b''.join(batch)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise exceptions.TruncatedAnswerError(
                f'the answer ended early: {error}'
            ) from error
        finally:
            if is_whole:
                self._response.release_conn()
            else:
                self.close()

    def close(self) -> None:
        """Closes the connection, which tells the sender to stop."""
        self._response.close()


class HttpClient:
    """A pool of connections."""

    def __init__(self) -> None:
        self._pool = urllib3.PoolManager(
            num_pools=MAX_HOSTS,
            maxsize=MAX_CONNECTIONS_PER_HOST,
            retries=False,
        )

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
        """Calls and reads the whole response.

        A server may close an idle connection without notice, and then resets
        what is sent next. A call that may be repeated is then made once more
        on a new connection.

        Args:
            method: HTTP method.
            url: Absolute URL.
            timeout_s: Longest time until the whole response, in seconds.
            body: Request body.
            headers: Request headers.
            is_repeatable: Whether the call may take effect twice.

        Raises:
            exceptions.NotRunError: No byte was sent.
            exceptions.MayHaveRunError: No complete response came in time.
        """
        with eventlet.Timeout(
            timeout_s,
            exceptions.MayHaveRunError(
                f'{method} {url}: no whole answer within {timeout_s:.1f} s'
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
                answer = call()
            except exceptions.ConnectionClosedError:
                if not is_repeatable:
                    raise
                # Others that were idle as long are closed, too.
                self.close_idle()
                answer = call()
            return HttpResponse(answer.status, answer.headers, answer.read())

    def close_idle(self) -> None:
        """Closes all idle connections."""
        self._pool.clear()

    def request_json(
        self,
        method: str,
        url: str,
        value: typing.Any = None,
        *,
        timeout_s: float,
    ) -> HttpResponse:
        """Calls with a JSON body, or with none for None."""
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
        """Calls and returns as soon as the response's head has arrived.

        Args:
            method: HTTP method.
            url: Absolute URL.
            timeout_s: Longest silence of the sender, in seconds.
            body: Request body.
            headers: Request headers.

        Raises:
            exceptions.NotRunError: No byte was sent.
            exceptions.MayHaveRunError: Bytes were sent and no head came.
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
        except (urllib3.exceptions.HTTPError, OSError) as error:
            kind = exceptions.MayHaveRunError
            if _is_closed(error):
                kind = exceptions.ConnectionClosedError
            raise kind(f'{method} {url}: no answer: {error}') from error
        return StreamingResponse(response)


def _is_closed(error: Exception) -> bool:
    """Whether a connection was closed before any answer."""
    causes = (error, *error.args)
    return any(isinstance(cause, ConnectionError) for cause in causes)


def _check_end_is_marked(response: urllib3.BaseHTTPResponse) -> None:
    """Refuses a body whose early end could not be noticed."""
    if response.status in (204, 304):
        return
    headers = response.headers
    if 'chunked' in headers.get('Transfer-Encoding', '').lower():
        return
    if 'Content-Length' not in headers:
        response.close()
        raise exceptions.TruncatedAnswerError(
            'the answer has neither a length nor chunks'
        )
