"""Plug-in ``ingress``: HTTP interface for the clients of the platform.

Only decodes requests and encodes responses. The plug-ins ``gateway`` and
``jobs`` process the requests.
"""

from __future__ import annotations

import base64
import dataclasses
import typing
import urllib.parse

from lentildeal._internal import exceptions
from lentildeal._internal.gateway import calls
from lentildeal._internal.jobs import plugin as jobs_plugin
from lentildeal._internal.kernel import plugins
from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.models import jobs
from lentildeal._internal.network import http_server
from lentildeal._internal.network import problems
from lentildeal._internal.platform import credentials
from lentildeal._internal.platform import documents
from lentildeal._internal.platform import names
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import decimals
from lentildeal._internal.utils import http_fields

# Deadline of a request without a deadline header, in milliseconds.
DEFAULT_DEADLINE_MS = 10_000
# Longest time for which a read waits for new results, in milliseconds.
MAX_WAIT_MS = 1_000

_RESULT_STATES = {
    jobs.ResultState.DONE: 'done',
    jobs.ResultState.GIVEN_UP: 'down',
}


@plugins.register(
    'ingress', after=('accounts', 'gateway', 'jobs', 'readiness')
)
class Ingress(plugins.Plugin):
    """Routes for the clients of the platform."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self._gateway = kernel.plugin('gateway')
        self._jobs = kernel.plugin('jobs')
        self._accounts = kernel.plugin('accounts')

    def start(self) -> None:
        """See the base class."""
        readiness = self._kernel.plugin('readiness')
        readiness.router.add('GET', names.READY_PATH, readiness.handle_check)
        for method, path, handler in (
            ('GET', names.JOB_PATH, self._read_job),
            ('GET', names.ITEM_PATH, self._read_item),
            ('DELETE', names.JOB_PATH, self._end_job),
            ('*', '/{path*}', self._handle_request),
        ):
            self._kernel.router.add(
                method, path, _add_refusal_headers(handler)
            )

    def _handle_request(
        self, request: http_server.Request
    ) -> http_server.Response:
        host = _read_host(request)
        path = request.target.partition('?')[0]
        keys = credentials.read_keys(request)
        try:
            route = self._gateway.find_route(host, path)
        except exceptions.UnknownRouteError:
            self._accounts.authenticate(keys, None)
            raise
        sender = self._accounts.authenticate(keys, route)
        if route.kind is deployment.RouteKind.ROLLOUT:
            if request.method != 'POST':
                raise exceptions.UnknownRouteError(
                    f'{request.method} is not allowed on a rollout route'
                )
            account = None if route.is_public else sender.account_name
            self._jobs.submit(decode_job(request, host, path, account))
            return http_server.Response(202)
        response = self._gateway.forward(
            route,
            dataclasses.replace(
                decode_call(request, host, path),
                account=sender.account_name,
                priority=sender.get_priority(route),
            ),
        )
        return http_server.Response(
            response.status, dict(response.headers), response.body
        )

    def _read_job(self, request: http_server.Request) -> http_server.Response:
        may_see = self._make_job_filter(request)
        after = _read_number(request.query.get('After', '0'), 'After')
        wait_ms = _read_number(
            request.headers.get(names.WAIT.lower(), '0'), names.WAIT
        )
        page = self._jobs.read(
            ids.JobId(request.parameters['job']),
            after,
            min(wait_ms, MAX_WAIT_MS) / 1000,
            may_see,
        )
        return http_server.json_response(encode_page(page))

    def _read_item(self, request: http_server.Request) -> http_server.Response:
        body = self._jobs.read_body(
            ids.JobId(request.parameters['job']),
            ids.ItemId(request.query.get('Id', '')),
            self._make_job_filter(request),
        )
        if body is None:
            raise exceptions.NotFoundError('the job has no such item')
        return http_server.Response(
            200, {'Content-Type': 'application/octet-stream'}, body
        )

    def _end_job(self, request: http_server.Request) -> http_server.Response:
        self._jobs.end(
            ids.JobId(request.parameters['job']),
            self._make_job_filter(request),
        )
        return http_server.json_response({})

    def _make_job_filter(
        self, request: http_server.Request
    ) -> jobs_plugin.JobFilter:
        return self._accounts.make_job_filter(credentials.read_keys(request))


def decode_call(
    request: http_server.Request, host: str, path: str
) -> calls.LiveCall:
    """Decodes a request that is forwarded to a replica.

    Raises:
        exceptions.BadRequestError: A header is invalid.
    """
    deadline_ms = _read_number(
        request.headers.get(names.DEADLINE.lower(), str(DEFAULT_DEADLINE_MS)),
        names.DEADLINE,
    )
    # The daemon sets these headers for each attempt.
    replaced = {names.DEADLINE.lower(), names.EXPECTED_REPLICA.lower()}
    return calls.LiveCall(
        request_id=request.headers.get(names.REQUEST_ID.lower(), ''),
        method=request.method,
        host=host,
        path=path,
        target=request.target,
        headers=tuple(
            (name, value)
            for name, value in request.raw_headers
            if name.lower() not in replaced
            and not credentials.is_private(name)
        ),
        body=request.body,
        deadline=clock.Deadline(deadline_ms / 1000),
        is_client_gone=request.is_client_gone,
    )


def decode_job(
    request: http_server.Request,
    host: str,
    path: str,
    account: typing.Optional[ids.AccountName] = None,
) -> jobs.Job:
    """Decodes the submission of a job.

    Args:
        request: The request.
        host: Host without a port.
        path: Path without the query.
        account: Client account that submits it, None without one.

    Raises:
        exceptions.BadRequestError: A field is missing or invalid. The message
            names the field.
    """
    job_id = request.headers.get(names.REQUEST_ID.lower(), '')
    if not job_id:
        raise exceptions.BadRequestError(f'{names.REQUEST_ID} is missing')
    document = request.read_json()
    try:
        entries = document['Entries']
        items = tuple(_decode_item(entry) for entry in entries)
        if not items or len({i.item_id for i in items}) < len(items):
            raise ValueError('Entries is empty or has duplicate item ids')
        return jobs.Job(
            jobs.JobHead(
                job_id=ids.JobId(job_id),
                host=host,
                path=path,
                model=ids.ModelName(_require_name(document, 'Model')),
                step=decimals.require_int(document['Step']),
                min_version=ids.Version(
                    decimals.require_int(document['MinVersion'])
                ),
                required_groups=decimals.require_int(document['BatchGroups']),
                submitted_ms=int(clock.unix_s() * 1000),
                item_count=len(items),
                account=account,
            ),
            items,
        )
    except documents.DECODE_ERRORS as error:
        raise exceptions.BadRequestError(
            f'job {job_id} is not valid: {error!r:.200}'
        ) from error


def encode_page(page: jobs_plugin.JobPage) -> dict[str, typing.Any]:
    """Encodes a page of results."""
    return {
        'Total': page.total,
        # Despite its name, NextToken is a position in the results.
        'NextToken': page.next,
        'Results': [_encode_result(result) for result in page.results],
    }


def _encode_result(result: jobs.Result) -> dict[str, typing.Any]:
    document = {
        'Id': result.item_id,
        'State': _RESULT_STATES[result.state],
        'Text': result.text,
        'Versions': list(result.versions),
    }
    if result.score:
        # Not a number: the stamp of the answer that scored the text.
        document['Score'] = result.score
    return document


def _decode_item(entry: dict) -> jobs.Item:
    item_id = _require_name(entry, 'Id')
    try:
        headers = {
            http_fields.require_name(k): http_fields.require_value(str(v))
            for k, v in entry['Headers'].items()
            if not credentials.is_private(k)
        }
        # The usage header holds the prompt tokens and the maximum of output
        # tokens. The length hint is the better estimate.
        usage = headers.get(names.TOKEN_USAGE, '0,0').split(',')
        hint = decimals.read_decimal(headers.get(names.LENGTH_HINT, ''))
        if hint is None:
            hint = _read_number(usage[-1], names.TOKEN_USAGE)
        return jobs.Item(
            # Sent as a header, as is the request ID of a scoring request.
            item_id=ids.ItemId(_require_trimmed(item_id)),
            group=ids.GroupId(_require_text(entry.get('Group') or item_id)),
            path=http_fields.require_target(entry['Path']),
            headers=headers,
            body=base64.b64decode(entry.get('Body') or '', validate=True),
            expected_tokens=hint,
            scoring=_decode_scoring(entry.get('Scorer')),
        )
    except (*documents.DECODE_ERRORS, exceptions.BadRequestError) as error:
        raise ValueError(f'item {item_id!r:.50}: {error!r:.200}') from error


def _decode_scoring(
    entry: typing.Optional[dict],
) -> typing.Optional[jobs.ScoringRequest]:
    if entry is None:
        return None
    return jobs.ScoringRequest(
        request_id=_require_trimmed(_require_name(entry, 'Id')),
        host=http_fields.require_value(entry['Host']),
        path=http_fields.require_target(entry['Path']),
        body=base64.b64decode(entry.get('Body') or '', validate=True),
    )


def _require_text(value: typing.Any) -> str:
    """Returns a string that can be sent and stored.

    Raises:
        TypeError: It is not a string.
        ValueError: It has parts of surrogate pairs.
    """
    if not isinstance(value, str):
        raise TypeError(f'{value!r:.50} is not a string')
    value.encode()
    return value


def _require_name(document: dict, field: str) -> str:
    """Returns a field that names something.

    Raises:
        TypeError: It is not a string.
        ValueError: It is empty or has control characters, so that nothing
            can have this name.
    """
    value = _require_text(document[field])
    if not value.strip():
        raise ValueError(f'{field} is empty')
    if any(ord(c) < 0x20 or ord(c) == 0x7F for c in value):
        raise ValueError(f'{field} has a control character: {value!r:.50}')
    return value


def _require_trimmed(value: str) -> str:
    """Returns a header value that arrives as it was sent.

    Raises:
        ValueError: It can't be sent, or has spaces around it.
    """
    if value != value.strip():
        raise ValueError(f'{value!r:.50} begins or ends with a space')
    return http_fields.require_value(value)


def _read_host(request: http_server.Request) -> str:
    return (
        urllib.parse.urlsplit(f'//{request.headers.get("host", "")}')
        .netloc.rsplit(':', 1)[0]
        .lower()
    )


def _read_number(value: str, name: str) -> int:
    number = decimals.read_decimal(value)
    if number is None:
        raise exceptions.BadRequestError(
            f'{name} is not a number of up to {decimals.MAX_DIGITS} digits:'
            f' {value!r:.50}'
        )
    return number


def _add_refusal_headers(handler: http_server.Handler) -> http_server.Handler:
    """Wraps a handler to set the headers of refusals."""

    def handle(request: http_server.Request) -> http_server.Response:
        try:
            return handler(request)
        except exceptions.NotRunError as error:
            response = problems.to_response(error)
            # Clients of the platform accept fractions of a second, so the
            # value is not rounded up.
            response.headers[names.RETRY_AFTER] = str(error.retry_after_s)
            return response
        except exceptions.UnauthenticatedError as error:
            response = problems.to_response(error)
            # A response with status 401 must name a scheme (RFC 9110).
            response.headers['WWW-Authenticate'] = names.ACCOUNT_KEY
            return response

    return handle
