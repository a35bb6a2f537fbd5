"""Stand-in of a trainer that receives samples from the daemons."""

from __future__ import annotations

import argparse
import json
import typing

import eventlet
import eventlet.event
import urllib3

from standins import balancer
from standins import common
from standins import sample_checker

POLL_S = 0.01
ACK_INTERVAL_S = 0.05
ATTEMPTS = 200
STORE_TIMEOUT_S = 2.0


class BrokenStreamError(Exception):
    """A stream ended without its end event.

    Attributes:
        address: Daemon that sent it, or an empty string.
        has_started: Whether the response had begun with status 200.
    """

    def __init__(
        self, reason: str, address: str = '', has_started: bool = False
    ) -> None:
        super().__init__(reason)
        self.address = address
        self.has_started = has_started


class Trainer(common.StandIn):
    """Trainer: collects steps, trains on them and publishes versions."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        super().__init__(arguments)
        self._balancer = balancer.Balancer(arguments.daemons.split(','))
        self._pool = urllib3.PoolManager(retries=False)
        self._sample_checker = sample_checker.SampleChecker(arguments.bound)
        self._published_version = arguments.first_version
        self._attachment_number = 0
        self._stream_failures: list[dict] = []
        self._attached_address = ''
        self._attaches: list[dict] = []
        self._received_count = 0
        self._untrained_steps = 0
        self._trained_steps = 0
        self._idle_s = 0.0
        self._busy_s = 0.0
        self._steps: list[dict] = []
        self._publishes: list[dict] = []
        self._cursor = 0
        self._state = 'running'

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """See the base class."""
        add = parser.add_argument
        add('--name', required=True)
        add('--model', required=True)
        add('--daemons', required=True, help='comma-separated "ip:port"')
        add('--weights', required=True, help='URL of the weight store')
        add('--steps', type=int, default=3)
        add('--groups', type=int, default=4)
        add('--group-size', type=int, default=4)
        add('--max-tokens', type=int, default=256)
        add('--bound', type=int, default=1, help='staleness bound')
        add('--first-version', type=int, default=0)
        add('--train-ms', type=float, default=500.0)
        add(
            '--ahead',
            type=int,
            default=1,
            help='complete steps that may wait for training or be trained on'
            ' while the next one is collected',
        )
        add(
            '--publish',
            choices=('trained', 'middle', 'every', 'never'),
            default='trained',
            help='after training a step, in the middle of collecting one,'
            ' or every --publish-s seconds',
        )
        add('--publish-s', type=float, default=2.0)
        add('--silence-s', type=float, default=10.0)
        add(
            '--wait-for-start',
            action='store_true',
            help='start on POST /start instead of immediately',
        )

    def start(self) -> None:
        """See the base class."""
        if not self.arguments.wait_for_start:
            self._start_tasks()

    def handle(self, request: common.Request) -> common.Response:
        """See the base class."""
        if request.path == '/state':
            return common.json_response(self._summarize_state())
        if (request.method, request.path) != ('POST', '/start'):
            return super().handle(request)
        self._start_tasks()
        return common.json_response({})

    def journal(self) -> dict:
        """Summary, steps, and all received samples."""
        total_s = self._idle_s + self._busy_s
        return {
            'name': self.arguments.name,
            'state': self._state,
            'steps': self._steps,
            'steps_trained': self._trained_steps,
            'attaches': self._attaches,
            'breaks': self._stream_failures,
            'publishes': self._publishes,
            'version': self._published_version,
            'idle_s': self._idle_s,
            'busy_s': self._busy_s,
            'idle_share': self._idle_s / total_s if total_s else 0.0,
            **self._sample_checker.summarize(),
            'samples': self._sample_checker.samples,
        }

    def _summarize_state(self) -> dict:
        """Progress of the current step, much shorter than the journal."""
        return {
            'state': self._state,
            'attached': self._attached_address,
            'held': self._received_count,
        }

    def _start_tasks(self) -> None:
        eventlet.spawn_n(self._collect_steps)
        eventlet.spawn_n(self._train_steps)
        if self.arguments.publish == 'every':
            eventlet.spawn_n(self._publish_regularly)

    # Collecting.

    def _collect_steps(self) -> None:
        for step in range(1, self.arguments.steps + 1):
            started_s = common.now_s()
            try:
                self._collect_step(step)
            except BrokenStreamError as error:
                self._state = f'failed: step {step}: {error}'
                return
            seconds = common.now_s() - started_s
            self._steps.append({'step': step, 'seconds': seconds})
            self._untrained_steps += 1
            while self._untrained_steps > self.arguments.ahead:
                eventlet.sleep(POLL_S)

    def _collect_step(self, step: int) -> None:
        prompts = make_prompts(
            self.arguments.name, step, self.arguments.groups
        )
        expected = {
            f'{self.arguments.name}/{step}/{prompt["group"]}/{index}'
            for prompt in prompts
            for index in range(self.arguments.group_size)
        }
        received: set[str] = set()
        self._received_count = 0
        for _ in range(ATTEMPTS):
            try:
                self._read_stream(step, prompts, expected, received)
                self._sample_checker.end_step(expected, received)
                return
            except BrokenStreamError as error:
                self._stream_failures.append(
                    {
                        'step': step,
                        'time_s': common.now_s(),
                        'address': error.address,
                        'is_cut': error.has_started,
                        'reason': str(error),
                    }
                )
                eventlet.sleep(balancer.RETRY_S)
        raise BrokenStreamError(f'no end after {ATTEMPTS} attempts')

    def _read_stream(
        self,
        step: int,
        prompts: list[dict],
        expected: set[str],
        received: set[str],
    ) -> None:
        """Attaches once and reads until the end event.

        Raises:
            BrokenStreamError: The request failed, or the stream broke off or
                timed out.
        """
        current = self._published_version
        for event in self._iter_events(step, prompts, received):
            kind = event['event']
            if kind == 'sample':
                self._sample_checker.add(
                    event['sample'], current, expected, received
                )
                self._cursor = event['cursor']
                self._received_count = len(received)
                self._publish_in_middle(len(received), len(expected))
            elif kind == 'version':
                current = max(current, event['version'])
            elif kind == 'end':
                self._ack(step)
                return

    def _iter_events(
        self, step: int, prompts: list[dict], received: set[str]
    ) -> typing.Iterator[dict]:
        self._attachment_number += 1
        body = {
            'attachment': self._attachment_number,
            'version': self._published_version,
            'prompts': prompts,
            'group_size': self.arguments.group_size,
            'max_tokens': self.arguments.max_tokens,
            'received': sorted(received),
        }
        path = f'/v1/trainers/{self.arguments.name}/steps/{step}'
        self._cursor = 0
        started_s = common.now_s()
        try:
            opened = self._balancer.open(
                'POST', path, body, self.arguments.silence_s
            )
        except balancer.CallError as error:
            raise BrokenStreamError(str(error), error.address) from error
        if opened.response.status != 200:
            raise _make_status_error(opened)
        self._attached_address = opened.address
        self._attaches.append(
            {
                'step': step,
                'address': opened.address,
                'started_s': started_s,
            }
        )
        acks = eventlet.spawn(self._send_acks, step)
        try:
            while line := opened.response.readline():
                if not line.endswith(b'\n'):
                    break
                yield json.loads(line)
        except (*balancer.ERRORS, ValueError) as error:
            raise BrokenStreamError(
                repr(error), opened.address, has_started=True
            ) from error
        finally:
            acks.kill()
            opened.connection.close()
            self._attached_address = ''
        raise BrokenStreamError(
            'ended without end event', opened.address, has_started=True
        )

    def _send_acks(self, step: int) -> None:
        """Acknowledges received samples through any daemon."""
        sent = 0
        while True:
            if self._cursor > sent:
                sent = self._cursor
                self._ack(step)
            eventlet.sleep(ACK_INTERVAL_S)

    def _ack(self, step: int) -> None:
        path = f'/v1/trainers/{self.arguments.name}/steps/{step}/ack'
        self._balancer.call('POST', path, {'cursor': self._cursor})

    # Training and publishing.

    def _train_steps(self) -> None:
        for _ in range(self.arguments.steps):
            started_s = common.now_s()
            while not self._untrained_steps:
                eventlet.sleep(POLL_S)
            self._idle_s += common.now_s() - started_s
            eventlet.sleep(self.arguments.train_ms / 1000)
            self._busy_s += self.arguments.train_ms / 1000
            self._trained_steps += 1
            self._untrained_steps -= 1
            if self.arguments.publish == 'trained':
                self._publish()
        self._state = 'done'

    def _publish_in_middle(self, received: int, expected: int) -> None:
        is_middle = received == max(1, expected // 2)
        if self.arguments.publish == 'middle' and is_middle:
            eventlet.spawn_n(self._publish)

    def _publish_regularly(self) -> None:
        while self._state == 'running':
            eventlet.sleep(self.arguments.publish_s)
            self._publish()

    def _publish(self) -> None:
        """Uploads the next version to the store and announces it."""
        version = max(self._published_version, self._get_latest()) + 1
        self._published_version = version
        entry = {'version': version, 'time_s': common.now_s()}
        self._publishes.append(entry)
        for _ in range(ATTEMPTS):
            if self._call_store('PUT', f'versions/{version}') is not None:
                break
            eventlet.sleep(balancer.RETRY_S)
        path = f'/v1/trainers/{self.arguments.name}/versions'
        entry['announced'] = self._balancer.call_until_success(
            'POST', path, {'version': version}, ATTEMPTS
        )

    def _get_latest(self) -> int:
        """Latest version of the model; other trainers may publish it too."""
        response = self._call_store('GET', 'latest')
        return 0 if response is None else response['version']

    def _call_store(self, method: str, path: str) -> typing.Optional[dict]:
        arguments = self.arguments
        url = f'{arguments.weights}/models/{arguments.model}/{path}'
        try:
            response = self._pool.request(method, url, timeout=STORE_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return None
        return response.json() if response.status == 200 else None


def _make_status_error(opened: balancer.OpenedCall) -> BrokenStreamError:
    try:
        text = opened.response.read().decode('utf-8', 'replace')
    except balancer.ERRORS as error:
        text = repr(error)
    opened.connection.close()
    return BrokenStreamError(
        f'{opened.response.status}: {text[:300]}', opened.address
    )


def make_prompts(name: str, step: int, groups: int) -> list[dict]:
    """Prompts of a step, one for each group."""
    return [
        {
            'group': f'g{group}',
            'prompt': f'{name}, step {step}, group {group}: predict.',
        }
        for group in range(groups)
    ]


if __name__ == '__main__':
    common.run(Trainer)
