"""Planned stop of a daemon of a platform deployment, under load."""

import concurrent.futures
import http.client
import signal
import threading
import time

import pytest

from tests.functional import test_platform
from tests.lib import platform_world
from tests.lib import processes

CLIENTS = 8
ITEMS = test_platform.ITEMS


@pytest.fixture
def launcher():
    with processes.Launcher() as result:
        yield result


class Client(threading.Thread):
    """Sends calls on kept connections until the daemon refuses new ones.

    Attributes:
        statuses: Statuses of complete responses.
        error: Failure of a request that was sent, None without one.
    """

    def __init__(self, daemon, number):
        super().__init__(daemon=True)
        self._daemon = daemon
        self._number = number
        self.statuses = []
        self.error = None

    def run(self):
        """Opens a new connection only if the daemon closed the last one."""
        connection = None
        while True:
            if connection is None:
                connection = http.client.HTTPConnection(
                    '127.0.0.1', self._daemon.port, timeout=10
                )
                try:
                    connection.connect()
                except OSError:
                    # The daemon no longer listens.
                    return
            try:
                connection.request(
                    'POST',
                    f'/desk/{len(self.statuses)}',
                    b'x' * 1000,
                    {
                        'Host': platform_world.HOST,
                        'Lentildeal-Request-Id': f'{self._number}-'
                        f'{len(self.statuses)}',
                    },
                )
                response = connection.getresponse()
                response.read()
            except (http.client.HTTPException, OSError) as error:
                self.error = error
                return
            self.statuses.append(response.status)
            if response.will_close:
                connection = None


def submit_jobs(daemon, answers, stopped):
    """Submits jobs one after the other until the daemon is gone."""
    number = 0
    while not stopped.is_set():
        job = platform_world.make_scored_job([f'j{number}'])
        try:
            status = platform_world.submit(daemon, f'job{number}', job)
        except OSError as error:
            if isinstance(
                getattr(error, 'reason', None), ConnectionRefusedError
            ):
                # The daemon no longer listens.
                return
            status = error
        answers[f'job{number}'] = status
        number += 1


def test_no_call_or_job_is_cut_off_by_a_planned_stop(launcher):
    """Guards against requests that were accepted and got no answer.

    Calls on kept connections, jobs that are being accepted and scoring
    requests are in progress when the daemon is told to stop.
    """
    world = platform_world.World(launcher)
    leaving = test_platform.find_lease_holder(world)
    other = next(d for d in world.daemons if d is not leaving)
    world.plain.set_faults(delay_ms=30)
    clients = [Client(leaving, number) for number in range(CLIENTS)]
    answers, stopped = {}, threading.Event()
    submitter = threading.Thread(
        target=submit_jobs, args=(leaving, answers, stopped), daemon=True
    )
    for thread in (*clients, submitter):
        thread.start()
    processes.wait_for(
        lambda: all(len(c.statuses) > 3 for c in clients) and len(answers) > 3,
        'load runs',
    )
    leaving.signal(signal.SIGTERM)
    assert leaving.wait() == 0
    stopped.set()
    for thread in (*clients, submitter):
        thread.join(processes.WAIT_S)
    assert [client.error for client in clients] == [None] * CLIENTS
    assert {s for c in clients for s in c.statuses} <= {200, 503}
    unanswered = {j: a for j, a in answers.items() if not isinstance(a, int)}
    assert not unanswered
    assert set(answers.values()) <= {202, 503}
    for job_id, status in answers.items():
        if status == 202:
            (result,) = world.read_all(other, job_id)
            assert result['State'] == 'done'
            assert result['Score']


def test_holder_that_was_paused_does_not_act_after_its_successor(launcher):
    """Guards against orders of two holders around a hand-over.

    The holder is suspended for longer than its lease while a version is
    announced, and continues when another daemon has ordered it.
    """
    world = platform_world.World(launcher, engines=2)
    lease = 'orders/engines'
    holder = test_platform.find_lease_holder(world, lease)
    holder.signal(signal.SIGSTOP)
    world.announce_version(2)

    def read_orders():
        return [
            order
            for engine in world.engines
            for order in engine.read_journal()['orders']
        ]

    processes.wait_for(read_orders, 'the successor orders')
    holder.signal(signal.SIGCONT)
    world.announce_version(3)
    processes.wait_for(
        lambda: any(order['Version'] == 3 for order in read_orders()),
        'the next version is ordered',
    )
    time.sleep(1.0)
    orders = read_orders()
    assert {order['Holder'] for order in orders} != {holder.name}
    assert holder.name not in {order['Holder'] for order in orders}
    assert holder.exit_status is None


@pytest.mark.parametrize('path', ['/long/', '/long-once/'])
def test_call_that_a_planned_stop_would_cut_is_refused_at_once(launcher, path):
    """Guards against calls taken late in a stop and cut at its end.

    The replica needs longer for them than the daemon has left.
    """
    routes = [
        {
            **platform_world.make_route(name, prefix, kind, 'desk'),
            'TimeoutMs': 9000,
        }
        for name, prefix, kind in (
            ('long', '/long/', 'safe'),
            ('long-once', '/long-once/', 'unsafe'),
        )
    ]
    world = platform_world.World(launcher, daemons=2)
    world.write_text(2, routes)
    leaving, _ = world.daemons
    processes.wait_for(
        lambda: call(leaving, path, 'first') == 200, 'the route is known'
    )
    leaving.signal(signal.SIGTERM)
    processes.wait_for(
        lambda: leaving.read_events('stopping'), 'the stop has begun'
    )
    world.plain.set_faults(delay_ms=1000)
    # The leave time of half a second has not passed.
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        short = pool.submit(call, leaving, '/desk/', 'short')
        started_s = time.monotonic()
        assert call(leaving, path, 'long') == 503
        assert time.monotonic() - started_s < 0.5
        assert short.result() == 200
    assert leaving.wait() == 0
    ran = {run['id'] for run in world.plain.read_journal()['runs']}
    assert {'first', 'short'} <= ran
    assert 'long' not in ran


def call(daemon, path, request_id):
    """Sends a call with a long deadline and returns its status."""
    return daemon.call(
        'POST',
        path,
        {},
        Host=platform_world.HOST,
        Lentildeal_Request_Id=request_id,
        Lentildeal_Deadline_Ms='9000',
    )[0]
