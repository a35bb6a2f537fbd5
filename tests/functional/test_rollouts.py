"""Rollouts under failures, checked against the journals of the stand-ins."""

import http.client
import itertools
import json
import signal
import time
import urllib.request

import pytest

from lentildeal._internal.models import outcomes
from tests.lib import federation
from tests.lib import processes
from tests.lib import rollouts

# Generations take about a second, so that failures hit them midway.
SLOW = ('--median-tokens', 80, '--sigma', 0.7, '--base-ms', 10)


def test_steps_with_versions_in_the_middle():
    """Guards against wrong labels or staleness after swaps within samples."""
    with federation.Federation() as fed:
        rollouts.start_pool(fed, *SLOW, is_scored=True, staleness_bound=1)
        fed.add_daemons({'a': 2, 'b': 2})
        trainer = fed.start_trainer(
            't', 'm', '--publish', 'every', '--publish-s', 0.6
        )
        journal = rollouts.wait_until_done(trainer)
        rollouts.assert_promises(journal)
        assert journal['mixed_versions'] > 0
        assert all(
            sample['score'] is not None for sample in journal['samples']
        )


def test_bound_of_zero_versions():
    """With bound 0, each sample comes from the current version only."""
    with federation.Federation() as fed:
        rollouts.start_pool(fed, *SLOW, staleness_bound=0)
        fed.add_daemons({'a': 2, 'b': 1})
        trainer = fed.start_trainer(
            't', 'm', '--publish', 'middle', '--bound', 0
        )
        journal = rollouts.wait_until_done(trainer)
        rollouts.assert_promises(journal)
        assert journal['most_staleness'] == 0


def test_coordinator_killed_in_step():
    """Guards against a second delivery of unacknowledged samples."""
    with federation.Federation() as fed:
        rollouts.start_pool(fed, *SLOW)
        daemons = fed.add_daemons({'a': 3, 'b': 2})
        trainer = fed.start_trainer('t', 'm', '--groups', 8)
        for min_held in (1, 12):
            processes.wait_for(
                lambda: trainer.call('GET', '/state')[1]['held'] >= min_held,
                'the trainer holds a part of the step',
            )
            processes.wait_for(
                lambda: rollouts.find_coordinator(daemons), 'a step is open'
            ).kill()
        journal = rollouts.wait_until_done(trainer)
        rollouts.assert_promises(journal)
        assert journal['breaks']


def test_planned_stop_cuts_no_stream():
    """A leaving daemon finishes its step and its samples."""
    with federation.Federation() as fed:
        rollouts.start_pool(fed, *SLOW)
        daemons = fed.add_daemons({'a': 2, 'b': 2}, timing={'leave_ms': 500})
        trainer = fed.start_trainer('t', 'm', '--groups', 8, '--steps', 2)
        coordinator = processes.wait_for(
            lambda: rollouts.find_coordinator(daemons), 'a step is open'
        )
        coordinator.terminate()
        assert coordinator.wait() == 0
        journal = rollouts.wait_until_done(trainer)
        rollouts.assert_promises(journal)
        # The daemon may still refuse step 2 while it finishes step 1.
        for refusal in journal['breaks']:
            assert not refusal['is_cut'], refusal
            assert refusal['address'] == coordinator.address, refusal
            assert '"outcome": "not_run"' in refusal['reason']
            assert '"cause": "leaving"' in refusal['reason']


def test_gone_trainer_frees_the_engines():
    """Guards against generations for a trainer that was killed."""
    with federation.Federation() as fed:
        rollouts.start_pool(fed, '--median-tokens', 4000)
        daemons = fed.add_daemons({'a': 2, 'b': 1})
        trainer = fed.start_trainer('t', 'm', '--max-tokens', 4000)
        processes.wait_for(
            lambda: rollouts.find_coordinator(daemons), 'a step is open'
        )
        trainer.kill()

        def is_idle(daemon):
            _, status = daemon.call('GET', '/v1/status')
            return not status['steps'] and not status['attempts_running']

        processes.wait_for(
            lambda: all(map(is_idle, daemons)), 'no daemon works for it'
        )


