"""The ``status`` and ``audit`` commands, which ask a running node."""

from __future__ import annotations

import json
from abc import abstractmethod
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


class NodeCommand(Command):
    """Asks a node for an admin page and prints it."""

    def add_arguments(self, parser: ArgumentParser) -> None:
        parser.add_argument(
            '--node',
            type=parse_address,
            required=True,
            metavar='IP:PORT',
            help='admin address of the node',
        )
        add_format(parser)

    def run(self, options: Namespace) -> ExitCode:
        match _get(options.node, self.target(options)):
            case Success(answer):
                if options.format == 'json':
                    print_json(answer)
                else:
                    self.show(answer)
                return ExitCode.OK
            case Failure(message):
                print_error(message)
        return ExitCode.UNREACHABLE

    @abstractmethod
    def target(self, options: Namespace) -> str:
        """Return path and query of the page.

        :param options: parsed arguments.
        """

    @abstractmethod
    def show(self, answer: Any) -> None:
        """Print the page for people.

        :param answer: the page as plain data.
        """


@command('status')
class StatusCommand(NodeCommand):
    """Shows what a node knows."""

    summary = 'show what a running node knows'
    details = 'Exits with 69 if the node cannot be reached.'

    def target(self, options: Namespace) -> str:
        return '/status'

    def show(self, answer: Any) -> None:
        _print_status(answer)


@command('audit')
class AuditCommand(NodeCommand):
    """Shows the audit trail of a node."""

    summary = 'show the changes a running node has made or seen'
    details = (
        'The trail is kept in memory: the latest 2,000 changes since the\n'
        'node started. Exits with 69 if the node cannot be reached.'
    )

    def add_arguments(self, parser: ArgumentParser) -> None:
        super().add_arguments(parser)
        parser.add_argument(
            '--since',
            type=int,
            default=0,
            metavar='N',
            help='only records after number N',
        )

    def target(self, options: Namespace) -> str:
        return f'/audit?since={options.since}'

    def show(self, answer: Any) -> None:
        _print_audit(answer)


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
    for problem in status['config_refused']:
        print(f'refused: {problem}')
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
