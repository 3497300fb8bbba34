"""Keeps the list of VMs, from the platform or from other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Final

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from ..audit import AuditKind
from ..blackboard import UpstreamDetails, Vm, VmList
from ..config.schema import NAME_PATTERN
from ..wire.messages import VmNews

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..audit import AuditTrail
    from ..blackboard import Blackboard
    from .links import Link

_MAX_PORT: Final = 65_535
# No slash, which separates the parts of an upstream's identity.
_INSTANCE_PATTERN: Final = '^[A-Za-z0-9._:-]{0,128}$'
_Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
_Ip = Annotated[str, Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}$')]
_Port = Annotated[int, Meta(ge=0, le=_MAX_PORT)]
_Whole = Annotated[int, Meta(ge=0)]


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


class _ListedDetails(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What the platform says of one upstream."""

    instance: Annotated[str, Meta(pattern=_INSTANCE_PATTERN)] = ''
    born_ms: _Whole = 0
    slots: _Whole = 0
    cold_ms: _Whole = 0
    leaving: bool = False


class _ListedVm(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One VM as the platform gives it."""

    name: _Name
    zone: _Name
    ip: _Ip
    leaving: bool = False
    stream_port: _Port = 0
    upstream_ports: dict[_Name, _Port] = {}
    details: dict[_Name, _ListedDetails] = {}


_DECODER: Final = msgspec.json.Decoder(list[_ListedVm])


def parse_vm_list(version: int, text: str) -> Result[VmList, str]:
    """Return the typed list.

    :param text: JSON as published by the platform.
    :returns: the list, or what is wrong with the text.
    """
    try:
        listed = _DECODER.decode(text)
    except msgspec.DecodeError as error:
        return Failure(str(error))
    return Success(VmList(version, {each.name: _vm(each) for each in listed}))


def _vm(listed: _ListedVm) -> Vm:
    return Vm(
        name=listed.name,
        zone=listed.zone,
        ip=listed.ip,
        leaving=listed.leaving,
        stream_port=listed.stream_port,
        upstream_ports=listed.upstream_ports,
        details={
            service: UpstreamDetails(**msgspec.structs.asdict(each))
            for service, each in listed.details.items()
        },
    )


__all__ = ('MembershipController', 'parse_vm_list')
