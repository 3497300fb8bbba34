"""Maintains the VM list, received from the platform or other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from returns.result import Failure, Success

from ..audit import AuditKind
from ..logs import log_event
from ..wire.codec import MAX_FRAME_BYTES
from ..wire.messages import VmListRequest, VmListSnapshot
from .list_history import ListHistory
from .refusal_log import RefusalLog
from .vm_list_codec import apply_change, list_text, parse_vm_list

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..audit import AuditTrail
    from ..blackboard import Blackboard, VmList
    from ..wire.messages import VmListDelta
    from .links import Link
    from .listed_vms import RefusedVm


# The rest of a frame is left for the numbers of the message.
_MAX_TEXT_BYTES: Final = MAX_FRAME_BYTES - 100


class MembershipController:
    """Accepts newer VM lists and announces them to other nodes.

    :param board: shared state that holds the current list.
    :param audit: audit trail.

    The attribute ``is_provisional`` tells whether lists of a version may
    differ, so that no change from it is sent.
    """

    def __init__(self, board: Blackboard, audit: AuditTrail) -> None:
        self._board = board
        self._audit = audit
        self._history = ListHistory()
        self._refusals = RefusalLog()
        self.is_provisional: Callable[[int], bool] = lambda _: False
        self.announce: Callable[[Link | None], None] | None = None

    def offer(
        self,
        version: int,
        text: str,
        source: Link | None = None,
    ) -> bool:
        """Accept a list if its version is newer than the current one.

        :param version: version assigned by the platform.
        :param text: the list as published, in JSON.
        :param source: link that delivered the list, if any.
        :returns: whether the list was newer and could be read; entries of it
            that are not valid are left out.
        """
        if version <= self._board.vm_list.read().version:
            return False
        match parse_vm_list(version, text, self._note_refused):
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

    def receive_update(self, update: VmListSnapshot, link: Link) -> None:
        """Handle a complete list from another node.

        :param update: version and text of the list.
        :param link: link that delivered it.
        """
        self.offer(update.version, update.text, link)

    def receive_change(self, change: VmListDelta, link: Link) -> None:
        """Apply a change to the current list.

        If the change is based on another version, request an update from
        the current one instead.

        :param change: base version, new version and changed entries.
        :param link: link that delivered it.
        """
        current = self._board.vm_list.read()
        if change.version <= current.version:
            return
        if change.base != current.version:
            link.send(VmListRequest(current.version))
            return
        match apply_change(current, change, self._note_refused):
            case Success(vm_list):
                self._accept(vm_list, link)
            case Failure(message):
                self._audit.record(
                    AuditKind.CONFIG_REFUSED,
                    f'VM list {change.version}',
                    message,
                )

    def answer(self, request: VmListRequest, link: Link) -> None:
        """Send a node the changes since its version, or the complete list.

        A list that no frame can hold is not sent, since the other node would
        close the link. That node reads the platform itself from time to time.

        :param request: contains the version that the node has.
        :param link: link to the node.
        """
        current = self._board.vm_list.read()
        if request.version >= current.version:
            return
        update = self._change_since(request.version, current) or VmListSnapshot(
            current.version, list_text(current)
        )
        size = len(update.text.encode())
        if size <= _MAX_TEXT_BYTES:
            link.send(update)
        else:
            subject = f'VM list {current.version}'
            self._refusals.note(subject, b'', f'{size} bytes are too many')

    def _change_since(
        self, version: int, current: VmList
    ) -> VmListDelta | None:
        if self.is_provisional(version):
            return None
        return self._history.change_since(version, current)

    def _accept(self, vm_list: VmList, source: Link | None) -> None:
        previous = self._board.vm_list.read()
        self._audit_differences(previous, vm_list)
        self._history.record(previous, vm_list)
        self._board.vm_list.write(vm_list)
        log_event(
            'vm-list-accepted',
            version=vm_list.version,
            previous=previous.version,
            source=source.vm if source else 'platform',
        )
        if self.announce is not None:
            self.announce(source)

    def _note_refused(self, refused: RefusedVm) -> None:
        self._refusals.note(refused.name, refused.content, refused.cause)

    def _audit_differences(self, previous: VmList, current: VmList) -> None:
        for name in sorted(current.vms.keys() - previous.vms.keys()):
            self._audit.record(
                AuditKind.UPSTREAM_JOINED,
                name,
                f'list {current.version}',
            )
        for name in sorted(previous.vms.keys() - current.vms.keys()):
            self._audit.record(
                AuditKind.UPSTREAM_LEFT,
                name,
                f'list {current.version}',
            )


__all__ = ('MembershipController',)
