"""Links between two nodes.

The dialling node submits requests; the accepting node runs them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent
from gevent.event import AsyncResult, Event

from ..blackboard import ConfigId
from ..clock import monotonic_ms, seconds
from ..policy.list_order import ListOrder
from ..wire.generations import with_generation
from ..wire.handshake import new_nonce, sign, verify
from ..wire.messages import (
    PROTOCOL_VERSION,
    Challenge,
    Hello,
    Message,
    Ping,
    Pong,
    Welcome,
)
from ..wire.stream import Stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from gevent.socket import socket as Socket

    from .identity import Identity

HANDSHAKE_TIMEOUT_MS: Final = 2000
PEER_TIMEOUT_MS: Final = 3000
HEARTBEAT_INTERVAL_MS: Final = 1000
# A message sent within this time makes a heartbeat unnecessary.
HEARTBEAT_SUPPRESSION_MS: Final = 500


class Link:
    """One authenticated stream to another node.

    The attribute ``ready`` resolves to whether the handshake has succeeded,
    ``heard_heartbeat`` is set by the first heartbeat or the end of the link,
    ``knows_upstreams`` by the first one by which the peer has a configuration
    and a VM list,
    ``last_pong_at_ms`` is the monotonic time of the last pong, which proves
    that the path works in both directions, and ``round_trip_ms`` the time since
    its ping, None if a later one was sent meanwhile.

    :param identity: identity of this node.
    :param sock: connected socket.
    :param on_message: called with the link and each message received after
        the handshake.
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
        self.config_id = ConfigId()
        self.vm_list_order = ListOrder()
        self.knows_generations = False
        self.is_leaving = False
        self.has_timed_out = False
        self.last_received_at_ms = monotonic_ms()
        self.last_request_at_ms = self.last_received_at_ms
        self._last_sent_at_ms: float = 0
        self.ready: AsyncResult = AsyncResult()
        self.heard_heartbeat = Event()
        self.knows_upstreams = Event()
        self.ended = Event()
        self._identity = identity
        self._nonce = new_nonce()
        self.last_pong_at_ms: float = 0
        self.round_trip_ms: float | None = None
        self._last_ping_at_ms: float = 0
        self._last_ping_serial = 0
        self._last_pong_serial = 0
        self._on_message = on_message
        self._on_close = on_close
        self._stream = Stream(sock, self._receive, self._on_stream_closed)
        self._handshake_timer = gevent.spawn_later(
            seconds(HANDSHAKE_TIMEOUT_MS),
            self._check_handshake,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the handshake has succeeded and the stream is open."""
        return bool(self.vm) and not self._stream.closed

    @property
    def is_usable(self) -> bool:
        """Whether the peer is known to be able to run work."""
        return self.is_ready and self.knows_upstreams.is_set()

    @property
    def traffic_bytes(self) -> int:
        """Bytes sent and received."""
        return self._stream.sent_bytes + self._stream.received_bytes

    def send(self, message: Message) -> None:
        """Queue a message for sending.

        :param message: any registered message.
        """
        self._last_sent_at_ms = monotonic_ms()
        if not self.knows_generations:
            message = with_generation(message, 0)
        self._stream.send(message)

    def needs_heartbeat(self, now_ms: float) -> bool:
        """Return whether no recent message replaces a heartbeat.

        :param now_ms: monotonic time in milliseconds.
        """
        return now_ms - self._last_sent_at_ms >= HEARTBEAT_SUPPRESSION_MS

    def ping(self) -> int:
        """Send a ping, which the other node answers at once.

        :returns: serial number of the ping.
        """
        self._last_ping_serial += 1
        self._last_ping_at_ms = monotonic_ms()
        self.send(Ping(self._last_ping_serial))
        return self._last_ping_serial

    def has_pong(self, serial: int) -> bool:
        """Return whether the peer has answered a ping or a later one.

        Only an answer proves that both directions work: while outgoing
        traffic is lost, unsolicited messages from the peer still arrive.

        :param serial: serial number of the ping.
        """
        return self._last_pong_serial >= serial

    def close(self, reason: str) -> None:
        """Close the link.

        :param reason: reason for the log.
        """
        self._stream.close(reason)

    def flush(self, timeout_ms: float) -> None:
        """Wait until all queued messages are sent.

        :param timeout_ms: maximum wait in milliseconds.
        """
        self._stream.flush(seconds(timeout_ms))

    def is_silent(self, now_ms: float) -> bool:
        """Return whether nothing was received within the peer timeout.

        :param now_ms: monotonic time in milliseconds.
        """
        return now_ms - self.last_received_at_ms > PEER_TIMEOUT_MS

    def _receive(self, message: Message) -> None:
        self.last_received_at_ms = monotonic_ms()
        match message:
            case Ping(serial=serial) if self.vm:
                self.send(Pong(serial))
            case Pong(serial=serial) if self.vm:
                self._note_pong(serial)
                self._on_message(self, message)
            case _ if self.vm:
                self._on_message(self, message)
            case _:
                self._handle_handshake(message)

    def _note_pong(self, serial: int) -> None:
        self._last_pong_serial = serial
        self.last_pong_at_ms = self.last_received_at_ms
        is_last = serial == self._last_ping_serial
        round_trip_ms = self.last_pong_at_ms - self._last_ping_at_ms
        self.round_trip_ms = round_trip_ms if is_last else None

    def _handle_handshake(self, message: Message) -> None:
        """Handle a message received before the handshake has completed."""
        raise NotImplementedError

    def _accept_peer(self, peer: Hello | Welcome) -> None:
        self.vm = peer.vm
        self.incarnation = peer.incarnation
        self._handshake_timer.kill(block=False)
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

    def _check_handshake(self) -> None:
        if not self.vm:
            self.has_timed_out = True
            self.close('handshake timed out')

    def _on_stream_closed(self, reason: str) -> None:
        self._handshake_timer.kill(block=False)
        self.heard_heartbeat.set()
        self.ended.set()
        if not self.ready.ready():
            self.ready.set(False)
        self._on_close(self, reason)


class DialledLink(Link):
    """A link dialled by this node, which submits requests on it."""

    def _handle_handshake(self, message: Message) -> None:
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
    """A link dialled by another node, whose requests run here."""

    def challenge(self) -> None:
        """Send the challenge that starts the handshake."""
        self.send(Challenge(PROTOCOL_VERSION, self._nonce))

    def _handle_handshake(self, message: Message) -> None:
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
