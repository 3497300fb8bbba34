"""Types of the answers of the platform's store."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec


class StoredItem(msgspec.Struct, frozen=True):
    """An item, or the record of its removal.

    :param revision: store revision of its latest change.
    :param created_revision: store revision of its creation.
    :param is_deleted: whether it was removed.
    """

    key: str
    revision: int = 0
    value: bytes = b''
    created_revision: int = msgspec.field(default=0, name='createdRev')
    is_deleted: bool = msgspec.field(default=False, name='deleted')


class Page(msgspec.Struct, frozen=True):
    """One page of a range of items.

    :param at: store revision that the page reflects.
    """

    at: int = msgspec.field(name='atRev')
    found: list[StoredItem] = msgspec.field(name='items', default=[])
    has_more: bool = msgspec.field(default=False, name='hasMore')


class WatchEvents(msgspec.Struct, frozen=True):
    """Changes that a watch returns.

    :param at: store revision at which the watch returned.
    """

    at: int = msgspec.field(name='atRev')
    events: list[StoredItem] = []


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Items of the store, or changes to them.

    :param revision: store revision up to which all changes are included;
        later ones may be missing.
    """

    revision: int
    stored_items: tuple[StoredItem, ...]


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """Why a call failed.

    :param is_history_lost: whether the store no longer keeps the requested
        changes, so that all items have to be read again.
    """

    cause: str
    is_history_lost: bool = False


__all__ = ('Page', 'Snapshot', 'StoreFailure', 'StoredItem', 'WatchEvents')
