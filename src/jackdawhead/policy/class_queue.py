"""Queue of one work class that is fair between organisations."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from .work import Work


class ClassQueue:
    """Round-robin over organisations, each with a first-in, first-out queue."""

    def __init__(self) -> None:
        self._by_organisation: OrderedDict[str, deque[Work]] = OrderedDict()
        self._count = 0

    def __len__(self) -> int:
        """Return the number of queued requests of all organisations."""
        return self._count

    @property
    def organisations(self) -> int:
        """Number of organisations that have queued work."""
        return len(self._by_organisation)

    def depth_of(self, organisation: str) -> int:
        """Return the number of queued requests of an organisation.

        :param organisation: name of the organisation.
        """
        return len(self._by_organisation.get(organisation, ()))

    def append(self, work: Work) -> None:
        """Queue work behind the other work of its organisation.

        :param work: work to queue.
        """
        queue = self._by_organisation.setdefault(work.organisation, deque())
        queue.append(work)
        self._count += 1

    def oldest(self) -> Work | None:
        """Return the work that has waited longest, None if none is queued."""
        heads = (queue[0] for queue in self._by_organisation.values())
        return min(heads, key=lambda each: each.arrived_at_ms, default=None)

    def pop(self) -> Work:
        """Remove and return the next work of the organisation whose turn it is.

        The queue must not be empty.
        """
        organisation, queue = next(iter(self._by_organisation.items()))
        work = queue.popleft()
        self._count -= 1
        self._by_organisation.pop(organisation)
        if queue:
            self._by_organisation[organisation] = queue
        return work

    def remove(self, work: Work) -> bool:
        """Remove work from the queue.

        :param work: work to remove.
        :returns: whether it was queued.
        """
        queue = self._by_organisation.get(work.organisation)
        if queue is None or work not in queue:
            return False
        queue.remove(work)
        self._count -= 1
        if not queue:
            self._by_organisation.pop(work.organisation)
        return True

    def drain(self) -> tuple[Work, ...]:
        """Remove and return all queued work."""
        waiting = tuple(
            work for queue in self._by_organisation.values() for work in queue
        )
        self._by_organisation.clear()
        self._count = 0
        return waiting

    def remove_if(
        self,
        condition: Callable[[Work], bool],
    ) -> tuple[Work, ...]:
        """Remove and return all queued work that meets a condition.

        :param condition: predicate on queued work.
        """
        found = tuple(
            work
            for queue in self._by_organisation.values()
            for work in queue
            if condition(work)
        )
        for work in found:
            self.remove(work)
        return found


__all__ = ('ClassQueue',)
