"""Translates the platform's configuration into the project's own."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Annotated, Any, Final, Literal

import msgspec
import xxhash
from msgspec import Meta
from returns.result import Failure, Result, Success

from ..config.sources import SourceFile
from ..node.platform_client import Published
from .formats import parse_duration_ms, parse_version
from .names import HEADERS

if TYPE_CHECKING:
    from collections.abc import Mapping

# Routes are spread over files, so that a change is read only where it is.
_ROUTE_FILES: Final = 16
_UNUSED_OPERATION: Final = 'unused'
_IDEMPOTENT: Final = frozenset(('idempotent', 'download'))
# What the platform's operators do not choose; docs/design/platform.md.
_SERVICE_POLICY: Final = {
    'slots_per_upstream': 1,
    'healthy_floor_percent': 70,
    'balancer': 'least-risk',
    'detection': {'detector': 'none'},
    'retry': {
        'budget_percent': 12,
        'redirect_percent': 100,
        'max_attempts': 3,
    },
    'poison': {'max_crashes': 3},
}
_DEFAULT_CONNECTIONS: Final = 100


class _Weighted(msgspec.Struct, frozen=True):
    service: str
    weight: Annotated[int, Meta(ge=0)]


class _RouteSpec(msgspec.Struct, frozen=True):
    """A route.

    :param kind: what may be repeated.
    :param timeout: longest time that a request is kept waiting.
    :param target: time within which an answer is worth most.
    :param split: services by weight, instead of the one service.
    """

    host: str
    prefix: str
    kind: Literal['idempotent', 'non_idempotent', 'download'] = msgspec.field(
        name='routeType'
    )
    timeout: str
    target: str = msgspec.field(name='targetLatency')
    priority: int = 0
    attempts: int = 1
    service: str = ''
    split: list[_Weighted] = msgspec.field(name='trafficSplit', default=[])


class _ServiceSpec(msgspec.Struct, frozen=True):
    """A service.

    :param connections: that one upstream accepts from all callers together.
    """

    connections: int = msgspec.field(
        name='maxConnections', default=_DEFAULT_CONNECTIONS
    )


class _LimitsSpec(msgspec.Struct, frozen=True):
    """What callers may do.

    :param body_bytes: largest body.
    :param idle: how long a connection may be unused.
    """

    body_bytes: int = msgspec.field(name='maxBodyBytes', default=0)
    idle: str = msgspec.field(name='idleTimeout', default='')


class _Metadata(msgspec.Struct, frozen=True):
    name: str = ''


class _Resource(msgspec.Struct, frozen=True):
    """One part; its kind tells what the spec holds."""

    kind: str = msgspec.field(name='resourceType')
    spec: msgspec.Raw
    metadata: _Metadata = _Metadata()


class _Document(msgspec.Struct, frozen=True):
    version: str
    resources: list[_Resource]


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
        document = msgspec.json.decode(body, type=_Document)
        return Success(
            Published(parse_version(document.version), _files(document, zones))
        )
    except (msgspec.DecodeError, ValueError) as error:
        return Failure(str(error))


def _files(document: _Document, zones: Mapping[str, str]) -> dict[str, str]:
    routes = {
        name: _route(msgspec.json.decode(spec, type=_RouteSpec))
        for name, spec in _specs(document, 'routes').items()
    }
    operations = _operations(document)
    services = {
        name: _service(
            msgspec.json.decode(spec, type=_ServiceSpec), zones, operations
        )
        for name, spec in _specs(document, 'services').items()
    }
    general: dict[str, Any] = {
        'zones': {name: {'region': region} for name, region in zones.items()},
        'headers': HEADERS,
        'callers': _callers(document),
        'services': services,
    }
    files = {'10-general.yaml': json.dumps(general)}
    for number, part in _spread(routes).items():
        files[f'20-routes-{number:02}.yaml'] = json.dumps({'routes': part})
    return files


def _specs(document: _Document, kind: str) -> dict[str, msgspec.Raw]:
    return {
        each.metadata.name: each.spec
        for each in document.resources
        if each.kind == kind
    }


def _operations(document: _Document) -> dict[str, Any]:
    """Return the kinds of work of all routes.

    Routes whose work is alike share an operation, so that what is learned
    of it outlives a change of the routes.
    """
    operations: dict[str, Any] = {}
    for raw in _specs(document, 'routes').values():
        spec = msgspec.json.decode(raw, type=_RouteSpec)
        operation = operations.setdefault(
            _operation_name(spec),
            {
                'idempotent': spec.kind in _IDEMPOTENT,
                'work_class': 'short',
                'deadline_ms': 1,
                'target_ms': max(1, parse_duration_ms(spec.target)),
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


def _operation_name(spec: _RouteSpec) -> str:
    target_ms = parse_duration_ms(spec.target)
    return f'{spec.kind}-{spec.priority}-{target_ms}'


def _route(spec: _RouteSpec) -> dict[str, Any]:
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
    spec: _ServiceSpec,
    zones: Mapping[str, str],
    operations: dict[str, Any],
) -> dict[str, Any]:
    return {
        **_SERVICE_POLICY,
        'zones': sorted(zones),
        'connections_per_upstream': max(1, spec.connections),
        'operations': operations,
    }


def _callers(document: _Document) -> dict[str, Any]:
    callers: dict[str, Any] = {
        'quarantined_status': 503,
        'fractional_retry_after': True,
    }
    for raw in _specs(document, 'limits').values():
        spec = msgspec.json.decode(raw, type=_LimitsSpec)
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
