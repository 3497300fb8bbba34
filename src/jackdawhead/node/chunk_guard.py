"""Bounds what a caller may send beside the bytes of a chunked body."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent

if TYPE_CHECKING:
    from typing import BinaryIO

# Sizes, extensions and trailers are read byte by byte.
_MAX_FRAMING_BYTES: Final = 262_144
_TURN_BYTES: Final = 16_384


class ChunkGuard:
    """Reader that fails when framing goes on without end.

    :param rfile: buffered reader of the connection.
    """

    def __init__(self, rfile: BinaryIO) -> None:
        self._rfile = rfile
        self._framing_bytes = 0

    def read(self, size: int) -> bytes:
        """Return the next bytes.

        :raises OSError: if the framing is too large.
        """
        if size > 1:
            self._framing_bytes = 0
            return self._rfile.read(size)
        self._framing_bytes += 1
        if self._framing_bytes > _MAX_FRAMING_BYTES:
            raise OSError(f'{_MAX_FRAMING_BYTES} bytes beside the body')
        if not self._framing_bytes % _TURN_BYTES:
            # A fast sender must not hold up all other requests.
            gevent.sleep(0)
        return self._rfile.read(size)

    def readline(self, size: int = -1) -> bytes:
        """Return the next line of the body."""
        return self._rfile.readline(size)


__all__ = ('ChunkGuard',)
