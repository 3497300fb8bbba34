"""Links between two nodes: the dialling node submits, the other runs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent
from gevent.event import AsyncResult, Event

from ..blackboard import ConfigMark
from ..clock import monotonic_ms, seconds
from ..wire.handshake import new_nonce, sign, verify
from ..wire.messages import (
    PROTOCOL_VERSION,
    Challenge,
    Hello,
    Message,
    Pong,
    Ping,
    Welcome,
)
from ..wire.stream import Stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from gevent.socket import socket as Socket

    from .identity import Identity

HANDSHAKE_MS: Final = 2000
SILENCE_MS: Final = 3000
HEARTBEAT_MS: Final = 1000
QUIET_MS: Final = 500


class Link:
    """One authenticated stream to another node.

    :param identity: this node.
    :param sock: connected socket.
    :param on_message: called with the link and each message.
    :param on_close: called once with the link and the reason.
    """

    def __init__(
        self,
        identity: Identity,
        sock: Socket,
        on_message: Callable[[Link, Message], None],
        on_close: Callable[[Link, str], None],
    ) -> None:
        self.vm = ''
        self.incarnation = 0
        self.config_mark = ConfigMark()
        self.vm_list_version = 0
        self.heard_at_ms = monotonic_ms()
        self.used_at_ms = self.heard_at_ms
        self._sent_at_ms: float = 0
        self.ready: AsyncResult = AsyncResult()
        self.heard_heartbeat = Event()
        self.ended = Event()
        self._identity = identity
        self._nonce = new_nonce()
        self.proved_at_ms: float = 0
        self._pinged = 0
        self._answered = 0
        self._on_message = on_message
        self._on_close = on_close
        self._stream = Stream(sock, self._receive, self._closed)
        self._timer = gevent.spawn_later(
            seconds(HANDSHAKE_MS),
            self._end_handshake,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the handshake has ended well and the stream is open."""
        return bool(self.vm) and not self._stream.closed

    @property
    def traffic_bytes(self) -> int:
        """Bytes sent and received."""
        return self._stream.sent_bytes + self._stream.received_bytes

    def send(self, message: Message) -> None:
        """Queue a message.

        :param message: any registered message.
        """
        self._sent_at_ms = monotonic_ms()
        self._stream.send(message)

    def needs_heartbeat(self, now_ms: float) -> bool:
        """Return whether nothing has just been sent that shows life instead.

        :param now_ms: monotonic time.
        """
        return now_ms - self._sent_at_ms >= QUIET_MS

    def ping(self) -> int:
        """Ask the other node for an answer at once.

        :returns: serial number of the ping.
        """
        self._pinged += 1
        self.send(Ping(self._pinged))
        return self._pinged

    def has_answered(self, serial: int) -> bool:
        """Return whether a ping, or a later one, was answered.

        Other messages show nothing: while one direction is cut, what the
        other node sends unasked still arrives.

        :param serial: of the ping.
        """
        return self._answered >= serial

    def close(self, reason: str) -> None:
        """Close the link.

        :param reason: for the log.
        """
        self._stream.close(reason)

    def flush(self, timeout_ms: float) -> None:
        """Wait until what was queued is sent.

        :param timeout_ms: longest wait.
        """
        self._stream.flush(seconds(timeout_ms))

    def is_silent(self, now_ms: float) -> bool:
        """Return whether nothing has been heard for too long.

        :param now_ms: monotonic time.
        """
        return now_ms - self.heard_at_ms > SILENCE_MS

    def _receive(self, message: Message) -> None:
        self.heard_at_ms = monotonic_ms()
        match message:
            case Ping(serial=serial) if self.vm:
                self.send(Pong(serial))
            case Pong(serial=serial) if self.vm:
                self._answered = serial
                self.proved_at_ms = self.heard_at_ms
                self._on_message(self, message)
            case _ if self.vm:
                self._on_message(self, message)
            case _:
                self._shake(message)

    def _shake(self, message: Message) -> None:
        """Handle a message of the handshake."""
        raise NotImplementedError

    def _accept_peer(self, peer: Hello | Welcome) -> None:
        self.vm = peer.vm
        self.incarnation = peer.incarnation
        self._timer.kill(block=False)
        self.ready.set(True)

    def _is_authentic(self, peer: Hello | Welcome) -> bool:
        return verify(
            self._identity.keys,
            self._nonce,
            peer.vm,
            peer.incarnation,
            peer.signature,
        )

    def _signature(self, nonce: bytes) -> bytes:
        identity = self._identity
        return sign(
            identity.keys[0],
            nonce,
            identity.vm,
            identity.incarnation,
        )

    def _end_handshake(self) -> None:
        if not self.vm:
            self.close('no handshake in time')

    def _closed(self, reason: str) -> None:
        self._timer.kill(block=False)
        self.heard_heartbeat.set()
        self.ended.set()
        if not self.ready.ready():
            self.ready.set(False)
        self._on_close(self, reason)


class DialledLink(Link):
    """A link that this node has dialled; it submits requests on it."""

    def _shake(self, message: Message) -> None:
        match message:
            case Challenge(version=version) if version == PROTOCOL_VERSION:
                self.send(
                    Hello(
                        PROTOCOL_VERSION,
                        self._identity.vm,
                        self._identity.incarnation,
                        self._nonce,
                        self._signature(message.nonce),
                    ),
                )
            case Welcome() if self._is_authentic(message):
                self._accept_peer(message)
            case _:
                self.close('handshake refused: wrong version or key')


class AcceptedLink(Link):
    """A link that another node has dialled; its requests run here."""

    def challenge(self) -> None:
        """Begin the handshake."""
        self.send(Challenge(PROTOCOL_VERSION, self._nonce))

    def _shake(self, message: Message) -> None:
        match message:
            case Hello(version=version) if (
                version == PROTOCOL_VERSION and self._is_authentic(message)
            ):
                self.send(
                    Welcome(
                        self._identity.vm,
                        self._identity.incarnation,
                        self._signature(message.nonce),
                    ),
                )
                self._accept_peer(message)
            case _:
                self.close('handshake refused: wrong version or key')


__all__ = ('AcceptedLink', 'DialledLink', 'Link')
