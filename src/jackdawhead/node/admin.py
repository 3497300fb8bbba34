"""HTTP listener for operators: health, metrics, status, audit, traces."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any, Final

from falcon import App, Request, Response
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from ..policy.caller_bounds import CONNECTION_BYTES, CallerBounds, CallerUse
from ..policy.detection import Health
from .http_server import HttpServer
from .metrics import registry_of, resident_bytes

if TYPE_CHECKING:
    from ..config.settings import Address
    from ..policy.service_router import ServiceRouter
    from .runtime import Node

_UNAVAILABLE: Final = 503
_SINCE_PARAM: Final = 'since'
_IDLE_TIMEOUT_S: Final = 30
_MAX_CONNECTIONS: Final = 64
# An operator or a probe needs a few connections.
_BOUNDS: Final = CallerBounds(
    CallerUse(_MAX_CONNECTIONS, _MAX_CONNECTIONS * CONNECTION_BYTES), 100
)
_DEFAULT_TRACE_S: Final = 10.0
_MAX_TRACE_S: Final = 600.0


class _Live:
    """Liveness: answers 200 while the event loop runs."""

    def on_get(self, _: Request, response: Response) -> None:
        response.media = {'live': True}


class _Ready:
    """Readiness: answers 200 while the node accepts requests, else 503."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def on_get(self, _: Request, response: Response) -> None:
        if not self._node.is_ready:
            response.status = _UNAVAILABLE
        response.media = {'ready': self._node.is_ready}


class _Metrics:
    """Serves the metrics in the Prometheus text format."""

    def __init__(self, node: Node) -> None:
        self._registry = registry_of(node)

    def on_get(self, _: Request, response: Response) -> None:
        response.content_type = CONTENT_TYPE_LATEST
        response.data = generate_latest(self._registry)


class _Status:
    """Serves a summary of the node's state."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def on_get(self, _: Request, response: Response) -> None:
        response.media = status_of(self._node)


class _Audit:
    """Serves the audit trail, starting at the record number ``since``."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def on_get(self, request: Request, response: Response) -> None:
        since = request.get_param_as_int(_SINCE_PARAM) or 0
        records = self._node.parts.audit.since(since)
        response.media = [asdict(each) for each in records]


class _Trace:
    """Records and streams a trace for the requested number of seconds."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def on_get(self, request: Request, response: Response) -> None:
        duration_s = request.get_param_as_float('seconds') or _DEFAULT_TRACE_S
        response.content_type = 'application/x-ndjson'
        response.stream = self._node.parts.recorder.read(
            min(duration_s, _MAX_TRACE_S)
        )


def status_of(node: Node) -> dict[str, Any]:
    """Return a summary of a node as JSON data, for the status command.

    :param node: the running node.
    """
    parts = node.parts
    active = parts.board.config.read()
    return {
        'vm': parts.identity.vm,
        'zone': parts.settings.zone,
        'incarnation': parts.identity.incarnation,
        'ready': node.is_ready,
        'leaving': parts.board.leaving,
        'config_version': active.version,
        'config_digest': (active.loaded.config.digest if active.loaded else ''),
        'config_refused': (
            [str(each) for each in active.loaded.rejected_entries]
            if active.loaded
            else []
        ),
        'vm_list_version': parts.board.vm_list.read().version,
        'vm_list_generation': parts.board.vm_list.read().generation,
        'links': sorted({link.vm for link in node.links()}),
        'dialled_links': node.dialled_links,
        'resident_bytes': resident_bytes(),
        'services': [
            {
                'service': count.service,
                'members': count.listed,
                **_member_counts(count.router),
            }
            for count in parts.routing.upstream_counts()
        ],
        'upstreams': [
            {
                'upstream': upstream.spec.name,
                'running': upstream.running,
                'waiting': upstream.waiting,
                'draining': upstream.draining,
            }
            for upstream in parts.home.all()
        ],
    }


def _member_counts(router: ServiceRouter | None) -> dict[str, int]:
    if router is None:
        return {'used': 0}
    states = {each.value: router.count_of(each) for each in Health}
    return {'used': router.member_count, **states}


def ready_server(node: Node, address: Address) -> HttpServer:
    """Return a listener that answers readiness checks on any path.

    :param node: the running node.
    :param address: address to listen on.
    """
    app = App()
    app.add_sink(_Ready(node).on_get, prefix='/')
    return HttpServer(address, app, _IDLE_TIMEOUT_S, _BOUNDS)


def admin_server(node: Node, address: Address) -> HttpServer:
    """Return the listener for operators.

    :param node: the running node.
    :param address: address to listen on.
    """
    app = App()
    app.add_route('/livez', _Live())
    app.add_route('/readyz', _Ready(node))
    app.add_route('/metrics', _Metrics(node))
    app.add_route('/status', _Status(node))
    app.add_route('/audit', _Audit(node))
    app.add_route('/trace', _Trace(node))
    return HttpServer(address, app, _IDLE_TIMEOUT_S, _BOUNDS)


__all__ = ('admin_server', 'ready_server', 'status_of')