def test_workers_killed_in_step():
    """Samples in flight at a killed owner are generated elsewhere."""
    with federation.Federation() as fed:
        rollouts.start_pool(fed, *SLOW)
        daemons = fed.add_daemons({'a': 3, 'b': 3})
        trainer = fed.start_trainer('t', 'm', '--groups', 8)
        coordinator = processes.wait_for(
            lambda: rollouts.find_coordinator(daemons), 'a step is open'
        )
        workers = [daemon for daemon in daemons if daemon is not coordinator]
        for worker in workers[:3]:
            worker.kill()
        rollouts.assert_promises(rollouts.wait_until_done(trainer))


def test_third_of_daemons_killed_repeatedly():
    """Repeated loss of coordinators and owners breaks no promise."""
    with federation.Federation() as fed:
        rollouts.start_pool(fed, *SLOW, is_scored=True)
        daemons = fed.add_daemons({'a': 3, 'b': 3})
        trainer = fed.start_trainer(
            't', 'm', '--steps', 4, '--groups', 8, '--publish', 'middle'
        )
        turns = itertools.cycle([(0, 3), (1, 4), (2, 5)])
        for turn, _ in zip(turns, range(6)):
            time.sleep(1.0)
            for number in turn:
                daemons[number].kill()
            time.sleep(0.5)
            for number in turn:
                daemons[number] = rollouts.restart(fed, daemons[number])
        journal = rollouts.wait_until_done(trainer, 90.0)
        rollouts.assert_promises(journal)
        assert journal['breaks']


def test_paused_owner_wakes_with_old_results():
    """Guards against counting a sample twice that was requeued in a pause."""
    with federation.Federation() as fed:
        rollouts.start_pool(fed, *SLOW, counts={'a': 2})
        daemons = fed.add_daemons({'a': 3})
        trainer = fed.start_trainer('t', 'm', '--groups', 12, '--steps', 2)
        coordinator = processes.wait_for(
            lambda: rollouts.find_coordinator(daemons), 'a step is open'
        )
        paused = [daemon for daemon in daemons if daemon is not coordinator]
        for daemon in paused:
            daemon.signal(signal.SIGSTOP)
        time.sleep(7.0)
        for daemon in paused:
            daemon.signal(signal.SIGCONT)
        rollouts.assert_promises(rollouts.wait_until_done(trainer))


def test_truncated_and_refused_generations():
    """Only streams with an end marker count as samples."""
    with federation.Federation() as fed:
        engines = rollouts.start_pool(fed, *SLOW)
        engines[0].set_faults(truncate=0.5)
        engines[1].set_faults(refuse=0.5)
        engines[2].set_faults(end_early=0.5)
        fed.add_daemons({'a': 2, 'b': 1})
        trainer = fed.start_trainer('t', 'm')
        journal = rollouts.wait_until_done(trainer)
        rollouts.assert_promises(journal)
        texts = {sample['text'] for sample in journal['samples']}
        assert texts <= rollouts.read_finished_texts(engines)


def test_slow_replica_is_hedged():
    """Guards against a slow replica that delays the end of a step."""
    with federation.Federation() as fed:
        engines = rollouts.start_pool(fed, '--median-tokens', 60)
        fed.add_daemons({'a': 2, 'b': 2})
        trainer = fed.start_trainer('t', 'm', '--steps', 1)
        # A replica that was not reachable when the step began may get none.
        slow = processes.wait_for(
            lambda: next((e for e in engines if e.read_journal()['runs']), 0),
            'a sample runs',
        )
        slow.set_faults(slow_factor=50.0)
        rollouts.assert_promises(rollouts.wait_until_done(trainer))
        runs = [run for e in engines for run in e.read_journal()['runs']]
        hedged = [run for run in runs if run['state'] == 'cancelled']
        assert hedged and len(runs) > 16


