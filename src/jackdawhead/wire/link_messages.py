"""Messages for the handshake and the liveness of a stream."""

from __future__ import annotations

from dataclasses import dataclass

from .base import Message, message, optional_field


@message(1)
@dataclass(frozen=True, slots=True)
class Challenge(Message):
    """First message of the accepting node.

    :param version: protocol version.
    :param nonce: random bytes for the dialling node to sign.
    """

    version: int
    nonce: bytes


@message(2)
@dataclass(frozen=True, slots=True)
class Hello(Message):
    """First message of the dialling node.

    :param version: protocol version.
    :param vm: VM of the dialling node.
    :param incarnation: random number that identifies its process start.
    :param nonce: random bytes for the accepting node to sign.
    :param signature: HMAC over the challenge's nonce and this identity.
    """

    version: int
    vm: str
    incarnation: int
    nonce: bytes
    signature: bytes


@message(3)
@dataclass(frozen=True, slots=True)
class Welcome(Message):
    """Reply of the accepting node, which completes the handshake.

    :param vm: VM of the accepting node.
    :param incarnation: random number that identifies its process start.
    :param signature: HMAC over the hello's nonce and this identity.
    """

    vm: str
    incarnation: int
    signature: bytes


@message(10)
@dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """Shows that the sender is alive, and announces its versions.

    :param config_version: version of the sender's active configuration.
    :param config_digest: leading bits of the digest of that configuration.
    :param leaving: whether the sender is shutting down; its home accepts only
        work that it can finish.
    :param vm_list_version: version of the sender's VM list.
    :param vm_list_generation: generation that the version belongs to, 0 if
        unknown.
    """

    config_version: int
    config_digest: int
    leaving: bool
    vm_list_version: int = 0
    vm_list_generation: int = optional_field(0)


@message(17)
@dataclass(frozen=True, slots=True)
class Ping(Message):
    """Requests an immediate pong, which proves that the path is open.

    :param serial: number that increases with each ping on a stream.
    """

    serial: int


@message(18)
@dataclass(frozen=True, slots=True)
class Pong(Message):
    """Answers a ping.

    :param serial: serial number of the ping.
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
