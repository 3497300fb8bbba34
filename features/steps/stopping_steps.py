"""Steps about requests that reach a node after its stop signal."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent
from behave import given, then, when
from gevent import socket
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

from features.steps.fleet_steps import new_fleet, node_at, start_fleet
from jackdawhead.bench.client import HttpResponse
from standins.fleet import call, read_json, wait_until

if TYPE_CHECKING:
    from behave.runner import Context

    from standins.fleet import NodeProcess

_IP = '127.0.0.1'
_NODES = 4
_TIMEOUT_S = 30.0
_MS_PER_S = 1000
_DEADLINE_MS = 3000
_WARM_UP_RUNS = 12
_KEEPER = 'keeper?ms=4000'
_KEEPER_KEY = {'X-Work-Key': _KEEPER}
_UPLOAD_BYTES = 20_000
_DOWNLOAD_BYTES = 200_000
# Requests are sent more often while the process may end.
_SPARSE_SHARE = 5
_DENSE_FROM_S = 4.0


@dataclass
class KeptConnection:
    """A connection that was open before the stop, and its last request.

    :param key: work key, by which the upstreams record the runs.
    :param sent_s: time after the stop signal at which the request was sent.
    :param reply: the answer, none if the connection ended without one.
    :param is_closed: whether the node closed the connection.
    """

    sock: socket.socket
    key: str
    sent_s: float = 0
    reply: HttpResponse | None = None
    is_closed: bool = False

    def send(self, head: str, body: bytes = b'') -> None:
        """Send a request, or the start of it."""
        try:
            self.sock.sendall(f'{head}\r\n\r\n'.encode() + body)
        except OSError:
            self.is_closed = True

    def receive(self) -> None:
        """Read the answer, and whether the connection ends after it."""
        try:
            # The parser closes its socket after the last answer.
            response = HTTPSocketResponse(self.sock.dup())
            body = bytes(response.read())
        except (OSError, HTTPParseError):
            self.is_closed = True
            return
        headers = {name.lower(): text for name, text in response.items()}
        self.reply = HttpResponse(response.status_code, headers, body)
        if headers.get('connection') == 'close':
            self.is_closed = self._is_at_end()

    def _is_at_end(self) -> bool:
        try:
            return self.sock.recv(1) == b''
        except ConnectionResetError:
            return True


@given(
    'a fleet in front of "{service}" whose stops take {drain:d} ms'
    ' and close the listener after {accept:d} ms'
)
def start(context: Context, service: str, drain: int, accept: int) -> None:
    """Start homes, and one entry without an upstream."""
    start_stopping_fleet(context, service, _NODES, drain, accept)
    context.kept = []


def start_stopping_fleet(
    context: Context, service: str, nodes: int, drain_ms: int, accept_ms: int
) -> None:
    """Start homes, and one entry without an upstream, with short stops."""
    fleet = new_fleet(
        context,
        drain_ms=drain_ms,
        accept_while_leaving_ms=accept_ms,
        drain_idle_ms=0,
    )
    start_fleet(fleet, service, nodes, entries=1)
    context.entry_vm = 'entry-0'


def entry_of(context: Context) -> NodeProcess:
    """Return the node that the callers use."""
    return context.fleet.nodes[context.entry_vm]


def run_times(context: Context) -> dict[str, str]:
    """Return the state of each run, by its work key."""
    return {
        each['key']: each['state'] for each in context.fleet.executed_work()
    }


@given(
    '{count:d} kept connections to the entry, which has answered {method} with'
    ' "{query}"'
)
def open_connections(
    context: Context, count: int, method: str, query: str
) -> None:
    """Open connections, and let the entry see how long the work takes."""
    context.method = method
    context.query = query
    port = entry_of(context).caller_port
    warm_ups = [
        gevent.spawn(call, port, method, f'/cultivars/warm?{query}')
        for _ in range(_WARM_UP_RUNS)
    ]
    gevent.joinall(warm_ups, raise_error=True)
    for number in range(count):
        sock = socket.create_connection((_IP, port), _TIMEOUT_S)
        context.stack.callback(sock.close)
        kept = KeptConnection(sock, f'kept-{number}')
        kept.send('GET /no/such/route HTTP/1.1\r\nHost: x')
        kept.receive()
        assert kept.reply is not None
        assert kept.reply.status == 404, kept.reply
        kept.reply = None
        context.kept.append(kept)


@when('the entry gets SIGTERM')
def signal_entry(context: Context) -> None:
    """Send SIGTERM to the entry and return at once."""
    stop(context, entry_of(context))


@when('node {position:d} gets SIGTERM')
def signal_node(context: Context, position: int) -> None:
    """Send SIGTERM to a home and return at once."""
    stop(context, context.fleet.nodes[node_at(context, position)])


def stop(context: Context, node: NodeProcess) -> None:
    """Send SIGTERM, and note when the process ends."""
    context.stopped_at = time.monotonic()
    context.stopping = node
    node.process.terminate()


@when(
    'each sends one such request at a moment of its own until {until:f} s after'
    ' the entry got SIGTERM'
)
def send_over_stop(context: Context, until: float) -> None:
    """Send one request on each connection, more often near the end."""
    moments = moments_of(len(context.kept), until)
    signal_entry(context)
    senders = [
        gevent.spawn(send_at, context, kept, moment)
        for kept, moment in zip(context.kept, moments, strict=True)
    ]
    process = context.stopping.process
    wait_until(lambda: process.poll() is not None, 'end of the entry')
    context.ended_s = time.monotonic() - context.stopped_at
    gevent.joinall(senders, raise_error=True)


@when('each sends one such request {after:d} ms after the entry got SIGTERM')
def send_together(context: Context, after: int) -> None:
    """Send one request on each connection, all at the same time.

    Another request keeps the process running until then.
    """
    port = entry_of(context).caller_port
    gevent.spawn(call, port, 'POST', f'/cultivars/{_KEEPER}', b'', _KEEPER_KEY)
    wait_until(lambda: _KEEPER in run_times(context), 'a long run')
    signal_entry(context)
    moment_s = after / _MS_PER_S
    senders = [
        gevent.spawn(send_at, context, kept, moment_s) for kept in context.kept
    ]
    gevent.joinall(senders, raise_error=True)
    context.ended_s = time.monotonic() - context.stopped_at


def moments_of(count: int, until_s: float) -> list[float]:
    """Return moments in ascending order, most of them near the end."""
    sparse = count // _SPARSE_SHARE
    dense = count - sparse
    early = [_DENSE_FROM_S * (each + 1) / sparse for each in range(sparse)]
    step_s = (until_s - _DENSE_FROM_S) / dense
    return early + [_DENSE_FROM_S + step_s * each for each in range(dense)]


def send_at(context: Context, kept: KeptConnection, moment_s: float) -> None:
    """Send one request at a time after the stop signal."""
    gevent.sleep(max(0, context.stopped_at + moment_s - time.monotonic()))
    kept.sent_s = time.monotonic() - context.stopped_at
    target = f'/cultivars/{kept.key}?{context.query}'
    kept.send(
        f'{context.method} {target} HTTP/1.1\r\nHost: x\r\n'
        f'Content-Length: 0\r\nX-Work-Key: {kept.key}\r\n'
        f'X-Deadline-Ms: {_DEADLINE_MS}'
    )
    if not kept.is_closed:
        kept.receive()


@when('one sends half of its body before the entry gets SIGTERM')
def send_half(context: Context) -> None:
    """Send the head and half of the body of a request."""
    send_half_with(context, '')


@when(
    'one sends half of its body with a ticket of node {position:d} before the'
    ' entry gets SIGTERM'
)
def send_half_with_ticket(context: Context, position: int) -> None:
    """Send the head and half of the body of a request with a ticket."""
    node = context.fleet.nodes[node_at(context, position)]
    ticket = _new_ticket(node.caller_port)
    send_half_with(context, f'\r\nX-Ticket: {ticket}')


def send_half_with(context: Context, header: str) -> None:
    """Send the start of a request, then SIGTERM to its entry."""
    kept = context.kept[0]
    kept.send(
        f'POST /cultivars/{kept.key} HTTP/1.1\r\nHost: x\r\n'
        f'Content-Length: {2 * _UPLOAD_BYTES}\r\n'
        f'X-Work-Key: {kept.key}{header}',
        bytes(_UPLOAD_BYTES),
    )
    signal_entry(context)
    context.receiving = gevent.spawn(kept.receive)


@when(
    'a request of {run:d} ms with a ticket of node {position:d} is sent on the'
    ' kept connection'
)
def send_foreign_ticket(context: Context, run: int, position: int) -> None:
    """Send a request that the entry has to forward."""
    node = context.fleet.nodes[node_at(context, position)]
    await_leaving(context)
    kept = context.kept[0]
    kept.send(
        f'POST /cultivars/{kept.key}?ms={run} HTTP/1.1\r\nHost: x\r\n'
        f'Content-Length: 0\r\nX-Work-Key: {kept.key}\r\n'
        f'X-Ticket: {_new_ticket(node.caller_port)}'
    )
    context.receiving = gevent.spawn(kept.receive)


def await_leaving(context: Context) -> None:
    """Wait until the entry has handled its stop signal."""
    entry = entry_of(context)
    wait_until(
        lambda: 'event=node-leaving' in entry.log.read_text(),
        'the stop signal has been handled',
    )


@when('a ticket is asked for on the kept connection')
def ask_for_ticket(context: Context) -> None:
    """Ask the stopping node for a ticket."""
    await_leaving(context)
    kept = context.kept[0]
    kept.send(
        'POST /cultivars/t HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n'
        'X-Ticket: new'
    )
    context.receiving = gevent.spawn(kept.receive)


@when(
    'a request of {run:d} ms with a ticket of the entry is sent to node'
    ' {position:d}'
)
def send_ticket(context: Context, run: int, position: int) -> None:
    """Send to another node, which forwards to the issuer of the ticket."""
    node = context.fleet.nodes[node_at(context, position)]
    wait_until(
        lambda: _send_with_ticket(context, node.caller_port).status == 200,
        f'a link from {node.vm} to the entry',
    )
    kept = KeptConnection(
        socket.create_connection((_IP, node.caller_port), _TIMEOUT_S), 'ticket'
    )
    context.stack.callback(kept.sock.close)
    context.kept.append(kept)
    kept.send(
        f'POST /cultivars/{kept.key}?ms={run} HTTP/1.1\r\nHost: x\r\n'
        f'Content-Length: 0\r\nX-Work-Key: {kept.key}\r\n'
        f'X-Ticket: {_new_ticket(entry_of(context).caller_port)}'
    )
    context.receiving = gevent.spawn(kept.receive)
    wait_until(lambda: kept.key in run_times(context), 'run of the ticket')


def _new_ticket(port: int) -> str:
    reply = call(port, 'POST', '/cultivars/t', b'', {'X-Ticket': 'new'})
    return reply.headers['x-ticket']


def _send_with_ticket(context: Context, port: int) -> HttpResponse:
    headers = {'X-Ticket': _new_ticket(entry_of(context).caller_port)}
    return call(port, 'POST', '/cultivars/t?ms=1', b'', headers)


@when('upstream {position:d} runs a request of {run:d} ms for another entry')
def run_elsewhere(context: Context, position: int, run: int) -> None:
    """Send requests until one of them runs at an upstream."""
    upstream = list(context.fleet.upstreams)[position - 1]
    port = entry_of(context).caller_port
    target = f'/cultivars/long?ms={run}'
    context.long_calls = []

    def is_running() -> bool:
        context.long_calls.append(gevent.spawn(call, port, 'POST', target))
        gevent.sleep(0.2)
        return any(
            each['upstream'] == upstream and each['path'].endswith('long')
            for each in context.fleet.executed_work()
        )

    wait_until(is_running, f'a run at {upstream}')


@when('upstream {position:d} is no longer listed')
def remove_upstream(context: Context, position: int) -> None:
    """Publish a VM list without an upstream, and wait until its home knows."""
    name = list(context.fleet.upstreams)[position - 1]
    context.fleet.upstreams.pop(name)
    context.fleet.publish_vms()
    admin_port = context.fleet.nodes[name.partition('/')[0]].admin_port
    wait_until(
        lambda: not read_json(admin_port, '/status')['upstreams'],
        f'a home without {name}',
    )


@then('the other entry gets the answer of each run')
def check_long_calls(context: Context) -> None:
    """Check the answers of the requests that ran during the stop."""
    gevent.joinall(context.long_calls, raise_error=True)
    replies = [each.value for each in context.long_calls]
    assert all(reply.status == 200 for reply in replies), replies


@then('each request that an upstream began has its whole answer')
def check_begun(context: Context) -> None:
    """Compare the answers with the upstreams' records."""
    runs = run_times(context)
    begun = [each for each in context.kept if each.key in runs]
    assert begun
    wrong = [
        (each.sent_s, runs[each.key], each.reply)
        for each in begun
        if not is_whole(each)
    ]
    assert not wrong, (context.ended_s, wrong)


