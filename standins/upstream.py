"""Stand-in upstreams: slots, drain, load shedding, faults, work records.

The interface is described in docs/reference/stand-ins.md. One process runs
one or more upstreams, each on a port of its own.
"""

from __future__ import annotations

import argparse
import hashlib
import json
import time
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from random import Random
from typing import Any, Final
from urllib.parse import parse_qs

import gevent
from gevent.lock import Semaphore

from jackdawhead.config.settings import Address
from jackdawhead.memory import freeze_startup_objects
from jackdawhead.node.http_keys import SOCKET_KEY
from jackdawhead.node.http_server import HttpServer
from jackdawhead.sockets import has_hung_up

from .behaviour import Behaviour
from .endless import send_endlessly
from .resets import reset_connection
from .wsgi import send_json

_IDLE_TIMEOUT_S: Final = 600
_MAX_REQUESTS_PER_SLOT: Final = 4
_HANG_UP_POLL_S: Final = 0.02
_MS_PER_S: Final = 1000
_CHUNK_BYTES: Final = 65_536
_TOO_LARGE: Final = b'HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nearly'


@dataclass(slots=True)
class Executed:
    """One piece of work that was started.

    :param key: the caller's key of the work, from ``X-Work-Key``.
    :param started_at: Unix time in seconds.
    :param state: ``running``, ``done``, ``failed``, ``cancelled`` or
        ``lost`` in a crash.
    :param ended_at: Unix time in seconds, 0 while it runs.
    :param deadline_ms: time that it was given from its start, 0 if unlimited.
    :param organisation: organisation that it is for, from ``X-Customer``.
    :param credential: the caller's credential, from ``X-Key``.
    """

    upstream: str
    key: str
    method: str
    path: str
    started_at: float
    state: str = 'running'
    ended_at: float = 0
    deadline_ms: int = 0
    organisation: str = ''
    credential: str = ''

    def end(self, state: str) -> None:
        """Record how the work ended."""
        self.state = state
        self.ended_at = time.time()


