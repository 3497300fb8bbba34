"""Stated outcomes of a replay: bounds on figures."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure, Result, Success

from ..config.checks import check_schema
from ..config.merge import MergedTree, merge_sources
from ..config.problems import Place, Problem
from ..config.sources import SourceFile
from .measures import MEASURES, Query

if TYPE_CHECKING:
    from .result import ReplayResult

_TEXT: Final = {'type': 'string'}
_NUMBER: Final = {'type': 'number'}
_NOT_QUERY: Final = frozenset(('measure', 'max', 'min'))

EXPECTATIONS_SCHEMA: Final[dict[str, Any]] = {
    'type': 'object',
    'additionalProperties': False,
    'required': ['expect'],
    'properties': {
        'title': _TEXT,
        'expect': {
            'type': 'array',
            'minItems': 1,
            'items': {
                'type': 'object',
                'additionalProperties': False,
                'required': ['measure'],
                'anyOf': [{'required': ['max']}, {'required': ['min']}],
                'properties': {
                    'measure': {'enum': sorted(MEASURES)},
                    'max': _NUMBER,
                    'min': _NUMBER,
                    'service': _TEXT,
                    'operation': _TEXT,
                    'work_class': {'enum': ['short', 'long']},
                    'organisation': _TEXT,
                    'upstreams': {'type': 'array', 'items': _TEXT},
                    'from_ms': _NUMBER,
                    'to_ms': _NUMBER,
                    'percentile': _NUMBER,
                },
            },
        },
    },
}


@dataclass(frozen=True, slots=True)
class Expectation:
    """Bounds on one figure; a missing bound is not checked."""

    measure: str
    query: Query
    least: float | None
    most: float | None


@dataclass(frozen=True, slots=True)
class Finding:
    """A figure against its bounds.

    :param is_met: whether the figure is within them.
    """

    expectation: Expectation
    figure: float
    is_met: bool


def read_expectations(
    path: Path,
) -> Result[tuple[Expectation, ...], tuple[Problem, ...]]:
    """Read a file of bounds.

    :param path: YAML file.
    :returns: the bounds, or what is wrong with the file.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        problem = Problem(
            Place(str(path)), '', f'cannot be read: {error}', 'name a YAML file'
        )
        return Failure((problem,))
    return merge_sources((SourceFile(path.name, text),)).bind(_check)


def judge(
    result: ReplayResult,
    expectations: tuple[Expectation, ...],
) -> tuple[Finding, ...]:
    """Compare a replay with its stated outcomes.

    :param result: of the replay.
    :param expectations: bounds.
    """
    return tuple(_judge_one(result, each) for each in expectations)


def _judge_one(result: ReplayResult, expectation: Expectation) -> Finding:
    figure = MEASURES[expectation.measure](result, expectation.query)
    is_enough = expectation.least is None or figure >= expectation.least
    is_little = expectation.most is None or figure <= expectation.most
    return Finding(expectation, figure, is_enough and is_little)


def _check(
    tree: MergedTree,
) -> Result[tuple[Expectation, ...], tuple[Problem, ...]]:
    problems = check_schema(tree, EXPECTATIONS_SCHEMA)
    if problems:
        return Failure(problems)
    listed: Any = tree.plain['expect']
    return Success(tuple(_build(each) for each in listed))


def _build(plain: dict[str, Any]) -> Expectation:
    fields: dict[str, Any] = {
        name: tuple(field) if isinstance(field, list) else field
        for name, field in plain.items()
        if name not in _NOT_QUERY
    }
    return Expectation(
        plain['measure'], Query(**fields), plain.get('min'), plain.get('max')
    )


__all__ = ('Expectation', 'Finding', 'judge', 'read_expectations')
