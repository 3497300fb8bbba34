"""The ``status`` and ``audit`` commands, which ask a running node."""

from __future__ import annotations

import json
from argparse import ArgumentParser, ArgumentTypeError, Namespace
from datetime import datetime, timezone
from typing import Any, Final

from geventhttpclient.response import HTTPParseError
from returns.result import Failure, Result, Success

from ...bench.client import Call, CallerClient
from ...config.settings import Address
from ..command import Command, add_format, command
from ..exit_codes import ExitCode
from ..output import print_error, print_json, print_table

_TIMEOUT_S: Final = 5.0
_OK: Final = 200
_MS_PER_S: Final = 1000


def parse_address(text: str) -> Address:
    """Return an address given on the command line.

    :param text: ``ip:port``.
    :raises ArgumentTypeError: if it is something else.
    """
    try:
        return Address.parse(text)
    except ValueError:
        raise ArgumentTypeError(f'{text!r} is not ip:port') from None


@command('status')
class StatusCommand(Command):
    """Shows what a node knows."""

    summary = 'show what a running node knows'
    details = 'Exits with 69 if the node cannot be reached.'

    def add_arguments(self, parser: ArgumentParser) -> None:
        _add_node(parser)
        add_format(parser)

    def run(self, options: Namespace) -> ExitCode:
        match _get(options.node, '/status'):
            case Success(status):
                if options.format == 'json':
                    print_json(status)
                else:
                    _print_status(status)
                return ExitCode.OK
            case Failure(message):
                print_error(message)
        return ExitCode.UNREACHABLE


@command('audit')
class AuditCommand(Command):
    """Shows the audit trail of a node."""

    summary = 'show the changes a running node has made or seen'
    details = (
        'The trail is kept in memory: the latest 2,000 changes since the\n'
        'node started. Exits with 69 if the node cannot be reached.'
    )

    def add_arguments(self, parser: ArgumentParser) -> None:
        _add_node(parser)
        parser.add_argument(
            '--since',
            type=int,
            default=0,
            metavar='N',
            help='only records after number N',
        )
        add_format(parser)

    def run(self, options: Namespace) -> ExitCode:
        match _get(options.node, f'/audit?since={options.since}'):
            case Success(records):
                if options.format == 'json':
                    print_json(records)
                else:
                    _print_audit(records)
                return ExitCode.OK
            case Failure(message):
                print_error(message)
        return ExitCode.UNREACHABLE


def _add_node(parser: ArgumentParser) -> None:
    parser.add_argument(
        '--node',
        type=parse_address,
        required=True,
        metavar='IP:PORT',
        help='admin address of the node',
    )


def _get(address: Address, target: str) -> Result[Any, str]:
    client = CallerClient(address, _TIMEOUT_S)
    try:
        reply = client.send(Call('GET', target))
    except (OSError, HTTPParseError) as error:
        return Failure(f'{address} cannot be reached: {error}')
    finally:
        client.close()
    if reply.status != _OK:
        return Failure(f'{address} answered with status {reply.status}')
    return Success(json.loads(reply.body))


def _print_status(status: dict[str, Any]) -> None:
    state = 'ready' if status['ready'] else 'not ready'
    if status['leaving']:
        state = 'leaving'
    print(f'node {status["vm"]} in {status["zone"]}: {state}')
    print(
        f'configuration {status["config_version"]}, '
        f'VM list {status["vm_list_version"]}, '
        f'{len(status["links"])} linked nodes',
    )
    _print_rows(
        status['services'],
        ('service', 'members', 'well', 'ejected', 'trial'),
    )
    _print_rows(
        status['upstreams'],
        ('upstream', 'running', 'waiting', 'draining'),
    )


def _print_rows(
    records: list[dict[str, Any]],
    names: tuple[str, ...],
) -> None:
    rows = [[each[name] for name in names] for each in records]
    print_table([names, *rows])


def _print_audit(records: list[dict[str, Any]]) -> None:
    rows = [
        (
            str(each['number']),
            _time_of(each['at_ms']),
            each['kind'],
            each['subject'],
            each['cause'],
        )
        for each in records
    ]
    print_table([('no', 'time', 'change', 'subject', 'cause'), *rows])


def _time_of(at_ms: int) -> str:
    moment = datetime.fromtimestamp(at_ms / _MS_PER_S, tz=timezone.utc)
    return moment.isoformat(timespec='milliseconds')


__all__ = ('AuditCommand', 'StatusCommand', 'parse_address')
