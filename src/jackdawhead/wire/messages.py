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
from .work_messages import (
    Body,
    Cancel,
    Credit,
    Head,
    Refusal,
    Submit,
    TicketSubmit,
)
from .news_messages import (
    ConfigAsk,
    ConfigNews,
    DrainNews,
    PoisonNews,
    UpstreamStatus,
    VmAsk,
    VmChange,
    VmNews,
)

PROTOCOL_VERSION: Final = 5

__all__ = (
    'MESSAGE_CODES',
    'MESSAGE_TYPES',
    'PROTOCOL_VERSION',
    'Body',
    'Cancel',
    'Challenge',
    'ConfigAsk',
    'ConfigNews',
    'Credit',
    'DrainNews',
    'Head',
    'HeaderPairs',
    'Heartbeat',
    'Hello',
    'Message',
    'Ping',
    'PoisonNews',
    'Pong',
    'Refusal',
    'Submit',
    'TicketSubmit',
    'UpstreamStatus',
    'VmAsk',
    'VmChange',
    'VmNews',
    'Welcome',
)
