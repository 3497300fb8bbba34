"""Translates the platform's configuration into the project's own."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from ..node.platform_client import Published
from .document import Document, LimitsSpec, RouteSpec, ServiceSpec
from .formats import parse_duration_ms, parse_version
from .names import HEADERS

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Routes are spread over files, so that a change is read only where it is.
_ROUTE_FILES: Final = 16
# Share of the target that a run takes, until runs have been seen; the sheets
# of the offices give a fifth to a third.
_EXPECTED_SHARE: Final = 0.3
_UNUSED_OPERATION: Final = 'unused'
_IDEMPOTENT: Final = frozenset(('idempotent', 'download'))
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

    :param body: the value in the store.
    :param zones: regions by availability zone.
    :returns: version and files, or why the value is refused.
    """
    try:
        document = msgspec.json.decode(body, type=Document)
        return Success(
            Published(parse_version(document.version), _files(document, zones))
        )
    except (msgspec.DecodeError, ValueError) as error:
        return Failure(str(error))


def _files(document: Document, zones: Mapping[str, str]) -> dict[str, str]:
    specs = {
        name: msgspec.json.decode(spec, type=RouteSpec)
        for name, spec in document.specs('routes').items()
    }
    operations = _operations(specs.values())
    general = _general(document, zones, operations)
    files = {'10-general.yaml': json.dumps(general)}
    routes = {name: _route(spec) for name, spec in specs.items()}
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
            name: _service(
                msgspec.json.decode(spec, type=ServiceSpec), zones, operations
            )
            for name, spec in document.specs('services').items()
        },
    }


def _operations(routes: Iterable[RouteSpec]) -> dict[str, Any]:
    """Return the kinds of work of all routes.

    Routes whose work is alike share an operation, so that what is learned
    of it outlives a change of the routes.
    """
    operations: dict[str, Any] = {}
    for spec in routes:
        target_ms = max(1, parse_duration_ms(spec.target))
        operation = operations.setdefault(
            _operation_name(spec),
            {
                'idempotent': spec.kind in _IDEMPOTENT,
                'work_class': 'short',
                'deadline_ms': target_ms,
                'target_ms': target_ms,
                'expected_ms': max(1, int(target_ms * _EXPECTED_SHARE)),
                'priority': spec.priority,
            },
        )
        operation['deadline_ms'] = max(
            operation['deadline_ms'], parse_duration_ms(spec.timeout)
        )
    return operations or {
        _UNUSED_OPERATION: {
            'idempotent': False,
            'work_class': 'short',
            'deadline_ms': 1,
        }
    }


def _operation_name(spec: RouteSpec) -> str:
    target_ms = parse_duration_ms(spec.target)
    return f'{spec.kind}-{spec.priority}-{target_ms}'


def _route(spec: RouteSpec) -> dict[str, Any]:
    route: dict[str, Any] = {
        'host': spec.host.lower(),
        'path_prefix': spec.prefix,
        'operation': _operation_name(spec),
        'timeout_ms': max(1, parse_duration_ms(spec.timeout)),
        'max_attempts': max(1, spec.attempts),
        'service': spec.service,
    }
    if spec.split:
        route['service'] = spec.split[0].service
        route['split'] = {each.service: each.weight for each in spec.split}
    return route


def _service(
    spec: ServiceSpec,
    zones: Mapping[str, str],
    operations: dict[str, Any],
) -> dict[str, Any]:
    return {
        **_SERVICE_POLICY,
        'zones': sorted(zones),
        'connections_per_upstream': max(1, spec.connections),
        'operations': operations,
    }


def _callers(document: Document) -> dict[str, Any]:
    callers: dict[str, Any] = {
        # Callers take only this one for a proof that nothing has run.
        'quarantined_status': 503,
        'expired_status': 503,
        'fractional_retry_after': True,
    }
    for raw in document.specs('limits').values():
        spec = msgspec.json.decode(raw, type=LimitsSpec)
        if spec.body_bytes:
            callers['max_body_bytes'] = spec.body_bytes
        if spec.idle:
            callers['idle_ms'] = parse_duration_ms(spec.idle)
    return callers


def _spread(routes: dict[str, Any]) -> dict[int, dict[str, Any]]:
    parts: dict[int, dict[str, Any]] = {}
    for name, route in sorted(routes.items()):
        number = xxhash.xxh3_64_intdigest(name.encode()) % _ROUTE_FILES
        parts.setdefault(number, {})[name] = route
    return dict(sorted(parts.items()))


__all__ = ('decode_document',)
