"""Scoring of samples by a service that fails in different ways."""

import json
import types

import eventlet
import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.models import samples
from lentildeal._internal.rollouts import scoring

SCORE = json.dumps({'score': 0.5}).encode()


class Callers:
    """Answers calls with the given responses, then with the last one."""

    def __init__(self, *responses):
        self._responses = list(responses)
        self.count = 0
        self.running = self.most_running = 0

    def call_service(self, _service, _path, _method, _headers, _body, _limit):
        self.count += 1
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            eventlet.sleep(0.005)
            response = self._responses[0]
            if len(self._responses) > 1:
                self._responses.pop(0)
            if response is None:
                raise exceptions.MayHaveRunError('no answer')
            status, body = response
            return types.SimpleNamespace(status=status, body=body)
        finally:
            self.running -= 1


@pytest.fixture
def start():
    found = []

    def start_scorer(callers, count=1):
        ends = {}
        scorer = scoring.Scorer(
            callers, 'score', lambda s, score: ends.update({s.index: score})
        )
        found.append(scorer)
        for index in range(count):
            scorer.submit(
                samples.Sample(f's{index}', 'g', index, 'text', 1, ()), 'p'
            )
        return ends

    yield start_scorer
    for scorer in found:
        scorer.stop()


def wait_for_ends(ends, count=1):
    with eventlet.Timeout(10.0):
        while len(ends) < count:
            eventlet.sleep(0.01)


@pytest.mark.parametrize('answer', [(500, b''), (200, b'{}'), (422, b'')])
def test_sample_that_is_answered_only_with_errors_ends_without_score(
    start, answer
):
    # Guards against a step that waits forever for one score.
    callers = Callers(answer)
    ends = start(callers)
    wait_for_ends(ends)
    assert ends == {0: None}
    assert callers.count == scoring.LIMITS.max_errors


@pytest.mark.parametrize('failure', [None, (503, b''), (429, b'')])
def test_unavailable_service_gives_up_no_sample(start, failure):
    # Guards against samples without a score after an outage.
    ends = start(Callers(*[failure] * 8, (200, SCORE)))
    wait_for_ends(ends)
    assert ends == {0: 0.5}


def test_failing_service_gets_few_calls_at_a_time(start):
    # Guards against the backlog of a step that hits a failing service.
    callers = Callers(None)
    ends = start(callers, 100)
    eventlet.sleep(1.0)
    assert not ends
    assert callers.most_running <= scoring.CONCURRENCY
    # Sixteen at first, then half of them and so on, then one at a time.
    assert callers.count < 50


def test_all_samples_of_a_step_are_scored_within_the_limit(start):
    # Guards against a scorer that stops at its limit.
    callers = Callers((200, SCORE))
    ends = start(callers, 100)
    wait_for_ends(ends, 100)
    assert set(ends.values()) == {0.5}
    assert callers.most_running <= scoring.CONCURRENCY
