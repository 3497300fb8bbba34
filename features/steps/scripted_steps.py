"""Steps about an upstream that answers with scripted bytes."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING, Final

import gevent
from behave import given, then, when
from gevent import socket

from features.steps.ambiguous_steps import read_all
from features.steps.fleet_steps import node_at
from standins.fleet import Fleet, UpstreamEndpoint, config_files, wait_until
from standins.scripted import ScriptedUpstream
from standins.sites import HELVETIA

if TYPE_CHECKING:
    from behave.runner import Context

_IP: Final = '127.0.0.1'
_VM: Final = 'registry-0'
_SERVICE: Final = 'registry-desk'
_TIMEOUT_S: Final = 30.0
_DEADLINE_MS: Final = 1500
_SETTLE_S: Final = 0.2
_BLOCK_BYTES: Final = 65_536
_HEADERS: Final = {'not_run': 'X-Not-Run'}
_ECHOED: Final = {**_HEADERS, 'echoed_id': 'X-Request-Id'}
_HEAD_ROUTE: Final = {
    'probe-cultivar': {
        'service': _SERVICE,
        'operation': 'lookup',
        'method': 'HEAD',
        'path_prefix': '/cultivars',
    }
}
_numbers: Final = count(1)


@dataclass(frozen=True, slots=True)
class Received:
    """What a caller received until the connection was closed.

    :param whole: whether the body is as long as the head says.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


def start_scripted(context: Context, headers: dict[str, str]) -> None:
    """Start a node with a scripted upstream, and one without; share them."""
    key = tuple(headers)
    if key not in context.shared_fleets:
        upstream = ScriptedUpstream()
        upstream.start()
        context.feature_stack.callback(upstream.stop)
        fleet = Fleet()
        context.feature_stack.callback(fleet.close)
        fleet.start_platform()
        zone = HELVETIA.zones[0]
        fleet.upstreams[f'{_VM}/{_SERVICE}'] = UpstreamEndpoint(
            _VM, zone, _SERVICE, upstream.port
        )
        fleet.start_node(_VM, zone)
        fleet.start_node('entry-0', zone)
        files = config_files(HELVETIA.folder)
        files['40-extra.yaml'] = json.dumps(
            {'headers': headers, 'routes': _HEAD_ROUTE}
        )
        fleet.publish_vms()
        fleet.publish('config', files)
        fleet.await_ready()
        context.shared_fleets[key] = (fleet, upstream)
    shared = context.shared_fleets[key]
    context.fleet = shared[0]
    context.scripted = shared[1]


def send(
    context: Context,
    method: str,
    path: str,
    request_id: str,
    extra: str = '',
    vm: str = '',
) -> Received:
    """Send one request on a new connection and read to its end."""
    node = context.fleet.nodes[vm or node_at(context, 1)]
    length = 'Content-Length: 0\r\n' if method == 'POST' else ''
    identity = f'X-Request-Id: {request_id}\r\n' if request_id else ''
    head = f'{method} {path} HTTP/1.1\r\nHost: x\r\n{identity}{length}{extra}'
    head = f'{head}Connection: close\r\n\r\n'
    with socket.create_connection((_IP, node.caller_port), _TIMEOUT_S) as sock:
        sock.sendall(head.encode('latin-1'))
        return parse(read_all(sock), method)


def parse(received: bytes, method: str) -> Received:
    """Return the answer, and whether its framing says that it is whole."""
    head, separator, body = received.partition(b'\r\n\r\n')
    if not separator:
        return Received(0, {}, b'', whole=False)
    status, headers = parse_head(head.decode('latin-1'))
    whole = True
    if headers.get('transfer-encoding') == 'chunked':
        body, whole = dechunk(body)
    elif 'content-length' in headers and method != 'HEAD':
        whole = len(body) == int(headers['content-length'])
    return Received(status, headers, body, whole)


def parse_head(head: str) -> tuple[int, dict[str, str]]:
    """Return status and headers, their names in lower case."""
    first, *lines = head.split('\r\n')
    pairs = [line.partition(': ') for line in lines]
    headers = {name.lower(): text for name, _, text in pairs}
    return int(first.split(' ')[1]), headers


def with_digits(text: str) -> str:
    """Replace ``<400 digits>`` by a number of so many digits."""
    return re.sub(
        r'<(\d+) digits>', lambda found: '9' * int(found.group(1)), text
    )


def dechunk(coded: bytes) -> tuple[bytes, bool]:
    """Return the body, and whether its last chunk was received."""
    body = b''
    while True:
        size, separator, coded = coded.partition(b'\r\n')
        if not separator:
            return body, False
        if not int(size, 16):
            return body, coded == b'\r\n'
        body += coded[: int(size, 16)]
        coded = coded[int(size, 16) + 2 :]


def serve_one(context: Context) -> None:
    """Send requests until one is served, so that a connection is kept."""
    wait_until(
        lambda: (
            send(context, 'POST', f'/cultivars/{next(_numbers)}', 'kept').status
            == 200
        ),
        'a whole answer',
    )


@given('an upstream with a node, answers echo the request id')
def start_echoing(context: Context) -> None:
    """Start one node and its upstream."""
    start_scripted(context, _ECHOED)


