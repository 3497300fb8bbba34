"""Translates the platform's configuration into the project's own."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final

import xxhash
from returns.result import Failure, Result, Success

from ..logs import log_event
from ..node.platform_client import Published
from .document import (
    Document,
    LimitsSpec,
    RouteSpec,
    ServiceSpec,
    read_document,
)
from .formats import parse_duration_ms, parse_version
from .names import HEADERS

if TYPE_CHECKING:
    from collections.abc import Mapping

# Routes are spread over files, so that a change is read only where it is.
_ROUTE_FILES: Final = 16
# Share of the target that a run takes, until runs have been seen; the sheets
# of the offices give a fifth to a third.
_EXPECTED_SHARE: Final = 0.3
# A service has to have one; no route uses it.
_UNUSED_OPERATIONS: Final = {
    'unused': {'idempotent': False, 'work_class': 'short', 'deadline_ms': 1}
}
_IDEMPOTENT: Final = frozenset(('idempotent', 'download'))
# A kind that is not known here must not be repeated.
_SAFEST_KIND: Final = 'non_idempotent'
_KINDS: Final = _IDEMPOTENT | {_SAFEST_KIND, 'upload'}
# What the project's own configuration takes.
_MAX_DURATION_MS: Final = 86_400_000
_MAX_PRIORITY: Final = 1000
_MAX_ATTEMPTS: Final = 100
_MAX_CONNECTIONS: Final = 100_000
_MAX_WEIGHT: Final = 1_000_000
_MAX_BODY_BYTES: Final = 1_099_511_627_776
# What the platform's operators do not choose; docs/design/platform.md.
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
        # The platform allows a fleet some two resends a node and service
        # beyond the share.
        'saved_resends': 2,
        'home_percent': 15,
    },
    'poison': {'max_crashes': 3},
}


def decode_document(
    body: bytes,
    zones: Mapping[str, str],
) -> Result[Published, str]:
    """Return a configuration as files of the project's own format.

    A part that cannot be read stands there without content, which the
    project's own checks refuse alone.

    :param body: the value in the store.
    :param zones: regions by availability zone.
    :returns: version and files, or why the value is refused.
    """
    try:
        document = read_document(body)
        version = parse_version(document.version)
    except ValueError as error:
        return Failure(str(error))
    files = _files(document, zones)
    for cause in document.refused:
        log_event('config-part-unreadable', version=version, cause=cause)
    return Success(Published(version, files))


def _files(document: Document, zones: Mapping[str, str]) -> dict[str, str]:
    specs = document.specs('routes', RouteSpec)
    operations: dict[str, Any] = {}
    routes: dict[str, Any] = {}
    for name, spec in specs.items():
        routes[name] = None
        if spec is None:
            continue
        try:
            routes[name] = _route(spec, operations)
        except ValueError as error:
            document.refused.append(f'routes {name!r}: {error}')
    general = _general(document, zones, operations or _UNUSED_OPERATIONS)
    files = {'10-general.yaml': json.dumps(general)}
    for number, part in _spread(routes).items():
        files[f'20-routes-{number:02}.yaml'] = json.dumps({'routes': part})
    return files


def _general(
    document: Document,
    zones: Mapping[str, str],
    operations: dict[str, Any],
) -> dict[str, Any]:
    return {
        'zones': {name: {'region': region} for name, region in zones.items()},
        'headers': HEADERS,
        'callers': _callers(document),
        'services': {
            name: _service(spec, zones, operations) if spec else None
            for name, spec in document.specs('services', ServiceSpec).items()
        },
    }


def _route(spec: RouteSpec, operations: dict[str, Any]) -> dict[str, Any]:
    """Return a route, and add its kind of work to the operations.

    Routes whose work is alike share an operation, so that what is learned
    of it outlives a change of the routes.

    :raises ValueError: if a duration has another form.
    """
    timeout_ms = _bounded(parse_duration_ms(spec.timeout), _MAX_DURATION_MS)
    target_ms = _bounded(parse_duration_ms(spec.target), _MAX_DURATION_MS)
    is_known = isinstance(spec.kind, str) and spec.kind in _KINDS
    kind = spec.kind if is_known else _SAFEST_KIND
    priority = min(max(0, spec.priority), _MAX_PRIORITY)
    name = f'{kind}-{priority}-{target_ms}'
    operation = operations.setdefault(
        name,
        {
            'idempotent': kind in _IDEMPOTENT,
            'work_class': 'short',
            'deadline_ms': target_ms,
            'target_ms': target_ms,
            'expected_ms': max(1, int(target_ms * _EXPECTED_SHARE)),
            'priority': priority,
        },
    )
    operation['deadline_ms'] = max(operation['deadline_ms'], timeout_ms)
    route: dict[str, Any] = {
        'host': spec.host.lower(),
        'path_prefix': spec.prefix,
        'operation': name,
        'timeout_ms': timeout_ms,
        'max_attempts': _bounded(spec.attempts, _MAX_ATTEMPTS),
        'service': spec.service,
    }
    if spec.split:
        route['service'] = spec.split[0].service
        route['split'] = {
            each.service: min(each.weight, _MAX_WEIGHT) for each in spec.split
        }
    return route


def _bounded(number: int, most: int) -> int:
    return min(max(1, number), most)


def _service(
    spec: ServiceSpec,
    zones: Mapping[str, str],
    operations: dict[str, Any],
) -> dict[str, Any]:
    return {
        **_SERVICE_POLICY,
        'zones': sorted(zones),
        'connections_per_upstream': _bounded(
            spec.connections, _MAX_CONNECTIONS
        ),
        'operations': operations,
    }


def _callers(document: Document) -> dict[str, Any]:
    callers: dict[str, Any] = {
        # Callers take only this one for a proof that nothing has run.
        'quarantined_status': 503,
        'expired_status': 503,
        'fractional_retry_after': True,
    }
    for spec in document.specs('limits', LimitsSpec).values():
        callers.update(_limits(document, spec))
    return callers


def _limits(document: Document, spec: LimitsSpec | None) -> dict[str, Any]:
    if spec is None:
        return {'max_body_bytes': None, 'idle_ms': None}
    limits: dict[str, Any] = {}
    if spec.body_bytes:
        limits['max_body_bytes'] = _bounded(spec.body_bytes, _MAX_BODY_BYTES)
    if spec.idle:
        limits['idle_ms'] = None
        try:
            limits['idle_ms'] = _bounded(
                parse_duration_ms(spec.idle), _MAX_DURATION_MS
            )
        except ValueError as error:
            document.refused.append(f'limits: {error}')
    return limits


def _spread(routes: dict[str, Any]) -> dict[int, dict[str, Any]]:
    parts: dict[int, dict[str, Any]] = {}
    for name, route in sorted(routes.items()):
        number = xxhash.xxh3_64_intdigest(name.encode()) % _ROUTE_FILES
        parts.setdefault(number, {})[name] = route
    return dict(sorted(parts.items()))


__all__ = ('decode_document',)
