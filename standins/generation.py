"""Generations of a stand-in engine: text, lengths and continuous batching."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import random
import typing

import eventlet
import eventlet.event

from standins import common
from standins import prefixes

STALL_POLL_S = 0.05


@dataclasses.dataclass(frozen=True)
class Speed:
    """Timing of the batch.

    Attributes:
        base_ms: Duration of a step with an empty batch.
        slope_ms: Further duration for each request in the batch.
        prefill_ms: Further duration of the step that admits a request whose
            prefix is not cached.
        batch_limit: Most requests in the batch.
    """

    base_ms: float
    slope_ms: float
    prefill_ms: float
    batch_limit: int


class Generation:
    """One run of a request."""

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
        # The stream that is attached now; an older one ends by itself.
        self.stream_number = 0
        self._changed = eventlet.event.Event()

    @property
    def is_over(self) -> bool:
        """Whether no more tokens come."""
        return self.state in ('finished', 'cancelled')

    @property
    def finish_reason(self) -> str:
        """Why a finished generation ended."""
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
        """Ends early."""
        if not self.is_over:
            self.state = state
            self.notify()

    def notify(self) -> None:
        """Wakes the streams."""
        changed, self._changed = self._changed, eventlet.event.Event()
        changed.send()

    def wait(self, timeout_s: float) -> None:
        """Waits for a change."""
        with eventlet.Timeout(timeout_s, False):
            self._changed.wait()

    def segments(self) -> list[list[int]]:
        """Runs of tokens as [version, token count]."""
        runs: list[list[int]] = []
        for version, _ in self.tokens:
            if not runs or runs[-1][0] != version:
                runs.append([version, 0])
            runs[-1][1] += 1
        return runs


def make_token(prompt: str, request_id: str, number: int, version: int) -> str:
    """Text of a token, which shows the version that generated it."""
    key = f'{prompt}\0{request_id}\0{number}'.encode()
    return f'v{version}-{hashlib.blake2b(key, digest_size=3).hexdigest()} '


def read_segments(text: str) -> list[list[int]]:
    """True runs [version, token count], read from the generated text."""
    runs: list[list[int]] = []
    for token in text.split():
        version = int(token.partition('-')[0].removeprefix('v'))
        if not runs or runs[-1][0] != version:
            runs.append([version, 0])
        runs[-1][1] += 1
    return runs


def choose_length(
    prompt: str, request_id: str, mean: float, sigma: float
) -> int:
    """Length in tokens, log-normal with a median of ``mean``.

    Args:
        prompt: Prompt of the request.
        request_id: Id of the request.
        mean: Median of the length.
        sigma: Spread of its logarithm; 0 gives equal lengths and 1.0 a
            heavy tail (one in a hundred is ten times the median).
    """
    digest = hashlib.blake2b(f'{prompt}\0{request_id}'.encode()).digest()
    generator = random.Random(digest)
    return max(1, round(mean * generator.lognormvariate(0.0, sigma)))


class Batch:
    """Continuous batching with admission in order of arrival."""

    def __init__(
        self,
        speed: Speed,
        cache: prefixes.PrefixCache,
        get_version: typing.Callable[[], int],
        get_factor: typing.Callable[[], float],
        is_stalled: typing.Callable[[], bool],
    ) -> None:
        self._speed = speed
        self._cache = cache
        self._get_version = get_version
        self._get_factor = get_factor
        self._is_stalled = is_stalled
        self.most_running = 0
        self._waiting: collections.deque[Generation] = collections.deque()
        self._running: list[Generation] = []
        self._arrival = eventlet.event.Event()

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests not yet admitted."""
        return len(self._waiting)

    def submit(self, generation: Generation) -> None:
        """Queues a generation."""
        self._waiting.append(generation)
        if not self._arrival.ready():
            self._arrival.send()

    def run(self) -> None:
        """Steps for ever."""
        while True:
            self._drop_ended()
            misses = self._admit()
            if not self._running:
                self._arrival = eventlet.event.Event()
                if not self._waiting:
                    self._arrival.wait()
                continue
            self.most_running = max(self.most_running, self.running)
            self._sleep_step(misses)
            while self._is_stalled():
                eventlet.sleep(STALL_POLL_S)
            # The version at the end of the step is the one that generated;
            # a swap takes effect between two steps.
            version = self._get_version()
            for generation in self._running:
                if not generation.is_over:
                    generation.add_token(version)

    def _drop_ended(self) -> None:
        self._running = [g for g in self._running if not g.is_over]
        self._waiting = collections.deque(
            g for g in self._waiting if not g.is_over
        )

    def _admit(self) -> int:
        """Fills the batch and returns the number of prefixes not cached."""
        misses = 0
        while self._waiting and self.running < self._speed.batch_limit:
            generation = self._waiting.popleft()
            generation.state = 'running'
            generation.admitted_s = common.now_s()
            misses += not self._cache.touch(generation.prompt)
            self._running.append(generation)
        return misses

    def _sleep_step(self, misses: int) -> None:
        speed = self._speed
        duration_ms = speed.base_ms + speed.slope_ms * self.running
        duration_ms += speed.prefill_ms * misses
        eventlet.sleep(duration_ms * self._get_factor() / 1000)
