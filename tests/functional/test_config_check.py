"""The command ``lentildeal config check``."""

import json
import os
import pathlib
import subprocess
import sys

import pytest

from lentildeal._internal.cli import status_codes
from tests.lib import config_texts

ROOT = pathlib.Path(__file__).resolve().parents[2]
CLIENT = 'lentildeal._internal.cli.main'
TIMEOUT_S = 60


def run(*arguments, **more):
    """Runs the client and returns the finished process."""
    path = os.pathsep.join([str(ROOT / 'src'), str(ROOT)])
    return subprocess.run(
        [sys.executable, '-m', CLIENT, *map(str, arguments)],
        capture_output=True,
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': path, 'PYTHONUTF8': '1'},
        timeout=TIMEOUT_S,
        **more,
    )


def change(path, value):
    """Makes a text with one value replaced."""
    text = config_texts.make_text()
    *parents, name = path
    place = text
    for step in parents:
        place = place[step]
    place[name] = value
    return json.dumps(text, indent=2)


ENGINE = {'kind': 'engine', 'model': 'm', 'replicas': {'a': ['127.0.0.1:9']}}
TRAINER = {'club': 'north', 'model': 'seat', 'share_of_club': 0.4}

# By name: text, path of the fault, part of its problem, part of its remedy.
BAD = {
    'unknown key': (
        change(('clubs', 'north'), {'wieght': 1}),
        'clubs.north.wieght',
        'unknown key "wieght"',
        'nearest key is "weight"',
    ),
    'wrong type': (
        change(('targets', 'engines', 'concurrency'), 'many'),
        'targets.engines.concurrency',
        "expected a whole number, found a string ('many')",
        'write a whole number',
    ),
    'missing key': (
        change(('services', 'scoring'), {'club': 'north'}),
        'services.scoring.target',
        'required key is missing',
        'add "target"',
    ),
    'out of bounds': (
        change(('clubs', 'north', 'weight'), -1),
        'clubs.north.weight',
        'too small',
        'use 0.001 or more',
    ),
    'wrong choice': (
        change(('targets', 'engines', 'kind'), 'motor'),
        'targets.engines.kind',
        "'motor' is not a valid choice",
        'use "engine", "service"',
    ),
    'unknown club': (
        change(('services', 'scoring', 'club'), 'noth'),
        'services.scoring.club',
        'there is no club "noth"',
        'did you mean "north"?',
    ),
    'unknown target': (
        change(('services', 'scoring', 'target'), 'xyz'),
        'services.scoring.target',
        'there is no target "xyz"',
        'use "engines", "counters"',
    ),
    'unknown model': (
        change(('trainers', 'seat-trainer', 'model'), 'xyz'),
        'trainers.seat-trainer.model',
        'there is no model "xyz"',
        'use "seat"',
    ),
    'target named as model': (
        change(('trainers', 'seat-trainer', 'model'), 'engines'),
        'trainers.seat-trainer.model',
        '"engines" is a target, not a model',
        'use "seat"',
    ),
    'unknown scoring service': (
        change(('trainers', 'seat-trainer', 'scoring'), 'scorin'),
        'trainers.seat-trainer.scoring',
        'there is no service "scorin"',
        'did you mean "scoring"?',
    ),
    'engines that score': (
        change(('trainers', 'seat-trainer', 'scoring'), 'seat-live'),
        'trainers.seat-trainer.scoring',
        'answered by engines',
        'kind "service"',
    ),
    'unknown dependency': (
        change(('services', 'scoring', 'depends_on'), ['xyz']),
        'services.scoring.depends_on[0]',
        'there is no service "xyz"',
        'use "seat-live", "scoring"',
    ),
    'dependency cycle': (
        change(('services', 'scoring', 'depends_on'), ['scoring']),
        'services.scoring.depends_on',
        '"scoring" -> "scoring"',
        'remove one',
    ),
    'shares above the budget': (
        change(('trainers',), {f't{n}': TRAINER for n in range(3)}),
        'trainers.t2.share_of_club',
        'trainers of club "north" have 1.2 of its budget: "t0", "t1", "t2"',
        'sum to 1 at most',
    ),
    'engine without model': (
        change(('targets', 'more'), {**ENGINE, 'model': None}),
        'targets.more.model',
        'an engine target needs a model',
        'add "model"',
    ),
    'service with model': (
        change(('targets', 'counters', 'model'), 'other'),
        'targets.counters.model',
        'a service target has no model',
        'use kind "engine"',
    ),
    'model served twice': (
        change(('targets', 'more'), {**ENGINE, 'model': 'seat'}),
        'targets.more.model',
        'already served by target "engines"',
        'one target',
    ),
    'service target used as engine': (
        change(('targets', 'engines', 'kind'), 'service'),
        'trainers.seat-trainer.model',
        'model "seat" is served by target "engines" of kind "service"',
        'kind "engine"',
    ),
    'host name as address': (
        change(('targets', 'counters', 'replicas', 'a'), ['db:80']),
        'targets.counters.replicas.a[0]',
        '"db:80" is no replica address',
        'as in "10.0.0.5:8000"',
    ),
    'address without port': (
        change(('targets', 'counters', 'replicas', 'a'), ['10.0.0.1']),
        'targets.counters.replicas.a[0]',
        'no replica address',
        'IP number and a port',
    ),
    'replica listed twice': (
        change(('targets', 'counters', 'replicas', 'b'), ['127.0.0.1:7003']),
        'targets.counters.replicas.b[0]',
        'already listed at targets.counters.replicas.a[0]',
        'once',
    ),
    'unknown adapter': (
        change(('targets', 'engines', 'adapter'), 'grpc'),
        'targets.engines.adapter',
        'there is no adapter "grpc"',
        'use "http"',
    ),
    'unknown format': (
        change(('format',), 2),
        'format',
        'format 2 is not known',
        'use "1"',
    ),
    'key given twice': (
        '{"format": 1,\n"format": 1}',
        'format',
        'key is given twice',
        'keep one',
    ),
    'damaged file': ('{"format": 1,\n"clubs" {}}', '', "Expecting ':'", ''),
    'open string': ('{"format\n', '', 'string is not closed', 'quotation'),
    'not an object': ('[1]', '', 'expected an object', 'write an object'),
}


