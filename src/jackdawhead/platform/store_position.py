"""What a reader knows of the store's revisions.

Load pattern: the store comes back from a copy some seconds old. Revisions go
back and are given out again, so that a watch from a known one may wait for
changes that were made below it, without being told so.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from .store_types import Snapshot, StoreFailure, generation_of

if TYPE_CHECKING:
    from collections.abc import Callable


class StorePosition:
    """The revision from which to watch, and the generation it belongs to.

    :param generation_in_force: returns the generation of the VM list that the
        node follows, which may come from other readers; 0 if unknown.

    The attribute ``revision`` is ``None`` if all items have to be read, and
    ``generation`` is the one that it belongs to, 0 if unknown.
    """

    def __init__(self, generation_in_force: Callable[[], int]) -> None:
        self.revision: int | None = None
        self.generation = 0
        self._generation_in_force = generation_in_force

    @property
    def known_generation(self) -> int:
        """Latest generation that this reader or the list in force names.

        It is 0 if neither the store nor any node names one.
        """
        return max(self.generation, self._generation_in_force())

    def is_outdated(self, result: Result[Snapshot, StoreFailure]) -> bool:
        """Return whether all items have to be read instead of changes.

        :param result: answer or failure of a call. Both name a generation.
        """
        if isinstance(result, Failure) and result.failure().is_history_lost:
            return True
        is_later = generation_of(result) > self.generation
        return is_later and self.revision is not None

    def refuse_earlier(
        self, snapshot: Snapshot
    ) -> Result[Snapshot, StoreFailure]:
        """Return an answer, or why it is out of date.

        :param snapshot: the answer; one that names no generation is taken for
            one of the known generation.
        """
        latest = self.known_generation
        if not snapshot.generation or snapshot.generation >= latest:
            return Success(snapshot)
        cause = f'an answer of generation {snapshot.generation}, not {latest}'
        return Failure(StoreFailure(cause))

    def is_later(self, snapshot: Snapshot) -> bool:
        """Return whether an answer is the first of its generation here."""
        return snapshot.generation > self.generation

    def advance(self, snapshot: Snapshot) -> int:
        """Move to the revision of an answer.

        :param snapshot: all items, or the changes since the known revision.
        :returns: the revision from which to watch.
        """
        self.generation = max(self.generation, snapshot.generation)
        self.revision = _next_revision(snapshot, self.revision)
        return self.revision


def _next_revision(snapshot: Snapshot, known: int | None) -> int:
    """Return the revision from which to watch after an answer.

    An answer without changes does not advance it: the store may have withheld
    changes and report them later. A change of a revision that the store has
    not reached says nothing about others.

    :param snapshot: the answer.
    :param known: revision of the watch, ``None`` if all items were read.
    """
    if known is None:
        return snapshot.revision
    if not snapshot.stored_items:
        return known
    reached = (
        each.revision
        for each in snapshot.stored_items
        if each.revision <= snapshot.revision
    )
    latest = max(reached, default=0)
    return latest if latest > known else max(known, snapshot.revision)


__all__ = ('StorePosition',)
