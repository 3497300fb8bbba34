"""Bounds on the bytes of a connection that never become an answer's body.

Load pattern: upstreams in trouble that send headers, interim answers, answers
to other requests, chunk extensions or trailers until the connection is closed.
"""

from __future__ import annotations

from typing import Final

_MAX_HEAD_BYTES: Final = 65_536
# Interim answers, and answers to requests that are over, before the own one.
_MAX_OTHERS: Final = 16
_MAX_OTHER_BYTES: Final = 1_048_576
# Chunk extensions and trailers, without a byte of the body.
_MAX_FRAMING_BYTES: Final = 65_536


class AnswerBounds:
    """Counts what has come in on a connection, for one answer."""

    def __init__(self) -> None:
        self._head_bytes = 0
        self._other_bytes = 0
        self._framing_bytes = 0

    def note_before(self, received: int, others: int, *, in_head: bool) -> str:
        """Count bytes that came before the head of the own answer was whole.

        :param received: number of bytes.
        :param others: interim and foreign answers so far.
        :param in_head: whether they end within a head.
        :returns: which bound they cross, or nothing.
        """
        self._head_bytes = self._head_bytes + received if in_head else 0
        self._other_bytes += received
        if self._head_bytes > _MAX_HEAD_BYTES:
            return f'head of more than {_MAX_HEAD_BYTES} bytes'
        if others > _MAX_OTHERS:
            return f'more than {_MAX_OTHERS} answers before the own one'
        if self._other_bytes > _MAX_OTHER_BYTES:
            return f'{_MAX_OTHER_BYTES} bytes before the own answer'
        return ''

    def note_within(self, received: int, *, has_grown: bool) -> str:
        """Count bytes that came after the head of the own answer.

        :param received: number of bytes.
        :param has_grown: whether there was a byte of the body among them.
        :returns: which bound they cross, or nothing.
        """
        self._framing_bytes += received
        if has_grown:
            self._framing_bytes = 0
        if self._framing_bytes > _MAX_FRAMING_BYTES:
            return f'{_MAX_FRAMING_BYTES} bytes without a byte of the body'
        return ''


__all__ = ('AnswerBounds',)