def test_swap_that_fails_partway_is_ordered_again():
    """Guards against a replica left on its old version by a failed load."""
    with federation.Federation() as fed:
        engines = rollouts.start_pool(fed)
        for engine in engines:
            engine.set_faults(fail_loads=2)
        fed.add_daemons({'a': 2, 'b': 2})
        rollouts.publish_version(fed, 1)
        processes.wait_for(
            lambda: rollouts.read_versions(engines) == {1},
            'all engines serve version 1',
        )
        results = [s['result'] for s in engines[0].read_journal()['swaps']]
        assert results == ['failed: partway'] * 2 + ['done']


def test_scoring_outage_holds_samples_with_a_cause():
    """Samples wait for their scores, and the status reports the cause."""
    with federation.Federation() as fed:
        rollouts.start_pool(fed, is_scored=True)
        daemons = fed.add_daemons({'a': 2, 'b': 1})
        scoring = next(p for p in fed._processes if 'scoring' in p.name)
        scoring.signal(signal.SIGSTOP)
        trainer = fed.start_trainer('t', 'm', '--steps', 1)

        def read_cause():
            coordinator = rollouts.find_coordinator(daemons)
            if coordinator is None:
                return None
            _, status = coordinator.call('GET', '/v1/status')
            return status['steps'] and status['steps'][0]['cause']

        processes.wait_for(
            lambda: read_cause() == outcomes.Cause.SCORING.value,
            'the step waits for scores',
        )
        scoring.signal(signal.SIGCONT)
        rollouts.assert_promises(rollouts.wait_until_done(trainer))


def test_trainer_restarts_from_checkpoint():
    """Samples missing in the received set are delivered again."""
    with federation.Federation() as fed:
        rollouts.start_pool(fed)
        first, second = fed.add_daemons({'a': 1, 'b': 1})
        body = {
            'version': 0,
            'prompts': [{'group': 'g', 'prompt': 'p'}],
            'group_size': 4,
            'max_tokens': 50,
        }
        all_ids = attach(first, {**body, 'attachment': 1, 'received': []})
        held_ids = all_ids[:1]
        redelivered_ids = attach(
            second, {**body, 'attachment': 2, 'received': held_ids}
        )
        assert sorted(held_ids + redelivered_ids) == sorted(all_ids)
        stale_attachment = {**body, 'attachment': 2, 'received': []}
        status, problem = second.call(
            'POST', '/v1/trainers/t/steps/1', stale_attachment
        )
        assert status == 400 and 'above 2' in problem['remedy']


def test_older_attachment_is_closed_without_end():
    """Guards against two daemons that deliver to the same trainer."""
    with federation.Federation() as fed:
        rollouts.start_pool(fed, '--median-tokens', 400, '--base-ms', 20)
        first, second = fed.add_daemons({'a': 1, 'b': 1})
        body = {
            'version': 0,
            'prompts': [{'group': 'g', 'prompt': 'p'}],
            'max_tokens': 400,
            'group_size': 1,
        }
        old = open_stream(first, {**body, 'attachment': 1})
        new = open_stream(second, {**body, 'attachment': 2})
        with pytest.raises(http.client.IncompleteRead):
            old.read()
        assert read_events(new)[-1] == {'event': 'end', 'delivered': 1}


def open_stream(daemon, body):
    request = urllib.request.Request(
        f'{daemon.url}/v1/trainers/t/steps/1',
        json.dumps(body).encode(),
        method='POST',
    )
    return urllib.request.urlopen(request, timeout=30.0)


def read_events(response):
    with response:
        return [json.loads(line) for line in response]


def attach(daemon, body):
    """Attaches, reads to the end and returns the ids of the samples."""
    events = read_events(open_stream(daemon, body))
    assert events[-1]['event'] == 'end'
    return [e['sample']['id'] for e in events if e['event'] == 'sample']
