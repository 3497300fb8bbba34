"""Gossip between nodes: configurations, VM lists, crashes, shutdowns."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..audit import AuditKind
from ..policy.quota_gate import QuotaMessage
from ..wire.generations import GENERATIONS_KNOWN, with_generation
from ..wire.messages import (
    ConfigRequest,
    ConfigUpdate,
    CrashReport,
    Heartbeat,
    Message,
    VmListDelta,
    VmListRequest,
    VmListSnapshot,
)
from .reader_gossip import ReaderGossip
from .update_puller import UpdatePuller

if TYPE_CHECKING:
    from collections.abc import Callable

    from .links import Link
    from .parts import NodeParts


class GossipController:
    """Handles updates from other nodes and forwards those that are new.

    Updates may arrive repeatedly and in any order, since merging them is
    idempotent and commutative.

    :param parts: controllers of this node.
    :param links: returns all links with a completed handshake.
    """

    def __init__(
        self,
        parts: NodeParts,
        links: Callable[[], tuple[Link, ...]],
    ) -> None:
        self._parts = parts
        self._links = links
        self._puller = UpdatePuller(parts, self._is_same_zone)
        self._readers = ReaderGossip(
            parts, links, self._is_same_zone, parts.routing.rng
        )

    def broadcast(self, message: Message, source: Link | None = None) -> None:
        """Send a message to all linked nodes.

        :param message: the message to send.
        :param source: link that delivered the message, if any; it is
            skipped.
        """
        for link in self._links():
            if link is not source:
                link.send(message)

    def announce(self, source: Link | None = None) -> None:
        """Announce this node's versions to the nodes of its own zone.

        Each availability zone reads the platform itself, so an announcement
        stays within the zone. A node of another zone that lags behind
        learns the version from the next heartbeat.

        :param source: link that delivered the latest version, if any; it is
            skipped.
        """
        heartbeat = self.heartbeat()
        for link in self._links():
            if link is not source and self._is_same_zone(link):
                link.send(heartbeat)

    def heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the current versions of this node."""
        board = self._parts.board
        config_id = board.config.read().config_id
        vm_list = board.vm_list.read()
        return Heartbeat(
            config_id.version,
            config_id.digest,
            board.leaving,
            vm_list.version,
            vm_list.generation,
        )

    def on_link_ready(self, link: Link) -> None:
        """Send this node's versions, crash reports and refusals to a new peer.

        :param link: link whose handshake has just completed.
        """
        self._parts.audit.record(
            AuditKind.PEER_JOINED, link.vm, f'incarnation {link.incarnation}'
        )
        self._parts.routing.leaving.note_linked(link.vm, link.incarnation)
        link.send(GENERATIONS_KNOWN)
        link.send(self.heartbeat())
        for status in self._parts.home.refusals():
            link.send(status)
        for report in self._parts.crashes.recent_crashes():
            link.send(report)

    def receive(self, link: Link, message: Message) -> bool:
        """Handle a message if it belongs to gossip.

        :param link: link that delivered the message.
        :param message: any message.
        :returns: whether the message was a gossip message.
        """
        if isinstance(message, QuotaMessage):
            self._parts.quotas.receive(link.vm, message)
            return True
        if not link.knows_generations:
            # A node of an earlier build has lists of an unknown generation,
            # which are compared with the own one by their versions alone.
            generation = self._parts.board.vm_list.read().generation
            message = with_generation(message, generation)
        match message:
            case Heartbeat():
                self._handle_heartbeat(link, message)
            case CrashReport():
                if self._parts.crashes.record_remote_crash(message):
                    self.broadcast(message, link)
            case ConfigUpdate():
                self._parts.config.receive_update(message, link)
            case VmListSnapshot():
                self._parts.membership.receive_update(message, link)
            case VmListDelta():
                self._handle_delta(message, link)
            case VmListRequest() | ConfigRequest():
                self._answer_request(message, link)
            case _:
                return False
        return True

    def _is_same_zone(self, link: Link) -> bool:
        """Return whether a link leads to the own zone or an unlisted VM."""
        vm = self._parts.board.vm_list.read().vms.get(link.vm)
        return vm is None or vm.zone == self._parts.settings.zone

    def _handle_heartbeat(self, link: Link, beat: Heartbeat) -> None:
        self._puller.note_heartbeat(link, beat)
        link.heard_heartbeat.set()
        if beat.leaving:
            self._parts.routing.leaving.note_leaving(link.vm, link.incarnation)

    def _handle_delta(self, change: VmListDelta, link: Link) -> None:
        if change.text == GENERATIONS_KNOWN.text:
            link.knows_generations = True
            link.send(self.heartbeat())
        elif change.base == change.version:
            self._readers.receive(change, link)
        else:
            self._parts.membership.receive_change(change, link)

    def _answer_request(
        self, request: VmListRequest | ConfigRequest, link: Link
    ) -> None:
        if isinstance(request, VmListRequest):
            self._parts.membership.answer(request, link)
        else:
            self._parts.config.answer(request, link)


__all__ = ('GossipController',)
