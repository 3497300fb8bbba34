"""Maintains the VM list, received from the platform or other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent
from returns.result import Failure, Success

from ..audit import AuditKind
from ..clock import monotonic_ms, seconds
from ..logs import log_event
from ..policy.list_order import ListOrder
from ..policy.unproven import UnprovenUpstreams
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
# A timer may fire a little early.
_TIMER_TOLERANCE_MS: Final = 50


class MembershipController:
    """Accepts newer VM lists and announces them to other nodes.

    :param board: shared state that holds the current list.
    :param audit: audit trail.

    The attribute ``is_provisional`` tells whether lists of a version may
    differ, so that no change from it is sent. The attribute ``proof_ms`` is the
    time after which an entry that is still listed is one of a live upstream.
    """

    def __init__(self, board: Blackboard, audit: AuditTrail) -> None:
        self._board = board
        self._audit = audit
        self._history = ListHistory()
        self._refusals = RefusalLog()
        self._listed = board.vm_list.read()
        self._unproven = UnprovenUpstreams()
        self.is_provisional: Callable[[int], bool] = lambda _: False
        self.proof_ms: float = 0
        self.announce: Callable[[Link | None], None] | None = None

    @property
    def listed(self) -> VmList:
        """The list in force as the platform gives it.

        The board has the same one, without the upstreams that are held out of
        use.
        """
        in_force = self._board.vm_list.read()
        return (
            self._listed if self._listed.order == in_force.order else in_force
        )

    @property
    def unproven_count(self) -> int:
        """Number of upstreams that are held out of use."""
        return len(self._unproven)

    def offer(
        self,
        version: int,
        text: str,
        source: Link | None = None,
        generation: int = 0,
    ) -> bool:
        """Accept a list if it is newer than the current one.

        :param version: version assigned by the platform.
        :param text: the list as published, in JSON.
        :param source: link that delivered the list, if any.
        :param generation: generation that the version belongs to.
        :returns: whether the list was newer and could be read; entries of it
            that are not valid are left out.
        """
        if ListOrder(generation, version) <= self.listed.order:
            return False
        match parse_vm_list(version, text, self._note_refused, generation):
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
        self.offer(update.version, update.text, link, update.generation)

    def receive_change(self, change: VmListDelta, link: Link) -> None:
        """Apply a change to the current list.

        If the change is based on another list, request an update from the
        current one instead.

        :param change: base version, new version and changed entries.
        :param link: link that delivered it.
        """
        current = self.listed
        if ListOrder(change.generation, change.version) <= current.order:
            return
        if ListOrder(change.generation, change.base) != current.order:
            link.send(VmListRequest(current.version, current.generation))
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
        current = self.listed
        known = ListOrder(request.generation, request.version)
        if known >= current.order:
            return
        update = self._change_since(known, current) or VmListSnapshot(
            current.version, list_text(current), current.generation
        )
        size = len(update.text.encode())
        if size <= _MAX_TEXT_BYTES:
            link.send(update)
        else:
            subject = f'VM list {current.version}'
            self._refusals.note(subject, b'', f'{size} bytes are too many')

    def _change_since(
        self, known: ListOrder, current: VmList
    ) -> VmListDelta | None:
        is_comparable = known.generation == current.generation
        if not is_comparable or self.is_provisional(known.version):
            return None
        return self._history.change_since(known.version, current)

    def _accept(self, vm_list: VmList, source: Link | None) -> None:
        previous = self.listed
        self._audit_differences(previous, vm_list)
        self._history.record(previous, vm_list)
        if 0 < previous.generation < vm_list.generation:
            self._hold_unproven(vm_list)
        self._listed = vm_list
        self._use_proven()
        log_event(
            'vm-list-accepted',
            version=vm_list.version,
            generation=vm_list.generation,
            previous=previous.version,
            source=source.vm if source else 'platform',
        )
        if self.announce is not None:
            self.announce(source)

    def _hold_unproven(self, listed: VmList) -> None:
        """Hold what only an older copy of the platform's data names as ready.

        :param listed: the first list of a generation.
        """
        used = self._board.vm_list.read()
        until_ms = monotonic_ms() + self.proof_ms
        count = self._unproven.begin(used, listed, until_ms)
        log_event(
            'vm-list-generation',
            generation=listed.generation,
            previous=used.generation,
            unproven=count,
        )
        if count:
            delay_ms = self.proof_ms + _TIMER_TOLERANCE_MS
            gevent.spawn_later(seconds(delay_ms), self._use_proven)

    def _use_proven(self) -> None:
        """Put the list in force on the board, without what is unproven."""
        now_ms = monotonic_ms()
        self._board.vm_list.write(self._unproven.apply_to(self._listed, now_ms))

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
