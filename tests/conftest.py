"""Keeps the logs of the processes of a test that fails."""

import pytest

from tests.lib import processes


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    """Adds the outputs of daemons and stand-ins to the report of a failure.

    Their files are removed with the test, and a failure seen once could not be
    traced without them.
    """
    report = yield
    if report.failed:
        report.sections.append(('processes', processes.take_outputs()))
    return report
