"""Messages between daemons: frozen dataclasses in msgpack frames.

A frame is the msgpack array ``[kind, request id, message]``; a message is an
extension type that holds ``[name, fields]``. Unknown fields are dropped and
missing fields take their defaults, so that two releases can communicate
during a rolling restart.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

import msgpack

from lentildeal._internal import exceptions

T = typing.TypeVar('T')

MAX_FRAME_BYTES = 64 * 1024 * 1024
# Initial buffer of a decoder, one for each connection. The default of the
# library is 1 MiB.
BUFFER_BYTES = 16 * 1024
_MESSAGE_CODE = 1

_types: dict[str, type] = {}
_names: dict[type, str] = {}


class FrameKind(enum.IntEnum):
    """Kind of a frame."""

    CALL = 0
    RESPONSE = 1
    ERROR = 2
    NOTICE = 3


@dataclasses.dataclass(frozen=True)
class Frame:
    """One frame; ``message`` is None in a response without a value."""

    kind: FrameKind
    request: int
    message: typing.Any


def message(name: str) -> typing.Callable[[type[T]], type[T]]:
    """Registers a frozen dataclass under the name used in frames.

    Dataclasses nested in a message must be registered as well.
    """

    def register(cls: type[T]) -> type[T]:
        if name in _types:
            raise ValueError(f'message {name} is registered twice')
        _types[name] = cls
        _names[cls] = name
        return cls

    return register


def encode_frame(frame: Frame) -> bytes:
    """Encodes a frame.

    Raises:
        exceptions.WireError: The message holds a value of an unregistered
            type.
    """
    body = [int(frame.kind), frame.request, frame.message]
    try:
        return msgpack.packb(body, default=_encode_value)
    except (TypeError, ValueError, OverflowError) as error:
        raise exceptions.WireError(
            f'cannot encode the frame: {error}'
        ) from error


def make_unpacker() -> msgpack.Unpacker:
    """Makes the incremental decoder of one connection."""
    return msgpack.Unpacker(
        ext_hook=_decode_message,
        max_buffer_size=MAX_FRAME_BYTES,
        read_size=BUFFER_BYTES,
        strict_map_key=False,
        use_list=False,
    )


def iter_frames(unpacker: msgpack.Unpacker) -> typing.Iterator[Frame]:
    """Yields the complete frames that an incremental decoder holds.

    Raises:
        exceptions.WireError: The bytes are not a frame.
    """
    try:
        for body in unpacker:
            yield to_frame(body)
    # A map whose key is a map raises TypeError.
    except (TypeError, ValueError, msgpack.UnpackException) as error:
        raise exceptions.WireError(f'not a frame: {error}') from error


def to_frame(body: typing.Any) -> Frame:
    """Checks a decoded msgpack value.

    Raises:
        exceptions.WireError: The value is not a frame.
    """
    try:
        kind, request, content = body
        return Frame(FrameKind(kind), int(request), content)
    except (TypeError, ValueError) as error:
        raise exceptions.WireError(f'not a frame: {error}') from error


def _encode_value(value: typing.Any) -> msgpack.ExtType:
    name = _names.get(type(value))
    if name is None:
        raise TypeError(f'{type(value).__name__} is not a registered message')
    fields = {
        field.name: getattr(value, field.name)
        for field in dataclasses.fields(value)
    }
    data = msgpack.packb([name, fields], default=_encode_value)
    return msgpack.ExtType(_MESSAGE_CODE, data)


def _decode_message(code: int, data: bytes) -> typing.Any:
    if code != _MESSAGE_CODE:
        raise exceptions.WireError(f'unknown extension type {code}')
    try:
        name, fields = msgpack.unpackb(
            data,
            ext_hook=_decode_message,
            strict_map_key=False,
            use_list=False,
        )
        cls = _types[name]
        known = {field.name for field in dataclasses.fields(cls)}
        return cls(**{k: v for k, v in fields.items() if k in known})
    except exceptions.WireError:
        raise
    except Exception as error:
        raise exceptions.WireError(
            f'cannot decode the message: {error}'
        ) from error
