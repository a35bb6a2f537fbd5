"""Checks of texts, and the parser with damaged and malicious input."""

import copy
import json

import hypothesis
from hypothesis import strategies
import pytest

from lentildeal._internal.adapters import base
from lentildeal._internal.adapters import http_engine  # noqa: F401
from lentildeal._internal.config import checks
from lentildeal._internal.config import jsonc
from tests.lib import config_texts

FIXED = hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
TEXT = config_texts.dump_text()


def find_faults(text):
    """Returns the faults of a text, empty if it is valid."""
    try:
        checks.check_text(text)
    except jsonc.TextFaultsError as error:
        return error.faults
    return ()


def test_valid_text_has_no_faults():
    """A valid text with a comment is rejected."""
    assert find_faults('// comment\n' + TEXT) == ()


def test_line_of_a_syntax_error_counts_comments_and_commas():
    """Comments or trailing commas before a fault shift its line."""
    raw = '// one\n/* two\n three */\n{"a": [1,\n],\n"b": 1 2}'
    (fault,) = find_faults(raw)
    assert fault.line == 6


def test_comment_marks_and_commas_in_strings_are_kept():
    """A string with comment marks or ",]" is changed."""
    raw = '{"a": "// /* ,] */ \\" ,}", /* , */ }'
    assert jsonc.parse(raw) == {'a': '// /* ,] */ " ,}'}


def test_known_adapters_are_the_registered_ones():
    """The checks accept an adapter that the daemon doesn't have."""
    kind = checks.text_module.TargetKind.ENGINE
    assert list(checks.ADAPTERS[kind]) == base.engines.names()


def test_all_kinds_of_faults_are_reported_at_once():
    """Only the first fault is reported, so that fixing it shows the next."""
    value = config_texts.make_text()
    value['trainers']['seat-trainer'].update(club='noth', model=3)
    value['services']['scoring']['depends_on'] = ['seat-live', 'absent']
    value['services']['seat-live']['depends_on'] = ['scoring']
    value['targets']['counters']['replicas']['a'] = ['127.0.0.1:7001']
    faults = {f.path: f for f in find_faults(json.dumps(value, indent=1))}
    assert set(faults) == {
        'trainers.seat-trainer.club',
        'trainers.seat-trainer.model',
        'services.scoring.depends_on[1]',
        'services.seat-live.depends_on',
        'targets.counters.replicas.a[0]',
    }
    assert faults['trainers.seat-trainer.club'].remedy == (
        'did you mean "north"?'
    )
    assert '"seat-live" -> "scoring" -> "seat-live"' in (
        faults['services.seat-live.depends_on'].problem
    )
    assert all(fault.line > 1 for fault in faults.values())


def test_long_chain_of_dependencies_is_searched():
    """A chain longer than the recursion limit crashes the daemon."""
    services = {
        f's{n}': {
            'club': 'north',
            'target': 'counters',
            'depends_on': [f's{(n + 1) % 3000}'],
        }
        for n in range(3000)
    }
    text = config_texts.dump_text(services=services, trainers={})
    (fault,) = find_faults(text)
    assert 'depend on each other' in fault.problem


@pytest.mark.parametrize(
    'raw',
    [
        '"\\' * 300_000,
        '"' + '\\"' * 300_000,
        '/*' * 300_000,
        '/' * 600_000,
        '[' * 600_000,
        '{"a":' * 200_000,
        ',' * 600_000,
        ' ' * 600_000,
        '{"format": 1' + '0' * 5000 + '}',
        '{"format": NaN}',
        TEXT.replace('2', '1e999', 1),
        TEXT.replace('2', '9' * 400, 1),
        TEXT.replace('test', '\\ud800'),
        TEXT.replace('test', '\ud800'),
        TEXT.replace('"north": {', '"\\ud800": {'),
        json.dumps({f'key{n}': n for n in range(60_000)}),
        json.dumps({'clubs': {f'key{n}': n for n in range(60_000)}}),
        '{' + '"a": 1,' * 100_000 + '"a": 1}',
        '[' + '1,],' * 200_000,
        '\x00',
        '',
        'x' * (checks.MAX_TEXT_BYTES + 1),
    ],
    ids=range(22),
)
def test_malicious_text_is_rejected_with_faults(raw):
    """A malicious text blocks or crashes the daemon that checks it."""
    faults = find_faults(raw)
    assert faults
    for fault in faults:
        str(fault).encode()


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(), inner, max_size=3)
    ),
    max_leaves=8,
)


def list_paths(value, path=()):
    """Lists the paths of all values."""
    paths = [path]
    items = value.items() if isinstance(value, dict) else ()
    if isinstance(value, list):
        items = enumerate(value)
    for key, item in items:
        paths.extend(list_paths(item, path + (key,)))
    return paths


@FIXED
@hypothesis.given(strategies.data())
def test_replaced_value_is_accepted_or_reported(data):
    """A value of an unexpected type raises another error than faults."""
    value = copy.deepcopy(config_texts.make_text())
    path = data.draw(strategies.sampled_from(list_paths(value)[1:]))
    place = value
    for step in path[:-1]:
        place = place[step]
    place[path[-1]] = data.draw(JSON)
    for fault in find_faults(json.dumps(value, indent=1)):
        assert fault.line >= 1 and fault.remedy


@FIXED
@hypothesis.given(
    strategies.integers(0, len(TEXT)),
    strategies.integers(0, 12),
    strategies.text(max_size=6) | strategies.sampled_from('{}[],:"/*\\#'),
)
def test_damaged_text_is_accepted_or_reported(start, count, insert):
    """A damaged file raises another error than faults."""
    find_faults(TEXT[:start] + insert + TEXT[start + count :])


@FIXED
@hypothesis.given(strategies.text(max_size=200))
def test_any_text_is_reported(raw):
    """Arbitrary input raises another error than faults."""
    assert find_faults(raw)
