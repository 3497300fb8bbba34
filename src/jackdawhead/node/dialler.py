"""Outgoing links: to homes and to gossip peers."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING, Final

import gevent
from gevent import socket

from ..audit import AuditKind
from ..clock import monotonic_ms, seconds
from ..config.settings import Address
from ..logs import log_event
from ..policy.gossip import gossip_peers
from .links import DialledLink, Link
from .local_channel import receive_answer

if TYPE_CHECKING:
    from ..blackboard import VmList
    from ..wire.messages import Message
    from .gossip_controller import GossipController
    from .parts import NodeParts

_CONNECT_TIMEOUT_MS: Final = 800
_MAX_DIAL_WAIT_MS: Final = 250
_MIN_BACKOFF_MS: Final = 500
# A home that starts or is cut off for some seconds is used again within 2 s.
_MAX_BACKOFF_MS: Final = 2000
# Bounds the dials a round while a whole region is unreachable.
_MAX_HOME_DIALS: Final = 4
_IDLE_REASON: Final = 'unused'


@dataclass(frozen=True, slots=True)
class _Backoff:
    """Backoff after a failed dial.

    :param until_ms: monotonic time of the next permitted dial, in
        milliseconds.
    :param wait_ms: current backoff in milliseconds.
    :param since_ms: monotonic time of the first failed dial, in milliseconds.
    :param dials: number of failed dials.
    """

    until_ms: float
    wait_ms: int
    since_ms: float
    dials: int


class Dialler:
    """Maintains at most one outgoing link to each node.

    :param parts: controllers of this node.
    :param gossip: handles gossip messages and new links.
    """

    def __init__(self, parts: NodeParts, gossip: GossipController) -> None:
        self._parts = parts
        self._gossip = gossip
        self._links: dict[str, DialledLink] = {}
        self._dialling: dict[str, gevent.Greenlet] = {}
        self._backoffs: dict[str, _Backoff] = {}
        self._peers: tuple[str, ...] = ()
        parts.board.vm_list.subscribe(self._update_peers)

    @property
    def links(self) -> tuple[DialledLink, ...]:
        """Links with a completed handshake."""
        return tuple(link for link in self._links.values() if link.is_ready)

    def link_to(self, vm: str) -> DialledLink | None:
        """Return the link to a node; dial the node if there is none.

        Requests that arrive during a dial share it and wait a bounded time
        for its result.

        :param vm: VM of the node.
        :returns: the link, or ``None`` if the node is unreachable or in
            backoff, or does not answer in time.
        """
        link = self._links.get(vm)
        if link is not None and link.is_ready:
            link.last_request_at_ms = monotonic_ms()
            return link
        dialling = self._dialling.get(vm)
        if dialling is None:
            if self._is_backing_off(vm):
                return None
            dialling = gevent.spawn(self._dial, vm)
            self._dialling[vm] = dialling
            dialling.link(lambda _: self._dialling.pop(vm, None))
        dialling.join(seconds(_MAX_DIAL_WAIT_MS))
        link = self._links.get(vm)
        return link if link is not None and link.is_ready else None

    def dial_seeds(self) -> None:
        """Dial the seed nodes named in the settings."""
        for address in self._parts.settings.seed_addresses:
            self._register(self._connect(address))

    def dial_peers(self, timeout_ms: float) -> None:
        """Dial the gossip peers and wait for their first heartbeats.

        This includes peers that are already being dialled.

        :param timeout_ms: maximum wait in milliseconds, once for the dials
            and once for the heartbeats.
        """
        unlinked = [vm for vm in self._peers if vm not in self._links]
        dials = [gevent.spawn(self.link_to, vm) for vm in unlinked]
        gevent.joinall(dials, timeout=seconds(timeout_ms))
        waits = [link.heard_heartbeat for link in self.links]
        gevent.wait(waits, timeout=seconds(timeout_ms))

    def reset_backoff(self, vm: str) -> None:
        """Clear the backoff of a node that has proved reachable.

        :param vm: VM of the node, which this node has just dialled or which
            has just dialled this node.
        """
        backoff = self._backoffs.pop(vm, None)
        if backoff is None:
            return
        log_event(
            'home-back',
            home=vm,
            after_ms=int(monotonic_ms() - backoff.since_ms),
            failed_dials=backoff.dials,
        )
        self._parts.routing.note_reachable(vm)

    def redial(self) -> None:
        """Dial unlinked gossip peers and excluded homes in the background.

        No request goes to a home that the subsets exclude, so that nothing else
        would show that it can be reached again.
        """
        for vm in (*self._unlinked_peers(), *self._due_homes()):
            gevent.spawn(self.link_to, vm)

    def is_peer(self, link: Link) -> bool:
        """Return whether a link leads to a gossip peer.

        :param link: any link.
        """
        return link.vm in self._peers

    def close_idle(self) -> None:
        """Close links that have carried no request for ``link_idle_ms``.

        Links to gossip peers and links with requests in flight stay open.
        """
        idle_since_ms = monotonic_ms() - self._parts.settings.link_idle_ms
        for vm, link in tuple(self._links.items()):
            is_idle = (
                link.last_request_at_ms < idle_since_ms
                and vm not in self._peers
            )
            if is_idle and not self._parts.attempts.has_attempt_on(link):
                link.close(_IDLE_REASON)

    def _update_peers(self, vm_list: VmList) -> None:
        nodes = tuple(
            vm.name
            for vm in vm_list.vms.values()
            if vm.stream_port and not vm.leaving
        )
        self._peers = gossip_peers(self._parts.identity.vm, nodes)

    def _unlinked_peers(self) -> tuple[str, ...]:
        return tuple(
            vm
            for vm in self._peers
            if vm not in self._links and vm not in self._dialling
        )

    def _due_homes(self) -> list[str]:
        """Return a few excluded homes whose backoff is over."""
        due = (
            vm
            for vm in self._parts.routing.excluded_homes
            if vm not in self._dialling
            and vm not in self._peers
            and not self._is_backing_off(vm)
        )
        return list(islice(due, _MAX_HOME_DIALS))

    def _is_backing_off(self, vm: str) -> bool:
        backoff = self._backoffs.get(vm)
        return backoff is not None and backoff.until_ms > monotonic_ms()

    def _dial(self, name: str) -> None:
        vm = self._parts.board.vm_list.read().vms.get(name)
        if vm is None or not vm.stream_port:
            return
        is_linked = self._register(
            self._connect(Address(vm.ip, vm.stream_port))
        )
        if is_linked:
            self.reset_backoff(name)
        else:
            self._back_off(name)

    def _back_off(self, vm: str) -> None:
        """Delay the next dial to a node by an exponential backoff."""
        now_ms = monotonic_ms()
        previous = self._backoffs.get(vm)
        wait_ms = _MIN_BACKOFF_MS
        since_ms = now_ms
        dials = 1
        if previous is not None:
            wait_ms = min(_MAX_BACKOFF_MS, 2 * previous.wait_ms)
            since_ms = previous.since_ms
            dials = previous.dials + 1
        self._backoffs[vm] = _Backoff(
            now_ms + wait_ms, wait_ms, since_ms, dials
        )
        self._parts.routing.note_unreachable(vm, wait_ms)

    def _connect(self, address: Address) -> DialledLink | None:
        target = (address.ip, address.port)
        try:
            sock = socket.create_connection(
                target, seconds(_CONNECT_TIMEOUT_MS)
            )
        except OSError:
            return None
        sock.settimeout(None)
        return DialledLink(
            self._parts.identity, sock, self._receive, self._on_link_closed
        )

    def _register(self, link: DialledLink | None) -> bool:
        if link is None or not link.ready.get():
            return False
        self._links[link.vm] = link
        self._parts.recorder.note_path(link.vm, True)
        self._gossip.on_link_ready(link)
        return True

    def _receive(self, link: Link, message: Message) -> None:
        if not receive_answer(self._parts, link, message):
            self._gossip.receive(link, message)

    def _on_link_closed(self, link: Link, reason: str) -> None:
        if not link.vm:
            return
        if self._links.get(link.vm) is link:
            self._links.pop(link.vm)
        self._parts.recorder.note_path(link.vm, False)
        self._parts.attempts.fail_on_channel(link)
        if reason == _IDLE_REASON:
            return
        self._parts.routing.avoid(link.vm)
        self._parts.audit.record(AuditKind.PEER_LOST, link.vm, reason)


__all__ = ('Dialler',)
