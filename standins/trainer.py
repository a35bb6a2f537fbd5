"""Stand-in of a trainer that is fed by the daemons."""

from __future__ import annotations

import argparse
import json
import typing

import eventlet
import eventlet.event
import urllib3

from standins import balancer
from standins import common
from standins import receipts

POLL_S = 0.01
ACK_INTERVAL_S = 0.05
ATTEMPTS = 200
STORE_TIMEOUT_S = 2.0


class BrokenStreamError(Exception):
    """A stream ended without its end event.

    Attributes:
        address: Daemon that it came from, or an empty string.
        is_cut: Whether the answer had begun with success.
    """

    def __init__(
        self, reason: str, address: str = '', is_cut: bool = False
    ) -> None:
        super().__init__(reason)
        self.address = address
        self.is_cut = is_cut


class Trainer(common.StandIn):
    """Trainer: collects steps, trains on them and publishes versions."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        super().__init__(arguments)
        self._balancer = balancer.Balancer(arguments.daemons.split(','))
        self._pool = urllib3.PoolManager(retries=False)
        self._receipts = receipts.Receipts(arguments.bound)
        self._published = arguments.first_version
        self._attachment = 0
        self._breaks: list[dict] = []
        self._attached = ''
        self._attaches: list[dict] = []
        self._held = 0
        self._untrained = 0
        self._trained = 0
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
            help='whole steps that may wait for training or be trained on'
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
            help='begin at POST /start instead of at once',
        )

    def start(self) -> None:
        """See the base class."""
        if not self.arguments.wait_for_start:
            self._begin()

    def handle(self, request: common.Request) -> common.Response:
        """See the base class."""
        if request.path == '/state':
            return common.json_response(self._summarize_state())
        if (request.method, request.path) != ('POST', '/start'):
            return super().handle(request)
        self._begin()
        return common.json_response({})

    def journal(self) -> dict:
        """Summary, steps, and every received sample."""
        total_s = self._idle_s + self._busy_s
        return {
            'name': self.arguments.name,
            'state': self._state,
            'steps': self._steps,
            'steps_trained': self._trained,
            'attaches': self._attaches,
            'breaks': self._breaks,
            'publishes': self._publishes,
            'version': self._published,
            'idle_s': self._idle_s,
            'busy_s': self._busy_s,
            'idle_share': self._idle_s / total_s if total_s else 0.0,
            **self._receipts.summarize(),
            'samples': self._receipts.samples,
        }

    def _summarize_state(self) -> dict:
        """Where the step at hand stands, without the long journal."""
        return {
            'state': self._state,
            'attached': self._attached,
            'held': self._held,
        }

    def _begin(self) -> None:
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
            self._untrained += 1
            while self._untrained > self.arguments.ahead:
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
        held: set[str] = set()
        self._held = 0
        for _ in range(ATTEMPTS):
            try:
                self._read_stream(step, prompts, expected, held)
                self._receipts.end_step(expected, held)
                return
            except BrokenStreamError as error:
                self._breaks.append(
                    {
                        'step': step,
                        'time_s': common.now_s(),
                        'address': error.address,
                        'is_cut': error.is_cut,
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
        held: set[str],
    ) -> None:
        """Attaches once and reads until the end event.

        Raises:
            BrokenStreamError: The stream was refused, broke or fell silent.
        """
        current = self._published
        for event in self._iter_events(step, prompts, held):
            kind = event['event']
            if kind == 'sample':
                self._receipts.add(event['sample'], current, expected, held)
                self._cursor = event['cursor']
                self._held = len(held)
                self._publish_in_middle(len(held), len(expected))
            elif kind == 'version':
                current = max(current, event['version'])
            elif kind == 'end':
                self._ack(step)
                return

    def _iter_events(
        self, step: int, prompts: list[dict], held: set[str]
    ) -> typing.Iterator[dict]:
        self._attachment += 1
        body = {
            'attachment': self._attachment,
            'version': self._published,
            'prompts': prompts,
            'group_size': self.arguments.group_size,
            'max_tokens': self.arguments.max_tokens,
            'received': sorted(held),
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
            raise _make_refusal(opened)
        self._attached = opened.address
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
                repr(error), opened.address, is_cut=True
            ) from error
        finally:
            acks.kill()
            opened.connection.close()
            self._attached = ''
        raise BrokenStreamError(
            'ended without end event', opened.address, is_cut=True
        )

    def _send_acks(self, step: int) -> None:
        """Acknowledges what has been received, through the balancer."""
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
            while not self._untrained:
                eventlet.sleep(POLL_S)
            self._idle_s += common.now_s() - started_s
            eventlet.sleep(self.arguments.train_ms / 1000)
            self._busy_s += self.arguments.train_ms / 1000
            self._trained += 1
            self._untrained -= 1
            if self.arguments.publish == 'trained':
                self._publish()
        self._state = 'done'

    def _publish_in_middle(self, held: int, expected: int) -> None:
        is_middle = held == max(1, expected // 2)
        if self.arguments.publish == 'middle' and is_middle:
            eventlet.spawn_n(self._publish)

    def _publish_regularly(self) -> None:
        while self._state == 'running':
            eventlet.sleep(self.arguments.publish_s)
            self._publish()

    def _publish(self) -> None:
        """Puts the next version into the store and announces it."""
        version = max(self._published, self._get_latest()) + 1
        self._published = version
        entry = {'version': version, 'time_s': common.now_s()}
        self._publishes.append(entry)
        for _ in range(ATTEMPTS):
            if self._call_store('PUT', f'versions/{version}') is not None:
                break
            eventlet.sleep(balancer.RETRY_S)
        path = f'/v1/trainers/{self.arguments.name}/versions'
        entry['announced'] = self._balancer.call_until_taken(
            'POST', path, {'version': version}, ATTEMPTS
        )

    def _get_latest(self) -> int:
        """Latest version of the model, which others may train too."""
        answer = self._call_store('GET', 'latest')
        return 0 if answer is None else answer['version']

    def _call_store(self, method: str, path: str) -> typing.Optional[dict]:
        arguments = self.arguments
        url = f'{arguments.weights}/models/{arguments.model}/{path}'
        try:
            answer = self._pool.request(method, url, timeout=STORE_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return None
        return answer.json() if answer.status == 200 else None


def _make_refusal(opened: balancer.Opened) -> BrokenStreamError:
    try:
        text = opened.response.read().decode('utf-8', 'replace')
    except balancer.ERRORS as error:
        text = repr(error)
    opened.connection.close()
    return BrokenStreamError(
        f'{opened.response.status}: {text[:300]}', opened.address
    )


def make_prompts(name: str, step: int, groups: int) -> list[dict]:
    """Prompts of a step, one a group."""
    return [
        {
            'group': f'g{group}',
            'prompt': f'{name}, step {step}, group {group}: predict.',
        }
        for group in range(groups)
    ]


if __name__ == '__main__':
    common.run(Trainer)