@then(
    'every request has an answer, and each that an upstream began its whole one'
)
def check_all_answered(context: Context) -> None:
    """Check that no request was cut off, whether it ran or waited."""
    cut = [each for each in context.kept if each.reply is None]
    assert not cut, cut
    runs = run_times(context)
    wrong = [each for each in context.kept if each.key in runs]
    wrong = [each for each in wrong if not is_whole(each)]
    assert not wrong, wrong


def is_whole(kept: KeptConnection) -> bool:
    """Return whether a request has the whole answer of its own run.

    The body of a download does not say to which run it belongs.
    """
    if kept.reply is None or kept.reply.status != 200:
        return False
    if not kept.reply.body.startswith(b'{'):
        return len(kept.reply.body) == _DOWNLOAD_BYTES
    return bool(json.loads(kept.reply.body)['key'] == kept.key)


@then('each refused request was not run and its connection was closed')
def check_refused(context: Context) -> None:
    """Check that a refusal is true, and that it sends the caller elsewhere."""
    runs = run_times(context)
    for each in context.kept:
        reply = each.reply
        if reply is not None and reply.status != 200:
            assert reply.status == 503, each
            assert reply.headers['x-outcome'] == 'not-run', each
            assert int(reply.headers['x-retry-after-ms']) > 0, each
            assert each.is_closed, each
            assert each.key not in runs, each


