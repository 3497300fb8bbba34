"""All messages of the protocol between nodes, and its version."""

from __future__ import annotations

from typing import Final

from .base import MESSAGE_CODES, MESSAGE_TYPES, HeaderPairs, Message
from .link_messages import (
    Challenge,
    Heartbeat,
    Hello,
    Ping,
    Pong,
    Welcome,
)
from .quota_messages import QuotaAsk, QuotaGrant
from .update_messages import (
    ALL_PRIORITIES,
    ConfigRequest,
    ConfigUpdate,
    CrashReport,
    DrainUpdate,
    UpstreamStatus,
    VmListDelta,
    VmListRequest,
    VmListSnapshot,
)
from .work_messages import (
    OPERATION_PRIORITY,
    Body,
    Cancel,
    Credit,
    Head,
    Refusal,
    Submit,
    TicketSubmit,
)

PROTOCOL_VERSION: Final = 5

__all__ = (
    'ALL_PRIORITIES',
    'MESSAGE_CODES',
    'MESSAGE_TYPES',
    'OPERATION_PRIORITY',
    'PROTOCOL_VERSION',
    'Body',
    'Cancel',
    'Challenge',
    'ConfigRequest',
    'ConfigUpdate',
    'CrashReport',
    'Credit',
    'DrainUpdate',
    'Head',
    'HeaderPairs',
    'Heartbeat',
    'Hello',
    'Message',
    'Ping',
    'Pong',
    'QuotaAsk',
    'QuotaGrant',
    'Refusal',
    'Submit',
    'TicketSubmit',
    'UpstreamStatus',
    'VmListDelta',
    'VmListRequest',
    'VmListSnapshot',
    'Welcome',
)
