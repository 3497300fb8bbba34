"""What calls to the platform's store give."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec


class StoredItem(msgspec.Struct, frozen=True):
    """An item, or the news that it is gone.

    :param revision: of its last change.
    :param made: revision of its creation.
    :param gone: whether it was removed.
    """

    key: str
    revision: int = 0
    value: bytes = b''
    made: int = msgspec.field(default=0, name='createdRev')
    gone: bool = msgspec.field(default=False, name='deleted')


class Page(msgspec.Struct, frozen=True):
    """A part of a range of items."""

    at: int = msgspec.field(name='atRev')
    found: list[StoredItem] = msgspec.field(name='items', default=[])
    has_more: bool = msgspec.field(default=False, name='hasMore')


class News(msgspec.Struct, frozen=True):
    """What has changed."""

    at: int = msgspec.field(name='atRev')
    events: list[StoredItem] = []


@dataclass(frozen=True, slots=True)
class Snapshot:
    """What the store holds.

    :param revision: of the store, at least; later changes may be missing.
    """

    revision: int
    found: tuple[StoredItem, ...]


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """Why a call gave nothing.

    :param is_history_lost: whether the store answered that it no longer has
        the changes asked for.
    """

    cause: str
    is_history_lost: bool = False


__all__ = ('News', 'Page', 'Snapshot', 'StoreFailure', 'StoredItem')
