"""Limits on bytes of a connection that do not belong to an answer's body.

Load pattern: faulty upstreams that send headers, interim answers, answers to
other requests, chunk extensions or trailers until the connection is closed.
"""

from __future__ import annotations

from typing import Final

_MAX_HEAD_BYTES: Final = 65_536
# Interim answers, and answers to earlier requests, before the expected one.
_MAX_OTHER_ANSWERS: Final = 16
_MAX_BYTES_BEFORE_HEAD: Final = 1_048_576
# Chunk extensions and trailers without a byte of the body in between.
_MAX_FRAMING_BYTES: Final = 65_536


class AnswerBounds:
    """Counts the bytes that a connection received for one answer."""

    def __init__(self) -> None:
        self._head_bytes = 0
        self._bytes_before_head = 0
        self._framing_bytes = 0

    def check_before_head(
        self, received: int, other_answers: int, *, in_head: bool
    ) -> str:
        """Count bytes received before the answer's head was complete.

        :param received: number of bytes.
        :param other_answers: number of interim answers and answers to other
            requests so far.
        :param in_head: whether the bytes end within a head.
        :returns: description of the exceeded limit, or an empty text.
        """
        self._head_bytes = self._head_bytes + received if in_head else 0
        self._bytes_before_head += received
        if self._head_bytes > _MAX_HEAD_BYTES:
            return f'head of more than {_MAX_HEAD_BYTES} bytes'
        if other_answers > _MAX_OTHER_ANSWERS:
            return f'more than {_MAX_OTHER_ANSWERS} answers to other requests'
        if self._bytes_before_head > _MAX_BYTES_BEFORE_HEAD:
            return f'more than {_MAX_BYTES_BEFORE_HEAD} bytes before the answer'
        return ''

    def check_after_head(self, received: int, *, has_body_bytes: bool) -> str:
        """Count bytes received after the answer's head.

        :param received: number of bytes.
        :param has_body_bytes: whether they held a byte of the body or its end.
        :returns: description of the exceeded limit, or an empty text.
        """
        self._framing_bytes += received
        if has_body_bytes:
            self._framing_bytes = 0
        if self._framing_bytes > _MAX_FRAMING_BYTES:
            return f'more than {_MAX_FRAMING_BYTES} bytes of framing, no body'
        return ''


__all__ = ('AnswerBounds',)
