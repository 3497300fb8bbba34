"""Steps that inject failures while requests are in progress."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any

import gevent
from behave import then, when
from gevent import socket
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

from features.steps.fleet_steps import node_at
from jackdawhead.bench.client import HttpClient, HttpRequest, HttpResponse
from jackdawhead.bench.load import LoadPlan, run_load
from jackdawhead.config.settings import Address
from standins.fleet import call, read_json, wait_until

if TYPE_CHECKING:
    from behave.runner import Context

_IP = '127.0.0.1'
_TIMEOUT_S = 60.0
_BLOCK_BYTES = 65_536


@dataclass
class Registration:
    """A non-idempotent request and its answer.

    :param key: work key, by which the upstreams record the runs.
    :param path: path of the operation.
    :param reply: the answer, ``None`` if the connection failed.
    """

    key: str
    path: str = '/cultivars'
    reply: HttpResponse | None = None

    @property
    def outcome(self) -> str:
        """Outcome reported to the caller; unknown without an answer."""
        if self.reply is None:
            return 'unknown'
        return self.reply.headers['x-outcome']


def register(port: int, registration: Registration, query: str) -> None:
    """Send one registration; set no reply if the connection fails."""
    client = HttpClient(Address(_IP, port), _TIMEOUT_S)
    target = f'{registration.path}/{registration.key}{query}'
    headers = {'X-Work-Key': registration.key}
    try:
        registration.reply = client.send(
            HttpRequest('POST', target, b'', headers)
        )
    except (OSError, HTTPParseError):
        registration.reply = None
    finally:
        client.close()


def runs_of(context: Context, key: str) -> int:
    """Return how often upstreams started the request with a work key."""
    return sum(
        1 for each in context.fleet.executed_work() if each['key'] == key
    )


@when(
    'a caller sends {method} "{target}" to node {position:d} '
    'with the deadline {deadline:d} ms'
)
def send_with_deadline(
    context: Context,
    method: str,
    target: str,
    position: int,
    deadline: int,
) -> None:
    """Send a request with a deadline header."""
    node = context.fleet.nodes[node_at(context, position)]
    headers = {'X-Deadline-Ms': str(deadline)}
    context.reply = call(node.caller_port, method, target, b'', headers)


@when(
    'a caller sends {count:d} slow lookups to node {position:d} '
    'with the deadline {deadline:d} ms'
)
def send_slow_lookups(
    context: Context,
    count: int,
    position: int,
    deadline: int,
) -> None:
    """Send lookups that run longer than their deadline, one by one."""
    port = context.fleet.nodes[node_at(context, position)].caller_port
    headers = {'X-Deadline-Ms': str(deadline)}
    context.replies = [
        call(port, 'GET', f'/cultivars/{number}?ms=5000', b'', headers)
        for number in range(count)
    ]


@then('each was answered as "{outcome}"')
def check_outcomes(context: Context, outcome: str) -> None:
    """Compare the outcomes of all answers."""
    outcomes = {reply.headers['x-outcome'] for reply in context.replies}
    assert outcomes == {outcome}, outcomes


@when('a caller sends GET "{target}" to node {position:d} and hangs up')
def send_and_hang_up(context: Context, target: str, position: int) -> None:
    """Send a request and close the connection while the request runs."""
    node = context.fleet.nodes[node_at(context, position)]
    sock = socket.create_connection((_IP, node.caller_port))
    sock.sendall(f'GET {target} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
    path = target.partition('?')[0]
    wait_until(lambda: has_record(context, path, 'running'), 'work running')
    sock.close()


def has_record(context: Context, path: str, state: str) -> bool:
    """Return whether an upstream records a request in a state."""
    return any(
        each['path'] == path and each['state'] == state
        for each in context.fleet.executed_work()
    )


@then('the upstreams record "{path}" as "{state}"')
def check_record(context: Context, path: str, state: str) -> None:
    """Wait until an upstream records a request in a state."""
    wait_until(lambda: has_record(context, path, state), f'{path} {state}')


@then('the upstreams ran "{path}" {count:d} times')
def check_runs(context: Context, path: str, count: int) -> None:
    """Count the runs of a request."""
    paths = [each['path'] for each in context.fleet.executed_work()]
    assert paths.count(path) == count, paths


@when(
    'callers send {count:d} slow registrations of {run_ms:d} ms '
    'to node {position:d}'
)
def send_registrations(
    context: Context,
    count: int,
    run_ms: int,
    position: int,
) -> None:
    """Send registrations and wait until all of them run."""
    node = context.fleet.nodes[node_at(context, position)]
    context.registrations = [
        Registration(f'reg-{each}') for each in range(count)
    ]
    context.senders = [
        gevent.spawn(register, node.caller_port, each, f'?ms={run_ms}')
        for each in context.registrations
    ]
    wait_until(lambda: running(context) == count, 'registrations running')


def running(context: Context) -> int:
    """Return how many registrations an upstream has started."""
    return sum(
        1 for each in context.registrations if runs_of(context, each.key)
    )


@when('node {position:d} is killed')
def kill_node(context: Context, position: int) -> None:
    """Kill a node with SIGKILL."""
    context.fleet.kill_node(node_at(context, position))
    gevent.joinall(getattr(context, 'senders', []))


@when('node {position:d} is asked to stop')
def stop_node(context: Context, position: int) -> None:
    """Send SIGTERM and wait until the node exits."""
    context.exit_code = context.fleet.stop_node(node_at(context, position))
    gevent.joinall(context.senders)


@when(
    'a caller sends on a kept connection {pause:d} s after node {position:d}'
    ' receives SIGTERM'
)
def send_while_leaving(context: Context, pause: int, position: int) -> None:
    """Send a request, then SIGTERM, then a request on the connection."""
    node = context.fleet.nodes[node_at(context, position)]
    client = HttpClient(Address(_IP, node.caller_port), _TIMEOUT_S)
    context.stack.callback(client.close)
    lookup = HttpRequest('GET', '/cultivars/kept')
    client.send(lookup)
    node.process.terminate()
    gevent.sleep(pause)
    context.kept_reply = client.send(lookup)


@then('its answer is whole and asks to close the connection')
def check_kept_reply(context: Context) -> None:
    """Check the answer of a node that is shutting down."""
    reply = context.kept_reply
    assert reply.status == 200, reply
    assert reply.headers.get('connection') == 'close', reply


@then('node {position:d} exits with {code:d}')
def check_exit(context: Context, position: int, code: int) -> None:
    """Compare the exit code of a node."""
    assert context.exit_code == code, context.exit_code


@then('every registration was answered as run')
def check_all_ran(context: Context) -> None:
    """Check that every reported outcome is that the request ran."""
    outcomes = [each.outcome for each in context.registrations]
    assert set(outcomes) == {'ran'}, outcomes


@then('registrations answered as run were run once')
def check_ran(context: Context) -> None:
    """Compare the outcomes with the upstreams' records."""
    ran = [each for each in context.registrations if each.outcome == 'ran']
    assert ran
    for each in ran:
        assert runs_of(context, each.key) == 1, each


