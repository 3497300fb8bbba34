"""Reads VM lists as earlier builds do, which refuse a list as a whole."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

_Name = Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9_-]{0,62}$')]
_Port = Annotated[int, Meta(ge=0, le=65_535)]
_Number = Annotated[int, Meta(ge=0)]


class _Details(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    instance: Annotated[str, Meta(pattern='^[A-Za-z0-9._:-]{0,128}$')] = ''
    born_ms: _Number = 0
    slots: _Number = 0
    cold_ms: _Number = 0
    leaving: bool = False


class _Vm(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    name: _Name
    zone: _Name
    ip: Annotated[str, Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}$')]
    leaving: bool = False
    stream_port: _Port = 0
    upstream_ports: dict[_Name, _Port] = {}
    details: dict[_Name, _Details] = {}


def read_vms(text: str) -> list[_Vm]:
    """Decode a list.

    :param text: the list as nodes pass it on.
    :raises msgspec.DecodeError: if an earlier build refuses the list.
    """
    return msgspec.json.decode(text, type=list[_Vm])


__all__ = ('read_vms',)
