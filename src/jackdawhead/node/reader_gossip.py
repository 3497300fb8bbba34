"""Passes the reports of readers on within their zone.

A report is sent as a change from a version of the VM list to the same version:
nodes of earlier builds ignore it. A reader sends it on all its links within the
zone. Each node passes what is news to a few others, so that the number of
messages doesn't grow with the square of the zone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..json_parts import DECODE_ERRORS
from ..logs import log_event
from ..policy.reader_duty import ReaderReport
from ..wire.messages import VmListDelta

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from .links import Link
    from .parts import NodeParts


class ReaderGossip:
    """Sends reports, and passes on those of other nodes.

    :param parts: controllers of this node.
    :param links: returns all links with a completed handshake.
    :param is_same_zone: returns whether a link leads to a node of the zone.
    :param rng: chooses the nodes that a report is passed to.
    """

    def __init__(
        self,
        parts: NodeParts,
        links: Callable[[], tuple[Link, ...]],
        is_same_zone: Callable[[Link], bool],
        rng: Random,
    ) -> None:
        self._board = parts.board
        self._readers = parts.readers
        self._links = links
        self._is_same_zone = is_same_zone
        self._rng = rng
        self._readers.send_report = self.send

    def send(self, report: ReaderReport) -> None:
        """Send a report of this node on all links within the zone.

        :param report: the report.
        """
        links = self._zone_links(report)
        self._send(report, links, len(links))

    def receive(self, message: VmListDelta, link: Link) -> None:
        """Handle a report from another node.

        :param message: change from a version to itself.
        :param link: link that delivered it.
        """
        try:
            report = msgspec.json.decode(message.text, type=ReaderReport)
        except DECODE_ERRORS as error:
            log_event('reader-report-unreadable', vm=link.vm, cause=str(error))
            return
        if self._readers.note_report(report):
            links = self._zone_links(report)
            links.pop(link.vm, None)
            count = self._readers.relay_count(len(links) + 1)
            self._send(report, links, count)

    def _zone_links(self, report: ReaderReport) -> dict[str, Link]:
        """Return a link to each linked node of the zone but the reader."""
        return {
            link.vm: link
            for link in self._links()
            if link.vm != report.vm and self._is_same_zone(link)
        }

    def _send(
        self, report: ReaderReport, links: dict[str, Link], count: int
    ) -> None:
        version = self._board.vm_list.read().version
        if not version:
            return
        chosen = self._rng.sample(sorted(links), min(count, len(links)))
        text = msgspec.json.encode(report).decode()
        for vm in chosen:
            links[vm].send(VmListDelta(version, version, text))


__all__ = ('ReaderGossip',)
