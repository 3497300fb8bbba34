"""Entry point of the command line."""

from __future__ import annotations

import os
import signal
import sys
from typing import TYPE_CHECKING, Final

from ..memory import without_collection
from .commands import load_commands
from .exit_codes import ExitCode
from .parser import build_parser

if TYPE_CHECKING:
    from collections.abc import Sequence

_SIGINT_EXIT_CODE: Final = 130
_NODE_COMMAND: Final = 'node'


def run(arguments: Sequence[str]) -> int:
    """Parse the arguments and run the command.

    :param arguments: command line arguments without the program name.
    :returns: the exit code of the process.
    """
    commands = load_commands(_command_word(arguments))
    options = build_parser(commands).parse_args(arguments)
    try:
        return int(options.run(options))
    except KeyboardInterrupt:
        return _SIGINT_EXIT_CODE
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return int(ExitCode.FAILED)


def main() -> None:
    """Run the command given by the arguments of this process, then exit."""
    arguments = sys.argv[1:]
    command_word = _command_word(arguments)
    if command_word == _NODE_COMMAND:
        # By default it ends the process. A starting node reads its settings
        # anyway, and sets a handler once its libraries are loaded.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    with without_collection():
        load_commands(command_word)
    sys.exit(run(arguments))


def _command_word(arguments: Sequence[str]) -> str:
    return arguments[0] if arguments else ''


__all__ = ('main', 'run')
