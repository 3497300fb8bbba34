"""Merges the YAML files of a folder in the order of their names."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from .problems import Place, Problem
from .sources import (
    MAX_CONFIG_BYTES,
    Branch,
    Leaf,
    Plain,
    SourceFile,
    parse_source,
)

if TYPE_CHECKING:
    from collections.abc import Callable

_FILE_PATTERNS = ('*.yaml', '*.yml')


@dataclass(frozen=True, slots=True)
class MergedTree:
    """The merged content of all files.

    :param plain: nested mappings and values.
    :param origins: place that sets each field, by dotted path.
    """

    plain: dict[str, Plain]
    origins: dict[str, Place] = field(default_factory=dict)

    def place_of(self, path: str) -> Place:
        """Return the place of a field, or of its closest known parent.

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

    :param folder: the folder; subfolders are ignored.
    :returns: the files in the order of their names, or a problem if a file
        cannot be read.
    """
    if not folder.is_dir():
        return _folder_problem(str(folder), 'is not a folder')
    paths = sorted(
        {path for pattern in _FILE_PATTERNS for path in folder.glob(pattern)}
    )
    if not paths:
        return _folder_problem(str(folder), 'contains no .yaml or .yml file')
    sources = []
    for path in paths:
        if path.stat().st_size > MAX_CONFIG_BYTES:
            return _folder_problem(
                path.name, f'is larger than {MAX_CONFIG_BYTES} bytes'
            )
        try:
            text = path.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            return _folder_problem(path.name, f'cannot be read: {error}')
        sources.append(SourceFile(path.name, text))
    return Success(tuple(sources))


def merge_sources(
    sources: tuple[SourceFile, ...],
    parse: Callable[[SourceFile], Result[Branch, Problem]] = parse_source,
) -> Result[MergedTree, tuple[Problem, ...]]:
    """Merge files by field.

    Several files may add to the same mapping, but only one may set a field.

    :param sources: the files, in any order.
    :param parse: parser for one file.
    :returns: the merged tree, or every problem found.
    """
    total_bytes = sum(len(source.text.encode()) for source in sources)
    if total_bytes > MAX_CONFIG_BYTES:
        return _folder_problem(
            '(all files)',
            f'{total_bytes} bytes in total, larger than '
            f'{MAX_CONFIG_BYTES} bytes',
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
    """Merges trees into one plain mapping and records where fields are set."""

    def __init__(self) -> None:
        self.plain: dict[str, Plain] = {}
        self.origins: dict[str, Place] = {}
        self.problems: list[Problem] = []

    def add(self, tree: Branch) -> None:
        self._merge(self.plain, tree, '')

    def _merge(
        self, target: dict[str, Plain], branch: Branch, prefix: str
    ) -> None:
        for name, child in branch.children.items():
            path = f'{prefix}.{name}' if prefix else name
            existing = target.get(name)
            is_new = name not in target
            if is_new:
                self.origins[path] = child.place
                target[name] = self._to_plain(child, path)
            elif isinstance(child, Branch) and isinstance(existing, dict):
                self._merge(existing, child, path)
            else:
                self.problems.append(self._conflict(path, child.place))

    def _to_plain(self, child: Branch | Leaf, path: str) -> Plain:
        if isinstance(child, Leaf):
            return child.plain
        mapping: dict[str, Plain] = {}
        self._merge(mapping, child, path)
        return mapping

    def _conflict(self, path: str, place: Place) -> Problem:
        first = self.origins.get(path, Place('(merged)'))
        return Problem(
            place,
            path,
            f'is already set at {first}',
            'set it in one file only',
        )


def _folder_problem(name: str, message: str) -> Failure[tuple[Problem, ...]]:
    problem = Problem(
        Place(name),
        '',
        message,
        'give a folder of readable YAML files, '
        f'of {MAX_CONFIG_BYTES} bytes in total at most',
    )
    return Failure((problem,))


__all__ = ('MergedTree', 'merge_sources', 'read_folder')
