"""Body of a caller's request, and whether a request may follow it.

Once a read of a body has failed or was interrupted, nobody knows where in the
body the connection is. Bytes that follow must not be taken for a request: a
caller could hide one in them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent
from gevent.pywsgi import Input

from ..clock import seconds
from .chunk_guard import ChunkGuard

if TYPE_CHECKING:
    from typing import BinaryIO

    from gevent.socket import socket as Socket

# A longer rest of a body costs more than a new connection.
_MAX_DISCARDED_BYTES: Final = 1_048_576
_DISCARD_BYTES: Final = 16_384
_DISCARD_TIMEOUT_MS: Final = 2000


class BodyPositionLostError(OSError):
    """An earlier read of this body failed or has not ended."""


class CallerBody(Input):
    """Body of one request.

    :param rfile: buffered reader of the connection.
    :param content_length: length of the body, none if not announced.
    :param expecting: connection on which the caller waits for status 100
        before it sends the body, none if it does not wait.
    :param is_chunked: whether the body comes in chunks.
    """

    def __init__(
        self,
        rfile: BinaryIO,
        content_length: int | None,
        expecting: Socket | None,
        *,
        is_chunked: bool,
    ) -> None:
        super().__init__(rfile, content_length, expecting, is_chunked)
        if is_chunked:
            self.rfile = ChunkGuard(rfile, self)
        self._is_position_lost = False
        self._reader: gevent.Greenlet | None = None
        self._has_body = bool(content_length) or is_chunked

    def read(self, length: int | None = None) -> bytes:
        """Return the next bytes of the body, none at its end.

        :param length: maximum number of bytes.
        :raises OSError: if the body is truncated or malformed, and from then
            on at each call; also while another greenlet reads.
        """
        if self._is_position_lost:
            raise BodyPositionLostError('an earlier read of the body failed')
        # Kept if the read ends in any other way than by returning.
        self._is_position_lost = True
        self._reader = gevent.getcurrent()
        try:
            chunk: bytes = super().read(length)
        except ValueError as error:
            # gevent raises it for a chunk without a size.
            raise OSError(f'malformed request body: {error}') from error
        finally:
            self._reader = None
        self._is_position_lost = False
        return chunk

    @property
    def may_be_followed(self) -> bool:
        """Whether a request can follow on the connection.

        A caller that was not asked to continue may send its body or not.
        """
        if self._is_position_lost:
            return False
        is_unasked = self._has_body and self.socket is not None
        return not is_unasked and self._rest_bytes <= _MAX_DISCARDED_BYTES

    def end_reader(self) -> None:
        """End another greenlet that is still reading.

        Two greenlets can't wait for the same connection.
        """
        if self._reader is not None:
            self._reader.kill()

    def discard_rest(self) -> None:
        """Read up to the end of the body, unless that takes too long.

        :raises OSError: if the rest is truncated or malformed.
        """
        if not self._has_body or not self.may_be_followed:
            return
        discarded_bytes = 0
        with gevent.Timeout(seconds(_DISCARD_TIMEOUT_MS), TimeoutError):
            while chunk := self.read(_DISCARD_BYTES):
                discarded_bytes += len(chunk)
                if discarded_bytes > _MAX_DISCARDED_BYTES:
                    self._is_position_lost = True
                    return

    @property
    def _rest_bytes(self) -> int:
        """Bytes that are known to follow; 0 if the length is not known."""
        if self.chunked_input:
            return 0
        position: int = self.position
        return (self.content_length or 0) - position

    def _discard(self) -> None:
        """Replace the unbounded reading of gevent, which ignores failures."""


__all__ = ('BodyPositionLostError', 'CallerBody')