@then(
    'each request without an answer was not run, and its connection was'
    ' closed at the end of the process'
)
def check_unanswered(context: Context) -> None:
    """Check that only requests that crossed the close have no answer."""
    runs = run_times(context)
    for each in context.kept:
        if each.reply is None:
            assert each.is_closed, each
            assert each.key not in runs, each
            assert each.sent_s > _DENSE_FROM_S / 2, (context.ended_s, each)


@then('the requests of the first {length:d} s are served')
def check_served(context: Context, length: int) -> None:
    """Check that a stop alone is no reason to refuse."""
    first = [each for each in context.kept if each.sent_s < length]
    assert first
    refused = [each for each in first if not is_whole(each)]
    assert not refused, refused


@then('some requests are refused as "{reason}"')
def check_reason(context: Context, reason: str) -> None:
    """Check that the scenario reaches the last part of the stop at all."""
    replies = [each.reply for each in context.kept if each.reply is not None]
    assert any(
        reply.status == 503 and json.loads(reply.body)['reason'] == reason
        for reply in replies
    )


@then('it gets status {status:d} with the outcome "{outcome}"')
def check_answer(context: Context, status: int, outcome: str) -> None:
    """Wait for the answer on the first connection."""
    context.receiving.join()
    reply = context.kept[0].reply
    assert reply is not None
    assert reply.status == status, reply
    assert reply.headers['x-outcome'] == outcome, reply


