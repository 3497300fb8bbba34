"""The text of a ticket: who keeps it, and a signature."""

from __future__ import annotations

import base64
import hmac
from dataclasses import dataclass
from typing import Final

import msgpack
from returns.result import Failure, Result, Success

_DOT: Final = '.'
_MAX_CHARS: Final = 512
_FIELDS: Final = (str, int, int)


@dataclass(frozen=True, slots=True)
class Ticket:
    """Names the one incarnation of a node that may run a request.

    :param vm: VM of the node that has issued it and keeps it.
    :param incarnation: of that node.
    :param number: its number at that node.
    """

    vm: str
    incarnation: int
    number: int


def encode_ticket(ticket: Ticket, key: str) -> str:
    """Return the signed text of a ticket, safe in a header.

    :param key: shared key of the nodes.
    """
    fields = [ticket.vm, ticket.incarnation, ticket.number]
    payload = msgpack.packb(fields)
    parts = (payload, _sign(payload, key))
    return _DOT.join(base64.urlsafe_b64encode(each).decode() for each in parts)


def decode_ticket(text: str, keys: tuple[str, ...]) -> Result[Ticket, str]:
    """Return the ticket of a text.

    :param text: as a caller sends it.
    :param keys: accepted keys.
    :returns: the ticket, or why it is refused.
    """
    if len(text) > _MAX_CHARS:
        return Failure('too long')
    try:
        payload, signature = map(_decode, text.split(_DOT))
    except ValueError:
        return Failure('malformed')
    if not any(_is_signed(payload, signature, key) for key in keys):
        return Failure('forged')
    fields = msgpack.unpackb(payload)
    if tuple(map(type, fields)) != _FIELDS:
        return Failure('malformed')
    return Success(Ticket(*fields))


def _decode(part: str) -> bytes:
    return base64.urlsafe_b64decode(part.encode('ascii', 'replace'))


def _sign(payload: bytes, key: str) -> bytes:
    return hmac.digest(key.encode(), b''.join((b'ticket|', payload)), 'sha256')


def _is_signed(payload: bytes, signature: bytes, key: str) -> bool:
    return hmac.compare_digest(_sign(payload, key), signature)


__all__ = ('Ticket', 'decode_ticket', 'encode_ticket')
