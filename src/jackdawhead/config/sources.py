"""Parses YAML files into trees that record the place of each value."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import yaml
from returns.result import Failure, Result, Success

from .problems import Place, Problem

MAX_CONFIG_BYTES: Final = 1_000_000
_MAX_DEPTH: Final = 32
_MERGE_TAG: Final = 'tag:yaml.org,2002:merge'

Scalar = str | int | float | bool | None
Plain = Scalar | list['Plain'] | dict[str, 'Plain']


@dataclass(frozen=True, slots=True)
class SourceFile:
    """The unparsed content of one configuration file.

    :param name: file name, which determines the order of merging.
    :param text: YAML text.
    """

    name: str
    text: str


@dataclass(frozen=True, slots=True)
class Leaf:
    """A scalar or list, with the place that sets it."""

    plain: Plain
    place: Place


@dataclass(frozen=True, slots=True)
class Branch:
    """A mapping from field names to branches and leaves."""

    children: dict[str, Branch | Leaf]
    place: Place


class _SourceError(Exception):
    """Aborts the recursive parsing with one problem."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(str(problem))
        self.problem = problem


def parse_source(source: SourceFile) -> Result[Branch, Problem]:
    """Parse one file.

    Aliases, merge keys, duplicate keys and deep nesting are rejected, so that
    the tree is never larger than the text.

    :param source: the file to parse.
    :returns: its tree, or the first problem found.
    """
    if len(source.text.encode()) > MAX_CONFIG_BYTES:
        return Failure(_too_large(source.name))
    try:
        return Success(_parse(source))
    except _SourceError as error:
        return Failure(error.problem)
    except yaml.MarkedYAMLError as error:
        return Failure(_syntax_problem(source.name, error))
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        return Failure(
            Problem(
                Place(source.name),
                '',
                f'cannot be parsed: {error}',
                'correct the YAML',
            ),
        )


def _parse(source: SourceFile) -> Branch:
    _check_structure(source)
    loader = yaml.CSafeLoader(source.text)
    try:
        node = loader.get_single_node()
        if node is None:
            return Branch({}, Place(source.name, 1))
        tree = _TreeBuilder(source.name, loader).build(node, '', 0)
    finally:
        loader.dispose()
    if isinstance(tree, Branch):
        return tree
    raise _SourceError(
        Problem(
            tree.place,
            '',
            'the top level is not a mapping',
            'start the file with `services:` or another section',
        ),
    )


def _check_structure(source: SourceFile) -> None:
    depth = 0
    for event in yaml.parse(source.text, Loader=yaml.CSafeLoader):
        line = _line_of(event.start_mark)
        if isinstance(event, yaml.AliasEvent):
            raise _SourceError(
                Problem(
                    Place(source.name, line),
                    '',
                    'YAML aliases are not allowed',
                    'repeat the value instead',
                ),
            )
        if isinstance(event, (yaml.MappingStartEvent, yaml.SequenceStartEvent)):
            depth += 1
        if isinstance(event, (yaml.MappingEndEvent, yaml.SequenceEndEvent)):
            depth -= 1
        if depth > _MAX_DEPTH:
            raise _SourceError(
                Problem(
                    Place(source.name, line),
                    '',
                    f'nested deeper than {_MAX_DEPTH} levels',
                    'reduce the nesting',
                ),
            )


class _TreeBuilder:
    """Builds branches and leaves from composed YAML nodes."""

    def __init__(self, file: str, loader: yaml.CSafeLoader) -> None:
        self._file = file
        self._loader = loader

    def build(self, node: yaml.Node, field: str, depth: int) -> Branch | Leaf:
        place = Place(self._file, node.start_mark.line + 1)
        if isinstance(node, yaml.MappingNode):
            return self._branch(node, field, place, depth)
        return Leaf(self._loader.construct_object(node, deep=True), place)

    def _branch(
        self, node: yaml.MappingNode, field: str, place: Place, depth: int
    ) -> Branch:
        children: dict[str, Branch | Leaf] = {}
        for key_node, child_node in node.value:
            key = self._key(key_node, field)
            path = f'{field}.{key}' if field else key
            if key in children:
                raise _SourceError(
                    Problem(
                        Place(self._file, key_node.start_mark.line + 1),
                        path,
                        'duplicate key in one mapping',
                        'remove one of the two keys',
                    ),
                )
            children[key] = self.build(child_node, path, depth + 1)
        return Branch(children, place)

    def _key(self, node: yaml.Node, field: str) -> str:
        place = Place(self._file, node.start_mark.line + 1)
        if node.tag == _MERGE_TAG:
            raise _SourceError(
                Problem(
                    place,
                    field,
                    'YAML merge keys are not allowed',
                    'repeat the fields instead',
                )
            )
        if isinstance(node, yaml.ScalarNode):
            return str(node.value)
        raise _SourceError(
            Problem(
                place, field, 'a key is not a scalar', 'use a string as the key'
            )
        )


def _line_of(mark: Any) -> int:
    return mark.line + 1 if mark else 0


def _too_large(name: str) -> Problem:
    return Problem(
        Place(name),
        '',
        f'larger than {MAX_CONFIG_BYTES} bytes',
        'split the file into smaller ones',
    )


def _syntax_problem(name: str, error: yaml.MarkedYAMLError) -> Problem:
    line = _line_of(error.problem_mark)
    return Problem(
        Place(name, line),
        '',
        f'not valid YAML: {error.problem}',
        'correct the syntax on this line',
    )


__all__ = (
    'MAX_CONFIG_BYTES',
    'Branch',
    'Leaf',
    'Plain',
    'SourceFile',
    'parse_source',
)
