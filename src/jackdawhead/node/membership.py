"""Keeps the list of VMs, from the platform or from other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Success

from ..audit import AuditKind
from ..wire.messages import VmAsk, VmNews
from .list_codec import apply_change, list_text, parse_vm_list
from .list_history import ListHistory

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..audit import AuditTrail
    from ..blackboard import Blackboard, VmList
    from ..wire.messages import VmChange
    from .links import Link


class MembershipController:
    """Accepts newer lists and passes them on.

    :param board: where the list is written.
    :param audit: trail of changes.
    """

    def __init__(self, board: Blackboard, audit: AuditTrail) -> None:
        self._board = board
        self._audit = audit
        self._history = ListHistory()
        self.announce: Callable[[Link | None], None] | None = None

    def offer(
        self,
        version: int,
        text: str,
        source: Link | None = None,
    ) -> bool:
        """Take in a list; versions only grow.

        :param version: version given by the platform.
        :param text: JSON as published.
        :param source: link that it came on, if any.
        :returns: whether it was newer and well formed.
        """
        if version <= self._board.vm_list.read().version:
            return False
        match parse_vm_list(version, text):
            case Success(vm_list):
                self._accept(vm_list, source)
                return True
            case Failure(message):
                self._audit.record(
                    AuditKind.CONFIG_REFUSED,
                    f'VM list {version}',
                    message,
                )
        return False

    def take_news(self, news: VmNews, link: Link) -> None:
        """Take in a list from another node.

        :param news: version and text.
        :param link: where it came from.
        """
        self.offer(news.version, news.text, link)

    def take_change(self, change: VmChange, link: Link) -> None:
        """Take in the difference to an earlier list.

        The whole list is asked for if that is not the list known here.

        :param change: versions and what differs.
        :param link: where it came from.
        """
        current = self._board.vm_list.read()
        if change.version <= current.version:
            return
        if change.base != current.version:
            link.send(VmAsk(current.version))
            return
        match apply_change(current, change):
            case Success(vm_list):
                self._accept(vm_list, link)
            case Failure(message):
                self._audit.record(
                    AuditKind.CONFIG_REFUSED,
                    f'VM list {change.version}',
                    message,
                )

    def answer(self, ask: VmAsk, link: Link) -> None:
        """Send a node what it lacks, or the whole list.

        :param ask: tells which list it has.
        :param link: way to the node.
        """
        current = self._board.vm_list.read()
        if ask.version >= current.version:
            return
        change = self._history.change_since(ask.version, current)
        link.send(change or VmNews(current.version, list_text(current)))

    def _accept(self, vm_list: VmList, source: Link | None) -> None:
        before = self._board.vm_list.read()
        self._audit_changes(before, vm_list)
        self._history.note(before, vm_list)
        self._board.vm_list.write(vm_list)
        if self.announce is not None:
            self.announce(source)

    def _audit_changes(self, before: VmList, after: VmList) -> None:
        for name in sorted(after.vms.keys() - before.vms.keys()):
            self._audit.record(
                AuditKind.UPSTREAM_JOINED,
                name,
                f'list {after.version}',
            )
        for name in sorted(before.vms.keys() - after.vms.keys()):
            self._audit.record(
                AuditKind.UPSTREAM_LEFT,
                name,
                f'list {after.version}',
            )


__all__ = ('MembershipController',)
