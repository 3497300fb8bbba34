"""Base class and registry of the sub-commands."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, ClassVar, Final

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace
    from collections.abc import Callable

    from .exit_codes import ExitCode


class Command(ABC):
    """Base class of a sub-command.

    `summary` is its one-line help; `details` are added to its own help page.
    """

    summary: ClassVar[str]
    details: ClassVar[str] = ''

    @abstractmethod
    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the arguments of this sub-command to its parser.

        :param parser: parser of this sub-command.
        """

    @abstractmethod
    def run(self, options: Namespace) -> ExitCode:
        """Run the command.

        :param options: parsed arguments.
        :returns: the exit code of the process.
        """


CommandTable = dict[tuple[str, ...], type[Command]]

COMMANDS: Final[CommandTable] = {}


def command(*words: str) -> Callable[[type[Command]], type[Command]]:
    """Return a class decorator that registers a sub-command.

    :param words: words of the command line that select it, for example
        ``config`` and ``check``.
    """

    def decorate(cls: type[Command]) -> type[Command]:
        COMMANDS[words] = cls
        return cls

    return decorate


def add_format(parser: ArgumentParser) -> None:
    """Add the option ``--format`` to a parser.

    :param parser: parser of a sub-command that prints data.
    """
    parser.add_argument(
        '--format',
        choices=('human', 'json'),
        default='human',
        help='output format (default: %(default)s)',
    )


__all__ = ('COMMANDS', 'Command', 'CommandTable', 'add_format', 'command')
