"""Stand-in for the platform: published values to read and watch.

The interface is described in docs/reference/stand-ins.md.
"""

from __future__ import annotations

import argparse
import json
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Final
from urllib.parse import parse_qs

import gevent
from gevent.event import Event

from jackdawhead.config.settings import Address
from jackdawhead.node.http_server import HttpServer

from .wsgi import send_json

_IDLE_TIMEOUT_S: Final = 600
_MS_PER_S: Final = 1000


@dataclass(slots=True)
class _PublishedValue:
    """The latest value of a key.

    :param changed: set whenever the value or the platform's mode changes.
    """

    version: int = 0
    value: Any = None
    changed: Event = field(default_factory=Event)


class StandInPlatform:
    """Answers reads and watches; tests publish through ``/_control``."""

    def __init__(self) -> None:
        self._published = {
            'config': _PublishedValue(),
            'vms': _PublishedValue(),
        }
        self._stale_values: dict[str, _PublishedValue] = {}
        self._mode = 'up'
        self._lag_ms = 0
        self._reads: Counter[str] = Counter()

    def serve(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Serve one request."""
        path = environ['PATH_INFO']
        if path.startswith('/_control/'):
            return self._control(path, environ, start_response)
        key = path.rpartition('/')[2]
        if key not in self._published:
            return send_json(start_response, '404 Not Found', {})
        self._reads[key] += 1
        if self._mode == 'down':
            return send_json(start_response, '503 Down', {})
        return self._read(
            key, parse_qs(environ['QUERY_STRING']), start_response
        )

    def _read(
        self,
        key: str,
        query: dict[str, list[str]],
        start_response: Any,
    ) -> Iterable[bytes]:
        after = int(query.get('after', ['0'])[0])
        wait_s = int(query.get('wait_ms', ['0'])[0]) / _MS_PER_S
        end = time.monotonic() + wait_s
        while True:
            entry = self._stale_values.get(key, self._published[key])
            is_newer = entry.version > after or self._mode == 'stale'
            if entry.version and is_newer:
                payload = {'version': entry.version, 'value': entry.value}
                return send_json(start_response, '200 OK', payload)
            left_s = end - time.monotonic()
            if left_s <= 0:
                start_response('204 No Content', [])
                return []
            entry.changed.clear()
            entry.changed.wait(left_s)

    def _control(
        self,
        path: str,
        environ: dict[str, Any],
        start_response: Any,
    ) -> Iterable[bytes]:
        action = path.rpartition('/')[2]
        if action == 'reads':
            return send_json(start_response, '200 OK', dict(self._reads))
        fields = json.loads(environ['wsgi.input'].read() or b'{}')
        if action == 'mode':
            self._set_mode(fields['mode'])
            self._lag_ms = fields.get('lag_ms', self._lag_ms)
            return send_json(start_response, '200 OK', {'mode': self._mode})
        return self._publish(fields, start_response)

    def _set_mode(self, mode: str) -> None:
        """Set ``up``, ``down`` or ``stale``, which freezes current values."""
        self._mode = mode
        self._stale_values = {}
        if mode == 'stale':
            self._stale_values = {
                key: _PublishedValue(entry.version, entry.value)
                for key, entry in self._published.items()
            }
        for entry in self._published.values():
            entry.changed.set()

    def _publish(
        self, fields: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        entry = self._published[fields['key']]
        expected = fields.get('expected_version', entry.version)
        if expected != entry.version:
            return send_json(
                start_response, '409 Conflict', {'version': entry.version}
            )
        delay_s = self._lag_ms / _MS_PER_S if fields['key'] == 'vms' else 0
        version = fields.get('version', entry.version + 1)
        if delay_s:
            gevent.spawn_later(delay_s, _set, entry, version, fields['value'])
        else:
            _set(entry, version, fields['value'])
        return send_json(start_response, '200 OK', {'version': version})


def _set(entry: _PublishedValue, version: int, value: Any) -> None:
    entry.version = version
    entry.value = value
    entry.changed.set()


def main() -> None:
    """Run the platform until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    options = parser.parse_args()
    platform = StandInPlatform()
    server = HttpServer(
        Address('127.0.0.1', options.port),
        platform.serve,
        _IDLE_TIMEOUT_S,
    )
    server.start()
    print(json.dumps({'port': server.server_port}), flush=True)
    gevent.wait()


if __name__ == '__main__':
    main()
