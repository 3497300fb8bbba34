"""Steps for odd answers of the store."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final

import gevent
from behave import given, then, when
from gevent.server import StreamServer
from returns.result import Failure

from features.steps.platform_steps import (
    read_source,
    start_draining,
    upstream_entry,
)
from jackdawhead.config.settings import Address
from jackdawhead.platform.store_source import StoreSource
from standins.fleet import wait_until

if TYPE_CHECKING:
    from behave.runner import Context
    from gevent.socket import socket as Socket

_DEEP: Final = ''.join(('[' * 50_000, ']' * 50_000))
_ODD_ANSWERS: Final = {
    'nested objects': f'{{"atRev": 9, "events": [], "more": {_DEEP}}}',
    'a revision too large': '{"atRev": 18446744073709551616, "events": []}',
    'a negative revision': '{"atRev": -1, "events": []}',
    'no revision': '{"events": []}',
    'a list': '[]',
    'events that are null': '{"atRev": 9, "events": null}',
    'more bytes than allowed': '"'.ljust(9_000_000, 'x'),
}
_TIME_LIMIT_S: Final = 30
_DRIP_S: Final = 0.05


@when('the store gives item "{key}" with "{field}" as {text}')
def alter_item(context: Context, key: str, field: str, text: str) -> None:
    """Change one field of an item in all answers."""

    def alter(_: str, payload: dict[str, Any]) -> bytes:
        for part in (*payload.get('items', ()), *payload.get('events', ())):
            if part['key'] == key:
                part[field] = '@odd'
        return json.dumps(payload).replace('"@odd"', text).encode()

    context.store.alter = alter


@when('the store is sound again')
def restore(context: Context) -> None:
    """Answer as the stand-in does by default."""
    context.store.alter = lambda path, payload: payload


@then('the upstreams {names} and version {number:d} are known')
def check_instances(context: Context, names: str, number: int) -> None:
    """Check which entries are listed."""
    found = sorted(
        details['instance']
        for vm in context.known['vms'].content
        for details in vm['details'].values()
    )
    assert found == names.split(', '), found
    assert context.known['config'].version == number


def is_leaving(context: Context) -> bool:
    """Return whether a listed upstream is leaving."""
    return any(
        details['leaving']
        for vm in context.known['vms'].content
        for details in vm['details'].values()
    )


@then('an upstream is leaving')
def check_leaving(context: Context) -> None:
    """Check that a later change has arrived."""
    assert is_leaving(context), context.known['vms']


@when('the entry of "{instance}" is written again')
def write_again(context: Context, instance: str) -> None:
    """Write an entry of the same upstream with a change."""
    number = int(instance.removeprefix('i-')) + 1
    entry = upstream_entry(number, slots=2)
    context.store.put(f'servers/{instance}', entry)


@when('the source is read until its calls are quiet')
def read_until_quiet(context: Context) -> None:
    """Read a few times; the event must not come back forever."""
    for _ in range(3):
        read_source(context)
    before = context.source.call_count
    answered = len(context.store.calls)
    read_source(context)
    assert context.source.call_count - before <= 2
    assert len(context.store.calls) - answered <= 2


@when('the store answers watches with {odd}')
def alter_watches(context: Context, odd: str) -> None:
    """Answer all watches with an odd body."""
    body = _ODD_ANSWERS[odd].encode()

    def alter(path: str, payload: dict[str, Any]) -> Any:
        return body if path == '/kv-watch' else payload

    context.store.alter = alter


@then('the source reads the leaving upstream without a watch')
def check_read_again(context: Context) -> None:
    """Read until the change is found, with failures before."""
    failures = []

    def has_change() -> bool:
        answered = context.source.read('vms', 0, 10)
        if isinstance(answered, Failure):
            failures.append(answered.failure())
        elif answered.unwrap() is not None:
            context.known['vms'] = answered.unwrap()
        return is_leaving(context)

    wait_until(has_change, 'the change is found')
    assert failures


@when("the store's pages {fault} forever")
def alter_pages(context: Context, fault: str) -> None:
    """Repeat the first page, or continue the last one with empty pages."""
    first: list[dict[str, Any]] = []

    def alter(path: str, payload: dict[str, Any]) -> Any:
        if path != '/kv-range':
            return payload
        first.append(payload)
        answer = first[0] if fault == 'repeat' else payload
        return {**answer, 'hasMore': True}

    context.store.alter = alter


@then('at most {count:d} calls to the store were made')
def check_calls(context: Context, count: int) -> None:
    """Count the calls to the store."""
    assert context.source.call_count <= count, context.store.calls


@when('an upstream starts to drain while the second page is read')
def drain_between_pages(context: Context) -> None:
    """Change items on both pages while the second one is read."""
    pages = []

    def alter(path: str, payload: dict[str, Any]) -> Any:
        pages.append(path)
        if len(pages) == 1:
            start_draining(context)
            context.store.put('servers/i-99', upstream_entry(100, slots=2))
        return payload

    context.store.alter = alter


@given('a store whose answers never end')
def start_endless_store(context: Context) -> None:
    """Start a server that sends a body byte by byte."""

    def serve(sock: Socket, _: Any) -> None:
        sock.recv(4096)
        sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n')
        while True:
            sock.sendall(b' ')
            gevent.sleep(_DRIP_S)

    server = StreamServer(('127.0.0.1', 0), serve)
    server.start()
    context.stack.callback(server.stop, 0)
    context.source = StoreSource(
        Address('127.0.0.1', server.server_port), {}, 7000, 40, frozenset()
    )


@when('the source is read from it')
def read_endless(context: Context) -> None:
    """Read with a limit far above that of a call."""
    with gevent.Timeout(_TIME_LIMIT_S, False):
        context.answered = context.source.read('vms', 0, 10)
        return
    raise AssertionError('the call has not ended')


@then('the call fails in time')
def check_failed(context: Context) -> None:
    """Check that the call was given up."""
    assert isinstance(context.answered, Failure), context.answered
