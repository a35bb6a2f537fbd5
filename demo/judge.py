"""Judges promises P1 to P8 from journals; none is the daemons' own.

The judge ``end`` finds trainers that did not get all of their steps.

Every judge returns the broken cases as text, none if the promise held.
"""

from __future__ import annotations

import collections
import typing

from demo import evidence as evidence_module

# Bound of promise P7, in seconds.
LEAVE_BOUND_S = 3.0

Judge = typing.Callable[[evidence_module.Evidence], typing.Iterator[str]]
judges: dict[str, Judge] = {}


def register(promise: str) -> typing.Callable[[Judge], Judge]:
    """Registers the judge of a promise."""

    def add(function: Judge) -> Judge:
        judges[promise] = function
        return function

    return add


def judge(evidence: evidence_module.Evidence) -> dict[str, list[str]]:
    """Broken cases by promise."""
    return {name: list(run(evidence)) for name, run in judges.items()}


@register('P1')
def find_mislabelled(evidence) -> typing.Iterator[str]:
    """Labels differ from the text, or from the engine's own journal."""
    true = collections.defaultdict(list)
    for run in evidence.runs:
        true[run['text']].append(run['segments'])
    for journal in evidence.trainers:
        yield from journal['mislabelled']
        for sample in journal['samples']:
            if sample['labels'] not in true[sample['text']]:
                yield f'{sample["id"]}: no engine run is like it'


@register('P2')
def find_over_stale(evidence) -> typing.Iterator[str]:
    """Samples older than the bound at their place in the stream."""
    for journal in evidence.trainers:
        yield from journal['over_stale']


@register('P3')
def find_not_once(evidence) -> typing.Iterator[str]:
    """Samples that came twice or not at all, or were not asked for."""
    for journal in evidence.trainers:
        for fault in ('duplicates', 'missing', 'foreign'):
            for sample_id in journal[fault]:
                yield f'{sample_id}: {fault}'


@register('P4')
def find_wrong_answers(evidence) -> typing.Iterator[str]:
    """Answers that are partial or belong to another request."""
    finished = {
        (run['prompt'], run['text'])
        for run in evidence.runs
        if run['state'] == 'finished'
    }
    for attempt in evidence.attempts:
        name = f'{attempt.call} at {attempt.address}'
        if attempt.result == 'whole' and attempt.is_completion:
            if (f'{attempt.call}: answer', attempt.answer) not in finished:
                yield f'{name}: no engine finished that text'
        elif attempt.result == 'whole':
            if attempt.answer.get('call') != attempt.call:
                yield f'{name}: answer of {attempt.answer}'
        elif attempt.result == 'cut_off':
            if not _is_ended(evidence, attempt.address):
                yield f'{name}: cut off: {attempt.reason}'


@register('P5')
def find_false_refusals(evidence) -> typing.Iterator[str]:
    """Calls whose attempts were all refused as not run, but ran."""
    ran = _count_runs(evidence)
    results = collections.defaultdict(set)
    for attempt in evidence.attempts:
        results[attempt.call].add(attempt.result)
    for call, seen in results.items():
        if seen <= {'not_run', 'not_sent'} and ran[call]:
            yield f'{call}: ran {ran[call]} times'


@register('P6')
def find_repeated(evidence) -> typing.Iterator[str]:
    """Non-idempotent calls that ran more than once."""
    ran = _count_runs(evidence)
    for call in {a.call: a for a in evidence.attempts}.values():
        service = evidence.services[call.service]
        if not service.get('idempotent', False) and ran[call.call] > 1:
            yield f'{call.call}: ran {ran[call.call]} times'


@register('P7')
def find_late_work(evidence) -> typing.Iterator[str]:
    """Calls that a leaving daemon took after the bound."""
    limit_s = evidence.drained.time_s + LEAVE_BOUND_S
    for attempt in evidence.attempts:
        is_there = attempt.address == evidence.drained.address
        is_taken = attempt.result not in ('not_run', 'not_sent')
        if is_there and is_taken and attempt.started_s > limit_s:
            yield f'{attempt.call}: {attempt.result} after the bound'
    for journal in evidence.trainers:
        for attach in journal['attaches']:
            is_there = attach['address'] == evidence.drained.address
            if is_there and attach['started_s'] > limit_s:
                yield f'{journal["name"]}: step {attach["step"]} opened'


@register('P8')
def find_cut_by_drain(evidence) -> typing.Iterator[str]:
    """Requests in flight that the planned stop has cut off."""
    address = evidence.drained.address
    for attempt in evidence.attempts:
        if attempt.address == address and attempt.result == 'cut_off':
            yield f'{attempt.call}: {attempt.reason}'
    for journal in evidence.trainers:
        for broken in journal['breaks']:
            if broken['address'] == address and broken['is_cut']:
                yield f'{journal["name"]}: {broken["reason"]}'
    if evidence.drained.exit_status != 0:
        status = evidence.drained.exit_status
        yield f'{evidence.drained.instance}: exit status {status}'


@register('end')
def find_unfinished(evidence) -> typing.Iterator[str]:
    """Trainers that did not get all of their steps in time."""
    for journal in evidence.trainers:
        if journal['state'] != 'done':
            steps = len(journal['steps'])
            yield f'{journal["name"]}: {journal["state"]}, {steps} steps'


def _is_ended(evidence, address: str) -> bool:
    """Whether P8 judges it, or the daemon was killed."""
    return address in (evidence.killed.address, evidence.drained.address)


def _count_runs(evidence) -> collections.Counter:
    """True runs by call id, at engines and plain services."""
    ran: collections.Counter = collections.Counter()
    for call in evidence.calls:
        ran[call['call']] += 1
    for run in evidence.runs:
        ran[run['prompt'].removesuffix(': answer')] += 1
    return ran
