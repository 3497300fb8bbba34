"""Connects to other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gevent import socket

from ..clock import seconds
from ..policy.redial import DialFailure
from .links import DialledLink

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..config.settings import Address
    from ..wire.messages import Message
    from .identity import Identity
    from .links import Link

_CONNECT_TIMEOUT_MS: Final = 800


def open_link(
    identity: Identity,
    address: Address,
    on_message: Callable[[Link, Message], None],
    on_close: Callable[[Link, str], None],
) -> DialledLink | DialFailure:
    """Connect to a node and complete the handshake.

    :param identity: identity of this node.
    :param address: stream address of the other node.
    :param on_message: called with the link and each message received after
        the handshake.
    :param on_close: called once with the link and the reason.
    :returns: the link, or why there is none.
    """
    target = (address.ip, address.port)
    try:
        sock = socket.create_connection(target, seconds(_CONNECT_TIMEOUT_MS))
    except (ConnectionRefusedError, ConnectionResetError):
        return DialFailure.REFUSED
    except OSError:
        return DialFailure.SILENT
    sock.settimeout(None)
    link = DialledLink(identity, sock, on_message, on_close)
    if link.ready.get():
        return link
    return DialFailure.SILENT if link.has_timed_out else DialFailure.REFUSED


__all__ = ('open_link',)
