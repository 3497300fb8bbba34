"""Encodes and decodes VM lists and their changes as JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Final

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from ..blackboard import UpstreamDetails, Vm, VmList
from ..config.schema import NAME_PATTERN
from ..wire.messages import VmListDelta

if TYPE_CHECKING:
    from collections.abc import Iterable

_MAX_PORT: Final = 65_535
MAX_SLOTS: Final = 100_000
MAX_BORN_MS: Final = 9_007_199_254_740_991
# No slash: it separates the parts of an upstream's identity.
_INSTANCE_PATTERN: Final = '^[A-Za-z0-9._:-]{0,128}$'
_Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
_Ip = Annotated[str, Meta(pattern=r'^[0-9]{1,3}(\.[0-9]{1,3}){3}$')]
_Port = Annotated[int, Meta(ge=0, le=_MAX_PORT)]
_NonNegativeInt = Annotated[int, Meta(ge=0)]


class _ListedDetails(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Optional details of one upstream, as published by the platform."""

    instance: Annotated[str, Meta(pattern=_INSTANCE_PATTERN)] = ''
    born_ms: Annotated[int, Meta(ge=0, le=MAX_BORN_MS)] = 0
    slots: Annotated[int, Meta(ge=0, le=MAX_SLOTS)] = 0
    cold_ms: _NonNegativeInt = 0
    leaving: bool = False


class _ListedVm(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One VM, as published by the platform."""

    name: _Name
    zone: _Name
    ip: _Ip
    leaving: bool = False
    stream_port: _Port = 0
    upstream_ports: dict[_Name, _Port] = {}
    details: dict[_Name, _ListedDetails] = {}


_DECODER: Final = msgspec.json.Decoder(list[_ListedVm])


def parse_vm_list(version: int, text: str) -> Result[VmList, str]:
    """Decode and validate a VM list.

    :param version: version assigned by the platform.
    :param text: JSON text published by the platform.
    :returns: the list, or why the text is invalid.
    """
    try:
        listed = _DECODER.decode(text)
    except msgspec.DecodeError as error:
        return Failure(str(error))
    return Success(VmList(version, _by_name(listed)))


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


class _Change(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Difference between a VM list and an earlier one."""

    changed: list[_ListedVm]
    gone: list[_Name]


_CHANGE_DECODER: Final = msgspec.json.Decoder(_Change)


def list_text(vm_list: VmList) -> str:
    """Encode a VM list in the JSON format of the platform.

    :param vm_list: the list to encode.
    """
    return msgspec.json.encode(list(vm_list.vms.values())).decode()


def changed_vm_names(before: VmList, after: VmList) -> frozenset[str]:
    """Return the names of all VMs added, removed or changed.

    :param before: the earlier list.
    :param after: the later list.
    """
    gone = frozenset(before.vms.keys() - after.vms.keys())
    return gone.union(
        name for name, vm in after.vms.items() if before.vms.get(name) != vm
    )


def build_change(
    names: frozenset[str], base: int, current: VmList
) -> VmListDelta:
    """Build the change that turns an earlier list into the current one.

    :param names: names of all VMs that may differ between the lists.
    :param base: version of the earlier list.
    :param current: the current list.
    """
    vms = current.vms
    changed = [vms[name] for name in sorted(names) if name in vms]
    gone = sorted(names - vms.keys())
    text = msgspec.json.encode({'changed': changed, 'gone': gone}).decode()
    return VmListDelta(base, current.version, text)


def apply_change(before: VmList, change: VmListDelta) -> Result[VmList, str]:
    """Apply a change to a VM list.

    :param before: the list that the change is based on.
    :param change: the change to apply.
    :returns: the later list, or why the change is invalid.
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
    return {each.name: _to_vm(each) for each in listed}


__all__ = (
    'MAX_BORN_MS',
    'MAX_SLOTS',
    'apply_change',
    'build_change',
    'changed_vm_names',
    'list_text',
    'parse_vm_list',
)
