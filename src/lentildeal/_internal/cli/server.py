"""HTTP requests from the command-line client to the daemons.

The daemon's HTTP client is not used here because it requires eventlet, which
the command-line client doesn't load.
"""

from __future__ import annotations

import dataclasses
import http
import json
import sys
import typing

import urllib3

from lentildeal._internal.cli import progress
from lentildeal._internal import exceptions
from lentildeal._internal.settings import settings

CONNECT_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 15.0


class UnreachableError(exceptions.LentildealError):
    """No server received the request, so nothing was changed."""

    default_remedy = 'check the addresses and that the daemons run'


class AnswerLostError(exceptions.LentildealError):
    """A server got the request but sent no complete response.

    The request may have had effect.
    """

    default_remedy = 'send the request again; it may have had effect'


class RefusedError(exceptions.LentildealError):
    """A server responded with problem details.

    Attributes:
        status: HTTP status.
        problem: Problem details.
    """

    def __init__(self, status: int, problem: dict) -> None:
        super().__init__(
            str(problem.get('detail') or f'the server answered {status}'),
            remedy=problem.get('remedy'),
        )
        self.status = status
        self.problem = problem

    @property
    def may_retry_on_other_server(self) -> bool:
        """Whether nothing ran here and another server may succeed."""
        is_not_run = self.problem.get('outcome') == 'not_run'
        return (
            is_not_run and self.status == http.HTTPStatus.SERVICE_UNAVAILABLE
        )


@dataclasses.dataclass(frozen=True)
class Response:
    """A decoded response.

    Attributes:
        address: Server that responded.
        status: HTTP status.
        value: JSON value of the body.
    """

    address: str
    status: int
    value: typing.Any


class Server:
    """HTTP client that tries daemons in turn until one responds.

    Args:
        addresses: Addresses "ip:port" of the daemons.
        is_verbose: Whether each request is logged to standard error.
    """

    def __init__(self, addresses: list[str], is_verbose: bool) -> None:
        self._addresses = [_check_address(a) for a in addresses]
        self._is_verbose = is_verbose
        self._pool = urllib3.PoolManager(retries=False)

    def get(self, path: str, timeout_s: float = CALL_TIMEOUT_S) -> Response:
        """Sends a GET request to the first server that responds.

        Raises:
            UnreachableError: No server responded.
            RefusedError: A server responded with problem details.
        """
        failures: list[exceptions.LentildealError] = []
        for address in self._addresses:
            try:
                return self._call(address, 'GET', path, None, timeout_s)
            except (UnreachableError, AnswerLostError) as error:
                failures.append(error)
            except RefusedError as error:
                if not error.may_retry_on_other_server:
                    raise
                failures.append(error)
        raise _merge_failures(failures)

    def post(
        self,
        path: str,
        value: typing.Any,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Response:
        """Sends a POST request that at most one server processes.

        Raises:
            UnreachableError: No server received it; nothing was changed.
            AnswerLostError: A server received it but its response was lost.
            RefusedError: A server responded with problem details.
        """
        failures: list[exceptions.LentildealError] = []
        for address in self._addresses:
            try:
                return self._call(address, 'POST', path, value, timeout_s)
            except UnreachableError as error:
                failures.append(error)
            except RefusedError as error:
                if not error.may_retry_on_other_server:
                    raise
                failures.append(error)
        raise _merge_failures(failures)

    def _call(self, address, method, path, value, timeout_s) -> Response:
        url = f'http://{address}{path}'
        try:
            with progress.show_waiting(address):
                response = self._request(method, url, value, timeout_s)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            self._log_request(f'{method} {url}: no connection')
            raise UnreachableError(f'{address}: no connection') from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self._log_request(f'{method} {url}: {error}')
            raise AnswerLostError(f'{address}: incomplete response') from error
        self._log_request(f'{method} {url}: {response.status}')
        return _decode_response(address, response)

    def _request(self, method, url, value, timeout_s):
        return self._pool.request(
            method,
            url,
            body=None if value is None else json.dumps(value).encode(),
            headers={'Content-Type': 'application/json'},
            timeout=urllib3.Timeout(
                connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
            ),
            redirect=False,
        )

    def _log_request(self, message: str) -> None:
        if self._is_verbose:
            print(message, file=sys.stderr)


def _merge_failures(
    failures: list[exceptions.LentildealError],
) -> exceptions.LentildealError:
    """Merges failures into one error.

    A refusal takes precedence, since it says more than a failed connection.
    """
    for error in failures:
        if isinstance(error, RefusedError):
            return error
    return UnreachableError('; '.join(error.message for error in failures))


def _decode_response(
    address: str, response: urllib3.BaseHTTPResponse
) -> Response:
    try:
        value = json.loads(response.data or b'null')
    except ValueError as error:
        raise AnswerLostError(
            f'{address}: response {response.status} is not JSON',
            remedy='check that the address is one of a lentildeal daemon',
        ) from error
    content_type = response.headers.get('Content-Type', '')
    if content_type.startswith('application/problem+json'):
        raise RefusedError(response.status, value)
    return Response(address, response.status, value)


def _check_address(address: str) -> str:
    address = address.removeprefix('http://').rstrip('/')
    try:
        settings.split_address(address)
    except ValueError as error:
        raise UnreachableError(
            f'{address!r} is not a server address: {error}',
            remedy='write an IP number and a port, as in "10.0.0.5:8000"',
        ) from error
    return address
