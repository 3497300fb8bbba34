"""Translates the platform's configuration into the project's own format."""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING, Any, Final

import xxhash
from returns.result import Failure, Result, Success

from ..logs import log_event
from ..node.platform_client import PublishedValue
from .config_document import (
    Document,
    LimitsSpec,
    RouteSpec,
    ServiceSpec,
    read_document,
)
from .formats import parse_duration_ms, parse_version
from .names import HEADER_NAMES

if TYPE_CHECKING:
    from collections.abc import Mapping

# Routes are spread over several files, so that a change to one route causes
# only its file to be parsed again.
_ROUTE_FILE_COUNT: Final = 16
# Expected run time as a share of the latency target until runs have been
# observed; the offices' data sheets give a fifth to a third.
_EXPECTED_TARGET_SHARE: Final = 0.3
# The schema requires a service to have an operation; no route uses this one.
_PLACEHOLDER_OPERATIONS: Final = {
    'unused': {'idempotent': False, 'work_class': 'short', 'deadline_ms': 1}
}
_IDEMPOTENT_KINDS: Final = frozenset(('idempotent', 'download'))
# Also used for unknown kinds, whose requests must not be repeated.
_NON_IDEMPOTENT_KIND: Final = 'non_idempotent'
_KNOWN_KINDS: Final = _IDEMPOTENT_KINDS | {_NON_IDEMPOTENT_KIND, 'upload'}
# Upper limits of the project's own configuration schema.
_MAX_DURATION_MS: Final = 86_400_000
_MAX_PRIORITY: Final = 1000
_MAX_ATTEMPTS: Final = 100
_MAX_CONNECTIONS: Final = 100_000
_MAX_WEIGHT: Final = 1_000_000
_NOT_PRINTABLE: Final = re.compile('[^ -~]')
_MAX_SHORT_CODE: Final = 0xFFFF
_MAX_BODY_BYTES: Final = 1_099_511_627_776
# Settings that the platform's operators cannot change; see
# docs/design/platform.md.
_SERVICE_POLICY: Final = {
    'slots_per_upstream': 1,
    'healthy_floor_percent': 70,
    'balancer': 'least-risk',
    'detection': {'detector': 'none'},
    'queue': {'admission': 'target'},
    'retry': {
        'budget_percent': 12,
        'redirect_percent': 100,
        'max_attempts': 3,
        # Beyond the budget the platform allows a fleet about two resends per
        # node and service.
        'saved_resends': 2,
        'home_percent': 15,
    },
    'poison': {'max_crashes': 3},
}


def decode_document(
    body: bytes,
    zones: Mapping[str, str],
) -> Result[PublishedValue, str]:
    """Translate a configuration into files of the project's own format.

    A resource that cannot be decoded becomes an entry with a null value, so
    that the project's own checks refuse that entry and accept the others.

    :param body: the value in the store.
    :param zones: regions by availability zone.
    :returns: version and files, or why the document is refused.
    """
    try:
        document = read_document(body)
        version = parse_version(document.version)
    except ValueError as error:
        return Failure(str(error))
    files = _build_files(document, zones)
    for cause in document.errors:
        log_event('config-part-unreadable', version=version, cause=cause)
    return Success(PublishedValue(version, files))


def _build_files(
    document: Document, zones: Mapping[str, str]
) -> dict[str, str]:
    specs = document.specs('routes', RouteSpec)
    operations: dict[str, Any] = {}
    routes: dict[str, Any] = {}
    for name, spec in specs.items():
        routes[name] = None
        if spec is None:
            continue
        try:
            routes[name] = _build_route(spec, operations)
        except ValueError as error:
            document.errors.append(f'routes {name!r}: {error}')
    general = _general_section(
        document, zones, operations or _PLACEHOLDER_OPERATIONS
    )
    files = {'10-general.yaml': _yaml_text(general)}
    for number, part in _distribute_routes(routes).items():
        files[f'20-routes-{number:02}.yaml'] = _yaml_text({'routes': part})
    return files


def _general_section(
    document: Document,
    zones: Mapping[str, str],
    operations: dict[str, Any],
) -> dict[str, Any]:
    return {
        'zones': {name: {'region': region} for name, region in zones.items()},
        'headers': HEADER_NAMES,
        'callers': _callers_section(document),
        'services': {
            name: _build_service(spec, zones, operations) if spec else None
            for name, spec in document.specs('services', ServiceSpec).items()
        },
    }


