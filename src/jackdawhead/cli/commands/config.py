"""The ``config`` commands: check, show and diff."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from ...config.flatten import FlatField, flatten
from ...config.load import LoadedConfig, load_folder
from ..command import Command, add_format, command
from ..exit_codes import ExitCode
from ..output import print_json, print_problems, print_table

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ...config.problems import Problem


@command('config', 'check')
class CheckCommand(Command):
    """Validates a folder of configuration files."""

    summary = 'check a folder of configuration files'
    details = (
        'Prints each problem with file, line, field and remedy. Exits with 2\n'
        'if there is a problem.'
    )

    def add_arguments(self, parser: ArgumentParser) -> None:
        _add_folder(parser, 'folder')
        add_format(parser)

    def run(self, options: Namespace) -> ExitCode:
        loaded = load_folder(options.folder)
        if options.format == 'json':
            return _print_check_json(loaded)
        match loaded:
            case Success(loaded_config):
                config = loaded_config.config
                print(
                    f'ok: {len(config.services)} services, '
                    f'{len(config.routes)} routes, '
                    f'{len(config.zones)} zones, digest {config.digest}',
                )
                return ExitCode.OK
            case Failure(problems):
                print_problems(problems)
        return ExitCode.BAD_CONFIG


@command('config', 'show')
class ShowCommand(Command):
    """Prints the fields of the merged configuration."""

    summary = 'show the merged configuration and where each field is set'

    def add_arguments(self, parser: ArgumentParser) -> None:
        _add_folder(parser, 'folder')
        add_format(parser)

    def run(self, options: Namespace) -> ExitCode:
        match load_folder(options.folder):
            case Success(loaded):
                fields = flatten(loaded.tree)
                if options.format == 'json':
                    print_json([asdict(each) for each in fields])
                else:
                    print_table([_row(each) for each in fields])
                return ExitCode.OK
            case Failure(problems):
                print_problems(problems)
        return ExitCode.BAD_CONFIG


@dataclass(frozen=True, slots=True)
class _Change:
    """A field that differs; an empty text means that the field is not set."""

    field: str
    before: str
    after: str


@command('config', 'diff')
class DiffCommand(Command):
    """Prints the fields in which two configurations differ."""

    summary = 'compare the merged configurations of two folders'
    details = 'Exits with 0 whether or not the configurations differ.'

    def add_arguments(self, parser: ArgumentParser) -> None:
        _add_folder(parser, 'before')
        _add_folder(parser, 'after')
        add_format(parser)

    def run(self, options: Namespace) -> ExitCode:
        match load_folder(options.before), load_folder(options.after):
            case Success(before), Success(after):
                changes = tuple(_changes(before, after))
                if options.format == 'json':
                    print_json([asdict(each) for each in changes])
                else:
                    _print_changes(changes)
                return ExitCode.OK
            case pair:
                for loaded in pair:
                    print_problems(loaded.swap().value_or(()))
        return ExitCode.BAD_CONFIG


def _add_folder(parser: ArgumentParser, name: str) -> None:
    parser.add_argument(
        name,
        type=Path,
        metavar=name.upper(),
        help='folder of YAML files',
    )


def _print_check_json(
    loaded: Result[LoadedConfig, tuple[Problem, ...]],
) -> ExitCode:
    match loaded:
        case Success(loaded_config):
            print_json({'digest': loaded_config.config.digest, 'problems': []})
            return ExitCode.OK
        case Failure(problems):
            print_json(
                {
                    'digest': '',
                    'problems': [asdict(each) for each in problems],
                }
            )
    return ExitCode.BAD_CONFIG


def _row(field: FlatField) -> tuple[str, str, str]:
    return field.field, field.text, field.place


def _changes(before: LoadedConfig, after: LoadedConfig) -> Iterator[_Change]:
    old = {each.field: each.text for each in flatten(before.tree)}
    new = {each.field: each.text for each in flatten(after.tree)}
    for field in sorted(old.keys() | new.keys()):
        change = _Change(field, old.get(field, ''), new.get(field, ''))
        if change.before != change.after:
            yield change


def _print_changes(changes: tuple[_Change, ...]) -> None:
    for change in changes:
        if change.before:
            print(f'- {change.field}: {change.before}')
        if change.after:
            print(f'+ {change.field}: {change.after}')


__all__ = ('CheckCommand', 'DiffCommand', 'ShowCommand')
