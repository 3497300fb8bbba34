"""The ``bench`` command."""

from __future__ import annotations

from argparse import ArgumentParser, ArgumentTypeError, Namespace
from dataclasses import asdict
from typing import Final

from ...bench.report import (
    TARGET_ADDED_P99_MS,
    TARGET_CONTROL_BYTES_PER_S,
    TARGET_CONTROL_CORE_PERCENT,
    TARGET_RESIDENT_MB,
    IdleFigures,
    LoadSettings,
    Way,
    WayFigures,
    measure_idle,
    measure_way,
)
from ...memory import freeze_startup_objects
from ..command import Command, add_format, command
from ..exit_codes import ExitCode
from ..output import print_error, print_json, print_table
from .operators import parse_address

_MAX_RATE_PER_S: Final = 5000.0
_MAX_SECONDS: Final = 120.0
_DEFAULT_RATE_PER_S: Final = 200.0
_DEFAULT_SECONDS: Final = 10.0
_US_PER_S: Final = 1_000_000
_LOOPBACK_PREFIX: Final = '127.'


def parse_way(text: str) -> Way:
    """Parse the value of ``--way``.

    :param text: ``name=ip:port``, then ``,ip:port`` for each admin address.
    :raises ArgumentTypeError: if an address is malformed or not on loopback.
    """
    name, _, rest = text.partition('=')
    addresses = tuple(parse_address(each) for each in rest.split(','))
    if not all(each.ip.startswith(_LOOPBACK_PREFIX) for each in addresses):
        raise ArgumentTypeError(
            f'{text!r} has an address that is not on loopback; '
            'use 127.x.x.x addresses only'
        )
    return Way(name, addresses[0], addresses[1:])


@command('bench')
class BenchCommand(Command):
    """Measures the latency and the resource usage of running nodes."""

    summary = 'measure the cost of the paths to an upstream'
    details = (
        'Sends an open-loop load over each path in turn, then measures a node\n'
        'without requests. scripts/bench starts the required processes and\n'
        'calls this command.'
    )

    def add_arguments(self, parser: ArgumentParser) -> None:
        parser.add_argument(
            '--way',
            type=parse_way,
            action='append',
            required=True,
            metavar='NAME=CALLER[,ADMIN...]',
            help='address to send requests to, and the admin addresses of the '
            'nodes on the path; the first path is the baseline',
        )
        parser.add_argument(
            '--idle',
            type=parse_address,
            metavar='IP:PORT',
            help='admin address of a node to measure without requests',
        )
        parser.add_argument(
            '--target',
            default='/',
            help='path prefix of the requests (default: %(default)s)',
        )
        parser.add_argument('--rate', type=float, default=_DEFAULT_RATE_PER_S)
        parser.add_argument('--seconds', type=float, default=_DEFAULT_SECONDS)
        parser.add_argument('--seed', type=int, default=1)
        add_format(parser)

    def run(self, options: Namespace) -> ExitCode:
        if options.rate > _MAX_RATE_PER_S or options.seconds > _MAX_SECONDS:
            print_error(
                f'--rate {options.rate:g} or --seconds {options.seconds:g} is '
                f'too high; use at most {_MAX_RATE_PER_S:.0f} requests/s '
                f'for {_MAX_SECONDS:.0f} s',
            )
            return ExitCode.BAD_USAGE
        settings = LoadSettings(
            options.target,
            options.rate,
            options.seconds,
            options.seed,
        )
        freeze_startup_objects()
        try:
            ways = [measure_way(each, settings) for each in options.way]
            idle = None
            if options.idle is not None:
                idle = measure_idle(options.idle, options.seconds)
        except OSError as error:
            print_error(
                f'cannot send the load: {error}; check the addresses, and '
                'that the processes are running',
            )
            return ExitCode.UNREACHABLE
        _print(options.format, ways, idle)
        return ExitCode.OK


def _print(
    style: str,
    ways: list[WayFigures],
    idle: IdleFigures | None,
) -> None:
    if style == 'json':
        print_json(
            {
                'ways': [asdict(each) for each in ways],
                'idle': asdict(idle) if idle else None,
            }
        )
        return
    print_table([_HEADING, *(_row(each, ways[0]) for each in ways)])
    print(f'target: {TARGET_ADDED_P99_MS} ms added at p99')
    if idle is not None:
        print_table(_idle_rows(idle))


_HEADING: Final = (
    'way',
    'sent',
    'good',
    'p50 ms',
    'p99 ms',
    'added p50',
    'added p99',
    'cpu us/request',
    'requests/core-s',
    'resident MB',
)


def _row(figures: WayFigures, base: WayFigures) -> list[str]:
    cpu_us = figures.cpu_us_per_request
    per_core = f'{_US_PER_S / cpu_us:.0f}' if cpu_us else '-'
    return [
        figures.name,
        str(figures.sent),
        str(figures.good),
        f'{figures.p50_ms:.2f}',
        f'{figures.p99_ms:.2f}',
        f'{figures.p50_ms - base.p50_ms:.2f}',
        f'{figures.p99_ms - base.p99_ms:.2f}',
        f'{cpu_us:.0f}',
        per_core,
        f'{figures.resident_mb:.1f}',
    ]


def _idle_rows(idle: IdleFigures) -> list[tuple[str, str, str]]:
    return [
        ('idle node', 'measured', 'target'),
        (
            'share of a core, %',
            f'{idle.core_percent:.2f}',
            f'{TARGET_CONTROL_CORE_PERCENT}',
        ),
        ('resident MB', f'{idle.resident_mb:.1f}', f'{TARGET_RESIDENT_MB}'),
        (
            'bytes/s on links',
            f'{idle.bytes_per_s:.0f}',
            f'{TARGET_CONTROL_BYTES_PER_S:.0f}',
        ),
        (
            'platform reads/s',
            f'{idle.platform_reads_per_s:.2f}',
            '-',
        ),
    ]


__all__ = ('BenchCommand', 'parse_way')
