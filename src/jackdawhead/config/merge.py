"""Merges the files of a folder in the order of their names."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from .problems import Place, Problem
from .sources import (
    MAX_VALUE_BYTES,
    Branch,
    Leaf,
    Plain,
    SourceFile,
    parse_source,
)

if TYPE_CHECKING:
    from collections.abc import Callable

_PATTERNS = ('*.yaml', '*.yml')


@dataclass(frozen=True, slots=True)
class MergedTree:
    """The merged files.

    :param plain: nested mappings and values.
    :param origins: place of each field, by dotted path.
    """

    plain: dict[str, Plain]
    origins: dict[str, Place] = field(default_factory=dict)

    def place_of(self, path: str) -> Place:
        """Return the place of a field, or of its nearest known parent.

        :param path: dotted path of the field.
        """
        while path:
            place = self.origins.get(path)
            if place is not None:
                return place
            path = path.rpartition('.')[0]
        return Place('(merged)')


def read_folder(
    folder: Path,
) -> Result[tuple[SourceFile, ...], tuple[Problem, ...]]:
    """Read all YAML files of a folder.

    :param folder: the folder; its sub-folders are not read.
    :returns: the files in the order of their names, or what could not be read.
    """
    if not folder.is_dir():
        return _unreadable(str(folder), 'is not a folder')
    paths = sorted(
        {path for pattern in _PATTERNS for path in folder.glob(pattern)}
    )
    if not paths:
        return _unreadable(str(folder), 'holds no .yaml file')
    sources = []
    for path in paths:
        if path.stat().st_size > MAX_VALUE_BYTES:
            return _unreadable(
                path.name, f'is larger than {MAX_VALUE_BYTES} bytes'
            )
        try:
            text = path.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            return _unreadable(path.name, f'cannot be read: {error}')
        sources.append(SourceFile(path.name, text))
    return Success(tuple(sources))


def merge_sources(
    sources: tuple[SourceFile, ...],
    parse: Callable[[SourceFile], Result[Branch, Problem]] = parse_source,
) -> Result[MergedTree, tuple[Problem, ...]]:
    """Merge files; two files may fill one mapping but never set one field.

    :param sources: the files in any order.
    :param parse: parses one file.
    :returns: the merged tree, or every problem found.
    """
    total_bytes = sum(len(source.text.encode()) for source in sources)
    if total_bytes > MAX_VALUE_BYTES:
        return _unreadable(
            '(all files)', f'together larger than {MAX_VALUE_BYTES} bytes'
        )
    merger = _Merger()
    for source in sorted(sources, key=lambda each: each.name):
        match parse(source):
            case Success(tree):
                merger.add(tree)
            case Failure(problem):
                merger.problems.append(problem)
    if merger.problems:
        return Failure(tuple(merger.problems))
    return Success(MergedTree(merger.plain, merger.origins))


class _Merger:
    """Collects trees into one plain mapping with the origin of each field."""

    def __init__(self) -> None:
        self.plain: dict[str, Plain] = {}
        self.origins: dict[str, Place] = {}
        self.problems: list[Problem] = []

    def add(self, tree: Branch) -> None:
        self._fill(self.plain, tree, '')

    def _fill(
        self, target: dict[str, Plain], branch: Branch, prefix: str
    ) -> None:
        for name, child in branch.children.items():
            path = f'{prefix}.{name}' if prefix else name
            present = target.get(name)
            is_new = name not in target
            if is_new:
                self.origins[path] = child.place
                target[name] = self._plain(child, path)
            elif isinstance(child, Branch) and isinstance(present, dict):
                self._fill(present, child, path)
            else:
                self.problems.append(self._conflict(path, child.place))

    def _plain(self, child: Branch | Leaf, path: str) -> Plain:
        if isinstance(child, Leaf):
            return child.plain
        mapping: dict[str, Plain] = {}
        self._fill(mapping, child, path)
        return mapping

    def _conflict(self, path: str, place: Place) -> Problem:
        first = self.origins.get(path, Place('(merged)'))
        return Problem(
            place,
            path,
            f'is already set at {first}',
            'keep it in one file only',
        )


def _unreadable(name: str, message: str) -> Failure[tuple[Problem, ...]]:
    problem = Problem(
        Place(name), '', message, 'name a folder of small YAML files'
    )
    return Failure((problem,))


__all__ = ('MergedTree', 'merge_sources', 'read_folder')
