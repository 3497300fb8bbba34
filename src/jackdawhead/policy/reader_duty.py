"""When a node reads the platform for its zone.

Load pattern: the readers of a zone are lost, frozen, overloaded or cut off from
the platform, all of them at once, or nodes that rank first do not exist.
Readers report at short intervals that they read. A node takes over if it does
not hear of two that rank before it. Nodes that rank later wait longer, so that
they hear of those that have taken over.
"""

from __future__ import annotations

from dataclasses import dataclass
from heapq import nlargest
from math import ceil, log
from typing import TYPE_CHECKING, Final

from .platform_readers import READERS_PER_ZONE, nodes_before, nodes_of

if TYPE_CHECKING:
    from ..blackboard import VmList

REPORT_INTERVAL_MS: Final = 400
# Two reports may be lost or late.
_REPORT_VALID_MS: Final = 1000
# Time for the report of a node that has taken over to reach all others.
_RANK_DELAY_MS: Final = 100
_MAX_DELAYED_RANKS: Final = 20
# Share of the nodes that one report may miss; the next one comes before its
# reader is taken for lost.
_MISSED_SHARE: Final = 0.05
# The longest and the shortest time between two checks of the duty.
_MAX_CHECK_INTERVAL_MS: Final = 300.0
_MIN_CHECK_INTERVAL_MS: Final = 100.0
# Nodes of a zone that try while the platform answers none of them.
_MAX_TRYING: Final = 4


@dataclass(frozen=True, slots=True)
class ReaderReport:
    """What a reader says of itself.

    :param incarnation: identifies the process start of the reader.
    :param serial: increases with each report of this process.
    :param is_reading: whether the platform has answered it lately.
    """

    vm: str
    incarnation: int
    serial: int
    is_reading: bool


class ReaderDuty:
    """Decides whether this node reads the platform.

    :param own: VM of the node.
    :param zone: zone of the node.
    :param now_ms: monotonic time.
    """

    def __init__(self, own: str, zone: str, now_ms: float) -> None:
        self._own = own
        self._zone = zone
        self._before: frozenset[str] = frozenset()
        self._nodes: frozenset[str] = frozenset()
        self._reports: dict[str, ReaderReport] = {}
        self._heard_at_ms: dict[str, float] = {}
        self._covered_at_ms = now_ms + _REPORT_VALID_MS

    def replace_list(self, vm_list: VmList) -> None:
        """Rank the nodes of the zone again.

        :param vm_list: VM list that the node knows.
        """
        self._nodes = frozenset(nodes_of(self._zone, vm_list))
        self._before = frozenset(nodes_before(self._own, self._nodes))
        for gone in self._reports.keys() - self._nodes:
            self._reports.pop(gone)
            self._heard_at_ms.pop(gone)

    def note(self, report: ReaderReport, now_ms: float) -> bool:
        """Record a report.

        :param report: report of a reader, which may have come by other nodes.
        :param now_ms: monotonic time.
        :returns: whether it is news, to be passed on.
        """
        if report.vm not in self._nodes or report.vm == self._own:
            return False
        known = self._reports.get(report.vm)
        is_same_process = (
            known is not None and known.incarnation == report.incarnation
        )
        if is_same_process and known and known.serial >= report.serial:
            return False
        self._reports[report.vm] = report
        self._heard_at_ms[report.vm] = now_ms
        return True

    def check_interval_ms(self, now_ms: float) -> float:
        """Return the time until the duty has to be checked again.

        While two readers are heard of, it can change only with the list, or
        with a report that one of them fails, which may take effect a bit later.

        :param now_ms: monotonic time.
        """
        left_ms = self._covered_until_ms() - now_ms
        return min(_MAX_CHECK_INTERVAL_MS, max(_MIN_CHECK_INTERVAL_MS, left_ms))

    def relay_count(self, linked: int) -> int:
        """Return to how many nodes a node passes a report that is news.

        A reader sends its reports to all linked nodes of its zone. Where few
        are linked, the others have to pass on more.

        :param linked: nodes of the zone that this node has links to, which is
            about the number that the reader has.
        """
        others = max(1, len(self._nodes) - 1)
        missed_share = max(0, 1 - linked / others)
        if missed_share <= _MISSED_SHARE:
            return 1
        return max(1, ceil(log(missed_share / _MISSED_SHARE)))

    def must_read(self, now_ms: float) -> bool:
        """Return whether this node reads the platform now.

        :param now_ms: monotonic time.
        """
        rank = len(self._before)
        if rank < READERS_PER_ZONE:
            return True
        covered_until_ms = self._covered_until_ms()
        if covered_until_ms >= now_ms:
            self._covered_at_ms = now_ms
            return False
        heard = [
            vm
            for vm, heard_at_ms in self._heard_at_ms.items()
            if vm in self._before and now_ms - heard_at_ms <= _REPORT_VALID_MS
        ]
        if len(heard) >= _MAX_TRYING:
            self._covered_at_ms = now_ms
            return False
        since_ms = max(self._covered_at_ms, covered_until_ms)
        delayed_ranks = min(rank - READERS_PER_ZONE, _MAX_DELAYED_RANKS)
        delay_ms = delayed_ranks * _RANK_DELAY_MS
        return now_ms - since_ms >= delay_ms

    def _covered_until_ms(self) -> float:
        """Return until when the reports of two readers that go first hold.

        :returns: monotonic time, 0 if there have not been so many.
        """
        heard_at_ms = nlargest(
            READERS_PER_ZONE,
            (
                self._heard_at_ms[vm]
                for vm, report in self._reports.items()
                if report.is_reading and vm in self._before
            ),
        )
        if len(heard_at_ms) < READERS_PER_ZONE:
            return 0
        return heard_at_ms[-1] + _REPORT_VALID_MS


__all__ = ('REPORT_INTERVAL_MS', 'ReaderDuty', 'ReaderReport')
