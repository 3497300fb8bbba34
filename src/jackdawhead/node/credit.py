"""Flow control of a body: the receiver grants bytes to the sender."""

from __future__ import annotations

from typing import Final

from gevent.event import Event

WINDOW_BYTES: Final = 262_144
CHUNK_BYTES: Final = 16_384


class CreditGate:
    """Bytes that may be sent before the receiver grants more."""

    def __init__(self) -> None:
        self._left = WINDOW_BYTES
        self._open = Event()
        self._open.set()

    def take(self, byte_count: int) -> None:
        """Spend credit, waiting while there is none.

        :param byte_count: bytes about to be sent; may exceed the credit
            by less than one chunk.
        """
        self._open.wait()
        self._left -= byte_count
        if self._left <= 0:
            self._open.clear()

    def grant(self, byte_count: int) -> None:
        """Add credit.

        :param byte_count: bytes that the receiver has passed on.
        """
        self._left += byte_count
        if self._left > 0:
            self._open.set()


__all__ = ('CHUNK_BYTES', 'WINDOW_BYTES', 'CreditGate')
