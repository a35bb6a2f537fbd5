"""Authentication by a text that is followed from a store."""

import contextlib
import json
import time
import types

import eventlet
import pytest

from lentildeal._internal.accounts import authentication
from lentildeal._internal.accounts import plugin
from lentildeal._internal.adapters import platform_base
from lentildeal._internal.directory import plugin as directory_plugin
from lentildeal._internal.directory import text_reads
from lentildeal._internal import exceptions
from lentildeal._internal.models import deployment
from tests.lib import fake_store
from tests.lib import job_builders

STREAM = 'keyed.op'
AGE_S = authentication.KNOWN_KEY_AGE_S


class FakePlatform:
    """Texts are lists of keys of one account."""

    directory_streams = (STREAM, 'keyed.servers')

    def __init__(self):
        self.store = fake_store.FakeStore()

    def write_text(self, version, *keys):
        value = json.dumps([version, *keys]).encode()
        record = fake_store.encode_keyed('config', value)
        self.store.streams[STREAM].append(record)

    def decode_change(self, _stream, record):
        version, *keys = json.loads(record.value)
        return deployment.TextChange(
            job_builders.make_published_text(
                version=version, accounts=job_builders.make_accounts(a=keys)
            )
        )


class Daemon:
    """Directory and accounts; follows the store if requested."""

    def __init__(self, platform):
        self._threads = []
        self.settings = None
        self.directory = directory_plugin.Directory(self)
        self.accounts = plugin.Accounts(self)

    def plugin(self, _name):
        return self.directory

    def spawn(self, _name, function, *arguments):
        self._threads.append(eventlet.spawn(function, *arguments))

    def close(self):
        for thread in self._threads:
            thread.kill()

    def find(self, *keys):
        """Returns the account of a request, or the class of its error."""
        try:
            return self.accounts.authenticate(keys, None).account_name
        except exceptions.LentildealError as error:
            return type(error)


@pytest.fixture
def platform(monkeypatch):
    found = FakePlatform()
    monkeypatch.setattr(platform_base, 'make_platform', lambda _: found)
    found.write_text(1, 'old', 'kept')
    return found


@pytest.fixture
def now(monkeypatch):
    """Time that passes only if the test sets it."""
    found = types.SimpleNamespace(s=1000.0)
    monkeypatch.setattr(
        text_reads.TextReads.__init__, '__defaults__', (lambda: found.s,)
    )
    return found


@pytest.fixture
def daemon(platform, now):
    with contextlib.closing(Daemon(platform)) as found:
        found.directory.wait_for_text_read(1.0)
        yield found


def test_new_key_is_found_by_a_read_of_the_newest_text(platform, now, daemon):
    # Guards against 401 for a key that its operator has just published.
    assert daemon.find('new') is exceptions.UnauthenticatedError
    platform.write_text(2, 'kept', 'new')
    now.s += authentication.UNKNOWN_KEY_AGE_S + 0.1
    assert daemon.find('new') == 'a'
    assert daemon.find('old') is exceptions.UnauthenticatedError


def test_removed_key_is_not_served_by_a_daemon_that_was_frozen(
    platform, now, daemon
):
    platform.write_text(2, 'kept')
    now.s += AGE_S + 0.1
    assert daemon.find('old') is exceptions.UnauthenticatedError
    assert daemon.find('kept') == 'a'


def test_daemon_that_cannot_read_serves_the_keys_that_it_knows(
    platform, now, daemon
):
    # Guards against an outage of the store that stops all calls, and against
    # 401 for a key that other daemons know.
    platform.write_text(2, 'kept', 'new')
    platform.store.is_down = True
    now.s += AGE_S + 0.1
    assert daemon.find('old') == 'a'
    assert daemon.find('kept') == 'a'
    assert daemon.find('new') is exceptions.NotRunError
    assert daemon.find() is exceptions.UnauthenticatedError


