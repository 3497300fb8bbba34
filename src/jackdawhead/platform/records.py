"""What an upstream says of itself in the store."""

from __future__ import annotations

from typing import Annotated, Final, Literal

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from ..config.schema import NAME_PATTERN
from ..node.upstream_list import ListedUpstream
from .document import UNREADABLE
from .formats import parse_duration_ms
from .names import UPSTREAM_ITEMS
from .store_types import StoredItem

_MAX_PORT: Final = 65_535
_LEAVING: Final = 'draining'
_Name = Annotated[str, Meta(pattern=NAME_PATTERN)]


class _Record(msgspec.Struct, frozen=True):
    """An entry as it is written; fields not named here are ignored.

    :param address: IP number and port, of the upstream itself.
    :param version: of the upstream's software, not of this entry.
    :param cold: how much longer the upstream is slow after its start.
    :param seq: counts the upstream's own reports, anew after each start.
    :param born: Unix time of its start in milliseconds.
    """

    service: _Name
    address: Annotated[str, Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$')]
    zone: _Name
    version: str
    slots: Annotated[int, Meta(ge=1)]
    state: Literal['ready', 'draining']
    cold: str = msgspec.field(name='coldRemaining')
    seq: int
    born: Annotated[int, Meta(ge=0)] = 0


_DECODER: Final = msgspec.json.Decoder(_Record)


def decode_record(item: StoredItem) -> Result[ListedUpstream, str]:
    """Return the upstream of an entry.

    :param item: as stored.
    :returns: the upstream, or why the entry names none.
    """
    try:
        record = _DECODER.decode(item.value)
        cold_ms = parse_duration_ms(record.cold)
    except UNREADABLE as error:
        return Failure(str(error))
    ip, _, port = record.address.partition(':')
    instance = item.key.removeprefix(UPSTREAM_ITEMS)
    if not 0 < int(port) <= _MAX_PORT or not instance or '/' in instance:
        return Failure(f'{item.key!r} at {record.address!r} cannot be reached')
    return Success(
        ListedUpstream(
            instance=instance,
            service=record.service,
            zone=record.zone,
            ip=ip,
            port=int(port),
            slots=record.slots,
            cold_ms=cold_ms,
            leaving=record.state == _LEAVING,
            born_ms=record.born,
            order=item.made or item.revision,
        )
    )


__all__ = ('decode_record',)
