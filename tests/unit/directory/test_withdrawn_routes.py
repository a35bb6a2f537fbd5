"""Routes and versions that an older page of the store brings back."""

import types

import eventlet
import pytest

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.directory import plugin
from lentildeal._internal import exceptions
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
    return plugin.Directory(
        types.SimpleNamespace(
            settings=None, spawn=lambda _, function: eventlet.spawn(function)
        )
    )


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


def test_requested_text_is_read_beside_a_silent_connection(
    directory, monkeypatch
):
    # Guards against a daemon that learns of a new route only when the read of
    # its follower times out, and against one read that failed.
    monkeypatch.setattr(plugin, 'TEXT_RETRY_S', 0.01)
    answers = [
        exceptions.LogUnavailableError('no answer'),
        ([make_change(2, '/kept', '/added')], 1),
    ]

    def read_newest(stream):
        assert stream == STREAM
        answer = answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    directory.platform.store = types.SimpleNamespace(read_newest=read_newest)
    directory.handle_snapshot(STREAM, [make_change(1, '/kept')])
    with eventlet.Timeout(5.0):
        while directory.text.version < 2:
            directory.request_text(2)
            eventlet.sleep(0.005)
    assert directory.text.find_route(job_builders.HOST, '/added') is not None
