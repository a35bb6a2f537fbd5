"""Live callers that record each attempt themselves."""

from __future__ import annotations

import dataclasses
import json
import random
import threading
import time
import typing

from standins import balancer
from standins import common

READ_TIMEOUT_S = 10.0
PAUSE_S = 0.15
MAX_CALLS = 400
MAX_ATTEMPTS = 3
MAX_TOKENS = 40
STREAM_END = '[DONE]'


@dataclasses.dataclass
class Attempt:
    """One request of a caller.

    Attributes:
        call: Id of the call; repeated attempts share it.
        service: Service called.
        is_completion: Whether the service is an engine.
        key: Idempotency key, None without one.
        address: Daemon that the request was sent to.
        result: ``whole``, ``cut_off``, ``not_sent`` or the outcome in the
            problem details.
        status: HTTP status, 0 without a response.
        seconds: Time to the end of the response.
        answer: Text of a completion, or JSON value of a service's response.
    """

    call: str
    service: str
    is_completion: bool
    key: typing.Optional[str]
    started_s: float
    address: str = ''
    result: str = 'not_sent'
    status: int = 0
    seconds: float = 0.0
    answer: typing.Any = None
    reason: str = ''


class Caller:
    """Calls one service repeatedly from its own thread.

    Args:
        name: Part of the call ids.
        service: Name of the service.
        settings: Its entry in the federation text.
        is_completion: Whether its target is an engine.
        load_balancer: Chooses the daemon.
        seed: Seed of the random pauses.
    """

    def __init__(
        self,
        name: str,
        service: str,
        settings: dict,
        is_completion: bool,
        load_balancer: balancer.Balancer,
        seed: int,
    ) -> None:
        self.attempts: list[Attempt] = []
        self._name = name
        self._service = service
        self._is_idempotent = settings.get('idempotent', False)
        self._is_completion = is_completion
        self._balancer = load_balancer
        self._random = random.Random(seed)
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread after the call in flight."""
        self._stop.set()

    def join(self) -> None:
        """Waits for the thread to end."""
        self._thread.join(READ_TIMEOUT_S * 2)

    def _run(self) -> None:
        for number in range(MAX_CALLS):
            if self._stop.is_set():
                return
            self._call(f'{self._name}-{number}', number)
            time.sleep(PAUSE_S * (0.5 + self._random.random()))

    def _call(self, call: str, number: int) -> None:
        if self._is_idempotent or number % 3 == 0:
            self._attempt(call, None)
            return
        # A call with a key is repeated until it succeeds; every fifth one is
        # also sent once more, as by a caller that lost the response.
        key = f'key-{call}'
        for _ in range(MAX_ATTEMPTS):
            attempt = self._attempt(call, key)
            if attempt.result == 'whole':
                break
            time.sleep(PAUSE_S)
        if number % 5 == 0:
            self._attempt(call, key)

    def _attempt(self, call: str, key: typing.Optional[str]) -> Attempt:
        attempt = Attempt(
            call, self._service, self._is_completion, key, common.now_s()
        )
        try:
            self._send(attempt)
        except balancer.CallError as error:
            attempt.address = error.address
            attempt.result = 'cut_off' if error.is_sent else 'not_sent'
            attempt.reason = str(error)
        except (*balancer.ERRORS, ValueError) as error:
            attempt.result = 'cut_off'
            attempt.reason = repr(error)
        attempt.seconds = common.now_s() - attempt.started_s
        self.attempts.append(attempt)
        return attempt

    def _send(self, attempt: Attempt) -> None:
        path = f'/v1/services/{self._service}/work'
        body: dict = {'call': attempt.call}
        if self._is_completion:
            path = '/v1/completions'
            body = {
                'model': self._service,
                'prompt': f'{attempt.call}: answer',
                'max_tokens': MAX_TOKENS,
                'stream': True,
            }
        headers = {'Idempotency-Key': attempt.key} if attempt.key else {}
        opened = self._balancer.open(
            'POST', path, body, READ_TIMEOUT_S, headers
        )
        attempt.address = opened.address
        attempt.status = opened.response.status
        try:
            if attempt.status != 200:
                self._read_problem(attempt, opened.response.read())
            elif self._is_completion:
                _read_completion(attempt, opened.response)
            else:
                attempt.answer = json.loads(opened.response.read())
                attempt.result = 'whole'
        finally:
            opened.connection.close()

    def _read_problem(self, attempt: Attempt, body: bytes) -> None:
        problem = json.loads(body)
        attempt.result = problem.get('outcome', 'no_outcome')
        attempt.reason = str(problem.get('detail', problem))


def _read_completion(attempt: Attempt, response: typing.Any) -> None:
    """Reads server-sent events up to the end marker."""
    text = ''
    attempt.result = 'cut_off'
    while line := response.readline():
        data = line.decode().removeprefix('data:').strip()
        if data == STREAM_END:
            attempt.answer = text
            attempt.result = 'whole'
            return
        if line.startswith(b'data:'):
            value = json.loads(data)
            if 'choices' not in value:
                attempt.reason = data
                return
            text += value['choices'][0].get('text', '')
