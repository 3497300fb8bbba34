"""An upstream that answers with scripted bytes, for faults of its framing.

A script is the text of the bytes to send, in which a comma stands for the end
of a line. ``<id>`` is the request id that was received, ``<pause>`` separates
two writes, and ``<close>``, ``<reset>`` and ``<hang>`` end the answer; without
one of these the connection is kept open.
"""

from __future__ import annotations

import re
import struct
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING, Final

import gevent
from gevent import socket
from gevent.server import StreamServer

if TYPE_CHECKING:
    from io import BufferedReader

    from gevent.socket import socket as Socket

_IP: Final = '127.0.0.1'
_PAUSE_S: Final = 0.05
_HANG_S: Final = 60.0
_ABORTIVE_LINGER: Final = struct.pack('ii', 1, 0)
_TOKENS: Final = re.compile('(<[a-z]+>)')
_WHOLE: Final = 'HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,,ok'


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request that arrived.

    :param connection: number of the connection, in order of its arrival.
    """

    method: str
    path: str
    request_id: str
    deadline_ms: str
    connection: int


@dataclass(slots=True)
class ScriptedUpstream:
    """Answers each path with its scripts, one after the other.

    The last script of a path is used again. A path without a script gets a
    whole answer.
    """

    scripts: dict[str, list[str]] = field(default_factory=dict)
    requests: list[ReceivedRequest] = field(default_factory=list)
    port: int = 0
    _connections: count[int] = field(default_factory=lambda: count(1))
    _server: StreamServer | None = None

    def start(self) -> int:
        """Start listening and return the port."""
        self._server = StreamServer((_IP, 0), self._serve)
        self._server.start()
        self.port = self._server.server_port
        return self.port

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.stop(0)

    def arrivals(self, path: str) -> list[ReceivedRequest]:
        """Return the requests for a path.

        :param path: path of the request line.
        """
        return [each for each in self.requests if each.path == path]

    def _serve(self, sock: Socket, _: tuple[str, int]) -> None:
        connection = next(self._connections)
        with sock, sock.makefile('rb') as reader:
            request = _read_request(reader, connection)
            while request is not None:
                earlier = len(self.arrivals(request.path))
                self.requests.append(request)
                scripts = self.scripts.get(request.path, [_WHOLE])
                script = scripts[min(earlier, len(scripts) - 1)]
                if not _play(sock, script, request.request_id):
                    return
                request = _read_request(reader, connection)


def _read_request(
    reader: BufferedReader, connection: int
) -> ReceivedRequest | None:
    """Return the next request, none when the other side has closed."""
    try:
        lines = _read_head(reader)
    except OSError:
        return None
    if not lines:
        return None
    method, path, _ = lines[0].split(' ')
    pairs = [line.partition(': ') for line in lines[1:]]
    headers = {name.lower(): text for name, _, text in pairs}
    reader.read(int(headers.get('content-length', '0')))
    return ReceivedRequest(
        method,
        path,
        headers.get('x-request-id', ''),
        headers.get('x-deadline-ms', ''),
        connection,
    )


def _read_head(reader: BufferedReader) -> list[str]:
    lines: list[str] = []
    while True:
        line = reader.readline().decode('latin-1').strip()
        if not line:
            return lines
        lines.append(line)


def _play(sock: Socket, script: str, request_id: str) -> bool:
    """Send the bytes of a script; return whether the connection is kept."""
    try:
        for part in _TOKENS.split(script.replace('<id>', request_id)):
            if part == '<close>':
                return False
            if part == '<reset>':
                # The close sends a reset, and no FIN before it.
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _ABORTIVE_LINGER
                )
                return False
            _play_part(sock, part)
    except OSError:
        # The other side has closed the connection.
        return False
    return True


def _play_part(sock: Socket, part: str) -> None:
    if part == '<pause>':
        gevent.sleep(_PAUSE_S)
    elif part == '<hang>':
        gevent.sleep(_HANG_S)
    elif part == '<cr>':
        sock.sendall(b'\r')
    elif part:
        sock.sendall(part.replace(',', '\r\n').encode('latin-1'))


__all__ = ('ReceivedRequest', 'ScriptedUpstream')
