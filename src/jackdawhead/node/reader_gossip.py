"""Passes the reports of readers on within their zone.

A report is sent as a change from a version of the VM list to the same version:
nodes of earlier builds ignore it. Each node passes what is news to a few
others, so that the number of messages doesn't grow with the square of the zone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

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

_FAN_OUT: Final = 4


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

    def send(self, report: ReaderReport, source: str = '') -> None:
        """Send a report to a few nodes of the zone.

        :param report: the report.
        :param source: VM that delivered it, if any.
        """
        version = self._board.vm_list.read().version
        if not version:
            return
        links = {
            link.vm: link
            for link in self._links()
            if link.vm not in {source, report.vm} and self._is_same_zone(link)
        }
        chosen = self._rng.sample(sorted(links), min(_FAN_OUT, len(links)))
        text = msgspec.json.encode(report).decode()
        for vm in chosen:
            links[vm].send(VmListDelta(version, version, text))

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
            self.send(report, link.vm)


__all__ = ('ReaderGossip',)
