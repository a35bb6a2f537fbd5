"""Publishing by several instances that share one log in memory."""

import contextlib
import functools
import random

import eventlet
import pytest

from lentildeal._internal.adapters import base
from lentildeal._internal.config import publish
from lentildeal._internal.config import reader
from lentildeal._internal.config import records
from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.models import members
from tests.lib import config_texts
from tests.lib import fake_kernel
from tests.lib import fake_log

SEED = 20260412
RACES = 100
WAIT_S = 30
F = fake_log.AppendFault
MIXED_FAULTS = (F.NONE, F.NONE, F.LOST_AFTER_EFFECT, F.LOST_WITHOUT_EFFECT)


@pytest.fixture
def instances(monkeypatch):
    """Makes instances that share one log and stops them at the end."""
    log = fake_log.MemoryLog(SEED)
    monkeypatch.setattr(base, 'make_log_service', lambda settings: log)
    monkeypatch.setattr(publish, 'APPEND_RETRY_S', 0.02)
    with contextlib.ExitStack() as stack:

        def add(name, **settings):
            kernel = fake_kernel.FakeKernel(
                config_texts.make_settings(name, **settings)
            )
            kernel.plugins['config'] = reader.ConfigReader(kernel)
            kernel.plugins['publish'] = publish.ConfigPublisher(kernel)
            for plugin in ('config', 'publish'):
                kernel.plugins[plugin].start()
            stack.callback(kernel.stop)
            return kernel

        yield log, add


def wait_for(condition):
    """Waits until a condition holds, ``WAIT_S`` at most."""
    with eventlet.Timeout(WAIT_S):
        while not condition():
            eventlet.sleep(0.002)


def body(name, revision, **changes):
    """Makes the body of a publish request."""
    text = config_texts.dump_text(federation=name)
    edit = {'base': revision, 'text': text, 'author': name, 'edit_id': name}
    return {**edit, 'is_repeated': False, **changes}


def member(name, revision=-1):
    """Makes a live member."""
    return members.Member(
        ids.InstanceId(name),
        ids.Incarnation(1),
        ids.FailureDomain('a'),
        '127.0.0.1:1',
        '127.0.0.1:2',
        revision=ids.Revision(revision),
    )


def test_races_with_lost_responses_have_one_winner(instances):
    """Two concurrent edits are both reported accepted, or the wrong one."""
    log, add = instances
    kernels = [add(f'a{n}') for n in range(3)]
    log.faults = MIXED_FAULTS
    generator = random.Random(SEED)
    revision, unknown = -1, 0
    for race in range(RACES):
        count = generator.randint(2, 4)
        names = [f'race{race}-{n}' for n in range(count)]
        threads = [
            eventlet.spawn(
                generator.choice(kernels).request,
                'POST',
                '/v1/config',
                body(name, revision),
            )
            for name in names
        ]
        with eventlet.Timeout(WAIT_S):
            responses = [thread.wait()[1] for thread in threads]
        wait_for(lambda: all(is_caught_up(k, log) for k in kernels))
        (winner,) = find_accepted(kernels, names, revision)
        for name, response in zip(names, responses):
            assert response['verdict'] != 'invalid'
            unknown += response['verdict'] == 'unknown'
            if response['verdict'] != 'unknown':
                assert (response['verdict'] == 'accepted') == (name == winner)
        new = {kernel.plugin('config').revision for kernel in kernels}
        assert len(new) == 1 and new > {revision} or min(new) > revision
        (revision,) = new
    assert unknown == 0


def is_caught_up(kernel, log):
    """Whether an instance has applied the complete log."""
    return kernel.plugin('config').applied_offset == len(log.bodies) - 1


def find_accepted(kernels, names, revision):
    """Returns the accepted edits of a race; all instances must agree."""
    found = set()
    for kernel in kernels:
        state_machine = kernel.plugin('config').state_machine
        accepted = records.EditOutcome.ACCEPTED
        found.add(
            tuple(
                n for n in names if state_machine.find_outcome(n) is accepted
            )
        )
    (accepted,) = found
    return accepted


