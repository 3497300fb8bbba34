"""The ``replay`` command."""

from __future__ import annotations

from argparse import ArgumentParser, ArgumentTypeError, Namespace
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure, Success

from ...config.load import load_folder
from ...policy.admissions import ADMISSIONS
from ...policy.balancers import BALANCERS
from ...policy.detectors import DETECTORS
from ...replay.engine import Replay, override_rules
from ...replay.expectations import (
    Expectation,
    Finding,
    evaluate,
    read_expectations,
)
from ...trace.reader import read_trace, without_operations
from ..command import Command, add_format, command
from ..exit_codes import ExitCode
from ..output import print_error, print_json, print_problems, print_table

if TYPE_CHECKING:
    from ...config.model import Config
    from ...registry import Registry
    from ...trace.reader import Trace

_NO_BOUND: Final = '-'
_DECIMAL_PLACES: Final = 3


def parse_rule(text: str) -> tuple[str, str]:
    """Parse the value of ``--rule``.

    :param text: ``kind=name``.
    :raises ArgumentTypeError: if the kind or the rule is unknown.
    """
    registries: dict[str, Registry[Any]] = {
        'admission': ADMISSIONS,
        'balancer': BALANCERS,
        'detector': DETECTORS,
    }
    kind, _, name = text.partition('=')
    registry = registries.get(kind)
    if registry is None:
        raise ArgumentTypeError(
            f'unknown kind {kind!r}; choose one of: {", ".join(registries)}'
        )
    if name not in registry.names():
        raise ArgumentTypeError(
            f'unknown {kind} {name!r}; '
            f'choose one of: {", ".join(registry.names())}'
        )
    return kind, name


@command('replay')
class ReplayCommand(Command):
    """Replays a trace and checks the result against expectations."""

    summary = 'replay a recorded trace and check the expected results'
    details = (
        'Runs the decision code of live nodes in virtual time. Record a trace\n'
        'on one or more nodes at the same time, on each with:\n'
        'curl http://ADMIN/trace?seconds=30 > FILE\n'
        'Exits with 1 if a bound is not met.'
    )

    def add_arguments(self, parser: ArgumentParser) -> None:
        parser.add_argument(
            'traces',
            type=Path,
            nargs='+',
            metavar='TRACE',
            help='trace file of JSON lines, plain or compressed (.gz)',
        )
        parser.add_argument(
            '--config',
            type=Path,
            required=True,
            metavar='DIR',
            help='folder of configuration files to replay with',
        )
        parser.add_argument(
            '--expect',
            type=Path,
            required=True,
            metavar='FILE',
            help='YAML file with the expected bounds',
        )
        parser.add_argument(
            '--rule',
            type=parse_rule,
            action='append',
            default=[],
            metavar='KIND=NAME',
            help='override a rule for all services, e.g. balancer=random',
        )
        parser.add_argument(
            '--without',
            action='append',
            default=[],
            metavar='OPERATION',
            help='ignore the arrivals of an operation',
        )
        parser.add_argument('--seed', type=int, default=1)
        add_format(parser)

    def run(self, options: Namespace) -> ExitCode:
        match (
            load_folder(options.config),
            read_expectations(options.expect),
            read_trace(tuple(options.traces)),
        ):
            case Failure(problems), _, _:
                print_problems(problems)
            case _, Failure(problems), _:
                print_problems(problems)
            case _, _, Failure(message):
                print_error(message)
            case Success(loaded), Success(expected), Success(trace):
                config = override_rules(loaded.config, dict(options.rule))
                kept = without_operations(trace, options.without)
                return _replay(config, kept, expected, options)
        return ExitCode.BAD_CONFIG


def _replay(
    config: Config,
    trace: Trace,
    expected: tuple[Expectation, ...],
    options: Namespace,
) -> ExitCode:
    result = Replay(config, trace, options.seed).run()
    findings = evaluate(result, expected)
    if options.format == 'json':
        print_json([asdict(each) for each in findings])
    else:
        heading = ('measure', 'over', 'figure', 'least', 'most', 'verdict')
        print_table([heading, *(_row(each) for each in findings)])
    is_met = all(each.is_met for each in findings)
    return ExitCode.OK if is_met else ExitCode.FAILED


def _row(finding: Finding) -> list[str]:
    expectation = finding.expectation
    return [
        expectation.measure,
        _scope(expectation),
        f'{finding.figure:.{_DECIMAL_PLACES}f}',
        _bound(expectation.least),
        _bound(expectation.most),
        'met' if finding.is_met else 'NOT MET',
    ]


def _scope(expectation: Expectation) -> str:
    query = expectation.query
    parts = [
        query.service,
        query.operation,
        query.work_class,
        query.organisation,
        ','.join(query.upstreams),
    ]
    return ' '.join(part for part in parts if part) or 'all'


def _bound(bound: float | None) -> str:
    return _NO_BOUND if bound is None else f'{bound:g}'


__all__ = ('ReplayCommand', 'parse_rule')
