"""Recent changes of the VM list."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

from .vm_list_codec import build_change, changed_vm_names

if TYPE_CHECKING:
    from ..blackboard import VmList
    from ..wire.messages import VmListDelta

_MAX_CHANGES: Final = 64
_MAX_VMS_PER_CHANGE: Final = 1000


class ListHistory:
    """Computes the difference to any recent version of the VM list."""

    def __init__(self) -> None:
        # For each change, the version before it and the names of its VMs.
        self._changes: deque[tuple[int, frozenset[str]]] = deque(
            maxlen=_MAX_CHANGES
        )

    def record(self, before: VmList, after: VmList) -> None:
        """Record a change.

        A change of more than 1000 VMs clears the history, so that nodes
        receive the complete list instead. So does a new generation: the same
        version may have been another list in the one before.

        :param before: the list before the change.
        :param after: the list after the change.
        """
        names = changed_vm_names(before, after)
        is_comparable = before.generation == after.generation
        if not is_comparable or len(names) > _MAX_VMS_PER_CHANGE:
            self._changes.clear()
        else:
            self._changes.append((before.version, names))

    def change_since(self, version: int, current: VmList) -> VmListDelta | None:
        """Return the difference between an earlier list and the current one.

        :param version: version of the earlier list.
        :param current: the current list.
        :returns: the difference, or ``None`` if the history does not reach
            back to that version.
        """
        bases = [base for base, _ in self._changes]
        if version not in bases:
            return None
        changes = list(self._changes)[bases.index(version) :]
        names = frozenset[str]().union(*(names for _, names in changes))
        return build_change(names, version, current)


__all__ = ('ListHistory',)
