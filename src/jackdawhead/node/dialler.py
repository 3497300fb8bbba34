"""Links that this node dials: to homes, and to its gossip peers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import gevent
from gevent import socket

from ..audit import AuditKind
from ..clock import monotonic_ms, seconds
from ..config.settings import Address
from ..policy.gossip import gossip_peers
from .links import DialledLink, Link
from .local_channel import receive_answer

if TYPE_CHECKING:
    from ..blackboard import VmList
    from ..wire.messages import Message
    from .gossip_controller import GossipController
    from .parts import NodeParts

_CONNECT_MS: Final = 800
_DIAL_PATIENCE_MS: Final = 250
_FIRST_REDIAL_MS: Final = 500
_MAX_REDIAL_MS: Final = 8000
_UNUSED: Final = 'unused'


@dataclass(frozen=True, slots=True)
class _Redial:
    """When a node may be dialled again.

    :param at_ms: monotonic time.
    :param wait_ms: the wait that led to it.
    """

    at_ms: float
    wait_ms: int


class Dialler:
    """Keeps one link to each node that is needed.

    :param parts: controllers of this node.
    :param gossip: where news goes.
    """

    def __init__(self, parts: NodeParts, gossip: GossipController) -> None:
        self._parts = parts
        self._gossip = gossip
        self._links: dict[str, DialledLink] = {}
        self._dialling: dict[str, gevent.Greenlet] = {}
        self._redials: dict[str, _Redial] = {}
        self._peers: tuple[str, ...] = ()
        parts.board.vm_list.on_change(self._follow_list)

    @property
    def links(self) -> tuple[DialledLink, ...]:
        """Links whose handshake has ended."""
        return tuple(link for link in self._links.values() if link.is_ready)

    def link_to(self, vm: str) -> DialledLink | None:
        """Return the link to a node, dialling it if there is none yet.

        Requests that arrive while a node is dialled wait for that dial, but
        not for long.

        :param vm: VM of the node.
        :returns: the link, or nothing if the node cannot be reached.
        """
        link = self._links.get(vm)
        if link is not None and link.is_ready:
            link.used_at_ms = monotonic_ms()
            return link
        dialling = self._dialling.get(vm)
        if dialling is None:
            redial = self._redials.get(vm)
            if redial is not None and redial.at_ms > monotonic_ms():
                return None
            dialling = gevent.spawn(self._dial, vm)
            self._dialling[vm] = dialling
            dialling.link(lambda _: self._dialling.pop(vm, None))
        dialling.join(seconds(_DIAL_PATIENCE_MS))
        link = self._links.get(vm)
        return link if link is not None and link.is_ready else None

    def dial_seeds(self) -> None:
        """Link to the nodes named in the settings."""
        for address in self._parts.settings.seed_addresses:
            self._keep(self._connect(address))

    def dial_peers(self, timeout_ms: float) -> None:
        """Link to the gossip peers and wait for what they know.

        Those that are being dialled already are waited for, too.

        :param timeout_ms: longest wait.
        """
        unlinked = [vm for vm in self._peers if vm not in self._links]
        dials = [gevent.spawn(self.link_to, vm) for vm in unlinked]
        gevent.joinall(dials, timeout=seconds(timeout_ms))
        waits = [link.heard_heartbeat for link in self.links]
        gevent.wait(waits, timeout=seconds(timeout_ms))

    def forgive(self, vm: str) -> None:
        """Dial a node again at once, since it has just dialled this one.

        :param vm: VM of the node.
        """
        if self._redials.pop(vm, None) is not None:
            self._parts.routing.note_reachable(vm)

    def keep_peers(self) -> None:
        """Dial gossip peers that are not linked, without waiting."""
        for vm in self._missing_peers():
            gevent.spawn(self.link_to, vm)

    def is_peer(self, link: Link) -> bool:
        """Return whether a link leads to a gossip peer.

        :param link: any link.
        """
        return link.vm in self._peers

    def close_unused(self) -> None:
        """Close links that carried no request for some time.

        Those to gossip peers stay.
        """
        oldest_ms = monotonic_ms() - self._parts.settings.link_idle_ms
        for vm, link in tuple(self._links.items()):
            is_old = link.used_at_ms < oldest_ms and vm not in self._peers
            if is_old and not self._parts.attempts.concern(link):
                link.close(_UNUSED)

    def _follow_list(self, vm_list: VmList) -> None:
        nodes = tuple(
            vm.name
            for vm in vm_list.vms.values()
            if vm.stream_port and not vm.leaving
        )
        self._peers = gossip_peers(self._parts.identity.vm, nodes)

    def _missing_peers(self) -> tuple[str, ...]:
        return tuple(
            vm
            for vm in self._peers
            if vm not in self._links and vm not in self._dialling
        )

    def _dial(self, name: str) -> None:
        vm = self._parts.board.vm_list.read().vms.get(name)
        if vm is None or not vm.stream_port:
            return
        is_kept = self._keep(self._connect(Address(vm.ip, vm.stream_port)))
        if is_kept:
            self.forgive(name)
        else:
            self._put_off(name)

    def _put_off(self, vm: str) -> None:
        """Dial a node again only after a time that doubles."""
        before = self._redials.get(vm)
        wait_ms = _FIRST_REDIAL_MS
        if before is not None:
            wait_ms = min(_MAX_REDIAL_MS, 2 * before.wait_ms)
        self._redials[vm] = _Redial(monotonic_ms() + wait_ms, wait_ms)
        self._parts.routing.note_unreachable(vm, wait_ms)

    def _connect(self, address: Address) -> DialledLink | None:
        target = (address.ip, address.port)
        try:
            sock = socket.create_connection(target, seconds(_CONNECT_MS))
        except OSError:
            return None
        sock.settimeout(None)
        return DialledLink(
            self._parts.identity, sock, self._receive, self._lose
        )

    def _keep(self, link: DialledLink | None) -> bool:
        if link is None or not link.ready.get():
            return False
        self._links[link.vm] = link
        self._parts.recorder.note_path(link.vm, True)
        self._gossip.greet(link)
        return True

    def _receive(self, link: Link, message: Message) -> None:
        if not receive_answer(self._parts, link, message):
            self._gossip.take(link, message)

    def _lose(self, link: Link, reason: str) -> None:
        if not link.vm:
            return
        if self._links.get(link.vm) is link:
            self._links.pop(link.vm)
        self._parts.recorder.note_path(link.vm, False)
        self._parts.attempts.fail_all(link)
        if reason == _UNUSED:
            return
        self._parts.routing.avoid(link.vm)
        self._parts.audit.record(AuditKind.PEER_LOST, link.vm, reason)


__all__ = ('Dialler',)
