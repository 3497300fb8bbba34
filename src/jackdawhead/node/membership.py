"""Keeps the list of VMs, from the platform or from other nodes."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from jsonschema import Draft202012Validator
from returns.result import Failure, Result, Success

from ..audit import AuditKind
from ..blackboard import Vm, VmList
from ..config.schema import VM_LIST_SCHEMA
from ..wire.messages import VmNews

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..audit import AuditTrail
    from ..blackboard import Blackboard
    from .links import Link

_VALIDATOR = Draft202012Validator(VM_LIST_SCHEMA)


class MembershipController:
    """Accepts newer lists and passes them on.

    :param board: where the list is written.
    :param audit: trail of changes.
    """

    def __init__(self, board: Blackboard, audit: AuditTrail) -> None:
        self._board = board
        self._audit = audit
        self.text = ''
        self.broadcast: Callable[[VmNews, Link | None], None] | None = None

    def offer(
        self,
        version: int,
        text: str,
        source: Link | None = None,
    ) -> bool:
        """Take in a list; versions only grow.

        :param version: version given by the platform.
        :param text: JSON as published.
        :param source: link that it came on, if any.
        :returns: whether it was newer and well formed.
        """
        current = self._board.vm_list.read()
        if version <= current.version:
            return False
        match parse_vm_list(version, text):
            case Success(vm_list):
                self._audit_changes(current, vm_list)
                self.text = text
                self._board.vm_list.write(vm_list)
                if self.broadcast is not None:
                    self.broadcast(VmNews(version, text), source)
                return True
            case Failure(message):
                self._audit.record(
                    AuditKind.CONFIG_REFUSED,
                    f'VM list {version}',
                    message,
                )
        return False

    def take_news(self, news: VmNews, link: Link) -> None:
        """Take in a list from another node.

        :param news: version and text.
        :param link: where it came from.
        """
        self.offer(news.version, news.text, link)

    def greet(self, link: Link) -> None:
        """Send the list to a node that has just been linked.

        :param link: way to the node.
        """
        if self.text:
            version = self._board.vm_list.read().version
            link.send(VmNews(version, self.text))

    def _audit_changes(self, before: VmList, after: VmList) -> None:
        for name in sorted(after.vms.keys() - before.vms.keys()):
            self._audit.record(
                AuditKind.UPSTREAM_JOINED,
                name,
                f'list {after.version}',
            )
        for name in sorted(before.vms.keys() - after.vms.keys()):
            self._audit.record(
                AuditKind.UPSTREAM_LEFT,
                name,
                f'list {after.version}',
            )


def parse_vm_list(version: int, text: str) -> Result[VmList, str]:
    """Return the typed list.

    :param text: JSON as published by the platform.
    :returns: the list, or what is wrong with the text.
    """
    try:
        plain = json.loads(text)
    except ValueError as error:
        return Failure(f'not JSON: {error}')
    breach = next(_VALIDATOR.iter_errors(plain), None)
    if breach is not None:
        return Failure(breach.message)
    return Success(
        VmList(version, {each['name']: _vm(each) for each in plain}),
    )


def _vm(plain: dict[str, Any]) -> Vm:
    return Vm(
        name=plain['name'],
        zone=plain['zone'],
        ip=plain['ip'],
        leaving=plain.get('leaving', False),
        stream_port=plain.get('stream_port', 0),
        upstream_ports=plain.get('upstream_ports', {}),
    )


__all__ = ('MembershipController', 'parse_vm_list')