class StandInUpstream:
    """One upstream.

    :param name: identity, returned in its answers.
    :param slots: requests that run at the same time; others wait.
    """

    def __init__(self, name: str, slots: int, seed: int) -> None:
        self.name = name
        self.behaviour = Behaviour()
        self.executed: list[Executed] = []
        self._slots = Semaphore(slots)
        self._slot_count = slots
        self._active = 0
        self._incarnation = 0
        self._started_at = time.monotonic()
        self._rng = Random(seed)
        self._sockets: set[Any] = set()
        self._silenced_sockets: set[Any] = set()
        self._server: HttpServer | None = None
        self.port = 0

    def start(self) -> int:
        """Start listening and return the port."""
        server = HttpServer(
            Address('127.0.0.1', self.port),
            self.serve,
            _IDLE_TIMEOUT_S,
        )
        server.start()
        self.port = server.server_port
        self._server = server
        self._started_at = time.monotonic()
        return self.port

    def serve(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        """Serve one WSGI request: control, health check or work."""
        path = environ['PATH_INFO']
        if path.startswith('/_control'):
            return self._control(environ, start)
        if path == '/health':
            return send_json(start, '200 OK', {'healthy': True})
        return self._work(environ, start)

    def _control(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        if environ['PATH_INFO'].endswith('/executed'):
            return send_json(
                start, '200 OK', [asdict(each) for each in self.executed]
            )
        body = environ['wsgi.input'].read()
        was_silent = self.behaviour.silent
        self.behaviour.update(json.loads(body or b'{}'))
        if self.behaviour.silent and not was_silent:
            self._silenced_sockets = set(self._sockets)
        return send_json(start, '200 OK', asdict(self.behaviour))

    def _work(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        sock = environ[SOCKET_KEY]
        if self.behaviour.silent and sock in self._silenced_sockets:
            gevent.sleep(_IDLE_TIMEOUT_S)
        self._sockets.add(sock)
        path = environ['PATH_INFO']
        refused = self._refusal(start)
        if refused is not None:
            return refused
        self._active += 1
        record = Executed(
            self.name,
            environ.get('HTTP_X_WORK_KEY', ''),
            environ['REQUEST_METHOD'],
            path,
            time.time(),
            deadline_ms=int(environ.get('HTTP_X_DEADLINE_MS', 0)),
            organisation=environ.get('HTTP_X_CUSTOMER', ''),
            credential=environ.get('HTTP_X_KEY', ''),
        )
        if self.behaviour.early and record.method == 'POST':
            self._active -= 1
            return self._answer_early(environ)
        if 'stall' in environ.get('QUERY_STRING', ''):
            self._active -= 1
            return self._answer_with_stall(environ, start, record)
        try:
            body = _read_body(environ)
            with self._slots:
                record.started_at = time.time()
                self.executed.append(record)
                if 'poison' in path:
                    self._crash_after(environ)
                return self._run(environ, start, record, body)
        finally:
            self._active -= 1

    def _refusal(self, start: Any) -> Iterable[bytes] | None:
        headers = [('X-Outcome', 'not-run'), ('Retry-After', '1')]
        if self.behaviour.draining:
            headers.append(('X-Draining', '1'))
            return send_json(start, '503 Draining', {}, headers)
        is_full = self._active >= _MAX_REQUESTS_PER_SLOT * self._slot_count
        if self.behaviour.shed or is_full:
            return send_json(start, '503 Shedding', {}, headers)
        return None

    def _run(
        self,
        environ: dict[str, Any],
        start: Any,
        record: Executed,
        body: bytes,
    ) -> Iterable[bytes]:
        query = parse_qs(environ.get('QUERY_STRING', ''))
        age_ms = (time.monotonic() - self._started_at) * _MS_PER_S
        run_ms = self.behaviour.run_time_ms(record.path, age_ms, self._rng)
        run_ms = float(query.get('ms', [run_ms])[0])
        deadline_ms = float(environ.get('HTTP_X_DEADLINE_MS', 1e9))
        incarnation = self._incarnation
        is_connected = _sleep_while_connected(
            environ[SOCKET_KEY],
            min(run_ms, deadline_ms),
        )
        if self._incarnation != incarnation:
            record.end('lost')
            return []
        if not is_connected or run_ms > deadline_ms:
            record.end('cancelled')
            return send_json(start, '504 Deadline', {})
        if self.behaviour.should_fail(record.path, self._rng):
            record.end('failed')
            return send_json(start, '500 Failed', {'upstream': self.name})
        record.end('done')
        if self.behaviour.endless:
            send_endlessly(environ[SOCKET_KEY], self.behaviour.endless)
            return []
        if self.behaviour.should_lose_answer(self._rng):
            reset_connection(environ[SOCKET_KEY])
            return []
        size = int(query.get('bytes', [self.behaviour.answer_bytes])[0])
        return self._answer(environ, start, record, body, size)

    def _answer(
        self,
        environ: dict[str, Any],
        start: Any,
        record: Executed,
        body: bytes,
        size: int,
    ) -> Iterable[bytes]:
        payload = {
            'upstream': self.name,
            'path': record.path,
            'key': record.key,
            'body_sha256': hashlib.sha256(body).hexdigest(),
            'deadline_ms': environ.get('HTTP_X_DEADLINE_MS', ''),
        }
        if not size:
            return send_json(start, '200 OK', payload)
        has_no_length = 'open' in environ.get('QUERY_STRING', '')
        length = [] if has_no_length else [('Content-Length', str(size))]
        start('200 OK', length)
        return _filler(size)

    def _answer_with_stall(
        self,
        environ: dict[str, Any],
        start: Any,
        record: Executed,
    ) -> Iterable[bytes]:
        """Answer with a pause in the middle of the body."""
        query = parse_qs(environ['QUERY_STRING'])
        size = int(query['bytes'][0])
        record.started_at = time.time()
        self.executed.append(record)
        start('200 OK', [('Content-Length', str(size))])
        try:
            yield from _stalled(environ[SOCKET_KEY], size, query['stall'][0])
        except (GeneratorExit, ConnectionResetError):
            record.end('cancelled')
            return
        record.end('done')

    def _answer_early(self, environ: dict[str, Any]) -> Iterable[bytes]:
        """Answer at once; leave the body unread and the connection open."""
        environ[SOCKET_KEY].sendall(_TOO_LARGE)
        gevent.sleep(_IDLE_TIMEOUT_S)
        return []

    def _crash_after(self, environ: dict[str, Any]) -> None:
        query = parse_qs(environ.get('QUERY_STRING', ''))
        gevent.sleep(float(query.get('ms', [0])[0]) / _MS_PER_S)
        self._crash()

    def _crash(self) -> None:
        self._incarnation += 1
        assert self._server is not None
        self._server.close()
        for sock in self._sockets:
            reset_connection(sock)
        self._sockets.clear()
        self._silenced_sockets.clear()
        for record in self.executed:
            if record.state == 'running':
                record.end('lost')
        gevent.spawn_later(self.behaviour.restart_ms / _MS_PER_S, self.start)
        raise ConnectionResetError(104, 'crashed')


def _read_body(environ: dict[str, Any]) -> bytes:
    return bytes(environ['wsgi.input'].read())


def _sleep_while_connected(sock: Any, duration_ms: float) -> bool:
    """Sleep, and return whether the connection stayed open."""
    end = time.monotonic() + duration_ms / _MS_PER_S
    while True:
        left_s = end - time.monotonic()
        if left_s <= 0:
            return True
        gevent.sleep(min(left_s, _HANG_UP_POLL_S))
        if left_s > _HANG_UP_POLL_S and has_hung_up(sock):
            return False


def _stalled(sock: Any, size: int, stall_ms: str) -> Iterable[bytes]:
    """Yield bytes with a pause in the middle.

    :raises ConnectionResetError: if the caller closes during the pause.
    """
    half = size // 2
    yield from _filler(half)
    if not _sleep_while_connected(sock, float(stall_ms)):
        raise ConnectionResetError('the caller has hung up')
    yield from _filler(size - half)


def _filler(size: int) -> Iterable[bytes]:
    chunk = b'x' * _CHUNK_BYTES
    while size > 0:
        yield chunk[:size]
        size -= _CHUNK_BYTES


def main() -> None:
    """Run the upstreams named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names', nargs='+', help='names, vm/service')
    parser.add_argument('--slots', type=int, default=3)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--behaviour', default='{}', help='JSON')
    options = parser.parse_args()
    ports = {}
    for number, name in enumerate(options.names):
        upstream = StandInUpstream(name, options.slots, options.seed + number)
        upstream.behaviour.update(json.loads(options.behaviour))
        ports[name] = upstream.start()
    freeze_startup_objects()
    print(json.dumps(ports), flush=True)
    gevent.wait()


if __name__ == '__main__':
    main()
