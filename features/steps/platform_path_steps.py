"""Steps for a node that runs with only the platform's settings."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from typing import TYPE_CHECKING, Any, Final

import gevent
from behave import given, then, when
from geventhttpclient.response import HTTPParseError

from features.steps.platform_steps import config_document, upstream_entry
from jackdawhead.bench.client import HttpClient, HttpRequest
from jackdawhead.config.settings import Address
from jackdawhead.node.http_server import HttpServer
from standins.fleet import Fleet, kill_process, wait_until
from standins.store import StandInStore

if TYPE_CHECKING:
    from collections.abc import Iterable

    from behave.runner import Context

    from jackdawhead.bench.client import HttpResponse

_IP: Final = '127.0.0.1'
_IDLE_TIMEOUT_S: Final = 60
_CALL_TIMEOUT_S: Final = 10
_DEADLINE_MS: Final = 1500
_STREAM_KEY: Final = 'a-shared-key-for-tests-only'
_OK: Final = '200 OK'
_UPSTREAM_ANSWERS: Final = {
    'answers without a seal': (_OK, {'Request-Id': 'r1'}),
    'has restarted': ('421 Misdirected', {'Request-Id': 'r1'}),
    'sheds load with proof': ('503 Full', {'Not-Executed': '1'}),
    'answers another request': (
        _OK,
        {'Request-Id': 'r0', 'Response-Seal': 'seal', 'Connection': 'close'},
    ),
}


class PlatformUpstream:
    """Answers like the platform's upstreams, and records its requests."""

    def __init__(self) -> None:
        self.requests: list[dict[str, Any]] = []
        self.status = _OK
        self.run_s: float = 0
        self.headers = {'Request-Id': 'r1', 'Response-Seal': 'seal'}

    def serve(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        """Serve one WSGI request."""
        self.requests.append(environ)
        gevent.sleep(self.run_s)
        body = b'bytes'
        headers = {**self.headers, 'Content-Length': str(len(body))}
        start(self.status, list(headers.items()))
        return [body]


@given('a node with the platform\'s settings and an upstream of "{service}"')
def start_node(context: Context, service: str) -> None:
    """Start a store, an upstream and a node."""
    fleet = Fleet()
    context.stack.callback(fleet.close)
    ports = fleet.reserve_ports(5)
    context.caller_port = ports[0]
    context.ready_port = ports[1]
    context.admin_port = ports[3]
    context.upstream = PlatformUpstream()
    server = HttpServer(
        Address(_IP, 0), context.upstream.serve, _IDLE_TIMEOUT_S
    )
    server.start()
    context.stack.callback(server.stop, 0)
    store = StandInStore()
    store_port = store.start()
    context.stack.callback(store.stop)
    store.put('op/config', config_document())
    context.store = store
    address = f'{_IP}:{server.server_port}'
    store.put('servers/i-0', upstream_entry(1, address=address))
    path = fleet.folder / 'local.conf'
    path.write_text(
        '\n'.join(
            (
                f'ip={_IP}',
                'zone=a',
                'zones.a=here',
                f'listen.inbound={_IP}:{ports[2]}',
                f'listen.outbound={_IP}:{context.caller_port}',
                f'listen.readyAddr={_IP}:{context.ready_port}',
                f'portRange={ports[3]},{ports[4]}',
                'bounds=grace=6s',
                f'service={service}',
                f'platform.address={_IP}:{store_port}',
            )
        )
    )
    variables = {
        **os.environ,
        'JACKDAWHEAD_NODE_FILE': str(path),
        'JACKDAWHEAD_STREAM_KEY': _STREAM_KEY,
    }
    context.node_log = fleet.folder / 'node.log'
    log = context.stack.enter_context(context.node_log.open('wb'))
    context.node = subprocess.Popen(
        [sys.executable, '-m', 'jackdawhead', 'node', '--platform'],
        env=variables,
        stdout=log,
    )
    context.stack.callback(kill_process, context.node)
    wait_until(lambda: readiness(context) == 200, 'node ready')


def readiness(context: Context) -> int:
    """Return the status of the readiness probe, 0 without an answer."""
    try:
        return get(context.ready_port, '/readiness', {}).status
    except (OSError, HTTPParseError):
        return 0


def get(port: int, target: str, headers: dict[str, str]) -> HttpResponse:
    """Send a GET on a new connection."""
    client = HttpClient(Address(_IP, port), _CALL_TIMEOUT_S)
    try:
        return client.send(HttpRequest('GET', target, b'', headers))
    finally:
        client.close()


@when('a caller gets "{path}" of "{host}"')
def send(context: Context, path: str, host: str) -> None:
    """Send a request as the platform's callers do."""
    headers = {
        'Host': host,
        'Request-Id': 'r1',
        'Deadline-Ms': str(_DEADLINE_MS),
        'Caller-Service': 'forged',
    }
    context.reply = get(context.caller_port, path, headers)


@when('the upstream {does}')
def change_upstream(context: Context, does: str) -> None:
    """Change how the upstream answers."""
    status, headers = _UPSTREAM_ANSWERS[does]
    context.upstream.status = status
    context.upstream.headers = headers


@then('the status is {status:d} with the seal of the upstream')
def check_sealed(context: Context, status: int) -> None:
    """Check a complete answer of the upstream."""
    assert context.reply.status == status, context.reply
    assert context.reply.headers['response-seal'] == 'seal', context.reply
    assert context.reply.headers['request-id'] == 'r1', context.reply
    assert context.reply.body == b'bytes', context.reply


@then('the status is {status:d} without a seal')
def check_unsealed(context: Context, status: int) -> None:
    """Check an answer that the node itself created."""
    assert context.reply.status == status, context.reply
    assert 'response-seal' not in context.reply.headers, context.reply


@then(
    "the request names the upstream's start,"
    ' the service "{service}" and the time left'
)
def check_request_headers(context: Context, service: str) -> None:
    """Check the headers that the upstream received."""
    assert len(context.upstream.requests) == 1, context.upstream.requests
    environ = context.upstream.requests[0]
    assert environ['HTTP_EXPECT_INSTANCE'] == 'i-0', environ
    assert environ['HTTP_CALLER_SERVICE'] == service, environ
    assert environ['HTTP_REQUEST_ID'] == 'r1', environ
    assert 0 < int(environ['HTTP_DEADLINE_MS']) <= _DEADLINE_MS, environ


@when('the node is asked to stop')
def stop_node(context: Context) -> None:
    """Send SIGTERM."""
    context.node.send_signal(signal.SIGTERM)


@then('its readiness is {status:d} while callers are still served')
def check_leaving(context: Context, status: int) -> None:
    """Check the readiness listener and the caller listener."""
    wait_until(lambda: readiness(context) == status, 'readiness probe fails')
    send(context, '/d/1', 'desk.example')
    assert context.reply.headers.get('connection') == 'close', context.reply


@then('the node exits with code {code:d}')
def check_ended(context: Context, code: int) -> None:
    """Wait until the process exits."""
    wait_until(lambda: context.node.poll() is not None, 'node exit')
    assert context.node.returncode == code
