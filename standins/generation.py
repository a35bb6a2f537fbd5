"""Text generation of a stand-in engine: tokens, lengths and batching."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import random
import typing

import eventlet
import eventlet.event

from standins import common
from standins import prefix_cache

STALL_POLL_S = 0.05


@dataclasses.dataclass(frozen=True)
class StepTiming:
    """Duration of the steps of a batch.

    Attributes:
        base_ms: Duration of a step with an empty batch.
        slope_ms: Additional duration for each request in the batch.
        prefill_ms: Additional duration for each request that the step admits
            and whose prefix is not cached.
        batch_limit: Maximum number of requests in the batch.
    """

    base_ms: float
    slope_ms: float
    prefill_ms: float
    batch_limit: int


class Generation:
    """Execution of one request."""

    def __init__(
        self, request_id: str, prompt: str, max_tokens: int, length: int
    ) -> None:
        self.request_id = request_id
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.length = min(max_tokens, length)
        self.tokens: list[tuple[int, str]] = []
        self.state = 'waiting'
        self.admitted_s: typing.Optional[float] = None
        self.arrived_s = common.now_s()
        # Number of the newest stream; the older ones of this request end.
        self.stream_number = 0
        self._changed = eventlet.event.Event()

    @property
    def is_over(self) -> bool:
        """Whether no more tokens will be generated."""
        return self.state in ('finished', 'cancelled')

    @property
    def finish_reason(self) -> str:
        """Finish reason of a generation that ran to its end."""
        return 'length' if self.length == self.max_tokens else 'stop'

    @property
    def text(self) -> str:
        """Text generated so far."""
        return ''.join(text for _, text in self.tokens)

    def add_token(self, version: int) -> None:
        """Generates the next token with a weight version."""
        number = len(self.tokens)
        text = make_token(self.prompt, self.request_id, number, version)
        self.tokens.append((version, text))
        if len(self.tokens) >= self.length:
            self.state = 'finished'
        self.notify()

    def end(self, state: str) -> None:
        """Ends the generation early, unless it has ended."""
        if not self.is_over:
            self.state = state
            self.notify()

    def notify(self) -> None:
        """Wakes up the streams that wait for a change."""
        changed, self._changed = self._changed, eventlet.event.Event()
        changed.send()

    def wait(self, timeout_s: float) -> None:
        """Waits for a change, at most for the timeout."""
        with eventlet.Timeout(timeout_s, False):
            self._changed.wait()

    def list_segments(self) -> list[list[int]]:
        """Consecutive tokens of one version as [version, token count]."""
        segments: list[list[int]] = []
        for version, _ in self.tokens:
            if not segments or segments[-1][0] != version:
                segments.append([version, 0])
            segments[-1][1] += 1
        return segments


def make_token(prompt: str, request_id: str, number: int, version: int) -> str:
    """Text of a token; it names the version that generated it."""
    key = f'{prompt}\0{request_id}\0{number}'.encode()
    return f'v{version}-{hashlib.blake2b(key, digest_size=3).hexdigest()} '


def read_segments(text: str) -> list[list[int]]:
    """Actual [version, token count] segments, read from generated text."""
    segments: list[list[int]] = []
    for token in text.split():
        version = int(token.partition('-')[0].removeprefix('v'))
        if not segments or segments[-1][0] != version:
            segments.append([version, 0])
        segments[-1][1] += 1
    return segments


def choose_length(
    prompt: str, request_id: str, median: float, sigma: float
) -> int:
    """Length in tokens, log-normally distributed.

    Args:
        prompt: Prompt of the request.
        request_id: Id of the request.
        median: Median of the length.
        sigma: Standard deviation of the logarithm of the length; 0 gives
            equal lengths and 1.0 a heavy tail (one in a hundred is ten times
            the median).
    """
    digest = hashlib.blake2b(f'{prompt}\0{request_id}'.encode()).digest()
    generator = random.Random(digest)
    return max(1, round(median * generator.lognormvariate(0.0, sigma)))


class Batch:
    """Continuous batching that admits requests in order of arrival."""

    def __init__(
        self,
        timing: StepTiming,
        cache: prefix_cache.PrefixCache,
        get_version: typing.Callable[[], int],
        get_slow_factor: typing.Callable[[], float],
        is_stalled: typing.Callable[[], bool],
    ) -> None:
        self._timing = timing
        self._cache = cache
        self._get_version = get_version
        self._get_slow_factor = get_slow_factor
        self._is_stalled = is_stalled
        self.max_running = 0
        self._waiting: collections.deque[Generation] = collections.deque()
        self._running: list[Generation] = []
        self._arrival = eventlet.event.Event()

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait for admission."""
        return len(self._waiting)

    def submit(self, generation: Generation) -> None:
        """Queues a generation."""
        self._waiting.append(generation)
        if not self._arrival.ready():
            self._arrival.send()

    def run(self) -> None:
        """Runs the steps of the batch forever."""
        while True:
            self._remove_ended()
            misses = self._admit()
            if not self._running:
                self._arrival = eventlet.event.Event()
                if not self._waiting:
                    self._arrival.wait()
                continue
            self.max_running = max(self.max_running, self.running)
            self._sleep_step(misses)
            while self._is_stalled():
                eventlet.sleep(STALL_POLL_S)
            # The version at the end of the step generates its tokens: a new
            # version takes effect between two steps.
            version = self._get_version()
            for generation in self._running:
                if not generation.is_over:
                    generation.add_token(version)

    def _remove_ended(self) -> None:
        self._running = [g for g in self._running if not g.is_over]
        self._waiting = collections.deque(
            g for g in self._waiting if not g.is_over
        )

    def _admit(self) -> int:
        """Fills the batch and returns how many prefixes weren't cached."""
        misses = 0
        while self._waiting and self.running < self._timing.batch_limit:
            generation = self._waiting.popleft()
            generation.state = 'running'
            generation.admitted_s = common.now_s()
            misses += not self._cache.touch(generation.prompt)
            self._running.append(generation)
        return misses

    def _sleep_step(self, misses: int) -> None:
        timing = self._timing
        duration_ms = timing.base_ms + timing.slope_ms * self.running
        duration_ms += timing.prefill_ms * misses
        eventlet.sleep(duration_ms * self._get_slow_factor() / 1000)
