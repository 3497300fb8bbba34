"""The ``status`` and ``audit`` commands, which query a running node."""

from __future__ import annotations

import json
from abc import abstractmethod
from argparse import ArgumentParser, ArgumentTypeError, Namespace
from datetime import datetime, timezone
from typing import Any, Final

from geventhttpclient.response import HTTPParseError
from returns.result import Failure, Result, Success

from ...bench.client import HttpClient, HttpRequest
from ...config.settings import Address
from ..command import Command, add_format, command
from ..exit_codes import ExitCode
from ..output import print_error, print_json, print_table

_TIMEOUT_S: Final = 5.0
_HTTP_OK: Final = 200
_MS_PER_S: Final = 1000


def parse_address(text: str) -> Address:
    """Parse an address given on the command line.

    :param text: ``ip:port``.
    :raises ArgumentTypeError: if the port is missing or not a number.
    """
    try:
        return Address.parse(text)
    except ValueError:
        raise ArgumentTypeError(
            f'{text!r} is not an address; '
            'write it as IP:PORT, for example 127.0.0.1:8080'
        ) from None


class AdminPageCommand(Command):
    """Base class of commands that fetch and print an admin page of a node."""

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
        """Return the path and the query of the admin page.

        :param options: parsed arguments.
        """

    @abstractmethod
    def show(self, answer: Any) -> None:
        """Print the page as text.

        :param answer: decoded JSON of the page.
        """


@command('status')
class StatusCommand(AdminPageCommand):
    """Shows the state of a node."""

    summary = 'show the state of a running node'
    details = 'Exits with 69 if the node cannot be reached.'

    def target(self, options: Namespace) -> str:
        return '/status'

    def show(self, answer: Any) -> None:
        _print_status(answer)


@command('audit')
class AuditCommand(AdminPageCommand):
    """Shows the audit trail of a node."""

    summary = 'show the audit trail of a running node'
    details = (
        'The node keeps the latest 2,000 changes since its start in memory.\n'
        'Exits with 69 if the node cannot be reached.'
    )

    def add_arguments(self, parser: ArgumentParser) -> None:
        super().add_arguments(parser)
        parser.add_argument(
            '--since',
            type=int,
            default=0,
            metavar='N',
            help='show only records with a number above N',
        )

    def target(self, options: Namespace) -> str:
        return f'/audit?since={options.since}'

    def show(self, answer: Any) -> None:
        _print_audit(answer)


def _get(address: Address, target: str) -> Result[Any, str]:
    client = HttpClient(address, _TIMEOUT_S)
    try:
        reply = client.send(HttpRequest('GET', target))
    except (OSError, HTTPParseError) as error:
        return Failure(
            f'{address} cannot be reached: {error}; check that the node is '
            'running and that this is its admin address'
        )
    finally:
        client.close()
    if reply.status != _HTTP_OK:
        return Failure(
            f'{address} answered with status {reply.status}; '
            'check that this is the admin address of a node'
        )
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
