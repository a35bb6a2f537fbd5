"""Completions of model engines, streamed or returned in one response."""

from __future__ import annotations

import dataclasses
import json
import typing

import eventlet

from lentildeal._internal.adapters import base
from lentildeal._internal.callers import attempts
from lentildeal._internal.callers import calls
from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.network import http_server
from lentildeal._internal.network import sse

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 1_000_000

OnEnd = typing.Callable[[typing.Optional[Exception]], None]


@dataclasses.dataclass(frozen=True)
class CompletionBody:
    """Request body of ``POST /v1/completions``."""

    model: ids.ServiceName
    prompt: str
    max_tokens: int
    is_streamed: bool


def read_body(request: http_server.Request) -> CompletionBody:
    """Reads and validates the request body.

    Raises:
        exceptions.BadRequestError: A field is missing or not valid.
    """
    value = request.read_json()
    if not isinstance(value, dict):
        raise exceptions.BadRequestError('the body is not a JSON object')
    max_tokens = value.get('max_tokens', DEFAULT_MAX_TOKENS)
    is_number = isinstance(max_tokens, int) and max_tokens is not True
    if not is_number or not 0 < max_tokens <= MAX_TOKENS_LIMIT:
        raise exceptions.BadRequestError(
            f'"max_tokens" must be from 1 to {MAX_TOKENS_LIMIT}'
        )
    for name in ('model', 'prompt'):
        if not isinstance(value.get(name), str):
            raise exceptions.BadRequestError(f'"{name}" must be a string')
    return CompletionBody(
        model=ids.ServiceName(value['model']),
        prompt=value['prompt'],
        max_tokens=max_tokens,
        is_streamed=bool(value.get('stream', False)),
    )


class EngineStream:
    """Chunks of one attempt, with the deadline applied to each of them.

    The first chunk is read in the constructor, so that the call can be
    retried at another engine if this one fails before it.
    """

    def __init__(
        self,
        call: calls.Call,
        attempt: attempts.Attempt,
        engine: base.Engine,
        request: base.CompletionRequest,
        batch_s: float,
    ) -> None:
        self._call = call
        self._attempt = attempt
        self._engine = engine
        self._request_id = request.request_id
        self._chunks = engine.stream(
            request, call.deadline.remaining_s, batch_s
        )
        self._is_open = True
        self._first_chunk = self._read_chunk()

    def __iter__(self) -> EngineStream:
        return self

    def __next__(self) -> base.TokenChunk:
        """Returns the next chunk; stops only after a complete response."""
        if self._is_open and self._call.is_client_gone():
            self.close()
            raise exceptions.MayHaveRunError('the caller has disconnected')
        chunk, self._first_chunk = self._first_chunk, None
        if chunk is None and self._is_open:
            chunk = self._read_chunk()
        if chunk is None:
            raise StopIteration
        return chunk

    def mark_delivered(self) -> None:
        """Marks output as sent to the caller, which rules out a retry."""
        self._attempt.usage.was_delivered = True

    def close(self) -> None:
        """Cancels the generation if it has not ended."""
        if self._is_open:
            self._cancel()
            self._attempt.end_cancelled()

    def _read_chunk(self) -> typing.Optional[base.TokenChunk]:
        timeout_error = exceptions.MayHaveRunError(
            'no complete response by the deadline'
        )
        try:
            with eventlet.Timeout(
                self._call.deadline.remaining_s, timeout_error
            ):
                chunk = next(self._chunks, None)
        except exceptions.NotRunError as error:
            self._is_open = False
            self._attempt.end_failed(error)
            raise
        except exceptions.LentildealError as error:
            self._cancel()
            self._attempt.end_failed(error)
            raise
        except BaseException:
            self.close()
            raise
        if chunk is None:
            self._is_open = False
            self._attempt.end_succeeded()
            return None
        self._attempt.usage.tokens += chunk.token_count
        return chunk

    def _cancel(self) -> None:
        """Closes the stream and cancels the request at the engine.

        The engine may not notice a closed connection.
        """
        self._is_open = False
        self._chunks.close()
        eventlet.spawn_n(self._engine.cancel, self._request_id)


class EventBody:
    """Body of a streamed response: one event for each batch of tokens."""

    def __init__(
        self, body: CompletionBody, stream: EngineStream, on_end: OnEnd
    ) -> None:
        self._body = body
        self._stream = stream
        self._on_end = on_end
        self._tokens = 0
        self._version: typing.Optional[int] = None
        self._is_done = False

    def __iter__(self) -> EventBody:
        return self

    def __next__(self) -> bytes:
        """Returns the next event; after an error no end marker is sent."""
        if self._is_done:
            raise StopIteration
        try:
            chunk = next(self._stream, None)
        except exceptions.LentildealError as error:
            self._on_end(error)
            raise
        if chunk is None:
            self._is_done = True
            self._on_end(None)
            return self._format_end()
        self._stream.mark_delivered()
        self._tokens += chunk.token_count
        self._version = chunk.version
        return self._format(chunk.text, None, chunk.token_count)

    def close(self) -> None:
        """Closes the stream, at its end or when the caller disconnects."""
        self._stream.close()

    def _format_end(self) -> bytes:
        reason = _finish_reason(self._tokens, self._body.max_tokens)
        end = self._format('', reason, 0)
        return end + sse.format_event(sse.END_MARKER)

    def _format(self, text, reason, tokens: int) -> bytes:
        event = {
            'choices': [{'text': text, 'finish_reason': reason}],
            'version': self._version,
            'tokens': tokens,
        }
        return sse.format_event(json.dumps(event))


def read_completion(body: CompletionBody, stream: EngineStream) -> dict:
    """Reads the rest of a stream and makes the complete response body.

    Raises:
        exceptions.MayHaveRunError: The stream broke.
    """
    chunks = list(stream)
    tokens = sum(chunk.token_count for chunk in chunks)
    reason = _finish_reason(tokens, body.max_tokens)
    text = ''.join(chunk.text for chunk in chunks)
    versions = sorted({chunk.version for chunk in chunks})
    return {
        'model': body.model,
        'choices': [{'text': text, 'finish_reason': reason}],
        'version': versions[-1] if versions else None,
        'versions': versions,
        'tokens': tokens,
    }


def make_response(
    body: CompletionBody, stream: EngineStream, on_end: OnEnd
) -> http_server.Response:
    """Makes the streamed response for a stream that has started.

    Args:
        body: Body of the request.
        stream: The stream.
        on_end: Called with the error that ended the response, or None.
    """
    headers = {'Content-Type': sse.CONTENT_TYPE, 'Cache-Control': 'no-store'}
    return http_server.Response(200, headers, EventBody(body, stream, on_end))


def make_replayed_response(completion: bytes) -> http_server.Response:
    """Makes a streamed response from a complete response body.

    A keyed call of a non-idempotent service is completed before anything is
    sent, so that a repeat gets the same response.
    """
    body = sse.format_event(completion.decode())
    headers = {'Content-Type': sse.CONTENT_TYPE, 'Cache-Control': 'no-store'}
    return http_server.Response(
        200, headers, body + sse.format_event(sse.END_MARKER)
    )


def _finish_reason(tokens: int, max_tokens: int) -> str:
    return 'length' if tokens >= max_tokens else 'stop'
