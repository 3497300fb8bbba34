"""Decodes the entries of VM lists, each on its own."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import msgspec

from ..blackboard import UpstreamDetails, Vm
from ..json_parts import DECODE_ERRORS
from .listed_types import (
    BornMs,
    ColdMs,
    Ip,
    Name,
    OptionalInstance,
    OptionalPort,
    OptionalSlots,
    Port,
)

if TYPE_CHECKING:
    from collections.abc import Iterable


class _ListedDetails(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Optional details of one upstream, as published by the platform."""

    instance: OptionalInstance = ''
    born_ms: BornMs = 0
    slots: OptionalSlots = 0
    cold_ms: ColdMs = 0
    leaving: bool = False


class _ListedVm(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One VM, as published by the platform."""

    name: Name
    zone: Name
    ip: Ip
    leaving: bool = False
    stream_port: OptionalPort = 0
    upstream_ports: dict[Name, Port] = {}
    details: dict[Name, _ListedDetails] = {}


class _Named(msgspec.Struct, frozen=True):
    """The name of an entry that is refused."""

    name: str = ''


@dataclass(frozen=True, slots=True)
class RefusedVm:
    """An entry of a list that is left out.

    :param name: name of the VM, empty if it cannot be read.
    :param content: the entry as received.
    :param cause: why it is refused.
    """

    name: str
    content: bytes
    cause: str


OnRefused = Callable[[RefusedVm], None]
_DECODER: Final = msgspec.json.Decoder(_ListedVm)


def read_vms(
    entries: Iterable[msgspec.Raw], on_refused: OnRefused
) -> dict[str, Vm]:
    """Decode entries of a list.

    :param entries: JSON text of each VM.
    :param on_refused: called with each entry that is left out.
    :returns: the VMs by name.
    """
    vms = {}
    for each in entries:
        try:
            listed = _DECODER.decode(each)
        except DECODE_ERRORS as error:
            on_refused(RefusedVm(_name_in(each), bytes(each), str(error)))
        else:
            vms[listed.name] = _to_vm(listed)
    return vms


def _name_in(entry: msgspec.Raw) -> str:
    try:
        return msgspec.json.decode(entry, type=_Named).name
    except DECODE_ERRORS:
        return ''


def _to_vm(listed: _ListedVm) -> Vm:
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


__all__ = ('OnRefused', 'RefusedVm', 'read_vms')
