"""JSON schemas of the configuration and of a node's settings."""

from __future__ import annotations

from typing import Any, Final

from .credentials import KEY_DIGEST_PATTERN

_DAY_MS: Final = 86_400_000
NAME_PATTERN: Final = r'^[a-z0-9][a-z0-9_-]{0,62}\Z'
_HEADER_PATTERN: Final = '^([A-Za-z0-9][A-Za-z0-9-]{0,62})?$'
HOST_PATTERN: Final = '^[a-z0-9.-]{1,253}$'
_IP_PORT_PATTERN: Final = r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$'

Schema = dict[str, Any]


def _object(properties: Schema, *required: str) -> Schema:
    return {
        'type': 'object',
        'additionalProperties': False,
        'properties': properties,
        'required': list(required),
    }


def _mapping_of(schema: Schema) -> Schema:
    return {
        'type': 'object',
        'propertyNames': {'pattern': NAME_PATTERN},
        'additionalProperties': schema,
    }


def _integer(low: int, high: int) -> Schema:
    return {'type': 'integer', 'minimum': low, 'maximum': high}


_NAME: Final[Schema] = {'type': 'string', 'pattern': NAME_PATTERN}
_BOOLEAN: Final[Schema] = {'type': 'boolean'}
_DURATION_MS: Final = _integer(1, _DAY_MS)
_PERCENT: Final = _integer(0, 100)
_ADDRESS: Final[Schema] = {'type': 'string', 'pattern': _IP_PORT_PATTERN}
_HEADER: Final[Schema] = {'type': 'string', 'pattern': _HEADER_PATTERN}