@pytest.mark.parametrize('name', BAD)
def test_bad_text_is_rejected_with_path_and_remedy(name, tmp_path):
    """The report of a fault lacks its path, its problem or its remedy."""
    text, path, problem, remedy = BAD[name]
    file = tmp_path / 'text.jsonc'
    file.write_text(text)
    result = run('config', 'check', file, '--format', 'json')
    assert result.returncode == status_codes.Status.FAULTS, result.stderr
    faults = json.loads(result.stdout)['faults']
    assert any(
        fault['path'] == path
        and problem in fault['problem']
        and remedy in fault['remedy']
        and fault['line'] >= 1
        for fault in faults
    ), faults


def test_table_lists_all_faults():
    """The table omits a fault or its line."""
    text = '{"format": 1, "federation": "x",\n"clubs": {"a": {"wieght": 1}},'
    text += '\n"targets": {"t": {"kind": "engine", "replicas": {}}}}'
    result = run('config', 'check', '-', input=text.encode())
    lines = result.stdout.decode().splitlines()
    assert any('2' in line and 'wieght' in line for line in lines)
    assert any('3' in line and 'needs a model' in line for line in lines)
    assert '2 fault(s)' in lines[-1]


@pytest.mark.parametrize('name', ['glenmore', 'zajednicka-dostava'])
def test_examples_are_valid(name):
    """An example no longer follows the format."""
    result = run('config', 'check', f'examples/{name}.jsonc')
    assert result.returncode == status_codes.Status.OK, result.stdout
    assert name in result.stdout.decode()


def test_unreadable_file_names_the_remedy(tmp_path):
    """A wrong file name or encoding causes a traceback."""
    binary = tmp_path / 'binary'
    binary.write_bytes(b'\xff\xfe{')
    for file in (tmp_path / 'absent', binary, tmp_path):
        result = run('config', 'check', file)
        assert result.returncode == status_codes.Status.USAGE
        assert b'remedy: ' in result.stderr
        assert b'Traceback' not in result.stderr


def test_unknown_command_names_the_nearest():
    """The error for a misspelled command doesn't suggest the right one."""
    result = run('config', 'pubish')
    assert result.returncode == status_codes.Status.USAGE
    assert b'config publish' in result.stderr


def test_unreachable_server_has_its_own_exit_status():
    """A script can't distinguish an unreachable server from a refusal."""
    result = run('config', 'show', '--server', '127.0.0.1:1,127.0.0.1:2')
    assert result.returncode == status_codes.Status.UNREACHABLE
    assert b'127.0.0.1:2' in result.stderr


def test_client_does_not_import_eventlet_or_other_commands():
    """A client command imports modules of the daemon or all commands."""
    code = (
        'import sys; from lentildeal._internal.cli import main;'
        'main.main(["config", "check", "examples/glenmore.jsonc"]);'
        'main.main(["config", "show", "--server", "127.0.0.1:1"]);'
        'names = [n for n in sys.modules if "commands." in n];'
        'print("eventlet" in sys.modules, len(names))'
    )
    result = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': str(ROOT / 'src')},
        timeout=TIMEOUT_S,
    )
    assert result.stdout.decode().splitlines()[-1] == 'False 2'