def test_lost_response_of_an_unavailable_log_is_unknown(
    instances, monkeypatch
):
    """An outcome is reported before any instance can know it."""
    monkeypatch.setattr(publish, 'OUTCOME_WAIT_S', 0.2)
    log, add = instances
    kernel = add('a1')
    wait_for(lambda: kernel.plugin('config').is_log_reachable)
    log.faults = (F.LOST_WITHOUT_EFFECT,)
    status, response = kernel.request('POST', '/v1/config', body('x', -1))
    assert (status, response['verdict']) == (202, 'unknown')
    log.bodies.append(records.Edit('x', -1, 'x', 'bad').to_body())
    log.bodies.append(
        records.Edit('y', -1, 'y', config_texts.dump_text()).to_body()
    )
    wait_for(lambda: kernel.plugin('config').revision == 1)
    _, response = kernel.request('GET', '/v1/config/edits/y')
    assert (response['verdict'], response['revision']) == ('accepted', 1)


def test_refused_append_publishes_nothing(instances):
    """A definite refusal during a log outage is reported as unknown."""
    log, add = instances
    kernel = add('a1')
    log.is_down = True
    with pytest.raises(exceptions.NotRunError) as info:
        kernel.request('POST', '/v1/config', body('x', -1))
    assert info.value.cause == 'log_down'
    assert log.bodies == []


def test_repeated_request_of_an_accepted_edit_is_accepted(instances):
    """A retried request is reported as a conflict with its own edit."""
    log, add = instances
    kernels = [add('a1'), add('a2')]
    for kernel in kernels:
        # An instance that has not read the first copy yet appends a second
        # one, which the state machine ignores.
        wait_for(functools.partial(is_caught_up, kernel, log))
        request = body('x', -1, is_repeated=kernel is kernels[1])
        _, response = kernel.request('POST', '/v1/config', request)
        assert (response['verdict'], response['revision']) == ('accepted', 0)
    assert len(log.bodies) == 1


def test_stale_edit_conflicts_without_an_append(instances):
    """An edit that is known to conflict is appended to the log."""
    log, add = instances
    kernel = add('a1')
    kernel.request('POST', '/v1/config', body('x', -1))
    status, response = kernel.request('POST', '/v1/config', body('y', -1))
    assert (status, response['verdict']) == (409, 'conflict')
    assert (response['revision'], len(log.bodies)) == (0, 1)


def test_invalid_text_is_refused_with_all_faults(instances):
    """An invalid text is appended, or only one of its faults is reported."""
    log, add = instances
    text = config_texts.dump_text(clubs={}, extra=1)
    status, response = add('a1').request(
        'POST', '/v1/config', body('x', -1, text=text)
    )
    assert (status, log.bodies) == (422, [])
    paths = {fault['path'] for fault in response['faults']}
    assert {'extra', 'services.scoring.club'} < paths


def test_joining_instance_takes_the_text_from_peers(instances):
    """A daemon that starts during a log outage stays without a text."""
    log, add = instances
    old, behind = add('a1'), add('a2')
    old.request('POST', '/v1/config', body('x', -1))
    behind.stop()
    log.is_down = True
    new = add('a3')
    new.peers.others = {'a1': old, 'a2': behind}
    new.plugin('membership').known = [member('a2'), member('a1', 0)]
    config = new.plugin('config')
    seen = []
    config.on_change(lambda: seen.append(config.revision))
    wait_for(lambda: config.revision == 0)
    assert (seen, config.text.federation) == ([0], 'x')
    assert (config.applied_offset, config.is_log_reachable) == (0, False)


def test_snapshot_survives_truncation(instances):
    """New daemons get no text after the log has dropped the edit in effect."""
    log, add = instances
    timing = {'log_poll_ms': 10}
    kernel = add('a1', timing=timing, snapshots={'records': 3})
    kernel.request('POST', '/v1/config', body('x', -1))
    log.bodies.extend({} for _ in range(4))
    wait_for(lambda: log.bodies[-1].get('kind') == 'snapshot')
    log.oldest = 4
    config = add('a2').plugin('config')
    wait_for(lambda: config.revision == 0)
    assert not config.has_gap
