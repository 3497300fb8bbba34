"""In-process stand-in for the store of the users' platform."""

from __future__ import annotations

import base64
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import parse_qs

import gevent
from gevent.event import Event

from jackdawhead.config.settings import Address
from jackdawhead.node.http_server import HttpServer
from jackdawhead.platform.names import GENERATION_HEADER

from .wsgi import send_json

if TYPE_CHECKING:
    from collections.abc import Iterable

_IDLE_TIMEOUT_S: Final = 600
_MS_PER_S: Final = 1000
_ITEMS_PER_PAGE: Final = 50
_SILENCE_S: Final = 60

Alter = Callable[[str, dict[str, Any]], Any]


@dataclass(frozen=True, slots=True)
class _Change:
    """One write of an item, or its removal if the value is ``None``.

    :param made: revision at which the item was created.
    """

    revision: int
    key: str
    value: bytes | None
    made: int


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """The store's data at one moment."""

    revision: int
    stored: dict[str, _Change]
    history: tuple[_Change, ...]


class StandInStore:
    """Keeps items with revisions and answers reads and watches.

    A store of no generation does not name one in its answers.

    The attribute ``mode`` is ``up``, ``down``, ``lost`` (the next watch is
    told that the history is no longer kept), ``mute`` (watches are not told
    of changes) or ``silent`` (later calls are not answered). The attribute
    ``alter`` is called with the path of a call and its answer, and returns the
    answer to send, as plain data or as bytes.
    """

    def __init__(self, generation: int = 0) -> None:
        self.generation = generation
        self.mode = 'up'
        self.alter: Alter = _unaltered
        self.calls: list[str] = []
        self._revision = 1
        self._stored: dict[str, _Change] = {}
        self._history: list[_Change] = []
        self._changed = Event()
        self._silenced_calls = 0
        self._lost_call = 0
        self._server = HttpServer(
            Address('127.0.0.1', 0), self.serve, _IDLE_TIMEOUT_S
        )

    def start(self) -> int:
        """Start listening and return the port."""
        self._server.start()
        return int(self._server.server_port)

    @property
    def port(self) -> int:
        """Port that the store listens on."""
        return int(self._server.server_port)

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop(0)

    def put(self, key: str, payload: Any) -> None:
        """Write an item, as JSON unless it is bytes."""
        value = (
            payload
            if isinstance(payload, bytes)
            else json.dumps(payload).encode()
        )
        previous = self._stored.get(key)
        self._revision += 1
        made = previous.made if previous else self._revision
        self._record_change(_Change(self._revision, key, value, made))

    def remove(self, key: str) -> None:
        """Remove an item."""
        self._revision += 1
        self._record_change(_Change(self._revision, key, None, 0))

    def copy(self) -> StoreCopy:
        """Return a copy of all data."""
        return StoreCopy(
            self._revision, dict(self._stored), tuple(self._history)
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back from an older copy; its revisions are given out again."""
        self._revision = copy.revision
        self._stored = dict(copy.stored)
        self._history = list(copy.history)
        self.generation += 1
        self._changed.set()

    def silence_calls(self) -> None:
        """Answer no call that is in flight; later ones are answered."""
        self._silenced_calls = len(self.calls)

    def lose_next_answer(self) -> None:
        """Answer all calls but the next one."""
        self._lost_call = len(self.calls) + 1

    def wake_watches(self) -> None:
        """Wake blocked watches, so that they see a changed mode."""
        self._changed.set()

    def serve(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Serve one call."""
        path = environ['PATH_INFO']
        query = {
            name: texts[0]
            for name, texts in parse_qs(
                environ['QUERY_STRING'], keep_blank_values=True
            ).items()
        }
        self.calls.append(path)
        number = len(self.calls)
        try:
            return self._serve(path, query, start_response)
        finally:
            is_silenced = number <= self._silenced_calls
            if is_silenced or number == self._lost_call:
                gevent.sleep(_SILENCE_S)

    def _serve(
        self, path: str, query: dict[str, str], start_response: Any
    ) -> Iterable[bytes]:
        if self.generation:
            start_response = self._naming_generation(start_response)
        if self.mode == 'silent':
            gevent.sleep(_SILENCE_S)
        if self.mode == 'down':
            return send_json(start_response, '503 Down', {})
        if path == '/kv-range':
            return self._range(query, start_response)
        return self._watch(query, start_response)

    def _naming_generation(self, start_response: Any) -> Any:
        generation = str(self.generation)

        def start(status: str, headers: list[tuple[str, str]]) -> Any:
            return start_response(
                status, [*headers, (GENERATION_HEADER, generation)]
            )

        return start

    def _record_change(self, change: _Change) -> None:
        if change.value is None:
            self._stored.pop(change.key, None)
        else:
            self._stored[change.key] = change
        self._history.append(change)
        self._changed.set()

    def _range(
        self, query: dict[str, str], start_response: Any
    ) -> Iterable[bytes]:
        keys = sorted(
            key
            for key in self._stored
            if key.startswith(query['prefix']) and key > query.get('after', '')
        )
        payload = {
            'items': [
                _as_json(self._stored[key]) for key in keys[:_ITEMS_PER_PAGE]
            ],
            'hasMore': len(keys) > _ITEMS_PER_PAGE,
            'atRev': self._revision,
        }
        return self._send('/kv-range', payload, start_response)

    def _watch(
        self, query: dict[str, str], start_response: Any
    ) -> Iterable[bytes]:
        after = int(query['after'])
        end = time.monotonic() + int(query['waitMs']) / _MS_PER_S
        while True:
            if self.mode == 'lost' or after > self._revision:
                self.mode = 'up'
                return send_json(
                    start_response, '410 Gone', {'atRev': self._revision}
                )
            events = [
                _as_json(each)
                for each in self._history
                if each.revision > after and self.mode != 'mute'
            ]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                payload = {'events': events, 'atRev': self._revision}
                return self._send('/kv-watch', payload, start_response)
            self._changed.clear()
            self._changed.wait(left_s)

    def _send(
        self, path: str, payload: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        answer = self.alter(path, payload)
        if not isinstance(answer, bytes):
            return send_json(start_response, '200 OK', answer)
        length = str(len(answer))
        start_response('200 OK', [('Content-Length', length)])
        return [answer]


def _unaltered(_: str, payload: dict[str, Any]) -> dict[str, Any]:
    return payload


def _as_json(change: _Change) -> dict[str, Any]:
    if change.value is None:
        return {
            'key': change.key,
            'revision': change.revision,
            'deleted': True,
        }
    return {
        'key': change.key,
        'value': base64.b64encode(change.value).decode(),
        'revision': change.revision,
        'createdRev': change.made,
        'lease': 7,
    }


__all__ = ('StandInStore', 'StoreCopy')
