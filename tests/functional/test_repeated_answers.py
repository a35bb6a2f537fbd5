"""Targets that send an answer once more where the next one is expected."""

import collections
import contextlib
import os
import types

import pytest

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.jobs import attempts
from lentildeal._internal.models import jobs
from lentildeal._internal.network import client_connections
from lentildeal._internal.network import target_connections
from lentildeal._internal.platform import adapter
from tests.lib import copying_server
from tests.lib import job_builders
from tests.lib import platform_world
from tests.lib import processes

ERROR = '500 Internal Server Error'
REFUSAL = '503 Service Unavailable'
NOT_EXECUTED = 'Lentildeal-Not-Executed: 1'
# Forms of the copy: the whole at once, late, and in pieces.
FORMS = {
    'at once': {},
    'late': {'delay_s': 0.05},
    'in pieces': {'part_bytes': 20},
}


def make_platform():
    return adapter.ExternalPlatform(
        types.SimpleNamespace(
            store=types.SimpleNamespace(address='x'), duties=None
        )
    )


class Engine(copying_server.CopyingServer):
    """Answers the first runs of each item as told, then with its text.

    Attributes:
        counts: Runs of each item at all engines that share them.
    """

    def __init__(self, *first, counts=None, **form):
        self._first = first
        self.counts = collections.Counter() if counts is None else counts
        super().__init__(self._answer_item, **form)

    def _answer_item(self, path, item_id):
        if path == '/report':
            body = (
                b'{"Stage": "both", "Models": [{"Name": "model", "Version":'
                b' 1, "Adapters": []}], "Busy": false, "Sequence": 0}'
            )
            return copying_server.make_answer('200 OK', item_id, body)
        number = self.counts[item_id]
        self.counts[item_id] += 1
        if number >= len(self._first):
            return copying_server.make_text(item_id, item_id)
        fields = [NOT_EXECUTED] if self._first[number] == REFUSAL else []
        return copying_server.make_answer(
            self._first[number], item_id, b'', *fields
        )


class Runner:
    """Runs items at one replica on kept connections."""

    def __init__(self, engine):
        self._replica = job_builders.make_replica(address=engine.address)
        self._connections = target_connections.TargetConnections()

    def run(self, item_id):
        attempt = attempts.Attempt(
            make_platform(),
            self._connections,
            self._replica,
            jobs.Progress(),
            1,
            lambda info: None,
        )
        item = job_builders.make_item(item_id)
        return attempt.run('club.example', item), attempt


@pytest.mark.parametrize('form', FORMS)
@pytest.mark.parametrize(
    'status, outcome',
    [
        (ERROR, attempts.AttemptOutcome.FAILED),
        (REFUSAL, attempts.AttemptOutcome.NOT_RUN),
        ('422 Unprocessable Content', attempts.AttemptOutcome.IMPOSSIBLE),
        ('409 Conflict', attempts.AttemptOutcome.BROKEN),
    ],
)
def test_attempt_never_gets_the_answer_to_an_earlier_one(
    status, outcome, form
):
    """Guards against an item that is given up for the copy of an answer.

    All attempts of an item have its id, also those of a later job that names
    it again. A refusal that comes twice would send the item elsewhere while
    the replica runs it.
    """
    with contextlib.closing(Engine(status, **FORMS[form])) as engine:
        runner = Runner(engine)
        assert runner.run('i1')[0] is outcome
        found, attempt = runner.run('i1')
        assert found is attempts.AttemptOutcome.COMPLETE, attempt.reason
        assert engine.counts['i1'] == 2
        assert attempt.event_count == 10


def test_text_that_comes_twice_is_not_the_text_of_a_later_run():
    """Guards against an outdated text for an item that runs once more."""
    texts = ['first', 'second', 'third']
    server = copying_server.CopyingServer(
        lambda _, item_id: copying_server.make_text(item_id, texts.pop(0))
    )
    with contextlib.closing(server):
        runner = Runner(server)
        for text in list(texts):
            outcome, attempt = runner.run('i1')
            assert outcome is attempts.AttemptOutcome.COMPLETE
            assert attempt.progress.events[0] == f'{text}/0'


def test_copy_costs_another_item_no_failed_attempt():
    """Guards against a copy that is not told from the awaited answer."""
    with contextlib.closing(Engine(ERROR)) as engine:
        runner = Runner(engine)
        assert runner.run('i1')[0] is attempts.AttemptOutcome.FAILED
        outcome, attempt = runner.run('i2')
        assert engine.copies == 1
        assert outcome is attempts.AttemptOutcome.BROKEN
        assert 'another request' in attempt.reason