def _build_route(spec: RouteSpec, operations: dict[str, Any]) -> dict[str, Any]:
    """Translate a route, and add its operation to ``operations``.

    Routes of the same kind, priority and target share an operation, so that
    statistics of the operation survive changes to the routes.

    :raises ValueError: if the format of a duration is wrong.
    """
    timeout_ms = _clamp(parse_duration_ms(spec.timeout), _MAX_DURATION_MS)
    target_ms = _clamp(parse_duration_ms(spec.target), _MAX_DURATION_MS)
    is_known = isinstance(spec.kind, str) and spec.kind in _KNOWN_KINDS
    kind = spec.kind if is_known else _NON_IDEMPOTENT_KIND
    priority = min(max(0, spec.priority), _MAX_PRIORITY)
    name = f'{kind}-{priority}-{target_ms}'
    operation = operations.setdefault(
        name,
        {
            'idempotent': kind in _IDEMPOTENT_KINDS,
            'work_class': 'short',
            'deadline_ms': target_ms,
            'target_ms': target_ms,
            'expected_ms': max(1, int(target_ms * _EXPECTED_TARGET_SHARE)),
            'priority': priority,
        },
    )
    operation['deadline_ms'] = max(operation['deadline_ms'], timeout_ms)
    route: dict[str, Any] = {
        'host': spec.host.lower(),
        'path_prefix': spec.prefix,
        'operation': name,
        'timeout_ms': timeout_ms,
        'max_attempts': _clamp(spec.attempts, _MAX_ATTEMPTS),
        'service': spec.service,
    }
    if spec.split:
        route['service'] = spec.split[0].service
        route['split'] = {
            each.service: min(each.weight, _MAX_WEIGHT) for each in spec.split
        }
    return route


def _yaml_text(plain: Any) -> str:
    """Encode a file as JSON that is also YAML.

    YAML has no surrogate pairs, and allows no other control characters.
    """
    text = json.dumps(plain, ensure_ascii=False)
    return _NOT_PRINTABLE.sub(_escape, text)


def _escape(found: re.Match[str]) -> str:
    code = ord(found.group())
    return rf'\U{code:08x}' if code > _MAX_SHORT_CODE else rf'\u{code:04x}'


def _clamp(number: int, upper: int) -> int:
    return min(max(1, number), upper)


def _build_service(
    spec: ServiceSpec,
    zones: Mapping[str, str],
    operations: dict[str, Any],
) -> dict[str, Any]:
    return {
        **_SERVICE_POLICY,
        'zones': sorted(zones),
        'connections_per_upstream': _clamp(spec.connections, _MAX_CONNECTIONS),
        'operations': operations,
    }


def _callers_section(document: Document) -> dict[str, Any]:
    callers: dict[str, Any] = {
        # Callers accept only this status as proof that the work has not run.
        'quarantined_status': 503,
        'expired_status': 503,
        'fractional_retry_after': True,
    }
    for spec in document.specs('limits', LimitsSpec).values():
        callers.update(_caller_limits(document, spec))
    return callers


def _caller_limits(
    document: Document, spec: LimitsSpec | None
) -> dict[str, Any]:
    if spec is None:
        return {'max_body_bytes': None, 'idle_ms': None}
    limits: dict[str, Any] = {}
    if spec.body_bytes:
        limits['max_body_bytes'] = _clamp(spec.body_bytes, _MAX_BODY_BYTES)
    if spec.idle:
        limits['idle_ms'] = None
        try:
            limits['idle_ms'] = _clamp(
                parse_duration_ms(spec.idle), _MAX_DURATION_MS
            )
        except ValueError as error:
            document.errors.append(f'limits: {error}')
    return limits


def _distribute_routes(routes: dict[str, Any]) -> dict[int, dict[str, Any]]:
    parts: dict[int, dict[str, Any]] = {}
    for name, route in sorted(routes.items()):
        number = xxhash.xxh3_64_intdigest(name.encode()) % _ROUTE_FILE_COUNT
        parts.setdefault(number, {})[name] = route
    return dict(sorted(parts.items()))


__all__ = ('decode_document',)
