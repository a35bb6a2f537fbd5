"""Stand-in of a model engine replica."""

from __future__ import annotations

import argparse
import json
import typing

import eventlet

from standins import common
from standins import generation
from standins import prefix_cache
from standins import weight_loader

EVENT_STREAM = 'text/event-stream'
# Interval at which a stream without new tokens checks whether its client
# has disconnected.
DISCONNECT_POLL_S = 0.1


class Engine(common.StandIn):
    """Model engine."""

    # refuse: 503 before anything runs; truncate: the connection is closed
    # after half of the tokens; end_early: the response ends there as if it
    # were complete, without the end marker; fail_loads: a version load fails;
    # slow_factor: factor on the duration of all steps; stall: no tokens are
    # generated, as with the common switch ``hang``.
    fault_defaults = {
        'refuse': 0,
        'truncate': 0,
        'end_early': 0,
        'fail_loads': 0,
        'slow_factor': 1.0,
        'stall': False,
    }

    def __init__(self, arguments: argparse.Namespace) -> None:
        super().__init__(arguments)
        self._fence = 0
        self._role = 'both'
        self._adapters: list[str] = []
        self._runs: list[generation.Generation] = []
        self._by_id: dict[str, generation.Generation] = {}
        self._orders: list[dict] = []
        self._load = {'running': 0, 'waiting': 0}
        self._load_reported_s = common.now_s()
        self._prefix_cache = prefix_cache.PrefixCache(
            arguments.cache_prefixes,
            arguments.cache_delay_ms / 1000,
            arguments.cache_loss,
            arguments.seed,
        )
        self._loader = weight_loader.WeightLoader(
            arguments.weights,
            arguments.load_ms / 1000,
            arguments.version,
            lambda: self.faults.should_inject('fail_loads'),
        )
        timing = generation.StepTiming(
            arguments.base_ms,
            arguments.slope_ms,
            arguments.prefill_ms,
            arguments.batch_limit,
        )
        self._batch = generation.Batch(
            timing,
            self._prefix_cache,
            lambda: self._loader.version,
            lambda: self.faults['slow_factor'],
            lambda: bool(self.faults['stall'] or self.faults['hang']),
        )

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """See the base class."""
        add = parser.add_argument
        add('--weights', default='', help='URL of the weight store')
        add('--version', type=int, default=0, help='first version')
        add('--fencing', action='store_true', help='check fencing tokens')
        add('--base-ms', type=float, default=8.0)
        add('--slope-ms', type=float, default=0.5)
        add('--prefill-ms', type=float, default=5.0)
        add('--batch-limit', type=int, default=8)
        add('--load-ms', type=float, default=300.0)
        add('--load-lag-ms', type=float, default=500.0)
        add('--grace-ms', type=float, default=300.0)
        add('--median-tokens', type=float, default=24.0)
        add('--sigma', type=float, default=0.0, help='spread of the length')
        add('--cache-prefixes', type=int, default=32)
        add('--cache-delay-ms', type=float, default=500.0)
        add('--cache-loss', type=float, default=0.05)

    def start(self) -> None:
        """See the base class."""
        eventlet.spawn_n(self._batch.run)
        eventlet.spawn_n(self._report_load)

    def handle(self, request: common.Request) -> common.Response:
        """See the base class."""
        handlers = {
            ('POST', '/v1/completions'): self._complete,
            ('POST', '/v1/resume'): self._resume,
            ('POST', '/v1/cancel'): self._cancel,
            ('GET', '/state'): self._get_state,
            ('POST', '/orders'): self._handle_order,
            ('GET', '/cache/events'): self._get_cache_events,
            ('POST', '/kv/export'): self._export,
            ('POST', '/kv/import'): self._import,
        }
        handler = handlers.get((request.method, request.path))
        if handler is None:
            return super().handle(request)
        return handler(request)

    def journal(self) -> dict:
        """All requests with their actual versions, all orders and loads."""
        return {
            'runs': [
                {
                    'request_id': run.request_id,
                    'prompt': run.prompt,
                    'state': run.state,
                    'segments': run.list_segments(),
                    'text': run.text,
                    'arrived_s': run.arrived_s,
                    'admitted_s': run.admitted_s,
                }
                for run in self._runs
            ],
            'orders': self._orders,
            'swaps': self._loader.loads,
            'version': self._loader.version,
            'most_running': self._batch.max_running,
            'cache': {
                'hits': self._prefix_cache.hits,
                'misses': self._prefix_cache.misses,
            },
        }

    def _complete(self, request: common.Request) -> common.Response:
        if self.faults.should_inject('refuse'):
            raise common.HttpError(503, 'refused')
        body = request.read_json()
        request_id, prompt = str(body['request_id']), str(body['prompt'])
        length = generation.choose_length(
            prompt,
            request_id,
            self.arguments.median_tokens,
            self.arguments.sigma,
        )
        run = generation.Generation(
            request_id, prompt, int(body['max_tokens']), length
        )
        self._add_run(run)
        return self._stream(request, run, 0)

    def _resume(self, request: common.Request) -> common.Response:
        body = request.read_json()
        run = self._find_run(body)
        return self._stream(request, run, int(body['from_token']))

    def _cancel(self, request: common.Request) -> common.Response:
        run = self._by_id.get(str(request.read_json().get('request_id')))
        if run is not None:
            run.end('cancelled')
        return common.json_response({})

    def _get_state(self, request: common.Request) -> common.Response:
        age_ms = (common.now_s() - self._load_reported_s) * 1000
        return common.json_response(
            {
                'version': self._loader.version,
                'fence': self._fence,
                'swapping_to': self._loader.loading_version,
                'role': self._role,
                'adapters': self._adapters,
                'load': {**self._load, 'age_ms': age_ms},
            }
        )

    def _handle_order(self, request: common.Request) -> common.Response:
        body = request.read_json()
        kind, fence = body.get('order'), int(body.get('fence', 0))
        entry = {**body, 'time_s': common.now_s(), 'taken': True}
        self._orders.append(entry)
        if self.arguments.fencing:
            if fence < self._fence:
                entry['taken'] = False
                raise common.HttpError(409, 'old', fence=self._fence)
            self._fence = fence
        if kind == 'load_version':
            self._loader.order(str(body['model']), int(body['version']))
        elif kind == 'load_adapter':
            self._adapters.append(str(body['adapter']))
        elif kind == 'set_role':
            self._role = str(body['role'])
        else:
            raise common.HttpError(400, f'unknown order {kind}')
        return common.json_response({}, 202)

    def _get_cache_events(self, request: common.Request) -> common.Response:
        start = int(request.query.get('from', '0'))
        return common.json_response(self._prefix_cache.read_events(start))

    def _export(self, request: common.Request) -> common.Response:
        run = self._find_run(request.read_json())
        return common.json_response(
            {
                'request_id': run.request_id,
                'prompt': run.prompt,
                'max_tokens': run.max_tokens,
                'length': run.length,
                'tokens': run.tokens,
            }
        )

    def _import(self, request: common.Request) -> common.Response:
        body = request.read_json()
        run = generation.Generation(
            str(body['request_id']),
            str(body['prompt']),
            int(body['max_tokens']),
            int(body['length']),
        )
        run.tokens = [(version, text) for version, text in body['tokens']]
        self._prefix_cache.touch(run.prompt)
        self._add_run(run)
        eventlet.spawn_n(self._cancel_after_grace, run, run.stream_number)
        return common.json_response({})

    def _add_run(self, run: generation.Generation) -> None:
        self._runs.append(run)
        self._by_id[run.request_id] = run
        self._batch.submit(run)

    def _find_run(self, body: dict) -> generation.Generation:
        run = self._by_id.get(str(body.get('request_id')))
        if run is None or run.state == 'cancelled':
            raise common.HttpError(404, 'unknown request')
        return run

    def _stream(
        self, request: common.Request, run: generation.Generation, start: int
    ) -> common.Response:
        run.stream_number += 1
        run.notify()
        events = self._iter_events(request, run, start, run.stream_number)
        return common.Response(200, {'Content-Type': EVENT_STREAM}, events)

    def _iter_events(
        self,
        request: common.Request,
        run: generation.Generation,
        sent_count: int,
        own_stream_number: int,
    ) -> typing.Iterator[bytes]:
        is_ended_early = self.faults.should_inject('end_early')
        is_truncated = is_ended_early or self.faults.should_inject('truncate')
        truncate_at = run.length // 2 if is_truncated else None
        is_complete = False
        # The headers are sent with the first bytes of the body, so a comment
        # sends them immediately.
        yield b': accepted\n\n'
        try:
            while run.stream_number == own_stream_number:
                is_over = run.is_over
                new_tokens = run.tokens[sent_count:truncate_at]
                if new_tokens:
                    yield _format_tokens(new_tokens)
                    sent_count += len(new_tokens)
                if sent_count == truncate_at:
                    run.end('cancelled')
                    if not is_ended_early:
                        request.close_connection()
                    return
                if is_over and sent_count >= len(run.tokens):
                    is_complete = run.state == 'finished'
                    yield _format_end(run, is_complete)
                    return
                if sent_count >= len(run.tokens):
                    run.wait(DISCONNECT_POLL_S)
                if request.is_client_gone():
                    return
        finally:
            if not is_complete:
                eventlet.spawn_n(
                    self._cancel_after_grace, run, own_stream_number
                )

    def _cancel_after_grace(
        self, run: generation.Generation, own_stream_number: int
    ) -> None:
        """Cancels a request that no client resumes within the grace time."""
        eventlet.sleep(self.arguments.grace_ms / 1000)
        if run.stream_number == own_stream_number:
            run.end('cancelled')

    def _report_load(self) -> None:
        while True:
            self._load = {
                'running': self._batch.running,
                'waiting': self._batch.waiting,
            }
            self._load_reported_s = common.now_s()
            eventlet.sleep(self.arguments.load_lag_ms / 1000)


def _format_tokens(tokens: list[tuple[int, str]]) -> bytes:
    """One event for each segment of tokens of one version."""
    events = []
    start = 0
    for end in range(1, len(tokens) + 1):
        if end < len(tokens) and tokens[end][0] == tokens[start][0]:
            continue
        text = ''.join(text for _, text in tokens[start:end])
        events.append(_format_event(tokens[start][0], text, end - start, None))
        start = end
    return b''.join(events)


def _format_event(
    version: int, text: str, count: int, reason: typing.Optional[str]
) -> bytes:
    event = {
        'choices': [{'text': text, 'finish_reason': reason}],
        'version': version,
        'tokens': count,
    }
    return f'data: {json.dumps(event)}\n\n'.encode()


def _format_end(run: generation.Generation, is_complete: bool) -> bytes:
    if not is_complete:
        return b'data: {"error": "cancelled"}\n\n'
    version = run.tokens[-1][0]
    last = _format_event(version, '', 0, run.finish_reason)
    return last + b'data: [DONE]\n\n'


if __name__ == '__main__':
    common.run(Engine)
