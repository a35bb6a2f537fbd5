"""Fails a run of the crowds beside other tests."""

import pytest


def pytest_collection_modifyitems(config, items):
    """Rejects parallel workers, whose load would change what is measured."""
    if items and config.getoption('numprocesses', None):
        raise pytest.UsageError('run the crowds with one worker: make crowds')