_OPERATION: Final = _object(
    {
        'idempotent': _BOOLEAN,
        'work_class': {'enum': ['short', 'long']},
        'deadline_ms': _DURATION_MS,
        'expected_ms': _DURATION_MS,
        'target_ms': _DURATION_MS,
        'priority': _integer(0, 1000),
    },
    'idempotent',
    'work_class',
    'deadline_ms',
)
_QUEUE: Final = _object(
    {
        'admission': _NAME,
        'max_wait_ms': _DURATION_MS,
        'long_slots_percent': _integer(1, 100),
        'aging_ms': _DURATION_MS,
    }
)
_RETRY: Final = _object(
    {
        'budget_percent': _PERCENT,
        'redirect_percent': _PERCENT,
        'max_attempts': _integer(1, 10),
        'backoff_ms': _integer(0, _DAY_MS),
        'saved_resends': _integer(1, 1000),
        'home_percent': _PERCENT,
    }
)
_DETECTION: Final = _object(
    {
        'detector': _NAME,
        'window_ms': _DURATION_MS,
        'min_samples': _integer(1, 10_000),
        'error_percent': _integer(1, 100),
        'slow_factor': {
            'type': 'number',
            'exclusiveMinimum': 1,
            'maximum': 1000,
        },
        'ejection_ms': _DURATION_MS,
        'max_ejection_ms': _DURATION_MS,
        'warm_up_ms': _integer(0, _DAY_MS),
    }
)
_POISON: Final = _object(
    {'max_crashes': _integer(1, 100), 'quarantine_ms': _DURATION_MS}
)
_SERVICE: Final = _object(
    {
        'zones': {
            'type': 'array',
            'items': _NAME,
            'minItems': 1,
            'uniqueItems': True,
        },
        'slots_per_upstream': _integer(1, 100_000),
        'connections_per_upstream': _integer(1, 100_000),
        'healthy_floor_percent': _PERCENT,
        'subset_size': _integer(3, 1000),
        'balancer': _NAME,
        'subset': _NAME,
        'operations': {**_mapping_of(_OPERATION), 'minProperties': 1},
        'queue': _QUEUE,
        'retry': _RETRY,
        'detection': _DETECTION,
        'poison': _POISON,
    },
    'zones',
    'slots_per_upstream',
    'connections_per_upstream',
    'healthy_floor_percent',
    'operations',
)
_ROUTE: Final = _object(
    {
        'service': _NAME,
        'operation': _NAME,
        'method': {'enum': ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']},
        'path_prefix': {'type': 'string', 'pattern': '^/'},
        'host': {'type': 'string', 'pattern': HOST_PATTERN},
        'timeout_ms': _DURATION_MS,
        'max_attempts': _integer(1, 100),
        'split': {**_mapping_of(_integer(0, 1_000_000)), 'minProperties': 1},
        'is_public': _BOOLEAN,
    },
    'service',
    'operation',
    'path_prefix',
)
_RATE: Final[Schema] = {'type': 'number', 'minimum': 0, 'maximum': 1e9}
_ORGANISATION: Final = _object(
    {
        'key_digests': {
            'type': 'array',
            'items': {'type': 'string', 'pattern': KEY_DIGEST_PATTERN},
            'uniqueItems': True,
        },
        'priority': _integer(0, 1000),
        'rate_per_s': _RATE,
        'burst': _RATE,
    },
    'key_digests',
)
_CALLERS: Final = _object(
    {
        'idle_ms': _DURATION_MS,
        'max_body_bytes': _integer(1, 2**40),
        'max_head_bytes': _integer(1024, 2**20),
        'head_ms': _DURATION_MS,
        'quarantined_status': {'enum': [422, 503]},
        'expired_status': {'enum': [503, 504]},
        'fractional_retry_after': _BOOLEAN,
    }
)
_HEADERS: Final = _object(
    {
        name: _HEADER
        for name in (
            'request_id',
            'outcome',
            'deadline_ms',
            'retry_after_ms',
            'organisation',
            'draining',
            'node',
            'ticket',
            'not_run',
            'instance',
            'caller_service',
            'echoed_id',
            'seal',
            'credential',
            'credential_scheme',
            'upstream_organisation',
        )
    }
)

CONFIG_SCHEMA: Final = _object(
    {
        'zones': {
            **_mapping_of(_object({'region': _NAME}, 'region')),
            'minProperties': 1,
        },
        'services': {**_mapping_of(_SERVICE), 'minProperties': 1},
        'routes': {**_mapping_of(_ROUTE), 'minProperties': 1},
        'headers': _HEADERS,
        'callers': _CALLERS,
        'organisations': _mapping_of(_ORGANISATION),
    },
    'zones',
    'services',
    'routes',
)

SETTINGS_SCHEMA: Final = _object(
    {
        'vm': _NAME,
        'zone': _NAME,
        'caller_address': _ADDRESS,
        'stream_address': _ADDRESS,
        'admin_address': _ADDRESS,
        'platform_address': _ADDRESS,
        'stream_keys': {
            'type': 'array',
            'items': {'type': 'string', 'minLength': 16, 'maxLength': 256},
            'minItems': 1,
            'maxItems': 4,
        },
        'seed_addresses': {'type': 'array', 'items': _ADDRESS, 'maxItems': 16},
        'max_body_bytes': _integer(1, 2**40),
        'max_head_bytes': _integer(1024, 2**20),
        'caller_head_ms': _DURATION_MS,
        'caller_connections': _integer(1, 1_000_000),
        'caller_memory_bytes': _integer(2**20, 2**40),
        'caller_address_percent': _integer(1, 100),
        'drain_ms': _DURATION_MS,
        'caller_idle_ms': _DURATION_MS,
        'link_idle_ms': _DURATION_MS,
        'ready_address': _ADDRESS,
        'service': _NAME,
        'accept_while_leaving_ms': _integer(0, _DAY_MS),
        'drain_idle_ms': _integer(0, _DAY_MS),
    },
    'vm',
    'zone',
    'caller_address',
    'stream_address',
    'admin_address',
    'platform_address',
    'stream_keys',
)

__all__ = (
    'CONFIG_SCHEMA',
    'HOST_PATTERN',
    'NAME_PATTERN',
    'SETTINGS_SCHEMA',
    'Schema',
)
