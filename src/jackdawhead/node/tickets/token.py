"""Signed text of a ticket, which names the node that issued it."""

from __future__ import annotations

import base64
import hmac
from dataclasses import dataclass
from typing import Final

import msgpack
from returns.result import Failure, Result, Success

_SEPARATOR: Final = '.'
_MAX_CHARS: Final = 512
_FIELD_TYPES: Final = (str, int, int)


@dataclass(frozen=True, slots=True)
class Ticket:
    """Names the only node incarnation that may run a request.

    :param vm: VM of the node that issued the ticket and stores it.
    :param incarnation: incarnation of that node.
    :param number: number of the ticket at that node.
    """

    vm: str
    incarnation: int
    number: int


def encode_ticket(ticket: Ticket, key: str) -> str:
    """Return the signed text of a ticket, in characters safe for a header.

    :param ticket: the ticket.
    :param key: shared key of the nodes.
    """
    fields = [ticket.vm, ticket.incarnation, ticket.number]
    payload = msgpack.packb(fields)
    parts = (payload, _sign(payload, key))
    return _SEPARATOR.join(
        base64.urlsafe_b64encode(each).decode() for each in parts
    )


def decode_ticket(text: str, keys: tuple[str, ...]) -> Result[Ticket, str]:
    """Verify the signed text of a ticket and return the ticket.

    :param text: text that a caller sent.
    :param keys: keys with which a ticket may be signed.
    :returns: the ticket, or why it is refused.
    """
    if len(text) > _MAX_CHARS:
        return Failure('too long')
    try:
        payload, signature = map(_decode, text.split(_SEPARATOR))
    except ValueError:
        return Failure('malformed')
    if not any(_is_valid(payload, signature, key) for key in keys):
        return Failure('forged')
    fields = msgpack.unpackb(payload)
    if tuple(map(type, fields)) != _FIELD_TYPES:
        return Failure('malformed')
    return Success(Ticket(*fields))


def _decode(part: str) -> bytes:
    return base64.urlsafe_b64decode(part.encode('ascii', 'replace'))


def _sign(payload: bytes, key: str) -> bytes:
    return hmac.digest(key.encode(), b''.join((b'ticket|', payload)), 'sha256')


def _is_valid(payload: bytes, signature: bytes, key: str) -> bool:
    return hmac.compare_digest(_sign(payload, key), signature)


__all__ = ('Ticket', 'decode_ticket', 'encode_ticket')