def test_call_that_is_sent_again_never_gets_an_earlier_answer():
    """Guards against errors of a scoring call that are counted twice.

    All of its attempts have one id and may reach one replica.
    """
    answers = [ERROR, ERROR, '200 OK']

    def make_answer(_path, request_id):
        return copying_server.make_answer(answers.pop(0), request_id)

    server = copying_server.CopyingServer(make_answer)
    connections = target_connections.TargetConnections()
    with contextlib.closing(server):
        found = []
        while answers:
            response = connections.send(
                server.address,
                'POST',
                '/score',
                [('Lentildeal-Request-Id', 's1')],
                b'text',
                read_timeout_s=2.0,
                is_repeatable=True,
                request_id='s1',
            )
            response.read()
            found.append(response.status)
    assert found == [500, 500, 200]


def test_copy_of_a_status_check_answers_no_order():
    """Guards against an order that counts as carried out by a status check.

    Status checks have no id, so that their copies could stand for anything.
    """

    def make_answer(path, request_id):
        if path == '/order':
            return copying_server.make_answer('412 No', request_id)
        return copying_server.make_answer('200 OK', '').replace(
            b'Lentildeal-Request-Id: \r\n',
            b'Lentildeal-Replica-Load: 1,0,4\r\n',
        )

    server = copying_server.CopyingServer(make_answer)
    platform = make_platform()
    order = platform_base.VersionOrder('m', 2, True, 'n0', 1, 0)
    with contextlib.closing(server):
        replica = job_builders.make_replica(address=server.address)
        platform.get_load(replica, '/health')
        platform.get_load(replica, '/health')
        outcome = platform.order_version(replica, order)
    assert outcome is platform_base.OrderOutcome.FENCED


class Connection:
    """An open connection that has carried some requests."""

    is_reusable = True

    def __init__(self, *request_ids, is_exhausted=False):
        self._request_ids = request_ids
        self.is_exhausted = is_exhausted
        self.is_closed = False

    def has_carried(self, request_id):
        return request_id in self._request_ids

    def close(self):
        self.is_closed = True


def keep(idle, *connections):
    reader = types.SimpleNamespace(headers={}, may_reuse_connection=True)
    for connection in connections:
        idle.put_back('a', connection, reader)


def test_connection_carries_no_id_twice():
    idle = client_connections.IdleConnections(10.0, 10.0)
    old, middle, new = Connection(), Connection('y'), Connection('x', 'y')
    keep(idle, old, middle, new)
    assert idle.pop('a', 'x') is middle
    assert new.is_closed
    assert idle.pop('a', 'y') is old
    assert idle.pop('a', 'y') is None
    keep(idle, Connection('x'))
    assert idle.pop('a') is not None


def test_client_that_uses_one_id_holds_no_more_connections():
    """Guards against one more idle connection for each call of a client."""
    server = copying_server.CopyingServer(
        lambda _, request_id: copying_server.make_answer('200 OK', request_id)
    )
    connections = target_connections.TargetConnections()
    before = len(os.listdir('/proc/self/fd'))
    with contextlib.closing(server):
        for _ in range(50):
            connections.send(
                server.address,
                'POST',
                '/x',
                [('Lentildeal-Request-Id', 'same')],
                b'',
                read_timeout_s=2.0,
                is_repeatable=True,
                request_id='same',
            ).read()
        # Both ends of a connection are in this process.
        assert len(os.listdir('/proc/self/fd')) - before < 20


def test_ids_of_a_connection_are_bounded():
    idle = client_connections.IdleConnections(10.0, 10.0)
    exhausted = Connection(is_exhausted=True)
    keep(idle, exhausted)
    assert exhausted.is_closed
    assert idle.pop('a', 'x') is None
    connection = client_connections.ClientConnection(None, 'a')
    for number in range(client_connections.MAX_IDENTIFIED_REQUESTS):
        assert not connection.is_exhausted
        connection._carried.add(number)
    assert connection.is_exhausted


def test_item_has_all_its_attempts_at_replicas_that_repeat_answers():
    """Guards against an item that is down after two of three answers of 500.

    It fails once at each of two replicas and then returns to one of them.
    """
    with contextlib.ExitStack() as stack:
        launcher = stack.enter_context(processes.Launcher())
        world = platform_world.World(launcher, daemons=1, engines=0)
        (daemon,) = world.daemons
        counts = collections.Counter()
        engines = [
            stack.enter_context(
                contextlib.closing(Engine(ERROR, ERROR, counts=counts))
            )
            for _ in range(2)
        ]
        for number, engine in enumerate(engines):
            world.write_replica(
                f'e{number}',
                'engines',
                engine.address,
                {platform_world.MODEL: 1},
            )
        for number in range(10):
            item_id = f'item{number}'
            job = platform_world.make_job([item_id])
            assert platform_world.submit(daemon, f'job{number}', job) == 202
            (result,) = world.read_all(daemon, f'job{number}')
            assert result['State'] == 'done'
            assert result['Text'] == platform_world.expected_text(item_id)
            assert counts[item_id] >= 3
