"""Lists of VMs and their differences, as JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Final

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from ..blackboard import UpstreamDetails, Vm, VmList
from ..config.schema import NAME_PATTERN
from ..wire.messages import VmChange

if TYPE_CHECKING:
    from collections.abc import Iterable

_MAX_PORT: Final = 65_535
# No slash, which separates the parts of an upstream's identity.
_INSTANCE_PATTERN: Final = '^[A-Za-z0-9._:-]{0,128}$'
_Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
_Ip = Annotated[str, Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}$')]
_Port = Annotated[int, Meta(ge=0, le=_MAX_PORT)]
_Whole = Annotated[int, Meta(ge=0)]


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
    return Success(VmList(version, _by_name(listed)))


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


class _Change(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What differs from an earlier list."""

    changed: list[_ListedVm]
    gone: list[_Name]


_CHANGE_DECODER: Final = msgspec.json.Decoder(_Change)


def list_text(vm_list: VmList) -> str:
    """Return a list as the platform would publish it.

    :param vm_list: the list.
    """
    return msgspec.json.encode(list(vm_list.vms.values())).decode()


def differing(before: VmList, after: VmList) -> frozenset[str]:
    """Return the names of the VMs that are not the same in two lists.

    :param before: the earlier one.
    :param after: the later one.
    """
    gone = frozenset(before.vms.keys() - after.vms.keys())
    return gone.union(
        name for name, vm in after.vms.items() if before.vms.get(name) != vm
    )


def change_about(names: frozenset[str], base: int, current: VmList) -> VmChange:
    """Return what a list says of some VMs, as a change of an earlier list.

    :param names: all VMs in which the earlier list may differ.
    :param base: version of the earlier list.
    :param current: the later list.
    """
    vms = current.vms
    changed = [vms[name] for name in sorted(names) if name in vms]
    gone = sorted(names - vms.keys())
    text = msgspec.json.encode({'changed': changed, 'gone': gone}).decode()
    return VmChange(base, current.version, text)


def apply_change(before: VmList, change: VmChange) -> Result[VmList, str]:
    """Return the list after a change.

    :param before: the list that the change is based on.
    :param change: what differs.
    :returns: the later list, or what is wrong with the change.
    """
    try:
        decoded = _CHANGE_DECODER.decode(change.text)
    except msgspec.DecodeError as error:
        return Failure(str(error))
    vms = {
        name: vm for name, vm in before.vms.items() if name not in decoded.gone
    }
    vms.update(_by_name(decoded.changed))
    return Success(VmList(change.version, vms))


def _by_name(listed: Iterable[_ListedVm]) -> dict[str, Vm]:
    return {each.name: _vm(each) for each in listed}


__all__ = (
    'apply_change',
    'change_about',
    'differing',
    'list_text',
    'parse_vm_list',
)
