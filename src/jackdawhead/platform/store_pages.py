"""Collects the pages of a range of the platform's store."""

from __future__ import annotations

from typing import Final, TypeVar

from returns.result import Failure, Result, Success

from ..json_parts import DECODE_ERRORS, decode_parts
from .store_types import (
    Page,
    Snapshot,
    StoreAnswer,
    StoredItem,
    StoreFailure,
    read_item,
)

_MAX_PAGES: Final = 1000
_MAX_TOTAL_BYTES: Final = 128_000_000

_DecodedT = TypeVar('_DecodedT')


class Pages:
    """Pages of one range, read one after the other with bounds on all."""

    def __init__(self) -> None:
        self.last_key = ''
        self.may_continue = True
        self._revision = 0
        self._generation = 0
        self._stored_items: list[StoredItem] = []
        self._continued_after: set[str] = set()
        self._has_more = False
        self._bytes = 0

    @property
    def snapshot(self) -> Snapshot:
        """All items so far, with the revision of the first page."""
        return Snapshot(
            self._revision,
            tuple(self._stored_items),
            not self._has_more,
            self._generation,
        )

    def add(self, answer: StoreAnswer) -> Result[Page, StoreFailure]:
        """Add the next page.

        Pages of two generations don't belong together.

        :param answer: the page as answered.
        """
        result = decode_answer(answer.body, Page)
        if isinstance(result, Failure):
            return result
        if not self._continued_after:
            self._revision = result.unwrap().at
            self._generation = answer.generation
        elif self._generation != answer.generation:
            cause = f'a page of generation {answer.generation} follows one of'
            return Failure(
                StoreFailure(
                    f'{cause} {self._generation}', generation=answer.generation
                )
            )
        self._bytes += len(answer.body)
        self._add(result.unwrap())
        return result

    def _add(self, page: Page) -> None:
        found = tuple(map(read_item, page.found))
        self._stored_items.extend(found)
        self._continued_after.add(self.last_key)
        keys = (each.key for each in reversed(found) if each.key)
        self.last_key = next(keys, self.last_key)
        self._has_more = page.has_more and bool(page.found)
        self.may_continue = (
            self._has_more
            and self.last_key not in self._continued_after
            and len(self._continued_after) < _MAX_PAGES
            and self._bytes < _MAX_TOTAL_BYTES
        )


def decode_answer(
    body: bytes, kind: type[_DecodedT]
) -> Result[_DecodedT, StoreFailure]:
    """Decode an answer of the store.

    :param body: the answer.
    :param kind: type of the answer.
    """
    try:
        return Success(decode_parts(body, kind))
    except DECODE_ERRORS as error:
        cause = f'{kind.__name__}: {error}'
    return Failure(StoreFailure(cause, is_unreadable=True))


__all__ = ('Pages', 'decode_answer')
