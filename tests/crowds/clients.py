"""The crowds of clients that misbehave, by name."""

from __future__ import annotations

import itertools
import typing

from tests.crowds import settings
from tests.lib import crowd

# Pieces of a body that is sent in small ones.
PIECE_BYTES = 4096
FILL = b'x' * PIECE_BYTES
CHUNK = b'%x\r\n%s\r\n' % (len(FILL), FILL)
PIECES = settings.BODY_BYTES // PIECE_BYTES
# Far over the limit of a body.
HUGE_BYTES = 64 * settings.BODY_BYTES
SLOW_S = 0.1


class Behaviour(typing.NamedTuple):
    """A crowd: number of clients, and what each does at a path."""

    count: int
    make: typing.Callable[[str, str], crowd.Client]


BEHAVIOURS: dict[str, Behaviour] = {}


def _register(name: str, count: int, **options: typing.Any):
    """Registers a function that yields the bytes of one client."""

    def decorate(make_parts):
        def make(method: str, target: str) -> crowd.Client:
            return crowd.Client(lambda: make_parts(method, target), **options)

        BEHAVIOURS[name] = Behaviour(count, make)
        return make_parts

    return decorate


def _make_body_head(method: str, target: str, size_bytes: int) -> bytes:
    length = f'Content-Length: {size_bytes}'
    return settings.make_head(method, target, length) + b'\r\n'


@_register('short body in one piece', 16)
def _send_short_body(method, target):
    yield _make_body_head(method, target, settings.BODY_BYTES)
    yield b'x' * (settings.BODY_BYTES - 1)


@_register('short body in pieces', 16)
def _send_short_pieces(method, target):
    yield _make_body_head(method, target, settings.BODY_BYTES)
    yield from itertools.repeat(FILL, PIECES - 1)


@_register('short body in chunks', 16)
def _send_short_chunks(method, target):
    coding = 'Transfer-Encoding: chunked'
    yield settings.make_head(method, target, coding) + b'\r\n'
    yield from itertools.repeat(CHUNK, PIECES - 1)


@_register('huge body', 16)
def _send_huge_body(method, target):
    yield _make_body_head(method, target, HUGE_BYTES)
    yield from itertools.repeat(FILL, HUGE_BYTES // PIECE_BYTES)


@_register('huge body in chunks', 16)
def _send_huge_chunks(method, target):
    coding = 'Transfer-Encoding: chunked'
    yield settings.make_head(method, target, coding) + b'\r\n'
    yield from itertools.repeat(CHUNK, HUGE_BYTES // PIECE_BYTES)


@_register('many header fields', 400)
def _send_header_fields(method, target):
    yield settings.make_head(method, target)
    for number in range(90):
        yield b'X-%d: %s\r\n' % (number, b'y' * 150)


@_register('many query fields', 100, reads=False)
def _send_query_fields(method, target):
    query = '&'.join(f'a{number}=1' for number in range(900))
    separator = '&' if '?' in target else '?'
    head = settings.make_head(method, f'{target}{separator}{query}')
    yield from itertools.repeat(head + b'\r\n', 20)


def _send_json(method, target, item: bytes):
    count = settings.BODY_BYTES // len(item) - 1
    body = b'[' + item * count + item.rstrip(b',') + b']'
    yield _make_body_head(method, target, len(body))
    yield body


@_register('many JSON lists', 3)
def _send_json_lists(method, target):
    yield from _send_json(method, target, b'[],')


@_register('many JSON objects', 3)
def _send_json_objects(method, target):
    yield from _send_json(method, target, b'{"a":{}},')


@_register('many JSON numbers', 3)
def _send_json_numbers(method, target):
    yield from _send_json(method, target, b'1.5,')


@_register('deep JSON', 3)
def _send_json_depth(method, target):
    half = settings.BODY_BYTES // 2
    yield _make_body_head(method, target, 2 * half)
    yield b'[' * half + b']' * half


@_register('requests ahead', 40, reads=False)
def _send_ahead(method, target):
    request = settings.make_head(method, target) + b'\r\n'
    yield from itertools.repeat(request, 2000)


@_register('slow heads', 400, pause_s=SLOW_S)
def _send_slow_head(method, target):
    for byte in settings.make_head(method, target):
        yield bytes([byte])


@_register('slow bodies', 400, pause_s=SLOW_S)
def _send_slow_body(method, target):
    yield _make_body_head(method, target, 1000)
    yield from itertools.repeat(b'x', 999)


@_register('slow readers', 400, reads=False)
def _read_nothing(method, target):
    request = settings.make_head(method, target) + b'\r\n'
    yield from itertools.repeat(request, 50)


@_register('half-way stops', 400, closes=True)
def _stop_half_way(method, target):
    head = _make_body_head(method, target, PIECE_BYTES)
    yield head[: len(head) // 2]
    yield head[len(head) // 2 :]
    yield FILL[: PIECE_BYTES // 2]
