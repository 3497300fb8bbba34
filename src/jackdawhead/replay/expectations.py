"""Expected results of a replay, as bounds on measures."""

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

_STRING: Final = {'type': 'string'}
_NUMBER: Final = {'type': 'number'}
_NON_QUERY_FIELDS: Final = frozenset(('measure', 'max', 'min'))

EXPECTATIONS_SCHEMA: Final[dict[str, Any]] = {
    'type': 'object',
    'additionalProperties': False,
    'required': ['expect'],
    'properties': {
        'title': _STRING,
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
                    'service': _STRING,
                    'operation': _STRING,
                    'work_class': {'enum': ['short', 'long']},
                    'organisation': _STRING,
                    'upstreams': {'type': 'array', 'items': _STRING},
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
    """Bounds on one measure.

    :param measure: name of the measure.
    :param query: requests, upstreams and times that it is computed over.
    :param least: lower bound, inclusive; none if there is none.
    :param most: upper bound, inclusive; none if there is none.
    """

    measure: str
    query: Query
    least: float | None
    most: float | None


@dataclass(frozen=True, slots=True)
class Finding:
    """Result of checking one expectation.

    :param figure: value of the measure.
    :param is_met: whether the value is within the bounds.
    """

    expectation: Expectation
    figure: float
    is_met: bool


def read_expectations(
    path: Path,
) -> Result[tuple[Expectation, ...], tuple[Problem, ...]]:
    """Read a file of expectations.

    :param path: YAML file.
    :returns: the expectations, or every problem found in the file.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        problem = Problem(
            Place(str(path)),
            '',
            f'cannot be read: {error}',
            'give the path of a readable YAML file with --expect',
        )
        return Failure((problem,))
    return merge_sources((SourceFile(path.name, text),)).bind(_check)


def evaluate(
    result: ReplayResult,
    expectations: tuple[Expectation, ...],
) -> tuple[Finding, ...]:
    """Check the result of a replay against its expectations.

    :param result: result of the replay.
    :param expectations: bounds to check.
    :returns: a finding for each expectation, in the same order.
    """
    return tuple(_evaluate_one(result, each) for each in expectations)


def _evaluate_one(result: ReplayResult, expectation: Expectation) -> Finding:
    figure = MEASURES[expectation.measure](result, expectation.query)
    is_above_min = expectation.least is None or figure >= expectation.least
    is_below_max = expectation.most is None or figure <= expectation.most
    return Finding(expectation, figure, is_above_min and is_below_max)


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
        if name not in _NON_QUERY_FIELDS
    }
    return Expectation(
        plain['measure'], Query(**fields), plain.get('min'), plain.get('max')
    )


__all__ = ('Expectation', 'Finding', 'evaluate', 'read_expectations')
