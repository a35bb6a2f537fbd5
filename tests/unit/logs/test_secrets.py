"""Keys of clients stay out of the log."""

import subprocess
import sys

import pytest

SCRIPT = """
import types
from loguru import logger
from lentildeal._internal.kernel import main

main._configure_log(types.SimpleNamespace(
    instance='a',
    store={store!r},
    logging=types.SimpleNamespace(level='INFO'),
))
try:
    headers = dict([('X-Api-Key', 'secr' + 'et')])
    headers['Other'].strip(headers)
except KeyError as error:
    logger.opt(exception=error).error('request handler failed')
"""


@pytest.mark.parametrize('store', [None, 'store'])
def test_traceback_has_no_values_of_variables(tmp_path, store):
    # Guards against the key of a request whose handler fails. Values are shown
    # only for code in a file.
    path = tmp_path / 'script.py'
    path.write_text(SCRIPT.format(store=store))
    result = subprocess.run(
        [sys.executable, '-W', 'ignore', path],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    output = result.stdout + result.stderr
    assert 'KeyError' in output
    assert 'secret' not in output
