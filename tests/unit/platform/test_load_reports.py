"""Decoding of the load that replicas report."""

import types

import pytest

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.platform import adapter
from lentildeal._internal.platform import names


def read_load(value):
    platform = adapter.ExternalPlatform(
        types.SimpleNamespace(
            store=types.SimpleNamespace(address='x'), duties=None
        )
    )
    headers = {names.REPLICA_LOAD.lower(): value}
    return platform.read_response(200, headers).load


def test_report_with_a_work_factor_is_not_dropped():
    """Guards against replicas without any load because they say more."""
    assert read_load('3,1,8,250') == platform_base.ReplicaLoad(3, 1, 8, 2.5)


def test_report_without_a_work_factor_is_read():
    """Guards against a report of older replicas that is dropped."""
    assert read_load('3, 1, 8') == platform_base.ReplicaLoad(3, 1, 8)


def test_work_factor_of_zero_is_unknown():
    """Guards against a replica that seems to be infinitely fast."""
    assert read_load('3,1,8,0') == platform_base.ReplicaLoad(3, 1, 8)


@pytest.mark.parametrize(
    'value', ['', '3,1', '3,1,8,100,7', 'a,b,c', '3,1,8,-1', '3,1,8,1e2']
)
def test_odd_report_is_ignored(value):
    """Guards against a load that was not reported."""
    assert read_load(value) is None
