"""Body of an answer as it comes in from the home."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...wire.messages import Body, Credit, Head

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .attempts import Attempt, Attempts


class CutAnswerError(Exception):
    """An answer ended before its end; the caller must not take it as whole."""


class AnswerBody:
    """Yields the chunks of a body once, granting credit as they are taken.

    :param attempts: where the attempt is registered.
    :param attempt: the attempt that got the answer.
    :param head: its head, with the first chunk.
    :param chunk_timeout_ms: longest wait for each further chunk.
    """

    def __init__(
        self,
        attempts: Attempts,
        attempt: Attempt,
        head: Head,
        chunk_timeout_ms: float,
    ) -> None:
        self._attempts = attempts
        self._attempt = attempt
        self._chunk = head.chunk
        self._last = head.last
        self._chunk_timeout_ms = chunk_timeout_ms
        if head.last:
            attempts.end(attempt)

    def __iter__(self) -> Iterator[bytes]:
        """Yield all chunks.

        :raises CutAnswerError: if the answer ends before its end.
        """
        yield self._chunk
        while not self._last:
            yield self.next_chunk()

    @property
    def whole(self) -> bytes | None:
        """The whole body, if it came with the head."""
        return self._chunk if self._last else None

    def await_first(self) -> None:
        """Wait for bytes, if none came with the head.

        :raises CutAnswerError: if the answer ends before its end.
        """
        if not self._chunk and not self._last:
            self._chunk = self.next_chunk()

    def next_chunk(self) -> bytes:
        """Return the next chunk.

        :raises CutAnswerError: if the answer ends before its end.
        """
        taken_bytes = max(1, len(self._chunk))
        request_id = self._attempt.request_id
        self._attempt.channel.send(Credit(request_id, taken_bytes))
        message = self._attempt.first(self._chunk_timeout_ms)
        if not isinstance(message, Body):
            self.close()
            raise CutAnswerError(str(message))
        self._chunk = message.chunk
        self._last = message.last
        if message.last:
            self._attempts.end(self._attempt)
        return message.chunk

    def close(self) -> None:
        """Withdraw the request, unless its answer is whole."""
        if not self._last:
            self._attempts.cancel(self._attempt)


__all__ = ('AnswerBody', 'CutAnswerError')
