"""Tests of explanations from logs: order of the lines, and the cause."""

import json

from lentildeal._internal.reports import explanation


def make_log(name, *lines):
    text = '\n'.join(
        json.dumps({'instance': name, 'event': event, **fields})
        for event, fields in lines
    )
    return explanation.read_lines(name, text)


def test_prefixed_lines_are_read_and_other_lines_skipped():
    # A log collector adds its own time and name before each line.
    text = '  1.5 n1 {"event":"started","at_s":1}\nTraceback: {"x\nplain'
    (line,) = explanation.read_lines('n1', text)
    assert (line.instance, line.event) == ('n1', 'started')


def test_lease_holders_are_ordered_by_term_and_not_by_clock():
    # Guards against lines in the wrong order when clocks differ.
    late_clock = make_log(
        'b',
        ('job_opened', {'job': 'j', 'term': 3, 'at_s': 90}),
        ('item_started', {'job': 'j', 'item': 'i', 'replica': 'r1'}),
    )
    early_clock = make_log(
        'a',
        ('job_opened', {'job': 'j', 'term': 9, 'at_s': 10}),
        (
            'item_ended',
            {
                'job': 'j',
                'item': 'i',
                'state': 'done',
                'attempts': 1,
                'elapsed_ms': 5,
            },
        ),
    )
    accepted = make_log('c', ('job_accepted', {'job': 'j', 'at_s': 50}))
    found = explanation.explain('i', early_clock + late_clock + accepted)
    assert [line.instance for line in found.lines] == ['c', 'b', 'b', 'a', 'a']
    assert 'ended as done' in found.cause


def test_cause_of_a_refused_job_is_its_reason():
    lines = make_log(
        'a',
        ('job_refused', {'job': 'j', 'status': 503, 'reason': 'store down'}),
    )
    assert explanation.explain('j', lines).cause == (
        'refused with 503: store down'
    )


def test_cause_of_a_failed_call_names_its_attempts():
    lines = make_log(
        'a',
        (
            'attempt_failed',
            {'request': 'c', 'replica': 'r1', 'reason': 'no connection'},
        ),
        (
            'call_failed',
            {
                'request': 'c',
                'status': 504,
                'elapsed_ms': 800,
                'reason': 'no answer',
            },
        ),
    )
    cause = explanation.explain('c', lines).cause
    assert '504' in cause and 'r1: no connection' in cause


def test_cause_of_an_item_that_never_started():
    lines = make_log('a', ('job_opened', {'job': 'j', 'term': 1}))
    lines += make_log('a', ('item_moved', {'job': 'j', 'item': 'other'}))
    assert 'no line is about i' in explanation.explain('i', lines).cause
    assert '0 items ended' in explanation.explain('j', lines).cause


SCORING = {'item': 'i', 'job': 'j', 'request': 'q'}


def test_cause_of_an_item_without_score_names_the_scoring_attempts():
    # The attempts carry the id of the scoring request and not of the item.
    lines = make_log(
        'a',
        ('item_started', {'item': 'i', 'job': 'j', 'replica': 'r1'}),
        ('scoring_started', {**SCORING, 'replica': 's1', 'attempt': 1}),
        (
            'attempt_failed',
            {'request': 'q', 'replica': 's1', 'reason': 'status 500'},
        ),
        ('scoring_given_up', {**SCORING, 'errors': 1, 'reason': '500'}),
        (
            'item_ended',
            {
                'item': 'i',
                'job': 'j',
                'state': 'given_up',
                'attempts': 1,
                'elapsed_ms': 9,
            },
        ),
    )
    found = explanation.explain('i', lines)
    assert len(found.lines) == 5
    assert found.cause == (
        'item ended as given_up after 1 attempts and 9 ms; attempt_failed at'
        ' s1: status 500; scoring_given_up at all replicas: 500'
    )


def test_item_that_waits_for_its_score_says_so():
    lines = make_log(
        'a',
        ('item_started', {'item': 'i', 'job': 'j', 'replica': 'r1'}),
        ('scoring_started', {**SCORING, 'replica': 's1', 'attempt': 1}),
    )
    assert 'no score' in explanation.explain('i', lines).cause
