"""Plug-in ``callers``: HTTP interface of live calls."""

from __future__ import annotations

import secrets
import typing

from lentildeal._internal.callers import attempts
from lentildeal._internal.callers import calls
from lentildeal._internal.callers import completions
from lentildeal._internal.callers import dispatch
from lentildeal._internal.callers import services
from lentildeal._internal import exceptions
from lentildeal._internal.kernel import plugins
from lentildeal._internal.models import ids
from lentildeal._internal.models import outcomes
from lentildeal._internal.models import text as text_module
from lentildeal._internal.network import http_server
from lentildeal._internal.platform import base
from lentildeal._internal.routing import slots
from lentildeal._internal.utils import clock

ServiceAnswer = calls.ServiceAnswer

DEADLINE_HEADER = 'x-deadline-ms'
KEY_HEADER = 'idempotency-key'
LONGEST_KEY = 256
# Longest deadline that a caller may ask for, in milliseconds.
LONGEST_DEADLINE_MS = 3_600_000
LONGEST_DEADLINE_DIGITS = 18


@plugins.register('callers', after=('config', 'slots'))
class Callers(plugins.Plugin):
    """Serves live calls."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self._config = kernel.plugin('config')
        self._dispatcher = dispatch.Dispatcher(
            kernel.plugin('slots'), kernel.settings.failure_domain
        )
        self._service_caller = services.ServiceCaller()
        self._engines: dict[ids.ReplicaAddress, base.Engine] = {}
        self._batch_s = kernel.settings.timing.relay_batch_ms / 1000

    def start(self) -> None:
        """Registers the routes."""
        router = self._kernel.router
        router.add('POST', '/v1/completions', self._complete)
        router.add('*', '/v1/services/{service}/{path*}', self._serve)

    def call_service(
        self,
        service: ids.ServiceName,
        path: str,
        method: str = 'POST',
        headers: typing.Optional[typing.Mapping[str, str]] = None,
        body: bytes = b'',
        deadline: typing.Optional[clock.Deadline] = None,
    ) -> ServiceAnswer:
        """Calls a plain service.

        Args:
            service: Name of the service.
            path: Encoded path and query, without the leading slash.
            method: HTTP method.
            headers: Request headers.
            body: Request body.
            deadline: When the answer is wanted; default from the text.

        Raises:
            exceptions.NotFoundError: There is no such plain service.
            exceptions.NotRunError: No byte was sent.
            exceptions.MayHaveRunError: No whole answer came in time.
            exceptions.RanAndFailedError: The service reported a fault.
        """
        call = self._make_call(
            service, text_module.TargetKind.SERVICE, deadline
        )
        return self._dispatcher.run(
            call,
            lambda attempt: self._service_caller.call_replica(
                call, attempt, method, path.lstrip('/'), headers or {}, body
            ),
        )

    def _serve(self, request: http_server.Request) -> http_server.Response:
        answer = self.call_service(
            ids.ServiceName(request.parameters['service']),
            services.make_path(request.parameters['path'], request.query),
            request.method,
            request.headers,
            request.body,
            read_deadline(request),
        )
        return http_server.Response(answer.status, answer.headers, answer.body)

    def _complete(self, request: http_server.Request) -> http_server.Response:
        body = completions.read_body(request)
        call = self._make_call(
            body.model,
            text_module.TargetKind.ENGINE,
            read_deadline(request),
            body.prompt,
        )
        if body.is_streamed:
            stream = self._dispatcher.run(
                call, lambda attempt: self._open_stream(call, attempt, body)
            )
            return completions.make_response(body, stream)
        whole = self._dispatcher.run(
            call,
            lambda attempt: completions.read_whole(
                body, self._open_stream(call, attempt, body)
            ),
        )
        return http_server.json_response(whole)

    def _open_stream(
        self,
        call: calls.Call,
        attempt: attempts.Attempt,
        body: completions.CompletionBody,
    ) -> completions.EngineStream:
        completions.check_deadline(call.deadline)
        # Attempts have different ids, so that a cancel of one that was given
        # up can not end another one.
        request_id = ids.RequestId(f'{call.request_id}-{secrets.token_hex(4)}')
        return completions.EngineStream(
            call,
            attempt,
            self._make_engine(call, attempt.replica.address),
            base.CompletionRequest(request_id, body.prompt, body.max_tokens),
            self._batch_s,
        )

    def _make_engine(
        self, call: calls.Call, address: ids.ReplicaAddress
    ) -> base.Engine:
        """Shares an adapter unless the call needs a fresh connection."""
        if not call.service.idempotent:
            return base.engines.make(call.target.adapter, address)
        if address not in self._engines:
            self._engines[address] = base.engines.make(
                call.target.adapter, address
            )
        return self._engines[address]

    def _make_call(
        self,
        name: ids.ServiceName,
        kind: text_module.TargetKind,
        deadline: typing.Optional[clock.Deadline],
        prefix: typing.Optional[str] = None,
    ) -> calls.Call:
        text = self._config.text
        if text is None:
            raise slots.refusal(
                outcomes.Cause.NO_CONFIGURATION,
                'no configuration is in effect at this instance yet',
            )
        service = text.services.get(name)
        target = text.targets.get(service.target) if service else None
        if target is None or target.kind is not kind:
            raise exceptions.NotFoundError(
                f'there is no service "{name}" of kind "{kind.value}"'
            )
        if deadline is None:
            deadline = clock.Deadline(service.deadline_ms / 1000)
        return calls.Call(
            request_id=ids.RequestId(secrets.token_hex(8)),
            name=name,
            service=service,
            target=target,
            deadline=deadline,
            prefix=prefix,
        )


def read_deadline(
    request: http_server.Request,
) -> typing.Optional[clock.Deadline]:
    """Reads the time left from a request's header.

    Raises:
        exceptions.BadRequestError: The header is not valid.
    """
    value = request.headers.get(DEADLINE_HEADER)
    if value is None:
        return None
    is_number = value.isascii() and value.isdigit()
    if not is_number or len(value) > LONGEST_DEADLINE_DIGITS:
        raise exceptions.BadRequestError(
            'X-Deadline-Ms must be a whole number of milliseconds'
        )
    return clock.Deadline(min(int(value), LONGEST_DEADLINE_MS) / 1000)
