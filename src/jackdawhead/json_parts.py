"""Decodes JSON documents whose parts are checked one by one."""

from __future__ import annotations

import json
from typing import Final, TypeVar

import msgspec

# Raised for malformed JSON, wrong types and nesting that is too deep.
DECODE_ERRORS: Final = (msgspec.DecodeError, ValueError, RecursionError)

_DecodedT = TypeVar('_DecodedT')


def decode_parts(body: bytes | str, kind: type[_DecodedT]) -> _DecodedT:
    """Decode a document whose parts are of type ``msgspec.Raw``.

    Text that is not Unicode, and numbers that are not finite, affect only the
    part that they are in.

    :param body: JSON text.
    :param kind: type of the document.
    :raises DECODE_ERRORS: if the document itself cannot be decoded.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODE_ERRORS:
        text = body if isinstance(body, str) else body.decode(errors='replace')
    plain = json.loads(text, parse_constant=_no_number)
    encoded = json.dumps(plain, ensure_ascii=False).encode(errors='replace')
    return msgspec.json.decode(encoded, type=kind)


def _no_number(_: str) -> None:
    """Replace NaN and infinity, which are not JSON, by null."""


__all__ = ('DECODE_ERRORS', 'decode_parts')