@given('an upstream with a node, answers echo no request id')
def start_plain(context: Context) -> None:
    """Start one node and its upstream, without an echoed id configured."""
    start_scripted(context, _HEADERS)


@when('its answer to a {method} on a {kind} connection is "{script}"')
def answer_once(context: Context, method: str, kind: str, script: str) -> None:
    """Send one request; several scripts are for its repeated arrivals."""
    upstream = context.scripted
    if kind != 'new':
        serve_one(context)
    context.path = f'/cultivars/{next(_numbers)}'
    upstream.scripts[context.path] = with_digits(script).split(' then ')
    context.received = send(
        context,
        method,
        context.path,
        'own',
        f'X-Deadline-Ms: {_DEADLINE_MS}\r\n',
        node_at(context, 2 if kind == 'remote' else 1),
    )


@when('its answers to two requests are "{first}" and, later, "{second}"')
def answer_twice(context: Context, first: str, second: str) -> None:
    """Send two registrations with different ids."""
    answer_two(context, first, second, ('one', 'two'))


@when(
    'its answers to two requests of one id are "{first}" and, later, "{second}"'
)
def answer_same_id(context: Context, first: str, second: str) -> None:
    """Send two registrations of two callers who chose the same id."""
    answer_two(context, first, second, ('same', 'same'))


def answer_two(
    context: Context, first: str, second: str, ids: tuple[str, str]
) -> None:
    """Send two registrations, the second one after all bytes of the first."""
    serve_one(context)
    context.paths = []
    for script, request_id in zip((first, second), ids, strict=True):
        path = f'/cultivars/{next(_numbers)}'
        context.scripted.scripts[path] = [with_digits(script)]
        context.paths.append(path)
        context.received = send(context, 'POST', path, request_id)
        gevent.sleep(_SETTLE_S)


@when('a caller sends the deadline "{text}"')
@when('a caller sends the deadline ""')
def send_deadline(context: Context, text: str = '') -> None:
    """Send one registration."""
    context.path = f'/cultivars/{next(_numbers)}'
    context.received = send(
        context,
        'POST',
        context.path,
        'own',
        f'X-Deadline-Ms: {with_digits(text)}\r\n',
    )


@when('a caller sends the raw head "{line}" and "{rest}"')
@when('a caller sends the raw head "{line}" and ""')
def send_raw(context: Context, line: str, rest: str = '') -> None:
    """Send a registration with a line that is no valid framing."""
    node = context.fleet.nodes[node_at(context, 1)]
    head = f'POST /cultivars/raw HTTP/1.1\r\nHost: x\r\n{with_digits(line)}'
    body = rest.replace(',', '\r\n')
    with socket.create_connection((_IP, node.caller_port), _TIMEOUT_S) as sock:
        sock.sendall(f'{head}\r\n\r\n{body}'.encode('latin-1'))
        context.first_line = sock.recv(_BLOCK_BYTES).partition(b'\r\n')[0]


@then('the status line starts with "{text}"')
def check_status_line(context: Context, text: str) -> None:
    """Check the status line of the answer to raw bytes."""
    assert context.first_line.startswith(text.encode()), context.first_line


@then('the upstream received a deadline of {least:d} to {most:d} ms')
def check_deadline(context: Context, least: int, most: int) -> None:
    """Check the deadline that the upstream was given."""
    arrived = context.scripted.arrivals(context.path)[0]
    assert least <= int(arrived.deadline_ms) <= most, arrived


@then('the caller gets no whole success')
def check_no_success(context: Context) -> None:
    """Check that the caller can't take the answer as complete."""
    received = context.received
    assert not (200 <= received.status < 400 and received.whole), received


@then('the caller gets {status:d} with "{text}"')
def check_answer(context: Context, status: int, text: str) -> None:
    """Check a whole answer; the text stands in its body."""
    received = context.received
    assert received.whole, received
    assert received.status == status, received
    assert text in received.body.decode(), received


@then('the caller gets {status:d} without a body')
def check_bodiless(context: Context, status: int) -> None:
    """Check a whole answer that has no body."""
    received = context.received
    assert (received.status, received.body) == (status, b''), received


@then('the caller gets the header "{name}" of "{text}"')
def check_header(context: Context, name: str, text: str) -> None:
    """Check a header of the answer."""
    received = context.received
    assert received.headers.get(name.lower()) == text, received


@then('the caller is not told that the request did not run')
def check_not_denied(context: Context) -> None:
    """Check that neither status nor outcome says so."""
    received = context.received
    assert received.status not in {408, 421, 429, 503}, received
    assert received.headers.get('x-outcome') != 'not-run', received


@then('the request arrived {number:d} times')
def check_arrivals(context: Context, number: int) -> None:
    """Count the arrivals of the last path."""
    upstream = context.scripted
    found = upstream.arrivals(context.path)
    assert len(found) == number, found


@then('the second request came on {which} connection')
def check_connection(context: Context, which: str) -> None:
    """Compare the connections of both requests."""
    upstream = context.scripted
    one, two = (upstream.arrivals(path)[0] for path in context.paths)
    is_same = one.connection == two.connection
    assert is_same is (which == 'the same'), (one, two)
