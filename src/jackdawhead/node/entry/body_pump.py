"""Streams a large request body from the caller to the home."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...outcome import Outcome
from ...reasons import Reason
from ...wire.messages import Body, Refusal
from ..credit import CHUNK_BYTES

if TYPE_CHECKING:
    from .attempts import Attempt
    from .requests import CallerRequest


def pump_body(request: CallerRequest, attempt: Attempt) -> None:
    """Send the rest of a body in chunks, as credit allows.

    A truncated body ends the attempt with an unknown outcome.

    :param request: request whose first chunk has been sent.
    :param attempt: attempt to which the chunks belong.
    """
    last = False
    while not last:
        try:
            chunk = request.read_body(CHUNK_BYTES)
        except OSError:
            attempt.deliver(_body_cut_refusal(attempt))
            return
        last = not chunk
        attempt.body_credit.acquire(len(chunk))
        attempt.channel.send(Body(attempt.request_id, chunk, last))


def _body_cut_refusal(attempt: Attempt) -> Refusal:
    return Refusal(
        attempt.request_id, Outcome.UNKNOWN.value, Reason.BODY_CUT.value, 0
    )


__all__ = ('pump_body',)
