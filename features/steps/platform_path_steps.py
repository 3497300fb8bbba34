"""Steps about a node that has the platform's settings only."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from typing import TYPE_CHECKING, Any, Final

from behave import given, then, when
from geventhttpclient.response import HTTPParseError

from features.steps.platform_steps import document_of, entry_of
from jackdawhead.bench.client import Call, CallerClient
from jackdawhead.config.settings import Address
from jackdawhead.node.http_server import QuickServer
from standins.fleet import Fleet, kill_process, wait_until
from standins.store import StandInStore

if TYPE_CHECKING:
    from collections.abc import Iterable

    from behave.runner import Context

    from jackdawhead.bench.client import Reply

_IP: Final = '127.0.0.1'
_IDLE_S: Final = 60
_CALL_S: Final = 10
_DEADLINE_MS: Final = 1500
_STREAM_KEY: Final = 'a-shared-key-for-tests-only'
_OK: Final = '200 OK'
_ANSWERS: Final = {
    'answers without a seal': (_OK, {'Request-Id': 'r1'}),
    'is another start': ('421 Misdirected', {'Request-Id': 'r1'}),
    'sheds with a proof': ('503 Full', {'Not-Executed': '1'}),
    'answers another request': (
        _OK,
        {'Request-Id': 'r0', 'Response-Seal': 'seal', 'Connection': 'close'},
    ),
}


class PlatformUpstream:
    """Answers as the platform's upstreams do, and keeps what it was sent."""

    def __init__(self) -> None:
        self.seen: list[dict[str, Any]] = []
        self.status = _OK
        self.headers = {'Request-Id': 'r1', 'Response-Seal': 'seal'}

    def serve(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        """Serve one request."""
        self.seen.append(environ)
        body = b'bytes'
        headers = {**self.headers, 'Content-Length': str(len(body))}
        start(self.status, list(headers.items()))
        return [body]


@given('a node on the platform\'s settings before an upstream of "{service}"')
def start_node(context: Context, service: str) -> None:
    """Start store, upstream and node."""
    fleet = Fleet()
    context.stack.callback(fleet.close)
    ports = fleet.reserve_ports(5)
    context.caller_port = ports[0]
    context.ready_port = ports[1]
    context.upstream = PlatformUpstream()
    server = QuickServer(Address(_IP, 0), context.upstream.serve, _IDLE_S)
    server.start()
    context.stack.callback(server.stop, 0)
    store = StandInStore()
    store_port = store.start()
    context.stack.callback(store.stop)
    store.put('op/config', document_of())
    address = f'{_IP}:{server.server_port}'
    store.put('servers/i-0', entry_of(1, address=address))
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
    context.node = subprocess.Popen(
        [sys.executable, '-m', 'jackdawhead', 'node', '--platform'],
        env=variables,
        stdout=subprocess.DEVNULL,
    )
    context.stack.callback(kill_process, context.node)
    wait_until(lambda: readiness(context) == 200, 'the node is ready')


def readiness(context: Context) -> int:
    """Return the status of the listener for readiness, 0 if there is none."""
    try:
        return get(context.ready_port, '/readiness', {}).status
    except (OSError, HTTPParseError):
        return 0


def get(port: int, target: str, headers: dict[str, str]) -> Reply:
    """Send a GET on a connection of its own."""
    client = CallerClient(Address(_IP, port), _CALL_S)
    try:
        return client.send(Call('GET', target, b'', headers))
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
    status, headers = _ANSWERS[does]
    context.upstream.status = status
    context.upstream.headers = headers


@then('the status is {status:d} with the seal of the upstream')
def check_sealed(context: Context, status: int) -> None:
    """Look at a whole answer."""
    assert context.reply.status == status, context.reply
    assert context.reply.headers['response-seal'] == 'seal', context.reply
    assert context.reply.headers['request-id'] == 'r1', context.reply
    assert context.reply.body == b'bytes', context.reply


@then('the status is {status:d} without a seal')
def check_unsealed(context: Context, status: int) -> None:
    """Look at an answer of the node itself."""
    assert context.reply.status == status, context.reply
    assert 'response-seal' not in context.reply.headers, context.reply


@then(
    'the upstream was told its start, the service "{service}" and the time left'
)
def check_told(context: Context, service: str) -> None:
    """Look at what came in at the upstream."""
    assert len(context.upstream.seen) == 1, context.upstream.seen
    seen = context.upstream.seen[0]
    assert seen['HTTP_EXPECT_INSTANCE'] == 'i-0', seen
    assert seen['HTTP_CALLER_SERVICE'] == service, seen
    assert seen['HTTP_REQUEST_ID'] == 'r1', seen
    assert 0 < int(seen['HTTP_DEADLINE_MS']) <= _DEADLINE_MS, seen


@when('the node is asked to stop')
def stop_node(context: Context) -> None:
    """Send SIGTERM."""
    context.node.send_signal(signal.SIGTERM)


@then('its readiness is {status:d} while callers are still served')
def check_leaving(context: Context, status: int) -> None:
    """Ask both listeners."""
    wait_until(lambda: readiness(context) == status, 'told as not ready')
    send(context, '/d/1', 'desk.example')
    assert context.reply.headers.get('connection') == 'close', context.reply


@then('the node ends with {code:d}')
def check_ended(context: Context, code: int) -> None:
    """Wait for the end of the process."""
    wait_until(lambda: context.node.poll() is not None, 'the node has ended')
    assert context.node.returncode == code
