"""Steps about callers that exceed the limits of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given, then, when
from gevent import socket

from features.steps.fleet_steps import node_at, start_fleet
from standins.fleet import Fleet

if TYPE_CHECKING:
    from behave.runner import Context

_IP = '127.0.0.1'
_TIMEOUT_S = 20.0
_GET = 'GET /cultivars/rosa HTTP/1.1\r\nHost: x\r\n'
_LONG_HEADER = 'X-Long: {0}\r\n'.format('x' * 990)
_RAW_REQUESTS = {
    'a header of 70000 bytes': f'{_GET}X-Long: {"x" * 70_000}\r\n\r\n',
    'headers of 70000 bytes': ''.join((_GET, _LONG_HEADER * 70, '\r\n')),
    '1100 headers': ''.join((_GET, 'X-Many: x\r\n' * 1100, '\r\n')),
    'a header of 10000 bytes': f'{_GET}Cookie: {"x" * 10_000}\r\n\r\n',
    '200 headers': ''.join((_GET, 'X-Many: x\r\n' * 200, '\r\n')),
    'a path and a header of 9000 bytes': (
        f'GET /cultivars/{"x" * 9000} HTTP/1.1\r\nHost: x\r\n'
        f'X-Long: {"x" * 9000}\r\n\r\n'
    ),
    '8 empty lines': ''.join(('\r\n' * 8, _GET, '\r\n')),
    '9 empty lines': ''.join(('\r\n' * 9, _GET, '\r\n')),
    'two content lengths': (
        f'{_GET}Content-Length: 1\r\nContent-Length: 2\r\n\r\n'
    ),
    'a header without a colon': f'{_GET}X-Broken\r\n\r\n',
    'a request line of 70000 bytes': (f'GET /{"x" * 70_000} HTTP/1.1\r\n\r\n'),
}


@given(
    'a shared fleet of {count:d} nodes in front of "{service}" '
    'with a caller timeout of {idle:d} ms'
)
def share_shedding_fleet(
    context: Context,
    count: int,
    service: str,
    idle: int,
) -> None:
    """Start a fleet whose nodes soon disconnect idle callers."""
    key = (count, service, idle)
    if key not in context.shared_fleets:
        fleet = Fleet()
        fleet.node_settings = {'caller_idle_ms': idle}
        context.feature_stack.callback(fleet.close)
        start_fleet(fleet, service, count)
        context.shared_fleets[key] = fleet
    context.fleet = context.shared_fleets[key]


def connect(context: Context) -> None:
    """Open a connection to the first node."""
    node = context.fleet.nodes[node_at(context, 1)]
    context.sock = socket.create_connection((_IP, node.caller_port))
    context.sock.settimeout(_TIMEOUT_S)
    context.stack.callback(context.sock.close)


@when('a caller sends raw bytes with {what}')
def send_raw(context: Context, what: str) -> None:
    """Send a request that exceeds a limit or is malformed."""
    connect(context)
    context.sock.sendall(f'{_RAW_REQUESTS[what]}\r\n'.encode())


@when('a caller announces a body of {size:d} bytes')
def announce_body(context: Context, size: int) -> None:
    """Send the head of a request with a large body."""
    connect(context)
    head = f'POST /cultivars/up HTTP/1.1\r\nHost: x\r\nContent-Length: {size}'
    context.sock.sendall(f'{head}\r\n\r\n'.encode())


@when('a caller connects and sends half a request')
def send_half(context: Context) -> None:
    """Send the start of a request and nothing more."""
    connect(context)
    context.sock.sendall(b'GET /cultivars/rosa HT')


@then('the connection ends with a status of {status:d}')
def check_status_line(context: Context, status: int) -> None:
    """Read the status line."""
    received = context.sock.recv(4096)
    assert received.startswith(f'HTTP/1.1 {status} '.encode()), received


@then('its connection is closed')
def check_closed(context: Context) -> None:
    """Read to the end, which must come within the timeout of the socket."""
    received = context.sock.recv(4096)
    while received:
        received = context.sock.recv(4096)
