"""Prints the results of a run."""

from __future__ import annotations

import collections

from demo import journals as journals_module

MAX_PRINTED_VIOLATIONS = 5


def print_report(
    journals: journals_module.Journals, violations: dict[str, list[str]]
) -> None:
    """Prints tables of trainers, services and promises."""
    _print_trainers(journals)
    _print_services(journals)
    _print_promises(violations)


def _print_trainers(journals: journals_module.Journals) -> None:
    row = '{:<18} {:>5} {:>6} {:>9} {:>5} {:>6} {:>6} {:>6} {:>6} {:>8}'
    print(
        row.format(
            'trainer',
            'steps',
            'asked',
            'delivered',
            'twice',
            'label',
            'stale',
            'mixed',
            'idle',
            'attached',
        )
    )
    for journal in journals.trainers:
        print(
            row.format(
                journal['name'],
                journal['steps_trained'],
                journal['asked'],
                journal['delivered'],
                len(journal['duplicates']),
                len(journal['mislabelled']),
                len(journal['over_stale']),
                journal['mixed_versions'],
                f'{journal["idle_share"]:.0%}',
                len(journal['attaches']),
            )
        )
    print(
        '  label: mislabelled; stale: over the bound; mixed: samples of'
        ' several versions'
    )


def _print_services(journals: journals_module.Journals) -> None:
    row = '{:<18} {:>9} {:>5} {:>8} {:>12} {:>7} {:>8} {:>8}'
    print(
        row.format(
            'service',
            'answered',
            'late',
            'refused',
            'may_have_run',
            'failed',
            'cut off',
            'not sent',
        )
    )
    for name, service in journals.services.items():
        attempts = [a for a in journals.attempts if a.service == name]
        counts = collections.Counter(a.result for a in attempts)
        deadline_s = service.get('deadline_ms', 2000) / 1000
        late = [
            attempt
            for attempt in attempts
            if attempt.result == 'whole' and attempt.seconds > deadline_s
        ]
        print(
            row.format(
                name,
                counts['whole'],
                len(late),
                counts['not_run'],
                counts['may_have_run'],
                counts['ran_and_failed'],
                counts['cut_off'],
                counts['not_sent'],
            )
        )
    cut = [
        a
        for a in journals.attempts
        if a.result == 'cut_off' and a.address == journals.killed.address
    ]
    print(f'  cut off by the daemon that was killed: {len(cut)}')


def _print_promises(violations: dict[str, list[str]]) -> None:
    for promise, cases in violations.items():
        print(f'{promise}: {"held" if not cases else len(cases)}', end='')
        print('' if not cases else ' broken')
        for case in cases[:MAX_PRINTED_VIOLATIONS]:
            print(f'    {case}')
