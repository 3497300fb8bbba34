"""The ``node`` command."""

from __future__ import annotations

import sys
from argparse import ArgumentParser, Namespace
from contextlib import ExitStack
from pathlib import Path
from typing import IO, TYPE_CHECKING

from returns.result import Failure, Success

from ...config.settings import NodeSettings, load_settings
from ...logs import start_bounded_logging
from ...memory import without_collection
from ..command import Command, command
from ..exit_codes import ExitCode
from ..output import print_error, print_problems

if TYPE_CHECKING:
    from ...node.platform_client import PlatformSource
    from ...node.settings_watch import SettingsWatch


@command('node')
class NodeCommand(Command):
    """Runs a node until SIGTERM."""

    summary = 'run a node of the fleet'
    details = (
        'The settings contain the VM, its zone, the addresses and the keys;\n'
        'the configuration is read from the platform. On SIGTERM the node\n'
        'drains: requests in progress are completed before it exits. It logs\n'
        'to standard error, or to standard output with --platform.'
    )

    def add_arguments(self, parser: ArgumentParser) -> None:
        parser.add_argument(
            '--settings',
            type=Path,
            metavar='DIR',
            help='folder of YAML files with the settings of this node',
        )
        parser.add_argument(
            '--platform',
            action='store_true',
            help='read the settings file that the platform provides instead',
        )

    def run(self, options: Namespace) -> ExitCode:
        if options.platform:
            return _run_on_platform()
        if options.settings is None:
            print_error(
                'neither --settings nor --platform is given; name the folder '
                'of the settings with --settings DIR, or give --platform',
            )
            return ExitCode.BAD_USAGE
        # Imported before the settings are read: a change during the import
        # would be missed.
        from ...node.settings_watch import SettingsWatch

        match load_settings(options.settings):
            case Success(settings):
                watch = SettingsWatch(
                    settings,
                    options.settings,
                    lambda: load_settings(options.settings),
                )
                return _run_node(settings, sys.stderr, watch)
            case Failure(problems):
                print_problems(problems)
        return ExitCode.BAD_CONFIG


def _run_on_platform() -> ExitCode:
    with without_collection():
        from ...node.settings_watch import SettingsWatch
        from ...platform.settings_file import read_settings, settings_path
        from ...platform.store_source import StoreSource

    path = settings_path()
    match read_settings(path):
        case Success(settings):
            source = StoreSource(
                settings.node.platform_address,
                settings.zones,
                settings.node.stream_address.port,
                settings.expiry_ms,
                settings.node.listener_ports,
                settings.admission,
            )
            watch = SettingsWatch(
                settings.node,
                path,
                lambda: read_settings(path).map(lambda settings: settings.node),
            )
            return _run_node(settings.node, sys.stdout, watch, source)
        case Failure(problems):
            print_problems(problems)
    return ExitCode.BAD_CONFIG


def _run_node(
    settings: NodeSettings,
    log: IO[str],
    watch: SettingsWatch,
    source: PlatformSource | None = None,
) -> ExitCode:
    # Imported here so that the other commands start quickly.
    with without_collection():
        from ...node.runtime import Node
        from ...node.supervision import log_greenlet_errors

    with ExitStack() as stack:
        start_bounded_logging(log.fileno(), stack)
        log_greenlet_errors()
        try:
            Node(settings, source, watch).run()
        except OSError as error:
            print_error(
                f'the node failed: {error}; check the addresses in the '
                'settings',
            )
            return ExitCode.FAILED
    return ExitCode.OK


__all__ = ('NodeCommand',)
