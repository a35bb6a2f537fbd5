"""Generated pages match the sources they are generated from."""

import pathlib

from lentildeal._internal.cli import status_codes
from lentildeal._internal.config import reference
from lentildeal._internal.logs import page as logs_page

ROOT = pathlib.Path(__file__).resolve().parents[2]


def test_reference_is_current():
    """An option was changed, but its page was not generated again."""
    page = (ROOT / 'docs' / 'reference.md').read_text(encoding='utf-8')
    assert page == reference.make_reference()


def test_page_of_log_lines_is_current():
    """An event was changed, but its page was not generated again."""
    page = (ROOT / 'docs' / 'logs.md').read_text(encoding='utf-8')
    assert page == logs_page.make_page()


def test_every_exit_status_is_documented():
    """An exit status is missing from the reference."""
    assert set(status_codes.MEANINGS) == set(status_codes.Status)
