"""Tests of the messages that a receiver of heartbeats gets."""

import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.membership import heartbeats
from lentildeal._internal.models import members
from lentildeal._internal.network import wire

MEMBER = members.Member(
    'a1',
    2**62,
    'a',
    '127.0.0.1:1',
    '127.0.0.1:2',
    members.MemberState.LIVE,
    41,
    (members.Attachment('t', 3, 2, 9),),
)


def make_content(epoch, *names, versions=None):
    """Makes content with rows that hold only a name."""
    return heartbeats.Content(
        epoch, {name: (name,) for name in names}, versions or {}
    )


def test_member_is_decoded_as_it_was_sent():
    """A field lost in a row would be wrong at all other daemons."""
    update = heartbeats.Update(
        1, 1, True, (heartbeats.pack_member(MEMBER),), (), {'m': 4}
    )
    unpacker = wire.make_unpacker()
    unpacker.feed(
        wire.encode_frame(wire.Frame(wire.FrameKind.NOTICE, 0, update))
    )
    received = wire.to_frame(unpacker.unpack()).message
    assert heartbeats.unpack_member(received.rows[0]) == MEMBER
    assert received.versions == {'m': 4}


@pytest.mark.parametrize('row', [(), ('a',) * 8, None])
def test_invalid_row_is_an_error(row):
    """An invalid row must not become a member."""
    with pytest.raises(exceptions.WireError):
        heartbeats.unpack_member(row)


def test_roster_is_sent_once_and_then_only_what_changed():
    """Full rosters in each heartbeat would exceed the traffic limit."""
    session = heartbeats.Session(1)
    first = session.next_message(make_content(1, 'a', 'b'))
    assert first.is_full and len(first.rows) == 2
    assert session.next_message(make_content(1, 'a', 'b')) == heartbeats.Beat(
        1, 1
    )
    changed = session.next_message(make_content(2, 'b', 'c'))
    assert changed == heartbeats.Update(1, 2, False, (('c',),), ('a',), {})
    version = session.next_message(
        make_content(3, 'b', 'c', versions={'m': 1})
    )
    assert version.rows == () and version.versions == {'m': 1}
    assert isinstance(
        session.next_message(make_content(4, 'b', 'c', versions={'m': 1})),
        heartbeats.Beat,
    )


def test_reset_sends_everything_under_a_new_number():
    """A reused number would hide a missed update from the receiver."""
    session = heartbeats.Session(1)
    session.next_message(make_content(1, 'a'))
    session.reset()
    again = session.next_message(make_content(1, 'a'))
    assert (again.number, again.is_full, again.rows) == (2, True, (('a',),))
