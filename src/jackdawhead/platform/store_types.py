"""Types of the answers of the platform's store."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from returns.result import Result, Success

from ..json_parts import DECODE_ERRORS
from ..node.listed_types import Revision


class StoredItem(msgspec.Struct, frozen=True):
    """An item, or the record of its removal.

    :param key: empty if it cannot be read.

    :param revision: store revision of its latest change.
    :param created_revision: store revision of its creation.
    :param is_deleted: whether it was removed.
    """

    key: str = ''
    revision: Revision = 0
    value: bytes = b''
    created_revision: Revision = msgspec.field(default=0, name='createdRev')
    is_deleted: bool = msgspec.field(default=False, name='deleted')


class _Content(msgspec.Struct, frozen=True):
    """An item without the numbers that say when it was written."""

    key: str
    value: bytes = b''
    is_deleted: bool = msgspec.field(default=False, name='deleted')


class _Key(msgspec.Struct, frozen=True):
    """The key of an item that cannot be read."""

    key: str


def read_item(raw: msgspec.Raw) -> StoredItem:
    """Decode as much of an item as can be read.

    :param raw: JSON text of the item.
    :returns: the item; without a value if only its key can be read, and
        without a key if nothing can.
    """
    for kind in (StoredItem, _Content, _Key):
        try:
            fields = msgspec.json.decode(raw, type=kind)
        except DECODE_ERRORS:
            continue
        return msgspec.convert(fields, StoredItem, from_attributes=True)
    return StoredItem()


class Page(msgspec.Struct, frozen=True):
    """One page of a range of items.

    :param at: store revision that the page reflects.
    """

    at: Revision = msgspec.field(name='atRev')
    found: list[msgspec.Raw] = msgspec.field(name='items', default=[])
    has_more: bool = msgspec.field(default=False, name='hasMore')


class WatchEvents(msgspec.Struct, frozen=True):
    """Changes that a watch returns.

    :param at: store revision at which the watch returned.
    """

    at: Revision = msgspec.field(name='atRev')
    events: list[msgspec.Raw] = []


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Items of the store, or changes to them.

    :param revision: store revision up to which all changes are included;
        later ones may be missing.
    :param is_complete: whether items that are not included do not exist.
    :param generation: generation of the store's data that the revision belongs
        to, 0 if the store names none.
    """

    revision: int
    stored_items: tuple[StoredItem, ...]
    is_complete: bool = True
    generation: int = 0


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """Why a call failed.

    :param is_history_lost: whether the store no longer keeps the requested
        changes, so that all items have to be read again.
    :param is_unreadable: whether the store has answered, with something else
        than the call is for.
    :param generation: generation that the answer names, 0 if there is none.
    """

    cause: str
    is_history_lost: bool = False
    is_unreadable: bool = False
    generation: int = 0


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """A successful answer, not yet decoded.

    :param generation: generation that it names, 0 if none.
    """

    body: bytes
    generation: int


def generation_of(
    result: Result[Snapshot, StoreFailure] | Result[StoreAnswer, StoreFailure],
) -> int:
    """Return the generation that an answer or an error names, 0 if none.

    :param result: result of a call.
    """
    answered: Snapshot | StoreAnswer | StoreFailure = (
        result.unwrap() if isinstance(result, Success) else result.failure()
    )
    return answered.generation


__all__ = (
    'Page',
    'Snapshot',
    'StoreAnswer',
    'StoreFailure',
    'StoredItem',
    'WatchEvents',
    'generation_of',
    'read_item',
)
