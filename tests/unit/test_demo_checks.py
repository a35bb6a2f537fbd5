"""Checks of the demonstration: each finds a violation of its promise."""

import dataclasses

import pytest

from demo import callers
from demo import checks
from demo import journals

KILLED = journals.DaemonStop('127.0.0.1:1', 'a1', 10.0, -9)
DRAINED = journals.DaemonStop('127.0.0.1:2', 'b1', 20.0, 0)
ALIVE = '127.0.0.1:3'


def make_attempt(**changes):
    """Makes an attempt that a plain service has answered."""
    values = {
        'call': 'c-0',
        'service': 's',
        'is_completion': False,
        'key': None,
        'started_s': 5.0,
        'address': ALIVE,
        'result': 'whole',
        'answer': {'call': 'c-0'},
    }
    return callers.Attempt(**{**values, **changes})


def make_journal(**changes):
    """Makes the journal of a trainer with one sample."""
    sample = {'id': 't/1/g/0', 'text': 'v1-a ', 'labels': [[1, 1]]}
    journal = {
        'name': 't',
        'state': 'done',
        'breaks': [],
        'attaches': [],
        'steps': [],
        'samples': [sample],
    }
    names = ('mislabelled', 'over_stale', 'duplicates', 'missing', 'foreign')
    return {**journal, **dict.fromkeys(names, []), **changes}


GOOD = journals.Journals(
    services={'s': {'idempotent': False}},
    trainers=[make_journal()],
    runs=[
        {
            'prompt': 'p',
            'text': 'v1-a ',
            'segments': [[1, 1]],
            'state': 'finished',
        }
    ],
    calls=[{'call': 'c-0', 'key': None}],
    attempts=[make_attempt()],
    killed=KILLED,
    drained=DRAINED,
)
CUT_OFF = {'result': 'cut_off', 'answer': None}
COMPLETION = {'is_completion': True, 'answer': 'v1-a '}


@pytest.mark.parametrize(
    ('broken', 'changes'),
    [
        (None, {}),
        (
            None,
            {'attempts': [make_attempt(address=KILLED.address, **CUT_OFF)]},
        ),
        ('P1', {'runs': []}),
        ('P1', {'trainers': [make_journal(mislabelled=['x'])]}),
        ('P2', {'trainers': [make_journal(over_stale=['x'])]}),
        ('P3', {'trainers': [make_journal(duplicates=['x'])]}),
        ('P3', {'trainers': [make_journal(missing=['x'])]}),
        ('end', {'trainers': [make_journal(state='running')]}),
        ('P4', {'attempts': [make_attempt(answer={'call': 'c-1'})]}),
        ('P4', {'attempts': [make_attempt(**CUT_OFF)]}),
        ('P4', {'attempts': [make_attempt(**COMPLETION)]}),
        ('P5', {'attempts': [make_attempt(result='not_run')]}),
        ('P6', {'calls': GOOD.calls * 2}),
        (
            'P7',
            {
                'attempts': [
                    make_attempt(address=DRAINED.address, started_s=23.5)
                ]
            },
        ),
        (
            'P7',
            {
                'trainers': [
                    make_journal(
                        attaches=[
                            {
                                'step': 2,
                                'address': DRAINED.address,
                                'started_s': 23.5,
                            }
                        ]
                    )
                ]
            },
        ),
        (
            'P8',
            {'attempts': [make_attempt(address=DRAINED.address, **CUT_OFF)]},
        ),
        ('P8', {'drained': dataclasses.replace(DRAINED, exit_status=1)}),
        (
            'P8',
            {
                'trainers': [
                    make_journal(
                        breaks=[
                            {
                                'address': DRAINED.address,
                                'is_cut': True,
                                'reason': 'x',
                            }
                        ]
                    )
                ]
            },
        ),
    ],
)
def test_checks_find_each_broken_promise_and_no_other(broken, changes):
    """Without a working check, a broken promise would pass unnoticed."""
    violations = checks.run_checks(dataclasses.replace(GOOD, **changes))
    assert [name for name, cases in violations.items() if cases] == (
        [broken] if broken else []
    )
