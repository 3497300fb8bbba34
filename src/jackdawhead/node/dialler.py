"""Outgoing links: to homes and to gossip peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent
from gevent.event import Event

from ..audit import AuditKind
from ..clock import monotonic_ms, seconds
from ..config.settings import Address
from ..logs import log_event
from ..policy.gossip import gossip_peers
from ..policy.redial import DialFailure, RedialSchedule
from .dialling import open_link
from .local_channel import receive_answer

if TYPE_CHECKING:
    from ..blackboard import VmList
    from ..wire.messages import Message
    from .gossip_controller import GossipController
    from .links import DialledLink, Link
    from .parts import NodeParts

_MAX_DIAL_WAIT_MS: Final = 250
_REDIAL_POLL_MS: Final = 50
# Renewed until the home is linked again.
_AVOID_ABSENT_MS: Final = 10_000
# A node that knows its upstreams says so in the first message on a link.
_FIRST_HEARTBEAT_MS: Final = 250
_IDLE_REASON: Final = 'unused'
_REPLACED_REASON: Final = 'replaced by a newer process'


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
        self._schedule = RedialSchedule(parts.routing.rng)
        self._has_absent = Event()
        self._incarnations: dict[str, int] = {}
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
        :returns: the link, or ``None`` if the node is unreachable, knows no
            upstreams yet, or does not answer in time.
        """
        link = self.usable_link(vm)
        if link is not None:
            link.last_request_at_ms = monotonic_ms()
            return link
        if vm not in self._dialling and self._schedule.has_failed(vm):
            return None
        self._start_dial(vm).join(seconds(_MAX_DIAL_WAIT_MS))
        return self.usable_link(vm)

    def usable_link(self, vm: str) -> DialledLink | None:
        """Return the link to a node if the node can run work.

        :param vm: VM of the node.
        """
        link = self._links.get(vm)
        return link if link is not None and link.is_usable else None

    def dial_seeds(self) -> None:
        """Dial the seed nodes named in the settings."""
        addresses = self._parts.settings.seed_addresses
        gevent.joinall([gevent.spawn(self._open, each) for each in addresses])

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

    def note_peer_linked(self, peer: Link) -> None:
        """Dial an absent node, or one that has restarted, at once.

        :param peer: link that the node has just opened to this one.
        """
        own = self._links.get(peer.vm)
        if own is not None and own.incarnation != peer.incarnation:
            own.close(_REPLACED_REASON)
        elif not self._is_returning(peer):
            self._incarnations.setdefault(peer.vm, peer.incarnation)
            return
        self._schedule.note_sign(peer.vm, monotonic_ms())
        self._start_dial(peer.vm)

    def redial(self) -> None:
        """Dial unlinked gossip peers in the background."""
        for vm in self._peers:
            if vm not in self._links and not self._schedule.is_absent(vm):
                self._start_dial(vm)

    def run(self) -> None:
        """Dial absent nodes in the background, forever.

        No request goes to a home that the subsets exclude, so that nothing else
        would show that it can be reached again.
        """
        while True:
            self._has_absent.wait()
            gevent.sleep(seconds(_REDIAL_POLL_MS))
            for vm in self._schedule.take_due(monotonic_ms()):
                self._start_dial(vm)
            if self._schedule.is_empty:
                self._has_absent.clear()

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
        listed = frozenset(vm_list.vms)
        self._schedule.retain(listed)
        for gone in self._incarnations.keys() - listed:
            self._incarnations.pop(gone)

    def _is_returning(self, link: Link) -> bool:
        """Return whether a link ends an absence or leads to a new process."""
        if self._schedule.is_absent(link.vm):
            return True
        known = self._incarnations.get(link.vm)
        return known is not None and known != link.incarnation

    def _start_dial(self, vm: str) -> gevent.Greenlet:
        """Dial a node, unless it is being dialled already."""
        dialling = self._dialling.get(vm)
        if dialling is None:
            dialling = gevent.spawn(self._dial, vm)
            self._dialling[vm] = dialling
            dialling.link(lambda _: self._dialling.pop(vm, None))
        return dialling

    def _dial(self, name: str) -> None:
        vm = self._parts.board.vm_list.read().vms.get(name)
        if vm is None or not vm.stream_port:
            self._schedule.note_reachable(name)
            return
        link = self._links.get(name)
        if link is None:
            opened = self._open(Address(vm.ip, vm.stream_port), name)
            if isinstance(opened, DialFailure):
                self._note_failure(name, opened)
                return
            link = opened
        is_late = not link.knows_upstreams.wait(seconds(_FIRST_HEARTBEAT_MS))
        if is_late:
            self._await_upstreams(link)
        if link.is_ready:
            self._note_usable(link, is_late=is_late)

    def _await_upstreams(self, link: DialledLink) -> None:
        """Avoid a node until it can run work or its link ends.

        The link serves gossip meanwhile, by which the node may learn which
        upstreams it has.
        """
        while link.is_ready and not link.knows_upstreams.is_set():
            self._parts.routing.avoid(link.vm, _AVOID_ABSENT_MS)
            gevent.wait(
                (link.knows_upstreams, link.ended),
                timeout=seconds(_AVOID_ABSENT_MS) / 2,
                count=1,
            )

    def _note_usable(self, link: DialledLink, *, is_late: bool) -> None:
        is_returning = is_late or self._is_returning(link)
        self._incarnations[link.vm] = link.incarnation
        absence = self._schedule.note_reachable(link.vm)
        if absence is not None:
            log_event(
                'home-back',
                home=link.vm,
                after_ms=int(monotonic_ms() - absence.since_ms),
                failed_dials=absence.failed_dials,
            )
        if is_returning and not link.is_leaving:
            self._parts.routing.note_reachable(link.vm)

    def _note_failure(self, vm: str, failure: DialFailure) -> None:
        self._schedule.note_failed(vm, failure, monotonic_ms())
        self._has_absent.set()
        self._parts.routing.note_unreachable(vm, _AVOID_ABSENT_MS)

    def _open(
        self, address: Address, name: str = ''
    ) -> DialledLink | DialFailure:
        """Connect to a node and complete the handshake.

        :param address: stream address of the node.
        :param name: VM of the node, empty if any node is expected.
        :returns: the only link to that node, or why there is none.
        """
        link = open_link(
            self._parts.identity, address, self._receive, self._on_link_closed
        )
        if isinstance(link, DialFailure):
            return link
        if name and link.vm != name:
            link.close('another node has the address')
            return DialFailure.REFUSED
        present = self._links.get(link.vm)
        if present is not None:
            if present.incarnation == link.incarnation:
                link.close('duplicate')
                return present
            present.close(_REPLACED_REASON)
        self._links[link.vm] = link
        self._parts.recorder.note_path(link.vm, True)
        self._gossip.on_link_ready(link)
        return link

    def _receive(self, link: Link, message: Message) -> None:
        if not receive_answer(self._parts, link, message):
            self._gossip.receive(link, message)

    def _on_link_closed(self, link: Link, reason: str) -> None:
        if not link.vm:
            return
        is_current = self._links.get(link.vm) is link
        if is_current:
            self._links.pop(link.vm)
            self._parts.recorder.note_path(link.vm, False)
        self._parts.attempts.fail_on_channel(link)
        if reason == _IDLE_REASON:
            return
        if is_current:
            self._parts.routing.avoid(link.vm, _AVOID_ABSENT_MS)
            self._schedule.note_lost(link.vm, monotonic_ms())
            self._has_absent.set()
            self._parts.quotas.note_link_lost(link.vm)
        self._parts.audit.record(AuditKind.PEER_LOST, link.vm, reason)


__all__ = ('Dialler',)
