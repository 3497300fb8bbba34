"""Body of an answer that is streamed from the home."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...clock import monotonic_ms
from ...wire.messages import Body, Credit, Head

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from .attempts import Attempt, PendingAttempts


class CutAnswerError(Exception):
    """An answer is truncated; the caller must not take it as complete."""


class AnswerBody:
    """Yields the chunks of a body once, granting credit as they are consumed.

    :param attempts: attempts in flight, among them this one.
    :param attempt: attempt that received the answer.
    :param head: head of the answer, with the first chunk.
    :param timeout_ms: longest time until the last chunk arrives; a chunk that
        has arrived by then is still yielded.
    :param on_complete: called when the last chunk has arrived.
    """

    def __init__(
        self,
        attempts: PendingAttempts,
        attempt: Attempt,
        head: Head,
        timeout_ms: float,
        on_complete: Callable[[], None] | None = None,
    ) -> None:
        self._attempts = attempts
        self._attempt = attempt
        self._chunk = head.chunk
        self._last = head.last
        self._ends_at_ms = monotonic_ms() + timeout_ms
        self._on_complete = on_complete
        if head.last:
            self._complete()

    def __iter__(self) -> Iterator[bytes]:
        """Yield all chunks.

        :raises CutAnswerError: if the answer is truncated.
        """
        yield self._chunk
        while not self._last:
            yield self.next_chunk()

    @property
    def buffered(self) -> bytes | None:
        """The complete body if it arrived with the head, else nothing."""
        return self._chunk if self._last else None

    @property
    def held_bytes(self) -> int:
        """Bytes that have arrived and that the caller has not taken."""
        return len(self._chunk) + self._attempt.held_bytes

    def await_first(self) -> None:
        """Wait for the first chunk if none arrived with the head.

        :raises CutAnswerError: if the answer is truncated.
        """
        if not self._chunk and not self._last:
            self._chunk = self.next_chunk()

    def next_chunk(self) -> bytes:
        """Return the next chunk.

        :raises CutAnswerError: if the answer is truncated.
        """
        consumed_bytes = max(1, len(self._chunk))
        request_id = self._attempt.request_id
        self._attempt.channel.send(Credit(request_id, consumed_bytes))
        left_ms = max(0, self._ends_at_ms - monotonic_ms())
        message = self._attempt.next_message(left_ms)
        if not isinstance(message, Body):
            self.close()
            raise CutAnswerError(str(message))
        self._chunk = message.chunk
        self._last = message.last
        if message.last:
            self._complete()
        return message.chunk

    def close(self) -> None:
        """Cancel the request unless its answer is complete."""
        if not self._last:
            self._attempts.cancel(self._attempt)

    def _complete(self) -> None:
        self._attempts.end(self._attempt)
        if self._on_complete is not None:
            self._on_complete()


__all__ = ('AnswerBody', 'CutAnswerError')
