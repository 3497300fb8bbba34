"""Frame format of the messages.

A frame is a big-endian length of four bytes, followed by a msgpack array of
the message code and the fields.
"""

from __future__ import annotations

import struct
from dataclasses import fields
from typing import Any, Final

import msgpack
from returns.result import Failure, Result, Success

from .base import is_optional
from .field_bounds import Bounds, bounds_of
from .messages import MESSAGE_CODES, MESSAGE_TYPES, Message

MAX_FRAME_BYTES: Final = 1_200_000
_MAX_ARRAY_ITEMS: Final = 4096
_LENGTH_PREFIX: Final = struct.Struct('>I')
_WIRE_TYPES: Final = {
    'int': int,
    'str': str,
    'bytes': bytes,
    'bool': bool,
    'HeaderPairs': list,
}

# Inspecting the data class for each message is slow, so the field names and
# expected types are computed once for each class.
_FIELD_NAMES: Final[dict[type[Message], tuple[str, ...]]] = {
    kind: tuple(each.name for each in fields(kind)) for kind in MESSAGE_CODES
}
_FIELD_TYPES: Final[dict[type[Message], tuple[type, ...]]] = {
    kind: tuple(_WIRE_TYPES[str(each.type)] for each in fields(kind))
    for kind in MESSAGE_CODES
}
_PositionedBounds = tuple[tuple[int, Bounds], ...]
_INT_FIELDS: Final[dict[type[Message], _PositionedBounds]] = {
    kind: tuple(
        (position, bounds_of(name))
        for position, name in enumerate(names)
        if _FIELD_TYPES[kind][position] is int
    )
    for kind, names in _FIELD_NAMES.items()
}
_OPTIONAL_DEFAULTS: Final[dict[type[Message], tuple[Any, ...]]] = {
    kind: tuple(each.default for each in fields(kind) if is_optional(each))
    for kind in MESSAGE_CODES
}
_pack = msgpack.Packer(use_bin_type=True).pack


def encode(message: Message) -> bytes:
    """Encode a message as a frame.

    :param message: any registered message.
    """
    kind = type(message)
    parts = [MESSAGE_CODES[kind]]
    parts.extend(getattr(message, name) for name in _FIELD_NAMES[kind])
    for default in reversed(_OPTIONAL_DEFAULTS[kind]):
        if parts[-1] != default:
            break
        parts.pop()
    payload: bytes = _pack(parts)
    return b''.join((_LENGTH_PREFIX.pack(len(payload)), payload))


def decode(payload: bytes) -> Result[Message, str]:
    """Decode the payload of a frame, without the length.

    :param payload: msgpack array.
    :returns: the message, or why the payload is invalid.
    """
    try:
        parts = msgpack.unpackb(
            payload, max_array_len=_MAX_ARRAY_ITEMS, max_map_len=0
        )
    except (ValueError, msgpack.UnpackException) as error:
        return Failure(f'not a msgpack array: {error}')
    if not isinstance(parts, list) or not parts:
        return Failure('not a msgpack array')
    kind = MESSAGE_TYPES.get(parts[0]) if isinstance(parts[0], int) else None
    if kind is None:
        return Failure('unknown message code')
    arguments: list[Any] = parts[1:]
    arguments.extend(_missing_defaults(kind, len(arguments)))
    if not _has_valid_fields(kind, arguments):
        return Failure(f'wrong fields for {kind.__name__}')
    if not _apply_bounds(kind, arguments):
        return Failure(f'number out of bounds in {kind.__name__}')
    return Success(kind(*arguments))


def _missing_defaults(kind: type[Message], count: int) -> tuple[Any, ...]:
    """Return the defaults of the optional fields that a message lacks."""
    defaults = _OPTIONAL_DEFAULTS[kind]
    missing = len(_FIELD_NAMES[kind]) - count
    return defaults[-missing:] if 0 < missing <= len(defaults) else ()


def _has_valid_fields(kind: type[Message], arguments: list[Any]) -> bool:
    expected = _FIELD_TYPES[kind]
    if tuple(map(type, arguments)) != expected:
        return False
    pairs = [part for part in arguments if isinstance(part, list)]
    return all(_is_header_pairs(part) for part in pairs)


def _apply_bounds(kind: type[Message], arguments: list[Any]) -> bool:
    """Reduce numbers above a bound; return whether all others are within."""
    for position, bounds in _INT_FIELDS[kind]:
        number = arguments[position]
        if number > bounds.most and bounds.clamps:
            arguments[position] = bounds.most
        elif not bounds.least <= number <= bounds.most:
            return False
    return True


def _is_header_pairs(part: list[Any]) -> bool:
    return all(
        isinstance(pair, list)
        and len(pair) == 2
        and isinstance(pair[0], str)
        and isinstance(pair[1], str)
        for pair in part
    )


class FrameReader:
    """Splits received bytes into payloads of bounded length."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.oversized = False

    def feed(self, received: bytes) -> list[bytes]:
        """Return the payloads completed by the received bytes.

        A frame above ``MAX_FRAME_BYTES`` sets ``oversized``, and no further
        payloads are returned.

        :param received: bytes read from the socket.
        """
        buffer = self._buffer
        buffer += received
        payloads: list[bytes] = []
        start = 0
        while len(buffer) - start >= _LENGTH_PREFIX.size:
            length = _LENGTH_PREFIX.unpack_from(buffer, start)[0]
            if length > MAX_FRAME_BYTES:
                self.oversized = True
                break
            end = start + _LENGTH_PREFIX.size + length
            if len(buffer) < end:
                break
            payloads.append(bytes(buffer[start + _LENGTH_PREFIX.size : end]))
            start = end
        del buffer[:start]  # noqa: WPS420
        return payloads


__all__ = ('MAX_FRAME_BYTES', 'FrameReader', 'decode', 'encode')
