"""Decodes the entries that upstreams write about themselves in the store."""

from __future__ import annotations

from typing import Annotated, Final, Literal

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from ..config.schema import NAME_PATTERN
from ..node.upstream_list import ListedUpstream
from ..node.vm_list_codec import MAX_BORN_MS, MAX_SLOTS
from .config_document import DECODE_ERRORS
from .formats import parse_duration_ms
from .names import UPSTREAM_KEY_PREFIX
from .store_types import StoredItem

_MAX_PORT: Final = 65_535
_ADDRESS_PATTERN: Final = r'^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$'
_DRAINING_STATE: Final = 'draining'
_Name = Annotated[str, Meta(pattern=NAME_PATTERN)]


class _Record(msgspec.Struct, frozen=True):
    """An upstream's entry as stored; unknown fields are ignored.

    :param address: IPv4 address and port of the upstream.
    :param version: of the upstream's software, not of this entry.
    :param cold: remaining warm-up time, during which the upstream is slow,
        for example ``1500ms``.
    :param seq: sequence number of the upstream's reports; restarts with the
        upstream.
    :param born: Unix time in milliseconds at which the upstream started.
    """

    service: _Name
    address: Annotated[str, Meta(pattern=_ADDRESS_PATTERN)]
    zone: _Name
    version: str
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    state: Literal['ready', 'draining']
    cold: str = msgspec.field(name='coldRemaining')
    seq: int
    born: Annotated[int, Meta(ge=0, le=MAX_BORN_MS)] = 0


_DECODER: Final = msgspec.json.Decoder(_Record)


def decode_record(item: StoredItem) -> Result[ListedUpstream, str]:
    """Decode an upstream's entry.

    :param item: the entry as stored.
    :returns: the upstream, or why the entry is invalid.
    """
    try:
        record = _DECODER.decode(item.value)
        cold_ms = parse_duration_ms(record.cold)
    except DECODE_ERRORS as error:
        return Failure(str(error))
    ip, _, port = record.address.partition(':')
    instance = item.key.removeprefix(UPSTREAM_KEY_PREFIX)
    if not 0 < int(port) <= _MAX_PORT or not instance or '/' in instance:
        return Failure(f'invalid key {item.key!r} or port {record.address!r}')
    return Success(
        ListedUpstream(
            instance=instance,
            service=record.service,
            zone=record.zone,
            ip=ip,
            port=int(port),
            slots=record.slots,
            cold_ms=cold_ms,
            leaving=record.state == _DRAINING_STATE,
            born_ms=record.born,
            created_revision=item.created_revision or item.revision,
        )
    )


__all__ = ('decode_record',)