@then('registrations answered as not run were not run')
def check_not_run(context: Context) -> None:
    """Compare the outcomes with the upstreams' records."""
    for each in context.registrations:
        if each.outcome == 'not-run':
            assert runs_of(context, each.key) == 0, each


@then('registrations of unknown outcome ran at most once')
def check_unknown(context: Context) -> None:
    """Check that the upstreams ran no registration twice."""
    for each in context.registrations:
        assert runs_of(context, each.key) <= 1, each


@when('callers send {count:d} lookups to the running nodes')
def send_to_running(context: Context, count: int) -> None:
    """Send lookups to all nodes whose process is running."""
    addresses = tuple(
        Address(_IP, node.caller_port)
        for node in context.fleet.nodes.values()
        if node.process.poll() is None
    )
    rate_per_s = 60.0
    plan = LoadPlan(addresses, _lookup, rate_per_s, count / rate_per_s)
    context.load = run_load(plan, Random(11), record_exchanges=True)


def _lookup(number: int) -> HttpRequest:
    return HttpRequest('GET', f'/cultivars/rosa-{number}')


@when('all upstreams change to "{name}" of "{text}"')
def change_upstreams(context: Context, name: str, text: str) -> None:
    """Change the behaviour of all upstreams."""
    for upstream in context.fleet.upstreams:
        context.fleet.set_behaviour(upstream, **{name: json.loads(text)})


