"""Messages that carry requests and answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from .base import HeaderPairs, Message, message, optional_field

_MAX_RISK: Final = 1000
OPERATION_PRIORITY: Final = -1


@message(4)
@dataclass(frozen=True, slots=True)
class Submit(Message):
    """Submits a request to run on an upstream of the receiving home.

    :param request_id: number unique on the stream, new for each attempt.
    :param upstream: identity of the upstream.
    :param target: path and query of the request line.
    :param fingerprint: hash of the request, to recognise poison requests.
    :param deadline_ms: time left for the complete answer, in milliseconds.
    :param may_wait: whether the home may queue the request.
    :param body_bytes: length of the body, -1 if unknown.
    :param chunk: first bytes of the body.
    :param last: whether the body ends with this chunk.
    :param host: host named in the caller's request.
    :param caller_service: service that runs on the VM of the caller.
    :param risk_limit: highest acceptable probability of a failure, in
        thousandths; above it the home refuses the request.
    :param priority: rank under overload, 0 being the most important; -1 for
        that of the operation.
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
    risk_limit: int = _MAX_RISK
    priority: int = optional_field(OPERATION_PRIORITY)


@message(5)
@dataclass(frozen=True, slots=True)
class Body(Message):
    """Next chunk of the body of a request or an answer."""

    request_id: int
    chunk: bytes
    last: bool


@message(6)
@dataclass(frozen=True, slots=True)
class Credit(Message):
    """Grants the sender of a body more bytes of flow-control credit."""

    request_id: int
    byte_count: int


@message(7)
@dataclass(frozen=True, slots=True)
class Head(Message):
    """Status, headers and first body bytes of an upstream's answer."""

    request_id: int
    status: int
    headers: HeaderPairs
    body_bytes: int
    chunk: bytes
    last: bool


@message(8)
@dataclass(frozen=True, slots=True)
class Refusal(Message):
    """Ends a request without a complete answer from the upstream.

    :param outcome: value of :class:`~jackdawhead.outcome.Outcome`.
    :param reason: value of :class:`~jackdawhead.reasons.Reason`.
    :param retry_after_ms: time in milliseconds before a retry makes sense;
        0 means that another upstream can be tried at once.
    """

    request_id: int
    outcome: str
    reason: str
    retry_after_ms: int


@message(9)
@dataclass(frozen=True, slots=True)
class Cancel(Message):
    """Cancels a request whose answer is no longer needed."""

    request_id: int


@message(16)
@dataclass(frozen=True, slots=True)
class TicketSubmit(Message):
    """A request with a ticket, forwarded to the node that issued the ticket.

    :param ticket: signed text of the ticket.
    :param deadline_ms: time left for the complete answer, in milliseconds.
    :param chunk: the complete body.
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
    'OPERATION_PRIORITY',
    'Body',
    'Cancel',
    'Credit',
    'Head',
    'Refusal',
    'Submit',
    'TicketSubmit',
)
