"""Model engine over HTTP with server-sent events."""

from __future__ import annotations

import http
import json
import typing

from lentildeal._internal.adapters import base
from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.network import http_client
from lentildeal._internal.network import sse
from lentildeal._internal.utils import clock

CONTROL_TIMEOUT_S = 2.0
# Bytes of a stream without its tokens, and of each token.
STREAM_OVERHEAD_BYTES = 64 * 1024
MAX_TOKEN_BYTES = 1024


@base.engines.register('http')
class HttpEngine(base.Engine):
    """One replica at "ip:port"."""

    def __init__(self, address: ids.ReplicaAddress) -> None:
        self._url = f'http://{address}'
        self._client = http_client.HttpClient()

    def stream(
        self,
        request: base.CompletionRequest,
        timeout_s: float,
        batch_s: float = 0.05,
    ) -> typing.Iterator[base.TokenChunk]:
        """See the base class."""
        body = {
            'request_id': request.request_id,
            'prompt': request.prompt,
            'max_tokens': request.max_tokens,
            'stream': True,
        }
        response = self._client.open(
            'POST',
            f'{self._url}/v1/completions',
            timeout_s=timeout_s,
            body=json.dumps(body).encode(),
            headers={'Content-Type': 'application/json'},
        )
        if response.status != http.HTTPStatus.OK:
            raise exceptions.RanAndFailedError(
                f'engine {self._url} responded with {response.status}',
                status=response.status,
                body=response.read(),
            )
        limit_bytes = (
            STREAM_OVERHEAD_BYTES + MAX_TOKEN_BYTES * request.max_tokens
        )
        yield from _iter_chunks(response, timeout_s, batch_s, limit_bytes)

    def cancel(self, request_id: ids.RequestId) -> None:
        """See the base class."""
        try:
            self._call('POST', '/v1/cancel', {'request_id': request_id})
        except exceptions.PlatformError:
            # A lost cancellation only costs tokens, and the caller also closes
            # the stream.
            return

    def get_state(self) -> base.EngineState:
        """See the base class."""
        response = self._call('GET', '/state')
        try:
            value = response.read_json()
            load = value.get('load', {})
            return base.EngineState(
                version=ids.Version(int(value['version'])),
                fence=ids.FencingToken(int(value.get('fence', 0))),
                swapping_to=value.get('swapping_to'),
                running=int(load.get('running', 0)),
                waiting=int(load.get('waiting', 0)),
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise exceptions.PlatformError(
                f'{self._url}/state sent an invalid response: {error}'
            ) from error

    def load_version(
        self,
        model: ids.ModelName,
        version: ids.Version,
        fence: ids.FencingToken,
    ) -> None:
        """See the base class."""
        order = {
            'order': 'load_version',
            'model': model,
            'version': version,
            'fence': fence,
        }
        response = self._call('POST', '/orders', order)
        if response.status == http.HTTPStatus.CONFLICT:
            raise exceptions.FenceRejectedError(
                f'{self._url} refused fencing token {fence}'
            )
        if response.status >= http.HTTPStatus.BAD_REQUEST:
            raise exceptions.PlatformError(
                f'{self._url}/orders responded with {response.status}'
            )

    def _call(
        self, method: str, path: str, value: typing.Optional[dict] = None
    ) -> http_client.HttpResponse:
        try:
            return self._client.send_json(
                method,
                f'{self._url}{path}',
                value,
                timeout_s=CONTROL_TIMEOUT_S,
            )
        except (
            exceptions.NotRunError,
            exceptions.MayHaveRunError,
        ) as error:
            raise exceptions.PlatformError(error.message) from error


def _iter_chunks(
    response: http_client.StreamingResponse,
    timeout_s: float,
    batch_s: float,
    limit_bytes: int,
) -> typing.Iterator[base.TokenChunk]:
    """Yields one chunk for each batch and version until the end marker."""
    parser = sse.EventParser()
    size_bytes = 0
    deadline = clock.Deadline(timeout_s)
    batches = response.iter_batches(batch_s)
    try:
        for batch in batches:
            size_bytes += len(batch)
            if size_bytes > limit_bytes:
                raise exceptions.TruncatedAnswerError(
                    f'the stream is longer than {limit_bytes} bytes'
                )
            events = parser.feed(batch)
            is_done = sse.END_MARKER in events
            yield from _merge(event for event in events if event[0] == '{')
            if is_done:
                return
            if events:
                deadline = clock.Deadline(timeout_s)
            elif deadline.has_passed:
                # Comments and parts of an event are no progress.
                raise exceptions.TruncatedAnswerError(
                    f'no event within {timeout_s:.0f} s'
                )
    finally:
        batches.close()
    raise exceptions.TruncatedAnswerError(
        'the stream ended without its end marker'
    )


def _merge(events: typing.Iterable[str]) -> list[base.TokenChunk]:
    """Merges successive events of one version to reduce the chunks."""
    merged: list[base.TokenChunk] = []
    for event in events:
        chunk = _to_chunk(event)
        if merged and merged[-1].version == chunk.version:
            last = merged.pop()
            chunk = base.TokenChunk(
                last.text + chunk.text,
                last.token_count + chunk.token_count,
                chunk.version,
            )
        merged.append(chunk)
    return merged


def _to_chunk(event: str) -> base.TokenChunk:
    try:
        value = json.loads(event)
        if 'error' in value:
            raise exceptions.MayHaveRunError(
                f'the engine reported {value["error"]}'
            )
        return base.TokenChunk(
            text=value['choices'][0].get('text', ''),
            token_count=int(value.get('tokens', 0)),
            version=ids.Version(int(value['version'])),
        )
    except (KeyError, IndexError, TypeError, ValueError) as error:
        raise exceptions.MayHaveRunError(
            f'invalid event of the engine: {error}'
        ) from error
