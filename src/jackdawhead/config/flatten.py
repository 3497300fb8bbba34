"""Lists the fields of a merged tree with their dotted paths and places."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .merge import MergedTree
    from .sources import Plain


@dataclass(frozen=True, slots=True)
class FlatField:
    """One field of the configuration.

    :param field: dotted path.
    :param text: value as JSON.
    :param place: file and line that set the field.
    """

    field: str
    text: str
    place: str


def flatten(tree: MergedTree) -> tuple[FlatField, ...]:
    """Return all fields, sorted by path.

    :param tree: merged files.
    """
    return tuple(sorted(_walk(tree, tree.plain, ''), key=_path_of))


def _path_of(field: FlatField) -> str:
    return field.field


def _walk(tree: MergedTree, plain: Plain, path: str) -> Iterator[FlatField]:
    if isinstance(plain, dict):
        for name, child in plain.items():
            yield from _walk(tree, child, f'{path}.{name}' if path else name)
    else:
        yield FlatField(path, json.dumps(plain), str(tree.place_of(path)))


__all__ = ('FlatField', 'flatten')
