"""Generates one sample at a replica and labels its tokens."""

from __future__ import annotations

import typing

from lentildeal._internal.adapters import base
from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.models import samples

# Longest time without data from an engine, in seconds. It covers the queue of
# the engine and a swap, during which it does not generate (13 s for a pool).
READ_TIMEOUT_S = 15.0


class TooOldError(exceptions.LentildealError):
    """A token comes from a version that exceeds the staleness bound."""

    default_remedy = 'wait until the replica has loaded a newer version'


class TokenCollector:
    """Collects text and version segments from the chunks of a stream."""

    def __init__(self) -> None:
        self._texts: list[str] = []
        self._segments: list[samples.Segment] = []
        self._last_version: typing.Optional[ids.Version] = None

    @property
    def text(self) -> str:
        """Text received so far."""
        return ''.join(self._texts)

    @property
    def token_count(self) -> int:
        """Number of tokens received so far."""
        return self._segments[-1].end if self._segments else 0

    @property
    def oldest_version(self) -> typing.Optional[ids.Version]:
        """Oldest version of any token, None before the first token."""
        if not self._segments:
            return None
        return min(segment.version for segment in self._segments)

    @property
    def segments(self) -> tuple[samples.Segment, ...]:
        """Ranges of tokens by version.

        A sample without tokens has one empty segment with the version of the
        last chunk; without any chunk there is no segment.
        """
        if not self._segments and self._last_version is not None:
            return (samples.Segment(self._last_version, 0, 0),)
        return tuple(self._segments)

    def add(self, chunk: base.TokenChunk) -> None:
        """Adds a chunk of the stream."""
        self._texts.append(chunk.text)
        self._last_version = chunk.version
        if not chunk.token_count:
            return
        start = self.token_count
        end = start + chunk.token_count
        if self._segments and self._segments[-1].version == chunk.version:
            start = self._segments.pop().start
        self._segments.append(samples.Segment(chunk.version, start, end))


def generate(
    engine: base.Engine,
    request: base.CompletionRequest,
    minimum_version: ids.Version,
    collector: TokenCollector,
    batch_s: float,
) -> None:
    """Reads a complete stream into a collector.

    Args:
        engine: Adapter of the replica.
        request: Completion request to send.
        minimum_version: Oldest version that may produce a token.
        collector: Receives the tokens as they arrive.
        batch_s: Interval of reading the stream, in seconds.

    Raises:
        TooOldError: A token comes from an older version.
        exceptions.LentildealError: The stream did not reach its end marker.
    """
    stream = engine.stream(request, READ_TIMEOUT_S, batch_s)
    try:
        for chunk in stream:
            collector.add(chunk)
            if chunk.token_count and chunk.version < minimum_version:
                raise TooOldError(
                    f'{request.request_id} got version {chunk.version},'
                    f' {minimum_version} is required'
                )
    finally:
        stream.close()
    if not collector.segments:
        raise exceptions.TruncatedAnswerError(
            f'{request.request_id} ended without a version'
        )
