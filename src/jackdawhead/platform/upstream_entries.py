"""Decodes the entries that upstreams write about themselves in the store."""

from __future__ import annotations

from typing import Annotated, Final, Literal

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from ..json_parts import DECODE_ERRORS
from ..node.listed_types import BornMs, IpPort, Name, Slots
from ..node.upstream_list import ListedUpstream
from .formats import parse_duration_ms
from .names import UPSTREAM_KEY_PREFIX
from .store_types import StoredItem

_DRAINING_STATE: Final = 'draining'
_MAX_SEQ: Final = 9_223_372_036_854_775_807


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

    service: Name
    address: IpPort
    zone: Name
    version: str
    slots: Slots
    state: Literal['ready', 'draining']
    cold: str = msgspec.field(name='coldRemaining')
    seq: Annotated[int, Meta(le=_MAX_SEQ)]
    born: BornMs = 0


_DECODER: Final = msgspec.json.Decoder(_Record)


def decode_record(item: StoredItem) -> Result[ListedUpstream, str]:
    """Decode an upstream's entry.

    :param item: the entry as stored.
    :returns: the upstream, or why the entry is invalid.
    """
    try:
        return Success(_read(item))
    except DECODE_ERRORS as error:
        return Failure(str(error))


def _read(item: StoredItem) -> ListedUpstream:
    record = _DECODER.decode(item.value)
    ip, _, port = record.address.partition(':')
    fields = {
        'instance': item.key.removeprefix(UPSTREAM_KEY_PREFIX),
        'service': record.service,
        'zone': record.zone,
        'ip': ip,
        'port': int(port),
        'slots': record.slots,
        'cold_ms': parse_duration_ms(record.cold),
        'leaving': record.state == _DRAINING_STATE,
        'born_ms': record.born,
        'created_revision': item.created_revision or item.revision,
    }
    return msgspec.convert(fields, ListedUpstream)


__all__ = ('decode_record',)
