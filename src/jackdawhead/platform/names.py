"""Names of the platform that more than one module needs."""

from __future__ import annotations

from typing import Final

SETTINGS_FILE_VARIABLE: Final = 'JACKDAWHEAD_NODE_FILE'
STREAM_KEY_VARIABLE: Final = 'JACKDAWHEAD_STREAM_KEY'

# Headers, by the names that the configuration gives to what they carry.
HEADERS: Final = {
    'request_id': 'Request-Id',
    'echoed_id': 'Request-Id',
    # Time left to the caller, not a point in time.
    'deadline_ms': 'Deadline-Ms',
    'seal': 'Response-Seal',
    'not_run': 'Not-Executed',
    # Despite its name, the start of an upstream; a restart is another one.
    'instance': 'Expect-Instance',
    'caller_service': 'Caller-Service',
    'outcome': '',
    'retry_after_ms': '',
    'organisation': '',
    'draining': '',
    'node': '',
    'ticket': '',
}

CONFIG_ITEM: Final = 'op/config'
UPSTREAM_ITEMS: Final = 'servers/'

__all__ = (
    'CONFIG_ITEM',
    'HEADERS',
    'SETTINGS_FILE_VARIABLE',
    'STREAM_KEY_VARIABLE',
    'UPSTREAM_ITEMS',
)
