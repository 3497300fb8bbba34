"""Types and bounds of what an entry of the VM list may hold.

All decoders of entries use them: those of the platform's entries, of VM lists
and of their changes. None accepts what another refuses.
"""

from __future__ import annotations

from typing import Annotated, Final

from msgspec import Meta

from ..config.schema import NAME_PATTERN
from ..wire.field_bounds import MAX_DURATION_MS, MAX_SLOTS, MAX_VERSION

_MAX_PORT: Final = 65_535
# Still exact as a floating-point number, and within 64 bits.
_MAX_UNIX_MS: Final = 9_007_199_254_740_991
# The version of a list is twice its revision, or one more.
MAX_REVISION: Final = (MAX_VERSION - 1) // 2
_OCTET: Final = '(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])'
# A first octet of 0, or from 224 on, is no address of a VM.
_FIRST_OCTET: Final = '(22[0-3]|2[01][0-9]|1[0-9]{2}|[1-9][0-9]?)'
_IP: Final = rf'{_FIRST_OCTET}(\.{_OCTET}){{3}}'
# No slash: it separates the parts of an upstream's identity.
_INSTANCE: Final = '[A-Za-z0-9._:-]'

Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
Ip = Annotated[str, Meta(pattern=rf'^{_IP}\Z')]
IpPort = Annotated[str, Meta(pattern=rf'^{_IP}:[0-9]{{1,5}}\Z')]
Port = Annotated[int, Meta(ge=1, le=_MAX_PORT)]
Instance = Annotated[str, Meta(pattern=rf'^{_INSTANCE}{{1,128}}\Z')]
Slots = Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
Revision = Annotated[int, Meta(ge=0, le=MAX_REVISION)]
Version = Annotated[int, Meta(ge=0, le=MAX_VERSION)]
BornMs = Annotated[int, Meta(ge=0, le=_MAX_UNIX_MS)]
ColdMs = Annotated[int, Meta(ge=0, le=MAX_DURATION_MS)]

# Of a VM list, where details may be missing.
OptionalPort = Annotated[int, Meta(ge=0, le=_MAX_PORT)]
OptionalInstance = Annotated[str, Meta(pattern=rf'^{_INSTANCE}{{0,128}}\Z')]
OptionalSlots = Annotated[int, Meta(ge=0, le=MAX_SLOTS)]

__all__ = (
    'MAX_REVISION',
    'BornMs',
    'ColdMs',
    'Instance',
    'Ip',
    'IpPort',
    'Name',
    'OptionalInstance',
    'OptionalPort',
    'OptionalSlots',
    'Port',
    'Revision',
    'Slots',
    'Version',
)
