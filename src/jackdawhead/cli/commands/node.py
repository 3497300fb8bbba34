"""The ``node`` command."""

from __future__ import annotations

import sys
from argparse import ArgumentParser, Namespace
from pathlib import Path

from returns.result import Failure, Success

from ...config.settings import NodeSettings, load_settings
from ...logs import start_logging
from ..command import Command, command
from ..exit_codes import ExitCode
from ..output import print_error, print_problems


@command('node')
class NodeCommand(Command):
    """Runs a node until it is told to stop."""

    summary = 'run a node of the fleet'
    details = (
        'The settings name the VM, its zone, the addresses and the keys; the\n'
        'configuration itself comes from the platform. SIGTERM drains: no\n'
        'request in progress is cut. Logs go to standard error.'
    )

    def add_arguments(self, parser: ArgumentParser) -> None:
        parser.add_argument(
            '--settings',
            type=Path,
            required=True,
            metavar='DIR',
            help='folder of YAML files with the settings of this node',
        )

    def run(self, options: Namespace) -> ExitCode:
        match load_settings(options.settings):
            case Success(settings):
                return _run_node(settings)
            case Failure(problems):
                print_problems(problems)
        return ExitCode.BAD_CONFIG


def _run_node(settings: NodeSettings) -> ExitCode:
    # Imported here, so that the other commands start quickly.
    from ...node.runtime import Node

    start_logging(sys.stderr)
    try:
        Node(settings).run()
    except OSError as error:
        print_error(f'{error}; check the addresses in the settings')
        return ExitCode.FAILED
    return ExitCode.OK


__all__ = ('NodeCommand',)
