"""Builds the argument parser from the registered sub-commands."""

from __future__ import annotations

from argparse import ArgumentParser, RawDescriptionHelpFormatter
from typing import TYPE_CHECKING, Any, Final

from .. import VERSION
from .command import Command, CommandTable
from .exit_codes import ExitCode

if TYPE_CHECKING:
    from argparse import _SubParsersAction

_PROGRAM: Final = 'jackdawhead'
_DESCRIPTION: Final = """\
Proxy fleet for upstreams with gray failures.

A node accepts requests of callers and routes them to upstreams. It also
manages the slots of the upstreams on its own VM. To start:

  jackdawhead config check DIR     check a folder of configuration files
  jackdawhead node --settings DIR  run a node
"""
_EPILOG: Final = """\
exit codes: 0 success, 1 failure, 2 invalid configuration or settings,
64 usage error, 69 node or platform unreachable
"""
_GROUP_SUMMARIES: Final = {'config': 'check, show and compare configurations'}


class _Parser(ArgumentParser):
    """Parser that exits with the documented exit code on a usage error."""

    def error(self, message: str) -> Any:
        self.print_usage()
        self.exit(ExitCode.BAD_USAGE, f'{self.prog}: {message}; see --help\n')


def build_parser(commands: CommandTable) -> ArgumentParser:
    """Build the parser of the whole command line.

    :param commands: sub-commands by the words that select them.
    """
    parser = _Parser(
        prog=_PROGRAM,
        description=_DESCRIPTION,
        epilog=_EPILOG,
        formatter_class=RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--version',
        action='version',
        version=f'{_PROGRAM} {VERSION}',
    )
    groups: dict[tuple[str, ...], _SubParsersAction[Any]] = {
        (): _subparsers(parser),
    }
    for words, command_type in sorted(commands.items()):
        group, name = words[:-1], words[-1]
        if group not in groups:
            summary = _GROUP_SUMMARIES[group[0]]
            outer = groups[()].add_parser(
                group[0],
                help=summary,
                description=summary,
            )
            groups[group] = _subparsers(outer)
        _add_command(groups[group], name, command_type())
    return parser


def _subparsers(parser: ArgumentParser) -> _SubParsersAction[Any]:
    return parser.add_subparsers(
        metavar='COMMAND',
        required=True,
        parser_class=_Parser,
    )


def _add_command(
    group: _SubParsersAction[Any],
    name: str,
    instance: Command,
) -> None:
    parser = group.add_parser(
        name,
        help=instance.summary,
        description=f'{instance.summary}.\n\n{instance.details}',
        formatter_class=RawDescriptionHelpFormatter,
    )
    instance.add_arguments(parser)
    parser.set_defaults(run=instance.run)


__all__ = ('build_parser',)
