"""Names that the platform defines: variables, headers and store keys."""

from __future__ import annotations

from typing import Final

SETTINGS_FILE_VARIABLE: Final = 'JACKDAWHEAD_NODE_FILE'
STREAM_KEY_VARIABLE: Final = 'JACKDAWHEAD_STREAM_KEY'

# Header names by the keys that the project's configuration has for them; an
# empty name turns a header off.
HEADER_NAMES: Final = {
    'request_id': 'Request-Id',
    'echoed_id': 'Request-Id',
    # Remaining time in milliseconds, not a point in time.
    'deadline_ms': 'Deadline-Ms',
    'seal': 'Response-Seal',
    'not_run': 'Not-Executed',
    # Identifies one start of an upstream: a restart has another value.
    'instance': 'Expect-Instance',
    'caller_service': 'Caller-Service',
    'credential': 'Authorization',
    'credential_scheme': 'Token',
    'upstream_organisation': 'Tenant',
    'outcome': '',
    'retry_after_ms': '',
    'organisation': '',
    'draining': '',
    'node': '',
    'ticket': '',
}

# Admission rules of the project.
TARGET_ADMISSION: Final = 'target'
VALUE_ADMISSION: Final = 'value'
# Names in the settings' list `contracts` of which one asks for the latter.
VALUE_CONTRACTS: Final = frozenset(('pressure', 'tenants'))

# Rises each time the store comes back from an older copy of its data.
GENERATION_HEADER: Final = 'Store-Era'
CONFIG_ITEM_KEY: Final = 'op/config'
UPSTREAM_KEY_PREFIX: Final = 'servers/'

__all__ = (
    'CONFIG_ITEM_KEY',
    'GENERATION_HEADER',
    'HEADER_NAMES',
    'SETTINGS_FILE_VARIABLE',
    'STREAM_KEY_VARIABLE',
    'TARGET_ADMISSION',
    'UPSTREAM_KEY_PREFIX',
    'VALUE_ADMISSION',
    'VALUE_CONTRACTS',
)
