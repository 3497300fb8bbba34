"""Credit-based flow control of a body."""

from __future__ import annotations

from typing import Final

from gevent.event import Event

WINDOW_BYTES: Final = 262_144
CHUNK_BYTES: Final = 16_384


class CreditGate:
    """Limits how many bytes a sender sends before the receiver grants more."""

    def __init__(self) -> None:
        self._remaining_bytes = WINDOW_BYTES
        self._has_credit = Event()
        self._has_credit.set()

    def acquire(self, byte_count: int) -> None:
        """Wait until there is credit, then spend it.

        :param byte_count: number of bytes to send; may exceed the credit by
            less than one chunk.
        """
        self._has_credit.wait()
        self._remaining_bytes -= byte_count
        if self._remaining_bytes <= 0:
            self._has_credit.clear()

    def grant(self, byte_count: int) -> None:
        """Add credit, up to the window.

        :param byte_count: number of bytes that the receiver has forwarded.
        """
        self._remaining_bytes = min(
            WINDOW_BYTES, self._remaining_bytes + byte_count
        )
        if self._remaining_bytes > 0:
            self._has_credit.set()


__all__ = ('CHUNK_BYTES', 'WINDOW_BYTES', 'CreditGate')
