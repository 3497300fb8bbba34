"""Encodes and decodes VM lists and their changes as JSON."""

from __future__ import annotations

import msgspec
from returns.result import Failure, Result, Success

from ..blackboard import VmList
from ..json_parts import DECODE_ERRORS, decode_parts
from ..wire.messages import VmListDelta
from .listed_vms import OnRefused, RefusedVm, read_vms


class _Change(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Difference between a VM list and an earlier one."""

    changed: list[msgspec.Raw]
    gone: list[str]


def _ignore(_: RefusedVm) -> None:
    """Do nothing."""


def parse_vm_list(
    version: int,
    text: str,
    on_refused: OnRefused = _ignore,
    generation: int = 0,
) -> Result[VmList, str]:
    """Decode and validate a VM list, each entry on its own.

    :param version: version assigned by the platform.
    :param text: JSON text published by the platform.
    :param on_refused: called with each entry that is left out.
    :param generation: generation that the version belongs to, 0 if unknown.
    :returns: the list, or why the text is invalid. A list without any valid
        entry is invalid, unless it is empty.
    """
    try:
        entries = decode_parts(text, list[msgspec.Raw])
    except DECODE_ERRORS as error:
        return Failure(str(error))
    vms = read_vms(entries, on_refused)
    if entries and not vms:
        return Failure(f'none of {len(entries)} entries is valid')
    return Success(VmList(version, vms, generation))


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
    return VmListDelta(base, current.version, text, current.generation)


def apply_change(
    before: VmList, change: VmListDelta, on_refused: OnRefused = _ignore
) -> Result[VmList, str]:
    """Apply a change to a VM list.

    A changed VM whose entry is not valid is left out of the later list, like
    from a complete list.

    :param before: the list that the change is based on.
    :param change: the change to apply.
    :param on_refused: called with each entry that is left out.
    :returns: the later list, or why the change is invalid.
    """
    try:
        decoded = decode_parts(change.text, _Change)
    except DECODE_ERRORS as error:
        return Failure(str(error))
    refused: list[RefusedVm] = []
    changed = read_vms(decoded.changed, refused.append)
    for each in refused:
        on_refused(each)
    gone = {*decoded.gone, *(vm.name for vm in refused)}
    vms = {name: vm for name, vm in before.vms.items() if name not in gone}
    vms.update(changed)
    return Success(VmList(change.version, vms, change.generation))


__all__ = (
    'apply_change',
    'build_change',
    'changed_vm_names',
    'list_text',
    'parse_vm_list',
)
