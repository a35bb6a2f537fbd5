"""Problem details for HTTP errors (RFC 9457)."""

from __future__ import annotations

import http
import json
import math
import typing

from lentildeal._internal import exceptions
from lentildeal._internal.models import outcomes
from lentildeal._internal.network import http_server

PROBLEM_TYPE = 'application/problem+json'

_STATUSES: dict[type, http.HTTPStatus] = {}
_OUTCOMES: dict[type, outcomes.Outcome] = {}


def register_problem(
    kind: type,
    status: http.HTTPStatus,
    outcome: typing.Optional[outcomes.Outcome] = None,
) -> None:
    """Registers status and outcome of an error class and its subclasses."""
    _STATUSES[kind] = status
    if outcome is not None:
        _OUTCOMES[kind] = outcome


register_problem(
    exceptions.NotRunError,
    http.HTTPStatus.SERVICE_UNAVAILABLE,
    outcomes.Outcome.NOT_RUN,
)
register_problem(
    exceptions.MayHaveRunError,
    http.HTTPStatus.GATEWAY_TIMEOUT,
    outcomes.Outcome.MAY_HAVE_RUN,
)
register_problem(
    exceptions.RanAndFailedError,
    http.HTTPStatus.BAD_GATEWAY,
    outcomes.Outcome.RAN_AND_FAILED,
)
register_problem(
    exceptions.BadRequestError,
    http.HTTPStatus.BAD_REQUEST,
    outcomes.Outcome.NOT_RUN,
)
register_problem(
    exceptions.RequestTooLargeError,
    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    outcomes.Outcome.NOT_RUN,
)
register_problem(
    exceptions.UnauthenticatedError,
    http.HTTPStatus.UNAUTHORIZED,
    outcomes.Outcome.NOT_RUN,
)
register_problem(
    exceptions.NotFoundError,
    http.HTTPStatus.NOT_FOUND,
    outcomes.Outcome.NOT_RUN,
)
register_problem(
    exceptions.UnknownRouteError,
    http.HTTPStatus.NOT_FOUND,
    outcomes.Outcome.NOT_RUN,
)
register_problem(exceptions.ConfigConflictError, http.HTTPStatus.CONFLICT)
register_problem(exceptions.ConfigError, http.HTTPStatus.UNPROCESSABLE_ENTITY)
register_problem(exceptions.PlatformError, http.HTTPStatus.SERVICE_UNAVAILABLE)


def get_reason_phrase(status: int) -> str:
    """Returns the standard reason phrase of a status."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'


def to_response(error: Exception) -> http_server.Response:
    """Makes the response for an error.

    The outcome of an unregistered error is ``may_have_run``, the only one
    that is always correct.
    """
    status = _find_by_class(
        _STATUSES, error, http.HTTPStatus.INTERNAL_SERVER_ERROR
    )
    outcome = _find_by_class(_OUTCOMES, error, outcomes.Outcome.MAY_HAVE_RUN)
    details = {
        'type': f'urn:lentildeal:problem:{type(error).__name__}',
        'title': status.phrase,
        'status': int(status),
        'detail': getattr(error, 'message', 'internal error'),
        'remedy': getattr(error, 'remedy', 'see the log of the daemon'),
        'outcome': outcome.value,
    }
    headers = {'Content-Type': PROBLEM_TYPE}
    if isinstance(error, exceptions.NotRunError):
        details['cause'] = error.cause
        headers['Retry-After'] = str(math.ceil(error.retry_after_s))
    if isinstance(error, exceptions.RanAndFailedError):
        details['target_status'] = error.status
        details['target_body'] = error.body.decode('utf-8', 'replace')
    body = json.dumps(details).encode()
    return http_server.Response(int(status), headers, body)


def _find_by_class(
    table: dict, error: Exception, default: typing.Any
) -> typing.Any:
    for kind in type(error).__mro__:
        if kind in table:
            return table[kind]
    return default