@then('it was not run')
def check_not_run(context: Context) -> None:
    """Check the upstreams' records."""
    assert context.kept[0].key not in run_times(context)


@then('a call of that run to node {position:d} is served {after:d} ms later')
def check_call(context: Context, position: int, after: int) -> None:
    """Send a request that expires with the work that its upstream runs."""
    reply = _call_of_run(context, position, after)
    assert reply.status == 200, reply


@then(
    'a call of that run to node {position:d} is refused as not run {after:d} ms'
    ' later'
)
def check_late_call(context: Context, position: int, after: int) -> None:
    """Send a call that could be cut at the end of the stop."""
    _check_unrun_refusal(_call_of_run(context, position, after))


def _call_of_run(context: Context, position: int, after: int) -> HttpResponse:
    until = context.stopped_at + after / _MS_PER_S
    gevent.sleep(max(0, until - time.monotonic()))
    upstream = list(context.fleet.upstreams)[position - 1]
    left_ms = left_for_call(context, upstream)
    assert left_ms > _MS_PER_S * 3, left_ms
    return _call_with(context, position, left_ms)


@then(
    'a request of {deadline:d} ms on another new connection to node'
    ' {position:d} is refused as not run'
)
def check_not_call(context: Context, deadline: int, position: int) -> None:
    """Send a request that may outlast the stop, though it is a quick one."""
    _check_unrun_refusal(_call_with(context, position, deadline))


def _check_unrun_refusal(reply: HttpResponse) -> None:
    assert reply.status == 503, reply
    assert reply.headers['x-outcome'] == 'not-run', reply


def left_for_call(context: Context, upstream: str) -> int:
    """Return the time left for a call of work that an upstream runs."""
    run = next(
        each
        for each in context.fleet.executed_work()
        if each['upstream'] == upstream and each['state'] == 'running'
    )
    expires_at_ms = run['started_at'] * _MS_PER_S + run['deadline_ms']
    return int(expires_at_ms - time.time() * _MS_PER_S)


def _call_with(
    context: Context, position: int, deadline_ms: int
) -> HttpResponse:
    node = context.fleet.nodes[node_at(context, position)]
    headers = {'X-Deadline-Ms': str(deadline_ms)}
    return call(node.caller_port, 'GET', '/cultivars/new', b'', headers)
