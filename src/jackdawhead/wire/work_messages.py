"""Messages that carry a request and its answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from .base import HeaderPairs, Message, message

_NO_LIMIT: Final = 1000


@message(4)
@dataclass(frozen=True, slots=True)
class Submit(Message):
    """Asks the receiver to run a request on one of its upstreams.

    :param request_id: unique on the stream, minted for each attempt.
    :param upstream: identity of the upstream.
    :param target: path and query of the request line.
    :param deadline_ms: time left for the whole answer.
    :param may_wait: whether the home may queue it.
    :param body_bytes: length of the body, -1 if it is not known.
    :param chunk: first bytes of the body.
    :param last: whether the body ends with this chunk.
    :param host: host that the caller named.
    :param caller_service: service of the VM from which the request comes.
    :param risk_limit: the home refuses the request if the risk of a failure
        is greater, in thousandths.
    """

    request_id: int
    service: str
    upstream: str
    operation: str
    method: str
    target: str
    headers: HeaderPairs
    organisation: str
    fingerprint: int
    deadline_ms: int
    may_wait: bool
    body_bytes: int
    chunk: bytes
    last: bool
    host: str = ''
    caller_service: str = ''
    risk_limit: int = _NO_LIMIT


@message(5)
@dataclass(frozen=True, slots=True)
class Body(Message):
    """A chunk of a request's or an answer's body."""

    request_id: int
    chunk: bytes
    last: bool


@message(6)
@dataclass(frozen=True, slots=True)
class Credit(Message):
    """Allows the sender of a body to send that many bytes more."""

    request_id: int
    byte_count: int


@message(7)
@dataclass(frozen=True, slots=True)
class Head(Message):
    """Status and headers of an upstream's answer, with its first bytes."""

    request_id: int
    status: int
    headers: HeaderPairs
    body_bytes: int
    chunk: bytes
    last: bool


@message(8)
@dataclass(frozen=True, slots=True)
class Refusal(Message):
    """Ends a request without an answer of the upstream, or cuts one.

    :param outcome: value of :class:`~jackdawhead.outcome.Outcome`.
    :param reason: value of a :class:`~jackdawhead.node.reasons.Reason`.
    :param retry_after_ms: when to come back, 0 for at once elsewhere.
    """

    request_id: int
    outcome: str
    reason: str
    retry_after_ms: int


@message(9)
@dataclass(frozen=True, slots=True)
class Cancel(Message):
    """Withdraws a request whose caller no longer waits."""

    request_id: int


@message(16)
@dataclass(frozen=True, slots=True)
class TicketSubmit(Message):
    """A request with a ticket, forwarded to the node that keeps it.

    :param ticket: signed text of the ticket.
    :param chunk: the whole body.
    """

    request_id: int
    ticket: str
    method: str
    target: str
    headers: HeaderPairs
    organisation: str
    deadline_ms: int
    chunk: bytes


__all__ = (
    'Body',
    'Cancel',
    'Credit',
    'Head',
    'Refusal',
    'Submit',
    'TicketSubmit',
)
