"""Routes and versions that an older page of the store brings back."""

import types

import pytest

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.directory import plugin
from lentildeal._internal.models import deployment
from tests.lib import job_builders

STREAM = 'operators'


def make_change(version, *prefixes):
    routes = tuple(
        job_builders.make_route(path_prefix=prefix) for prefix in prefixes
    )
    return deployment.TextChange(
        deployment.PublishedText(
            version, routes, {}, deployment.IngressLimits()
        )
    )


@pytest.fixture
def directory(monkeypatch):
    platform = types.SimpleNamespace(
        directory_streams=(STREAM, 'replicas'),
        store=None,
        decode_change=lambda _, record: record,
    )
    monkeypatch.setattr(platform_base, 'make_platform', lambda _: platform)
    return plugin.Directory(types.SimpleNamespace(settings=None))


def test_withdrawn_route_stays_withdrawn(directory):
    # Guards against a route that is in use again after the store forgot its
    # history and answers with an older page first.
    directory.handle_snapshot(STREAM, [make_change(1, '/kept', '/gone')])
    directory.handle_record(STREAM, make_change(2, '/kept'))
    directory.handle_snapshot(STREAM, [make_change(1, '/kept', '/gone')])
    directory.handle_record(STREAM, make_change(1, '/kept', '/gone'))
    assert directory.text.find_route(job_builders.HOST, '/gone') is None
    assert directory.text.find_route(job_builders.HOST, '/kept') is not None


def test_older_page_of_a_started_daemon_is_replaced(directory):
    # A daemon that starts knows nothing and has to take the page; the records
    # after it follow in order.
    directory.handle_snapshot(STREAM, [make_change(1, '/kept', '/gone')])
    directory.handle_record(STREAM, make_change(2, '/kept'))
    assert directory.text.find_route(job_builders.HOST, '/gone') is None


def test_announced_version_never_goes_back(directory):
    older = deployment.VersionAnnouncement('m', 4)
    directory.handle_snapshot(STREAM, [deployment.VersionAnnouncement('m', 5)])
    directory.handle_snapshot(STREAM, [older])
    directory.handle_record(STREAM, older)
    assert directory.announced_version('m') == 5
