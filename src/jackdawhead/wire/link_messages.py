"""Messages that set up a stream and show that it is alive."""

from __future__ import annotations

from dataclasses import dataclass

from .base import Message, message


@message(1)
@dataclass(frozen=True, slots=True)
class Challenge(Message):
    """First message of the accepting node.

    :param version: protocol version.
    :param nonce: random bytes that the dialling node has to sign.
    """

    version: int
    nonce: bytes


@message(2)
@dataclass(frozen=True, slots=True)
class Hello(Message):
    """First message of the dialling node.

    :param incarnation: random number of this process start.
    :param nonce: random bytes that the accepting node has to sign.
    :param signature: keyed hash of the challenge's nonce.
    """

    version: int
    vm: str
    incarnation: int
    nonce: bytes
    signature: bytes


@message(3)
@dataclass(frozen=True, slots=True)
class Welcome(Message):
    """Ends the handshake.

    :param signature: keyed hash of the hello's nonce.
    """

    vm: str
    incarnation: int
    signature: bytes


@message(10)
@dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """Shows that the sender is alive.

    :param config_version: version of the configuration in force there.
    :param config_digest: leading bits of its digest.
    :param leaving: whether the sender takes no new work.
    :param vm_list_version: version of the list of VMs there.
    """

    config_version: int
    config_digest: int
    leaving: bool
    vm_list_version: int = 0


@message(17)
@dataclass(frozen=True, slots=True)
class Ping(Message):
    """Asks for an answer at once, which shows that the path is open.

    :param serial: grows with each ping on a stream.
    """

    serial: int


@message(18)
@dataclass(frozen=True, slots=True)
class Pong(Message):
    """The answer to a ping.

    :param serial: that of the ping.
    """

    serial: int


__all__ = (
    'Challenge',
    'Heartbeat',
    'Hello',
    'Ping',
    'Pong',
    'Welcome',
)
