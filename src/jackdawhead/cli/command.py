"""Base of the sub-commands and their registry."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, ClassVar, Final

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace
    from collections.abc import Callable

    from .exit_codes import ExitCode


class Command(ABC):
    """One sub-command."""

    summary: ClassVar[str]
    details: ClassVar[str] = ''

    @abstractmethod
    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the arguments.

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
    """Return a class decorator that files a sub-command.

    :param words: the words that call it, for example ``config check``.
    """

    def decorate(cls: type[Command]) -> type[Command]:
        COMMANDS[words] = cls
        return cls

    return decorate


def add_format(parser: ArgumentParser) -> None:
    """Declare ``--format``.

    :param parser: parser of a sub-command that prints data.
    """
    parser.add_argument(
        '--format',
        choices=('human', 'json'),
        default='human',
        help='how to print the result (default: %(default)s)',
    )


__all__ = ('COMMANDS', 'Command', 'CommandTable', 'add_format', 'command')