@when('upstream {position:d} changes to "{name}" of "{text}"')
def change_upstream(
    context: Context,
    position: int,
    name: str,
    text: str,
) -> None:
    """Change the behaviour of one upstream."""
    upstream = list(context.fleet.upstreams)[position - 1]
    context.fleet.set_behaviour(upstream, **{name: json.loads(text)})


@then('upstream {position:d} records "{state}" work')
def check_state(context: Context, position: int, state: str) -> None:
    """Wait until an upstream records a request in a state."""
    upstream = list(context.fleet.upstreams)[position - 1]
    wait_until(
        lambda: any(
            each['upstream'] == upstream and each['state'] == state
            for each in context.fleet.executed_work()
        ),
        f'{state} at {upstream}',
    )


@when('upstream {position:d} stops answering on its open connections')
def silence_upstream(context: Context, position: int) -> None:
    """Stop answering on open connections.

    This is how connections look after a middlebox has dropped their state.
    """
    name = list(context.fleet.upstreams)[position - 1]
    context.fleet.set_behaviour(name, silent=True)


@when('a caller downloads {size:d} bytes of "{path}" through node {position:d}')
def download(context: Context, size: int, path: str, position: int) -> None:
    """Download a large answer in blocks."""
    node = context.fleet.nodes[node_at(context, position)]
    sock = socket.create_connection((_IP, node.caller_port))
    context.stack.callback(sock.close)
    target = f'{path}?bytes={size}'
    sock.sendall(f'GET {target} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
    response = HTTPSocketResponse(sock, block_size=_BLOCK_BYTES)
    context.expected_bytes = size
    context.received_bytes = sum(len(block) for block in response)
    context.is_complete = response.message_complete


@then('the download is whole')
def check_download(context: Context) -> None:
    """Check that the download is complete and has the expected length."""
    assert context.is_complete
    assert context.received_bytes == context.expected_bytes


@when('a caller uploads {size:d} bytes through node {position:d}')
def upload(context: Context, size: int, position: int) -> None:
    """Send a request with a large body."""
    node = context.fleet.nodes[node_at(context, position)]
    body = Random(5).randbytes(size)
    context.body_sha256 = hashlib.sha256(body).hexdigest()
    context.reply = call(node.caller_port, 'POST', '/cultivars/up', body)


@when(
    'a caller uploads {size:d} bytes through node {position:d}, '
    '{count:d} times {pause:d} ms apart'
)
def upload_often(
    context: Context,
    size: int,
    position: int,
    count: int,
    pause: int,
) -> None:
    """Send requests with large bodies, one by one."""
    context.replies = []
    for _ in range(count):
        gevent.sleep(pause / 1000)
        upload(context, size, position)
        context.replies.append(context.reply)


@then('all uploads arrived whole')
def check_uploads(context: Context) -> None:
    """Compare the hashes of the bodies that the upstreams received."""
    for reply in context.replies:
        assert reply.status == 200, context.replies
        found: dict[str, Any] = json.loads(reply.body)
        assert found['body_sha256'] == context.body_sha256, reply


@then('the upload arrived whole')
def check_upload(context: Context) -> None:
    """Compare the hash of the body that the upstream received."""
    found: dict[str, Any] = json.loads(context.reply.body)
    assert found['body_sha256'] == context.body_sha256, context.reply


@then('no node uses more than {limit:d} bytes of memory')
def check_memory(context: Context, limit: int) -> None:
    """Compare the resident memory of all nodes with a limit."""
    for node in context.fleet.nodes.values():
        status = read_json(node.admin_port, '/status')
        assert status['resident_bytes'] <= limit, status


@when('the operators publish the text "{text}" as configuration')
def publish_text(context: Context, text: str) -> None:
    """Publish a configuration with one file."""
    context.fleet.publish('config', {'10-text.yaml': text})
