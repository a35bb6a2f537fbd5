"""Calls from the client to the daemons.

The daemon's HTTP client is not used here: it needs eventlet, which the
client does without.
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
    """No server took the request, so that nothing was done."""

    default_remedy = 'check the addresses and that the daemons run'


class AnswerLostError(exceptions.LentildealError):
    """A server took the request and gave no whole answer."""

    default_remedy = 'ask again; the request may have had effect'


class RefusedError(exceptions.LentildealError):
    """A server answered with a problem.

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
    def is_for_another_server(self) -> bool:
        """Whether this server did nothing and another one may be able to."""
        is_not_run = self.problem.get('outcome') == 'not_run'
        return (
            is_not_run and self.status == http.HTTPStatus.SERVICE_UNAVAILABLE
        )


@dataclasses.dataclass(frozen=True)
class Answer:
    """A decoded answer.

    Attributes:
        address: Server that answered.
        status: HTTP status.
        value: JSON value of the body.
    """

    address: str
    status: int
    value: typing.Any


class Server:
    """Daemons that are tried in turn until one takes the request."""

    def __init__(self, addresses: list[str], is_verbose: bool) -> None:
        self._addresses = [_check_address(a) for a in addresses]
        self._is_verbose = is_verbose
        self._pool = urllib3.PoolManager(retries=False)

    def get(self, path: str, timeout_s: float = CALL_TIMEOUT_S) -> Answer:
        """Reads from the first server that answers.

        Raises:
            UnreachableError: None did.
            RefusedError: A server answered with a problem.
        """
        failures: list[exceptions.LentildealError] = []
        for address in self._addresses:
            try:
                return self._call(address, 'GET', path, None, timeout_s)
            except (UnreachableError, AnswerLostError) as error:
                failures.append(error)
            except RefusedError as error:
                if not error.is_for_another_server:
                    raise
                failures.append(error)
        raise _join_failures(failures)

    def post(
        self,
        path: str,
        value: typing.Any,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Answer:
        """Sends a request that at most one server takes.

        Raises:
            UnreachableError: No server took it; nothing was done.
            AnswerLostError: A server took it and didn't answer.
            RefusedError: A server answered with a problem.
        """
        failures: list[exceptions.LentildealError] = []
        for address in self._addresses:
            try:
                return self._call(address, 'POST', path, value, timeout_s)
            except UnreachableError as error:
                failures.append(error)
            except RefusedError as error:
                if not error.is_for_another_server:
                    raise
                failures.append(error)
        raise _join_failures(failures)

    def _call(self, address, method, path, value, timeout_s) -> Answer:
        url = f'http://{address}{path}'
        try:
            with progress.show_waiting(address):
                response = self._request(method, url, value, timeout_s)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            self._note(f'{method} {url}: no connection')
            raise UnreachableError(f'{address}: no connection') from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self._note(f'{method} {url}: {error}')
            raise AnswerLostError(f'{address}: no whole answer') from error
        self._note(f'{method} {url}: {response.status}')
        return _read_answer(address, response)

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

    def _note(self, message: str) -> None:
        if self._is_verbose:
            print(message, file=sys.stderr)


def _join_failures(
    failures: list[exceptions.LentildealError],
) -> exceptions.LentildealError:
    """Makes one error of all; a refusal says more than no connection."""
    for error in failures:
        if isinstance(error, RefusedError):
            return error
    return UnreachableError('; '.join(error.message for error in failures))


def _read_answer(address: str, response: urllib3.BaseHTTPResponse) -> Answer:
    try:
        value = json.loads(response.data or b'null')
    except ValueError as error:
        raise AnswerLostError(
            f'{address}: answer {response.status} is no JSON',
            remedy='check that the address is one of a lentildeal daemon',
        ) from error
    kind = response.headers.get('Content-Type', '')
    if kind.startswith('application/problem+json'):
        raise RefusedError(response.status, value)
    return Answer(address, response.status, value)


def _check_address(address: str) -> str:
    address = address.removeprefix('http://').rstrip('/')
    try:
        settings.split_address(address)
    except ValueError as error:
        raise UnreachableError(
            f'{address!r} is no server address: {error}',
            remedy='write an IP number and a port, as in "10.0.0.5:8000"',
        ) from error
    return address
