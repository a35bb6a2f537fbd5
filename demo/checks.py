"""Checks promises P1 to P8 against the journals of the stand-ins.

No check relies on records of the daemons themselves. The check ``end`` finds
trainers that did not get all of their steps. Each check yields a text for
every violation, and none if the promise held.
"""

from __future__ import annotations

import collections
import typing

from demo import journals as journals_module

# Promise P7: a leaving daemon accepts no work after this time.
DRAIN_BOUND_S = 3.0

Check = typing.Callable[[journals_module.Journals], typing.Iterator[str]]
registered_checks: dict[str, Check] = {}


def register(promise: str) -> typing.Callable[[Check], Check]:
    """Registers the check of a promise."""

    def add(function: Check) -> Check:
        registered_checks[promise] = function
        return function

    return add


def run_checks(journals: journals_module.Journals) -> dict[str, list[str]]:
    """Runs all checks and returns the violations by promise."""
    return {
        name: list(check(journals))
        for name, check in registered_checks.items()
    }


@register('P1')
def find_mislabelled(journals) -> typing.Iterator[str]:
    """Labels differ from the text, or from the engine's own journal."""
    segments_by_text = collections.defaultdict(list)
    for run in journals.runs:
        segments_by_text[run['text']].append(run['segments'])
    for journal in journals.trainers:
        yield from journal['mislabelled']
        for sample in journal['samples']:
            if sample['labels'] not in segments_by_text[sample['text']]:
                yield f'{sample["id"]}: no engine run matches'


@register('P2')
def find_over_stale(journals) -> typing.Iterator[str]:
    """Samples older than the bound at their place in the stream."""
    for journal in journals.trainers:
        yield from journal['over_stale']


@register('P3')
def find_not_delivered_once(journals) -> typing.Iterator[str]:
    """Samples that came twice or not at all, or were not asked for."""
    for journal in journals.trainers:
        for fault in ('duplicates', 'missing', 'foreign'):
            for sample_id in journal[fault]:
                yield f'{sample_id}: {fault}'


@register('P4')
def find_wrong_responses(journals) -> typing.Iterator[str]:
    """Responses that are partial or belong to another request."""
    finished = {
        (run['prompt'], run['text'])
        for run in journals.runs
        if run['state'] == 'finished'
    }
    for attempt in journals.attempts:
        name = f'{attempt.call} at {attempt.address}'
        if attempt.result == 'whole' and attempt.is_completion:
            if (f'{attempt.call}: answer', attempt.answer) not in finished:
                yield f'{name}: no engine finished that text'
        elif attempt.result == 'whole':
            if attempt.answer.get('call') != attempt.call:
                yield f'{name}: answer of {attempt.answer}'
        elif attempt.result == 'cut_off':
            if not _was_stopped(journals, attempt.address):
                yield f'{name}: cut off: {attempt.reason}'


@register('P5')
def find_false_refusals(journals) -> typing.Iterator[str]:
    """Calls whose attempts were all refused as not run, but ran."""
    ran = _count_runs(journals)
    results = collections.defaultdict(set)
    for attempt in journals.attempts:
        results[attempt.call].add(attempt.result)
    for call, seen in results.items():
        if seen <= {'not_run', 'not_sent'} and ran[call]:
            yield f'{call}: ran {ran[call]} times'


@register('P6')
def find_repeated(journals) -> typing.Iterator[str]:
    """Non-idempotent calls that ran more than once."""
    ran = _count_runs(journals)
    for call in {a.call: a for a in journals.attempts}.values():
        service = journals.services[call.service]
        if not service.get('idempotent', False) and ran[call.call] > 1:
            yield f'{call.call}: ran {ran[call.call]} times'


@register('P7')
def find_late_work(journals) -> typing.Iterator[str]:
    """Calls that a draining daemon accepted after the bound."""
    limit_s = journals.drained.time_s + DRAIN_BOUND_S
    for attempt in journals.attempts:
        is_at_drained = attempt.address == journals.drained.address
        is_accepted = attempt.result not in ('not_run', 'not_sent')
        if is_at_drained and is_accepted and attempt.started_s > limit_s:
            yield f'{attempt.call}: {attempt.result} after the bound'
    for journal in journals.trainers:
        for attach in journal['attaches']:
            is_at_drained = attach['address'] == journals.drained.address
            if is_at_drained and attach['started_s'] > limit_s:
                yield f'{journal["name"]}: step {attach["step"]} opened'


@register('P8')
def find_cut_by_drain(journals) -> typing.Iterator[str]:
    """Requests in flight that the planned stop has cut off."""
    address = journals.drained.address
    for attempt in journals.attempts:
        if attempt.address == address and attempt.result == 'cut_off':
            yield f'{attempt.call}: {attempt.reason}'
    for journal in journals.trainers:
        for interruption in journal['breaks']:
            if interruption['address'] == address and interruption['is_cut']:
                yield f'{journal["name"]}: {interruption["reason"]}'
    if journals.drained.exit_status != 0:
        status = journals.drained.exit_status
        yield f'{journals.drained.instance}: exit status {status}'


@register('end')
def find_unfinished(journals) -> typing.Iterator[str]:
    """Trainers that did not get all of their steps in time."""
    for journal in journals.trainers:
        if journal['state'] != 'done':
            steps = len(journal['steps'])
            yield f'{journal["name"]}: {journal["state"]}, {steps} steps'


def _was_stopped(journals, address: str) -> bool:
    """Whether the daemon was drained, which P8 covers, or killed."""
    return address in (journals.killed.address, journals.drained.address)


def _count_runs(journals) -> collections.Counter:
    """Counts the runs at engines and plain services by call id."""
    ran: collections.Counter = collections.Counter()
    for call in journals.calls:
        ran[call['call']] += 1
    for run in journals.runs:
        ran[run['prompt'].removesuffix(': answer')] += 1
    return ran