def test_key_is_removed_soon_after_the_store_is_back(platform, now, daemon):
    # The requests do not wait, but one of them has the text read.
    platform.write_text(2, 'kept')
    platform.store.is_down = True
    now.s += AGE_S + 0.1
    assert daemon.find('old') == 'a'
    platform.store.is_down = False
    now.s += authentication.RETRY_S + 0.1
    eventlet.sleep(2 * directory_plugin.TEXT_RETRY_S)
    assert daemon.find('old') == 'a'
    eventlet.sleep(0.01)
    assert daemon.find('old') is exceptions.UnauthenticatedError


def test_silent_store_delays_known_keys_once(
    platform, now, daemon, monkeypatch
):
    # Guards against callers that wait for each read of a dead connection.
    monkeypatch.setattr(
        platform.store, 'read_newest', lambda _: eventlet.sleep(60.0)
    )
    now.s += AGE_S + 0.1
    assert daemon.find('old') == 'a'
    now.s += text_reads.READ_WAIT_S + 0.01
    started_s = time.monotonic()
    assert [daemon.find('old') for _ in range(20)] == ['a'] * 20
    assert daemon.find('new') is exceptions.NotRunError
    assert time.monotonic() - started_s < text_reads.READ_WAIT_S


def test_text_never_goes_back_to_removed_keys(platform, now, daemon):
    # An append of an older version may take effect after a newer one.
    platform.write_text(3, 'kept')
    now.s += AGE_S + 0.1
    assert daemon.find('old') is exceptions.UnauthenticatedError
    platform.write_text(2, 'old', 'kept')
    now.s += AGE_S + 0.1
    assert daemon.find('old') is exceptions.UnauthenticatedError
    assert daemon.find('kept') == 'a'


def test_page_older_than_the_stream_is_no_newest_text(platform, monkeypatch):
    # Guards against 401 by a page from before the key was added.
    monkeypatch.setattr(authentication, 'UNKNOWN_KEY_AGE_S', 0.2)
    monkeypatch.setattr(authentication, 'RETRY_S', 0.05)
    with contextlib.closing(Daemon(platform)) as following:
        following.directory.start()
        eventlet.sleep(0.05)
        assert following.find('new') is exceptions.UnauthenticatedError
        stream = platform.store.streams[STREAM]
        platform.store.read = lambda *_, **__: eventlet.sleep(60.0)
        platform.store.read_newest = lambda _: ([], len(stream) - 1)
        eventlet.sleep(0.7)
        assert following.find('new') is exceptions.NotRunError
        platform.store.read_newest = lambda _: ([], len(stream))
        eventlet.sleep(0.1)
        assert following.find('new') is exceptions.UnauthenticatedError


def test_flood_of_unknown_keys_reads_the_text_at_a_bounded_rate(
    platform, now, daemon, monkeypatch
):
    reads = []
    read_newest = platform.store.read_newest

    def count(stream):
        reads.append(now.s)
        return read_newest(stream)

    monkeypatch.setattr(platform.store, 'read_newest', count)
    for _ in range(1000):
        now.s += 0.01
        assert daemon.find('bad') is exceptions.UnauthenticatedError
    assert len(reads) <= 10.0 / authentication.UNKNOWN_KEY_AGE_S + 1


def test_daemon_without_a_text_refuses_as_not_run(platform, now):
    platform.store.is_down = True
    with contextlib.closing(Daemon(platform)) as started:
        assert started.find('old') is exceptions.NotRunError
        assert started.find() is exceptions.NotRunError


def test_slow_read_refuses_an_unknown_key_for_certain(
    platform, now, daemon, monkeypatch
):
    # Guards against 503 for every unknown key while the platform is slow.
    read_newest = platform.store.read_newest

    def read_slowly(stream):
        found = read_newest(stream)
        eventlet.sleep(0.1)
        now.s += 3 * authentication.UNKNOWN_KEY_AGE_S
        return found

    monkeypatch.setattr(platform.store, 'read_newest', read_slowly)
    now.s += authentication.UNKNOWN_KEY_AGE_S + 0.1
    assert daemon.find('bad') is exceptions.UnauthenticatedError
