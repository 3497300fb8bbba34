"""Steps about callers with keys, at a node with the platform's settings."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Any, Final

import gevent
from behave import given, then, when
from gevent import socket
from geventhttpclient.response import HTTPSocketResponse

from features.steps.organisation_steps import keyed_document, tenant
from features.steps.platform_path_steps import get
from features.steps.platform_steps import resource, route
from jackdawhead.bench.client import HttpResponse
from jackdawhead.config.credentials import key_digest, key_id
from standins.fleet import call, wait_until

if TYPE_CHECKING:
    from behave.runner import Context

_IP: Final = '127.0.0.1'
_HOST: Final = 'desk.example'
_TIMEOUT_S: Final = 10.0
_MS_PER_S: Final = 1000
_OK: Final = 200
_UNAUTHORIZED: Final = 401
_BODY_BYTES: Final = 2000
_ADMIN_PAGES: Final = ('/status', '/metrics', '/audit', '/trace')


def _head(method: str, path: str, *lines: str) -> bytes:
    fixed = (f'Host: {_HOST}', 'Request-Id: r1', 'Deadline-Ms: 5000')
    head = (f'{method} {path} HTTP/1.1', *fixed, *lines, '', '')
    return '\r\n'.join(head).encode()


def _connect(context: Context) -> socket.socket:
    sock = socket.create_connection((_IP, context.caller_port), _TIMEOUT_S)
    context.stack.callback(sock.close)
    return sock


def _status_on(sock: socket.socket) -> int:
    """Read one answer, whose body is short, and return its status."""
    received = b''
    while b'\r\n\r\n' not in received:
        received += sock.recv(1)
    head, _, _ = received.partition(b'\r\n\r\n')
    lines = head.decode().lower().split('\r\n')
    status = int(lines[0].split()[1])
    if status < _OK:
        return status
    length = next(each for each in lines if each.startswith('content-length'))
    sock.recv(int(length.partition(':')[2]), socket.MSG_WAITALL)
    return status


def _publish(context: Context, version: int) -> None:
    """Publish the organisations, and wait until a new route is in force."""
    path = f'/version-{version}/'
    public = route(path, 'download', service='desk', public=True)
    document = keyed_document(*context.tenants)
    document['version'] = f'{version:08x}'
    document['resources'] += [
        resource('routes', 'p', **route('/p/', 'download', service='desk')),
        resource('routes', f'v-{version}', **public),
    ]
    document['resources'][-2]['spec']['public'] = True
    context.store.put('op/config', document)
    context.published_at = time.monotonic()
    context.version = version


def _await_version(context: Context) -> None:
    headers = {'Host': _HOST, 'Request-Id': 'r1'}
    path = f'/version-{context.version}/1'
    wait_until(
        lambda: get(context.caller_port, path, headers).status == _OK,
        'the version is in force',
    )
    context.upstream.requests.clear()


@given('a configuration with the organisations "{first}" and "{second}"')
def publish(context: Context, first: str, second: str) -> None:
    """Publish organisations with a key each, and a public route."""
    context.tenants = [
        tenant(name, f'k-{name}', priority=1, ratePerS=0, burst=0)
        for name in (first, second)
    ]
    _publish(context, 8)
    _await_version(context)


@when('a caller gets "{path}" with "{headers}"')
def send(context: Context, path: str, headers: str) -> None:
    """Send a request with headers that may be repeated."""
    sock = _connect(context)
    lines = headers.split(', ')
    if 'Connection: ' not in headers:
        lines.append('Connection: close')
    sock.sendall(_head('GET', path, *lines))
    context.reply = _read_reply(sock)


def _read_reply(sock: socket.socket) -> HttpResponse:
    found = HTTPSocketResponse(sock, method='GET')
    body = bytes(found.read())
    headers = {name.lower(): text for name, text in found.items()}
    return HttpResponse(found.status_code, headers, body)


def _received(context: Context) -> dict[str, Any]:
    assert len(context.upstream.requests) == 1, context.upstream.requests
    environ: dict[str, Any] = context.upstream.requests[0]
    return environ


@then('the upstream got "{headers}"')
def check_got(context: Context, headers: str) -> None:
    """Check headers that the upstream received."""
    environ = _received(context)
    for line in headers.split(', '):
        name, _, text = line.partition(': ')
        assert environ[f'HTTP_{name.upper()}'] == text, environ


@then('the upstream got "Tenant: {name}" and no key')
def check_name(context: Context, name: str) -> None:
    """Check the name of the organisation, which comes once."""
    environ = _received(context)
    assert environ['HTTP_TENANT'] == name, environ
    assert 'k-' not in str(environ), environ


@then('the upstream got no organisation and no key')
def check_nameless(context: Context) -> None:
    """Check that nothing tells who the caller is."""
    environ = _received(context)
    assert 'HTTP_TENANT' not in environ, environ
    assert 'k-' not in str(environ), environ


@then('the upstream got nothing')
def check_nothing(context: Context) -> None:
    """Check that no request has reached the upstream."""
    assert not context.upstream.requests, context.upstream.requests


@then('its body gives the reason "{reason}"')
def check_reason(context: Context, reason: str) -> None:
    """Check the refusal."""
    assert json.loads(context.reply.body)['reason'] == reason, context.reply
    assert context.reply.headers['www-authenticate'] == 'Token', context.reply


@when('a caller announces {count:d} bytes with the key "{key}" and sends none')
def announce(context: Context, count: int, key: str) -> None:
    """Send a head that asks whether to send the body."""
    context.sock = _connect(context)
    context.sent_at = time.monotonic()
    context.sock.sendall(
        _head(
            'POST',
            '/s/1',
            f'Authorization: Token {key}',
            f'Content-Length: {count}',
            'Expect: 100-continue',
        )
    )


@then('it gets status {status:d} within {limit:d} ms and no call for the body')
def check_early(context: Context, status: int, limit: int) -> None:
    """Check the first status line."""
    assert _status_on(context.sock) == status
    took_ms = _MS_PER_S * (time.monotonic() - context.sent_at)
    assert took_ms <= limit, took_ms


@then('the node closes its connection')
def check_closed(context: Context) -> None:
    """Read to the end."""
    assert context.sock.recv(1) == b''


@when('a caller posts {count:d} bytes with the keys "{keys}" on one connection')
def post_twice(context: Context, count: int, keys: str) -> None:
    """Send a request for each key."""
    sock = _connect(context)
    context.statuses = []
    for key in keys.split(', '):
        lines = (f'Authorization: Token {key}', f'Content-Length: {count}')
        sock.sendall(_head('POST', '/d/1', *lines) + bytes(count))
        context.statuses.append(_status_on(sock))


@then('the statuses are "{statuses}"')
def check_statuses(context: Context, statuses: str) -> None:
    """Compare all statuses."""
    found = ', '.join(map(str, context.statuses))
    assert found == statuses, found


@given('a caller that keeps its connection has been served with "{key}"')
def keep_connection(context: Context, key: str) -> None:
    """Send a first request."""
    context.sock = _connect(context)
    assert _get_on(context, key) == _OK


def _get_on(context: Context, key: str) -> int:
    context.sock.sendall(_head('GET', '/d/1', f'Authorization: Token {key}'))
    return _status_on(context.sock)


@when('a version takes the key "{key}" away')
def take_away(context: Context, key: str) -> None:
    """Publish the organisations without a key."""
    for each in context.tenants:
        keys = each['spec']['apiKeys']
        each['spec']['apiKeys'] = [other for other in keys if other != key]
    _publish(context, context.version + 1)


@when('a version gives the key "{key}" to "{name}"')
def move_key(context: Context, key: str, name: str) -> None:
    """Publish a key under another organisation."""
    for each in context.tenants:
        keys = set(each['spec']['apiKeys']) - {key}
        if each['metadata']['name'] == name:
            keys.add(key)
        each['spec']['apiKeys'] = sorted(keys)
    _publish(context, context.version + 1)


@then('within {limit:d} ms it gets {status:d} on that connection')
def check_refused(context: Context, limit: int, status: int) -> None:
    """Send requests with the key that was taken away."""
    until = context.published_at + limit / _MS_PER_S
    while _get_on(context, 'k-acme') != status:
        assert time.monotonic() < until
        gevent.sleep(0.02)
    assert time.monotonic() < until


@then('"{key}" is served on that connection')
def check_other(context: Context, key: str) -> None:
    """Send a request with another key."""
    assert _get_on(context, key) == _OK


@when('a caller with the key "{key}" sends half of a body')
def send_half(context: Context, key: str) -> None:
    """Send a head and half of the body."""
    context.sock = _connect(context)
    lines = (f'Authorization: Token {key}', f'Content-Length: {_BODY_BYTES}')
    half = bytes(_BODY_BYTES // 2)
    context.sock.sendall(_head('POST', '/d/1', *lines) + half)


@when('the caller sends the other half once that is in force')
def send_rest(context: Context) -> None:
    """Send the rest of the body."""
    _await_version(context)
    context.sock.sendall(bytes(_BODY_BYTES // 2))


@then('it gets status {status:d}')
def check_status(context: Context, status: int) -> None:
    """Read the answer."""
    assert _status_on(context.sock) == status


@then('the log has a line "{event}" with the id of the key "{key}"')
def check_log(context: Context, event: str, key: str) -> None:
    """Find the line of the refusal."""
    name = key_id(key_digest(key.encode()))
    wait_until(
        lambda: f'event={event} id=r1 key={name} ' in _log(context), event
    )


@then('the log names "{name}" and the id of the key "{key}" for its answer')
def check_answer_log(context: Context, name: str, key: str) -> None:
    """Find the line of the answer."""
    fields = f'organisation={name} key={key_id(key_digest(key.encode()))}'
    wait_until(
        lambda: any(
            'event=request-answered id=r1' in line and fields in line
            for line in _log(context).splitlines()
        ),
        fields,
    )


@then(
    'the metrics have "{name}" with {answered:d} answered and {refused:d}'
    ' refused requests'
)
def check_counts(
    context: Context, name: str, answered: int, refused: int
) -> None:
    """Read the metrics page."""
    text = call(context.admin_port, 'GET', '/metrics').body.decode()
    counts = {'answered': answered, 'refused': refused}
    for result, count in counts.items():
        line = (
            'jackdawhead_organisation_requests_total'
            f'{{organisation="{name}",result="{result}"}} {float(count)}'
        )
        assert line in text.splitlines(), text


def _log(context: Context) -> str:
    text: str = context.node_log.read_text()
    return text


@then('neither the log nor any admin page contains {keys}')
def check_unseen(context: Context, keys: str) -> None:
    """Read the log and all pages for operators."""
    pages = [
        call(context.admin_port, 'GET', page).body.decode()
        for page in _ADMIN_PAGES
    ]
    for text in (_log(context), *pages):
        for key in ('k-acme', 'k-bolt', 'k-none'):
            assert key in keys
            assert key not in text, text
