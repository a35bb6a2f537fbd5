"""Plug-in ``callers``: HTTP interface of live calls."""

from __future__ import annotations

import json
import secrets
import typing

from lentildeal._internal.adapters import base
from lentildeal._internal.adapters import http_engine  # noqa: F401
from lentildeal._internal.callers import attempts
from lentildeal._internal.callers import calls
from lentildeal._internal.callers import claims
from lentildeal._internal.callers import completions
from lentildeal._internal.callers import dispatch
from lentildeal._internal.callers import objectives
from lentildeal._internal.callers import services
from lentildeal._internal import exceptions
from lentildeal._internal.kernel import plugins
from lentildeal._internal.models import ids
from lentildeal._internal.models import outcomes
from lentildeal._internal.models import text as text_module
from lentildeal._internal.network import http_server
from lentildeal._internal.routing import slots
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import hashing

T = typing.TypeVar('T')
ServiceResponse = calls.ServiceResponse

DEADLINE_HEADER = 'x-deadline-ms'
KEY_HEADER = 'idempotency-key'
MAX_KEY_CHARS = 256
# Longest deadline that a caller may request, in milliseconds.
MAX_DEADLINE_MS = 3_600_000
MAX_DEADLINE_DIGITS = 18


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
        self._claims = claims.Claims(kernel, self._config.log)
        self._has_started_claims = False
        self._batch_s = kernel.settings.timing.relay_batch_ms / 1000

    def start(self) -> None:
        """Registers the routes."""
        router = self._kernel.router
        router.add('POST', '/v1/completions', self._handle_completion)
        router.add('*', '/v1/services/{service}/{path*}', self._handle_service)
        self._config.on_change(self._start_claims)
        self._start_claims()

    def call_service(
        self,
        service: ids.ServiceName,
        path: str,
        method: str = 'POST',
        headers: typing.Optional[typing.Mapping[str, str]] = None,
        body: bytes = b'',
        deadline: typing.Optional[clock.Deadline] = None,
        is_client_gone: typing.Callable[[], bool] = lambda: False,
    ) -> ServiceResponse:
        """Calls a plain service.

        Args:
            service: Name of the service.
            path: Encoded path and query, without the leading slash.
            method: HTTP method.
            headers: Request headers.
            body: Request body.
            deadline: When the caller stops waiting; default from the text.
            is_client_gone: Returns whether the response is no longer wanted.

        Raises:
            exceptions.NotFoundError: There is no such plain service.
            exceptions.NotRunError: No byte was sent.
            exceptions.MayHaveRunError: No complete response in time.
            exceptions.RanAndFailedError: The service reported a fault.
        """
        call = self._make_call(
            service,
            text_module.TargetKind.SERVICE,
            deadline,
            is_client_gone=is_client_gone,
        )
        request_headers = headers or {}
        path = path.lstrip('/')

        def run() -> ServiceResponse:
            return self._run_and_record(
                call,
                lambda attempt: self._service_caller.call_replica(
                    call, attempt, method, path, request_headers, body
                ),
            )

        fingerprint = hashing.hash_text(method, path, body.hex())
        return self._run_keyed(
            call, _find_key(request_headers), fingerprint, run
        )

    def _run_and_record(
        self, call: calls.Call, function: dispatch.AttemptFunction[T]
    ) -> T:
        """Runs a call and records its end."""
        try:
            result = self._dispatcher.run(call, function)
        except exceptions.LentildealError as error:
            objectives.record(self._kernel, call, error)
            raise
        objectives.record(self._kernel, call)
        return result

    def _start_streaming(
        self, call: calls.Call, body: completions.CompletionBody
    ) -> http_server.Response:
        """Starts a streamed response and records its end later."""

        def on_end(error: typing.Optional[Exception]) -> None:
            objectives.record(self._kernel, call, error)

        try:
            stream = self._dispatcher.run(
                call, lambda attempt: self._open_stream(call, attempt, body)
            )
        except exceptions.LentildealError as error:
            on_end(error)
            raise
        return completions.make_response(body, stream, on_end)

    def _run_keyed(
        self,
        call: calls.Call,
        key: typing.Optional[str],
        fingerprint: int,
        run: claims.RunFunction,
    ) -> ServiceResponse:
        """Runs a call, claiming its key first if it is not idempotent."""
        if key is None or call.service.idempotent:
            return run()
        return self._claims.run_once(
            call.name, key, fingerprint, call.deadline, run
        )

    def _start_claims(self) -> None:
        """Starts reading claims once a service is not idempotent."""
        text = self._config.text
        if text is None or self._has_started_claims:
            return
        if not all(s.idempotent for s in text.services.values()):
            self._has_started_claims = True
            self._claims.start()

    def _handle_service(
        self, request: http_server.Request
    ) -> http_server.Response:
        response = self.call_service(
            ids.ServiceName(request.parameters['service']),
            services.strip_route(request.target),
            request.method,
            request.headers,
            request.body,
            read_deadline(request),
            request.is_client_gone,
        )
        return http_server.Response(
            response.status, response.headers, response.body
        )

    def _handle_completion(
        self, request: http_server.Request
    ) -> http_server.Response:
        body = completions.read_body(request)
        call = self._make_call(
            body.model,
            text_module.TargetKind.ENGINE,
            read_deadline(request),
            body.prompt,
            request.is_client_gone,
        )
        is_keyed = _find_key(request.headers) is not None
        if body.is_streamed and (call.service.idempotent or not is_keyed):
            return self._start_streaming(call, body)
        return self._complete_buffered(request, call, body)

    def _complete_buffered(self, request, call, body) -> http_server.Response:
        def run() -> ServiceResponse:
            completion = self._run_and_record(
                call,
                lambda attempt: completions.read_completion(
                    body, self._open_stream(call, attempt, body)
                ),
            )
            return ServiceResponse(200, {}, json.dumps(completion).encode())

        fingerprint = hashing.hash_text('completion', request.body.hex())
        key = _find_key(request.headers)
        response = self._run_keyed(call, key, fingerprint, run)
        if body.is_streamed:
            return completions.make_replayed_response(response.body)
        headers = {'Content-Type': http_server.JSON_TYPE}
        return http_server.Response(response.status, headers, response.body)

    def _open_stream(
        self,
        call: calls.Call,
        attempt: attempts.Attempt,
        body: completions.CompletionBody,
    ) -> completions.EngineStream:
        call.check_active()
        # Each attempt has an id of its own, so that cancelling one attempt
        # cannot end another.
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
        """Returns a shared adapter unless the call needs a new connection."""
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
        is_client_gone: typing.Callable[[], bool] = lambda: False,
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
        self._kernel.check_time_left(deadline.remaining_s)
        return calls.Call(
            request_id=ids.RequestId(secrets.token_hex(8)),
            name=name,
            service=service,
            target=target,
            deadline=deadline,
            prefix=prefix,
            is_client_gone=is_client_gone,
        )


def _find_key(headers: typing.Mapping[str, str]) -> typing.Optional[str]:
    """Returns the idempotency key, None without one.

    Raises:
        exceptions.BadRequestError: The key is too long.
    """
    for name, value in headers.items():
        if name.lower() == KEY_HEADER and value:
            if len(value) > MAX_KEY_CHARS:
                raise exceptions.BadRequestError(
                    f'Idempotency-Key has more than {MAX_KEY_CHARS} characters'
                )
            return value
    return None


def read_deadline(
    request: http_server.Request,
) -> typing.Optional[clock.Deadline]:
    """Reads the deadline from a request's header.

    Raises:
        exceptions.BadRequestError: The header is not valid.
    """
    value = request.headers.get(DEADLINE_HEADER)
    if value is None:
        return None
    is_number = value.isascii() and value.isdigit()
    if not is_number or len(value) > MAX_DEADLINE_DIGITS:
        raise exceptions.BadRequestError(
            'X-Deadline-Ms must be a whole number of milliseconds'
        )
    return clock.Deadline(min(int(value), MAX_DEADLINE_MS) / 1000)
