"""Calls of plain services."""

from __future__ import annotations

import http
import typing

from lentildeal._internal.callers import attempts
from lentildeal._internal.callers import calls
from lentildeal._internal import exceptions
from lentildeal._internal.network import http_client

# Headers of a single connection (RFC 9110, section 7.6.1) and headers that
# the daemon sets itself.
HOP_BY_HOP_HEADERS = frozenset(
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
# Number of slashes before the path of the service itself.
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
    ) -> calls.ServiceResponse:
        """Calls the replica of an attempt and reads the complete response.

        Raises:
            exceptions.NotRunError: No byte was sent.
            exceptions.MayHaveRunError: No complete response in time.
            exceptions.RanAndFailedError: The service reported a fault.
        """
        call.check_active()
        url = f'http://{attempt.replica.address}/{path}'
        request_headers = _select_headers(headers)
        request_headers[DEADLINE_HEADER] = str(
            int(call.deadline.remaining_s * 1000)
        )
        client = self._select_client(call, request_headers)
        response = client.request(
            method,
            url,
            timeout_s=call.deadline.remaining_s,
            body=body or None,
            headers=request_headers,
        )
        return self._check_response(call, attempt, response)

    def _select_client(self, call, headers) -> http_client.HttpClient:
        """Selects a new connection for a call that must not be repeated.

        The target may close an idle connection while a call is written to
        it; then it would be unknown whether the call ran.
        """
        if call.service.idempotent:
            return self._client
        headers['Connection'] = 'close'
        return http_client.HttpClient()

    def _check_response(
        self, call, attempt, response
    ) -> calls.ServiceResponse:
        if response.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
            raise exceptions.RanAndFailedError(
                f'{call.name} answered {response.status}',
                status=response.status,
                body=response.body,
            )
        attempt.end_succeeded()
        headers = _select_headers(response.headers)
        return calls.ServiceResponse(response.status, headers, response.body)


def strip_route(target: str) -> str:
    """Removes ``/v1/services/{service}/`` from a path with its query.

    The rest is not decoded and encoded again, which would change encoded
    slashes and repeated or empty parameters.
    """
    return target.split('/', ROUTE_SEGMENTS)[-1]


def _select_headers(headers: typing.Mapping[str, str]) -> dict[str, str]:
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS and value
    }
