"""Which VMs the latest changes of the list concerned."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

from .list_codec import change_about, differing

if TYPE_CHECKING:
    from ..blackboard import VmList
    from ..wire.messages import VmChange

_MAX_STEPS: Final = 64
_MAX_NAMES: Final = 1000


class ListHistory:
    """Answers what has changed since a version, as long as it is known."""

    def __init__(self) -> None:
        # Version before each change, and the VMs that it concerned.
        self._steps: deque[tuple[int, frozenset[str]]] = deque(
            maxlen=_MAX_STEPS
        )

    def note(self, before: VmList, after: VmList) -> None:
        """Take in a change.

        :param before: the list before.
        :param after: the list after it.
        """
        names = differing(before, after)
        if len(names) > _MAX_NAMES:
            self._steps.clear()
        else:
            self._steps.append((before.version, names))

    def change_since(self, version: int, current: VmList) -> VmChange | None:
        """Return the difference between an earlier list and the current one.

        :param version: of the earlier list.
        :param current: the list in force.
        :returns: nothing if the earlier list is not known here.
        """
        bases = [base for base, _ in self._steps]
        if version not in bases:
            return None
        steps = list(self._steps)[bases.index(version) :]
        names = frozenset[str]().union(*(names for _, names in steps))
        return change_about(names, version, current)


__all__ = ('ListHistory',)
