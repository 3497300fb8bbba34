"""Callers' requests and the answers to them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...outcome import Outcome
from ...reasons import Reason

if TYPE_CHECKING:
    from ...wire.messages import HeaderPairs
    from .answer_body import AnswerBody
    from .buffered_body import BufferedBody

ReadBody = Callable[[int], bytes]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as a caller sent it.

    :param target: path and query.
    :param headers: end-to-end headers.
    :param deadline_ms: time that the caller allows, 0 if it sent no deadline.
    :param body_bytes: length of the body, -1 if unknown.
    :param chunk: first bytes of the body.
    :param last: whether the chunk ends the body.
    :param read_body: reads up to a number of further bytes, empty at the end.
    :param host: host that the caller named, without the port.
    :param request_id: identity that the caller gave the request, for the log.
    :param connected_at_ms: monotonic time at which its connection was accepted,
        0 if another node has forwarded it.
    :param key_digest: digest of the key that identifies the organisation, empty
        without one or if another node has checked it.
    """

    method: str
    path: str
    target: str
    headers: HeaderPairs
    organisation: str
    deadline_ms: int
    body_bytes: int
    chunk: bytes
    last: bool
    read_body: ReadBody
    host: str = ''
    request_id: str = ''
    connected_at_ms: float = 0
    key_digest: str = ''


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """An answer of an upstream, whose body may still be arriving.

    :param body_bytes: length of the body, -1 if unknown.
    :param body: chunks of the body; iterating raises if it is truncated.
    """

    status: int
    headers: HeaderPairs
    body_bytes: int
    body: AnswerBody | BufferedBody


@dataclass(frozen=True, slots=True)
class Refused:
    """Refusal that the fleet itself returns to a caller.

    :param outcome: whether the request ran on an upstream.
    :param reason: why no upstream's answer is returned.
    :param retry_after_ms: time after which the caller may retry, 0 to give
        none.
    """

    outcome: Outcome
    reason: Reason
    retry_after_ms: int = 0


Answer = UpstreamAnswer | Refused

__all__ = ('Answer', 'CallerRequest', 'ReadBody', 'Refused', 'UpstreamAnswer')
