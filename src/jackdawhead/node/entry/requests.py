"""Requests of callers and the answers they get."""

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
    :param deadline_ms: time the caller gives, 0 if it says nothing.
    :param body_bytes: length of the body, -1 if it is not known.
    :param chunk: first bytes of the body.
    :param last: whether the body ends with them.
    :param read_body: reads further bytes, empty at the end.
    :param host: host that the caller named, without a port.
    :param request_id: identity that the caller gave it, for the log.
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


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """An answer of an upstream, its body still to be read.

    :param body_bytes: length of the body, -1 if it is not known.
    :param body: its chunks; raises when it is cut.
    """

    status: int
    headers: HeaderPairs
    body_bytes: int
    body: AnswerBody | BufferedBody


@dataclass(frozen=True, slots=True)
class Refused:
    """The final answer of the fleet to a request it has given up on.

    :param retry_after_ms: when to come back, 0 if that makes no sense.
    """

    outcome: Outcome
    reason: Reason
    retry_after_ms: int = 0


Answer = UpstreamAnswer | Refused

__all__ = ('Answer', 'CallerRequest', 'ReadBody', 'Refused', 'UpstreamAnswer')
