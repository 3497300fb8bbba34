"""Reads what a caller sends, within the limits of a request's head."""

from __future__ import annotations

from dataclasses import dataclass
from io import RawIOBase
from typing import TYPE_CHECKING, Final

import gevent

from ..clock import monotonic_ms, seconds
from ..policy.caller_bounds import CallerPhase

if TYPE_CHECKING:
    from gevent.socket import socket as Socket

DEFAULT_MAX_HEAD_BYTES: Final = 65_536
_DEFAULT_HEAD_MS: Final = 60_000


class CallerClosedError(TimeoutError):
    """The node closes the connection since it holds too much."""


@dataclass(frozen=True, slots=True)
class HeadLimits:
    """Limits for the head of a request.

    :param max_bytes: maximum size of the request line, and of all headers.
    :param time_ms: maximum time in which it arrives, from its first byte, or
        from the start of the connection if nothing has been received.
    """

    max_bytes: int = DEFAULT_MAX_HEAD_BYTES
    time_ms: float = _DEFAULT_HEAD_MS


class CallerStream(RawIOBase):
    """Raw reader of a connection; it knows what the caller is sending.

    The attribute ``phase`` has what is being read, ``since_ms`` the monotonic
    time at which that began, and ``given_bytes`` the bytes received since.

    :param sock: the caller's connection.
    :param idle_ms: longest wait for the next bytes.
    :param limits: limits for the first head.
    """

    def __init__(
        self, sock: Socket, idle_ms: float, limits: HeadLimits
    ) -> None:
        super().__init__()
        self._sock = sock
        self._idle_ms = idle_ms
        self._limits = limits
        self._reader: gevent.Greenlet | None = None
        self._is_closing = False
        self.phase = CallerPhase.SILENT
        self.since_ms = monotonic_ms()
        self.given_bytes = 0

    def readable(self) -> bool:
        """Return true."""
        return True

    def begin(
        self, phase: CallerPhase, limits: HeadLimits | None = None
    ) -> None:
        """Note what is read from now on.

        :param phase: the phase that begins.
        :param limits: limits for the next head, if they may have changed.
        """
        self.phase = phase
        self.since_ms = monotonic_ms()
        self.given_bytes = 0
        self._limits = limits or self._limits

    def readinto(self, buffer: memoryview) -> int:  # type: ignore[override]
        """Receive bytes.

        :param buffer: filled in from its start.
        :raises TimeoutError: if the caller is too slow, or if the node closes
            the connection.
        """
        if self._is_closing:
            raise CallerClosedError('too much is held for callers')
        received = self._receive(buffer)
        if received and self.phase in {CallerPhase.SILENT, CallerPhase.IDLE}:
            self.begin(CallerPhase.HEAD)
        self.given_bytes += received
        return received

    def interrupt(self) -> bool:
        """End the wait for bytes; return whether there is one.

        Called by the hub: an exception that is scheduled could arrive when
        the request has been read and passed on.
        """
        if self._reader is None:
            return False
        self._is_closing = True
        self._reader.throw(CallerClosedError('too much is held for callers'))
        return True

    def _receive(self, buffer: memoryview) -> int:
        wait_ms = min(self._idle_ms, self._left_ms())
        sock = self._sock
        sock.settimeout(seconds(max(0, wait_ms)))
        self._reader = gevent.getcurrent()
        try:
            received: int = sock.recv_into(buffer)
        except BlockingIOError as error:
            raise TimeoutError('the head takes too long') from error
        except TimeoutError:
            received = self._receive_late(buffer)
        finally:
            self._reader = None
            sock.settimeout(seconds(self._idle_ms))
        return received

    def _receive_late(self, buffer: memoryview) -> int:
        """Receive what came during a pause of the process, or fail."""
        if self._is_closing:
            raise CallerClosedError('too much is held for callers')
        self._sock.settimeout(0)
        try:
            received: int = self._sock.recv_into(buffer)
        except BlockingIOError as error:
            raise TimeoutError('the caller is too slow') from error
        return received

    def _left_ms(self) -> float:
        """Return the time until the head must have arrived."""
        if self.phase in {CallerPhase.SILENT, CallerPhase.HEAD}:
            ends_ms = self.since_ms + self._limits.time_ms
            return ends_ms - monotonic_ms()
        return self._idle_ms


__all__ = (
    'DEFAULT_MAX_HEAD_BYTES',
    'CallerClosedError',
    'CallerStream',
    'HeadLimits',
)
