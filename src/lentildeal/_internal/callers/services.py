"""Calls of plain services."""

from __future__ import annotations

import http
import typing

from lentildeal._internal.callers import attempts
from lentildeal._internal.callers import calls
from lentildeal._internal import exceptions
from lentildeal._internal.network import http_client

# Headers that belong to one connection (RFC 9110, section 7.6.1) or that
# the daemon sets itself.
HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-deadline-ms',
    )
)
# Slashes before the service's own path.
ROUTE_SEGMENTS = 4
DEADLINE_HEADER = 'X-Deadline-Ms'


class ServiceCaller:
    """Calls replicas of plain services over HTTP."""

    def __init__(self) -> None:
        self._client = http_client.HttpClient()

    def call_replica(
        self,
        call: calls.Call,
        attempt: attempts.Attempt,
        method: str,
        path: str,
        headers: typing.Mapping[str, str],
        body: bytes,
    ) -> calls.ServiceAnswer:
        """Calls the replica of an attempt and reads the whole answer.

        Raises:
            exceptions.NotRunError: No byte was sent.
            exceptions.MayHaveRunError: No whole answer came in time.
            exceptions.RanAndFailedError: The service reported a fault.
        """
        call.check_wanted()
        url = f'http://{attempt.replica.address}/{path}'
        sent = _select_headers(headers)
        sent[DEADLINE_HEADER] = str(int(call.deadline.remaining_s * 1000))
        client = self._select_client(call, sent)
        answer = client.request(
            method,
            url,
            timeout_s=call.deadline.remaining_s,
            body=body or None,
            headers=sent,
        )
        return self._check(call, attempt, answer)

    def _select_client(self, call, headers) -> http_client.HttpClient:
        """Takes a fresh connection for a call that must not be repeated.

        The target may close an idle connection in the moment in which a call
        is written to it; nobody could tell then whether the call ran.
        """
        if call.service.idempotent:
            return self._client
        headers['Connection'] = 'close'
        return http_client.HttpClient()

    def _check(self, call, attempt, answer) -> calls.ServiceAnswer:
        if answer.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
            raise exceptions.RanAndFailedError(
                f'{call.name} answered {answer.status}',
                status=answer.status,
                body=answer.body,
            )
        attempt.end_whole()
        headers = _select_headers(answer.headers)
        return calls.ServiceAnswer(answer.status, headers, answer.body)


def strip_route(target: str) -> str:
    """Removes ``/v1/services/{service}/`` from a path with its query.

    The rest stays as it was sent: decoding and encoding it again would change
    encoded slashes and repeated or empty parameters.
    """
    return target.split('/', ROUTE_SEGMENTS)[-1]


def _select_headers(headers: typing.Mapping[str, str]) -> dict[str, str]:
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in HOP_HEADERS and value
    }
