"""Following of a keyed stream after a restart of the daemon."""

import contextlib

import eventlet
import pytest

from lentildeal._internal.directory import follower
from lentildeal._internal import exceptions
from tests.lib import fake_store

STREAM = 'keyed.servers'


class Sink:
    """Keeps the newest value of each key, as the directory does."""

    def __init__(self):
        self.values = {}
        self.history = []
        self.outages = 0

    def handle_snapshot(self, _stream, records):
        self.values = {record.key: record.value for record in records}
        self.history.append(dict(self.values))

    def handle_record(self, _stream, record):
        self.values.pop(record.key, None)
        if record.value is not None:
            self.values[record.key] = record.value
        self.history.append(dict(self.values))

    def mark_reachable(self, _stream):
        """Not needed here."""

    def mark_unreachable(self, _stream, _reason):
        self.outages += 1


class OldPageStore(fake_store.FakeStore):
    """Store whose pages are older than its stream.

    Pages of the newest records are no snapshot: a key that was deleted while
    they were read can still be in them.
    """

    def __init__(self, page_end):
        super().__init__()
        self.page_end = page_end

    def read_newest(self, stream):
        newest = {}
        for body in self.streams[stream][: self.page_end]:
            record = self.decode_keyed(body)
            newest[record.key] = record
        found = [r for r in newest.values() if r.value is not None]
        return found, self.page_end


@contextlib.contextmanager
def follow(store):
    sink = Sink()
    thread = eventlet.spawn(follower.KeyedFollower(store, STREAM, sink).run)
    try:
        yield sink
    finally:
        thread.kill()


def wait_for(condition):
    with eventlet.Timeout(5.0):
        while not condition():
            eventlet.sleep(0.01)


@pytest.mark.parametrize('page_end', [1, 2, 3])
def test_replica_that_has_left_is_not_in_use_after_a_restart(page_end):
    """Guards against a replica that an older page brings back."""
    store = OldPageStore(page_end)
    store.streams[STREAM] += [
        fake_store.encode_keyed('left', b'ready'),
        fake_store.encode_keyed('stays', b'ready'),
        fake_store.encode_keyed('left'),
    ]
    with follow(store) as sink:
        wait_for(lambda: sink.values == {'stays': b'ready'})
        eventlet.sleep(0.2)
        assert sink.values == {'stays': b'ready'}


def test_replica_that_left_while_history_was_forgotten_is_not_in_use():
    """Guards against an entry whose deletion the daemon never reads."""
    store = fake_store.FakeStore()
    store.streams[STREAM] += [
        fake_store.encode_keyed('left', b'ready'),
        fake_store.encode_keyed('stays', b'ready'),
    ]
    with follow(store) as sink:
        wait_for(lambda: len(sink.values) == 2)
        store.is_down = True
        eventlet.sleep(0.2)
        store.streams[STREAM] += [
            fake_store.encode_keyed('left'),
            fake_store.encode_keyed('stays', b'ready'),
        ]
        store.trim(STREAM, 3)
        store.is_down = False
        wait_for(lambda: sink.values == {'stays': b'ready'})


@pytest.mark.parametrize('failures, outages', [(1, 0), (2, 1)])
def test_silent_connection_is_no_outage_of_the_store(failures, outages):
    """Guards against requests to a replica that was removed seconds ago.

    After an outage missing entries are kept for a while, as they may only have
    expired. One read without an answer is no outage.
    """
    store = fake_store.FakeStore()
    read = store.read
    left = [failures]

    def read_or_fail(*arguments, **options):
        if sink.values and left[0]:
            left[0] -= 1
            raise exceptions.LogUnavailableError('no answer in time')
        return read(*arguments, **options)

    store.read = read_or_fail
    store.streams[STREAM].append(fake_store.encode_keyed('r1', b'ready'))
    with follow(store) as sink:
        wait_for(lambda: sink.values and not left[0])
        store.streams[STREAM].append(fake_store.encode_keyed('r1'))
        wait_for(lambda: not sink.values)
        assert sink.outages == outages
