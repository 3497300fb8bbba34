"""Steps that publish configurations with many services."""

from __future__ import annotations

import gc
import time
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any, Final

import gevent
from behave import given, then, when

from features.steps.platform_path_steps import get, send
from features.steps.platform_steps import config_document, resource, route
from features.steps.tolerant_steps import ConfigNode, body_of, spec_of
from jackdawhead.memory import freeze_startup_objects
from standins.fleet import read_json, wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

    from behave.runner import Context

_MS_PER_S: Final = 1000
_TICK_S: Final = 0.001
_SETTLE_S: Final = 0.02
_PAUSE_S: Final = 0.01
_OK: Final = 200
_FIRST_TARGET_MS: Final = 500
_TARGET_STEP_MS: Final = 5


def team_resources(count: int) -> list[dict[str, Any]]:
    """Return services, each with a route with a latency target of its own."""
    found = []
    for number in range(count):
        name = f'team-{number}'
        target_ms = _FIRST_TARGET_MS + _TARGET_STEP_MS * number
        spec = route(f'/{name}/', 'non_idempotent', service=name)
        spec['targetLatency'] = f'{target_ms}ms'
        found.append(resource('services', name, maxConnections=330))
        found.append(resource('routes', f'r-{number}', **spec))
    return found


@given('a configuration with {count:d} services, each with a route of its own')
def write_config(context: Context, count: int) -> None:
    """Write the document."""
    context.document = {
        **config_document(),
        'resources': team_resources(count),
    }
    context.node = ConfigNode()


@when('a node loads it')
def load_config(context: Context) -> None:
    """Publish the document, and see how long other greenlets wait."""
    body = body_of(7, context.document)
    with ticking(context):
        context.node.load(body)
    context.first = context.node.loaded.config


@contextmanager
def ticking(context: Context) -> Iterator[None]:
    """See how long another greenlet waits meanwhile."""
    # As a node does after its start; the tests have a larger heap.
    freeze_startup_objects()
    context.stack.callback(gc.unfreeze)
    waits_ms: list[float] = []
    ticks = gevent.spawn(_tick, waits_ms)
    gevent.sleep(_SETTLE_S)
    waits_ms.clear()
    yield
    gevent.sleep(_SETTLE_S)
    ticks.kill()
    context.waits_ms = waits_ms


def _tick(waits_ms: list[float]) -> None:
    while True:
        before_s = time.process_time()
        gevent.sleep(_TICK_S)
        waits_ms.append(_MS_PER_S * (time.process_time() - before_s))


@when('a version moves the route "{name}" to "{service}"')
def move_route(context: Context, name: str, service: str) -> None:
    """Change the service of a route."""
    spec_of(context, 'routes', name)['service'] = service
    context.node.publish(8, context.document)


@when('a version has no resources')
def publish_empty(context: Context) -> None:
    """Publish a document without resources."""
    context.node.publish(8, {**context.document, 'resources': []})


@then('all {count:d} routes are in force')
def check_route_count(context: Context, count: int) -> None:
    """Count the routes of the active configuration."""
    loaded = context.node.loaded
    routes = loaded.config.routes
    assert len(routes) == count, len(routes)
    refused = loaded.rejected_entries
    assert not refused, refused[:3]


@then('other work of the node waited for {most:d} ms of processor time at most')
def check_waits(context: Context, most: int) -> None:
    """Check the longest wait; processor time doesn't depend on other load."""
    assert max(context.waits_ms) <= most, sorted(context.waits_ms)[-5:]


@then('no more than the document is passed on to other nodes')
def check_passed_on(context: Context) -> None:
    """Compare the size of the files with that of the document."""
    active = context.node.board.config.read()
    passed_on = sum(len(each.text.encode()) for each in active.sources)
    assert passed_on <= len(body_of(7, context.document)), passed_on


@then('the route "{name}" goes to "{service}"')
def check_moved(context: Context, name: str, service: str) -> None:
    """Check the active configuration."""
    config = context.node.loaded.config
    assert config.routes[name].service == service


@then(
    'the {services:d} services and {routes:d} routes are the same objects as'
    ' before'
)
def check_same(context: Context, services: int, routes: int) -> None:
    """Compare the identities of the entries."""
    config = context.node.loaded.config
    first = context.first
    assert _same_entries(config.services, first.services) == services
    assert _same_entries(config.routes, first.routes) == routes


def _same_entries(found: dict[str, Any], before: dict[str, Any]) -> int:
    return sum(1 for name, entry in found.items() if entry is before[name])


@when(
    'version {version:d} adds the route "{path}" to "{service}" and {count:d}'
    ' services with routes of their own'
)
def publish_teams(
    context: Context, version: int, path: str, service: str, count: int
) -> None:
    """Write a larger configuration to the store."""
    document = config_document(f'{version:08x}')
    added = resource(
        'routes', 'new', **route(path, 'download', service=service)
    )
    document['resources'] += [*team_resources(count), added]
    context.took_ms = []
    wait_until(lambda: '/kv-watch' in context.store.calls, 'a watch')
    context.calling = gevent.spawn(_call_on, context)
    context.stack.callback(context.calling.kill)
    context.store.put('op/config', document)
    context.published_at = time.monotonic()


def _call_on(context: Context) -> None:
    """Send requests one after the other, and note how long each takes."""
    headers = {'Host': 'desk.example', 'Request-Id': 'r1'}
    while True:
        began_at = time.monotonic()
        reply = get(context.caller_port, '/d/1', headers)
        assert reply.status == _OK, reply
        context.took_ms.append(_MS_PER_S * (time.monotonic() - began_at))
        gevent.sleep(_PAUSE_S)


@then('"{path}" of "{host}" is served within {limit:d} ms')
def await_route(context: Context, path: str, host: str, limit: int) -> None:
    """Wait until the route is in force."""

    def is_served() -> bool:
        send(context, path, host)
        return bool(context.reply.status == _OK)

    wait_until(is_served, f'{path} is served')
    took_ms = _MS_PER_S * (time.monotonic() - context.published_at)
    assert took_ms <= limit, took_ms


@then('callers of "{path}" are served all the while, each within {limit:d} ms')
def check_calls(context: Context, path: str, limit: int) -> None:
    """Check the requests that were sent during the change."""
    assert not context.calling.ready(), context.calling.exception
    assert context.took_ms
    assert max(context.took_ms) <= limit, max(context.took_ms)


@then('the node uses less than {limit:d} bytes of memory')
def check_node_memory(context: Context, limit: int) -> None:
    """Read the resident memory that the node reports."""
    resident_bytes = read_json(context.admin_port, '/status')['resident_bytes']
    assert resident_bytes < limit, resident_bytes
