"""Client of the platform's store; it only reads."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final
from urllib.parse import quote

import msgspec
from gevent import Timeout, socket
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError
from returns.result import Failure, Result, Success

from ..clock import seconds
from ..policy.platform_readers import OVERDUE_ANSWER_MS
from .formats import parse_generation
from .hedged_call import call_hedged, first_result
from .names import GENERATION_HEADER
from .reach_check import CHECK_INTERVAL_MS, ReachCheck
from .store_pages import Pages, decode_answer
from .store_types import (
    Snapshot,
    StoreAnswer,
    StoreFailure,
    WatchEvents,
    read_item,
)

if TYPE_CHECKING:
    from gevent.socket import socket as Socket

    from ..config.settings import Address

_HTTP_OK: Final = 200
_HTTP_GONE: Final = 410
_CALL_TIMEOUT_MS: Final = 2000
# An answer may arrive slowly, but not forever.
_MAX_CALL_MS: Final = 8000
# TCP keep-alive detects a dead connection within this time, also while a
# watch waits for changes.
_DEAD_CONNECTION_MS: Final = 3000
_PROBE_INTERVAL_S: Final = 1
_PROBE_COUNT: Final = 2
# A page holds about a megabyte of items, encoded as base64.
_MAX_BODY_BYTES: Final = 8_000_000
# No key has this prefix. A read that may be old costs a tenth of another.
_CHECK_TARGET: Final = '/kv-range?prefix=op%2Fconfig%2F&serializable=1'
_CALL_ERRORS: Final = (OSError, HTTPParseError, msgspec.DecodeError, ValueError)


class _KeepAlivePool(ConnectionPool):
    """Detects dead connections with TCP keep-alive probes."""

    def after_connect(self, sock: Socket) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, setting in (
            (socket.TCP_NODELAY, 1),
            (socket.TCP_KEEPIDLE, _PROBE_INTERVAL_S),
            (socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
            (socket.TCP_KEEPCNT, _PROBE_COUNT),
            (socket.TCP_USER_TIMEOUT, _DEAD_CONNECTION_MS),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, setting)


class _KeepAliveClient(HTTPClient):
    """An HTTP client with one connection and TCP keep-alive probes."""

    def __init__(self, address: Address, wait_ms: int) -> None:
        super().__init__(address.ip, address.port)
        # The library has no argument for the class of the pool.
        self._connection_pool = _KeepAlivePool(
            address.ip,
            address.port,
            address.ip,
            address.port,
            size=1,
            connection_timeout=seconds(_CALL_TIMEOUT_MS),
            network_timeout=seconds(_CALL_TIMEOUT_MS + wait_ms),
        )


class StoreClient:
    """Reads and watches items.

    :param address: IP address and port of the store.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self.call_count = 0
        self.check = ReachCheck(lambda: self._call(_CHECK_TARGET, 0))

    def range(self, prefix: str) -> Result[Snapshot, StoreFailure]:
        """Return all items whose keys start with a prefix, page by page.

        The snapshot has the revision of its first page, so that a watch from
        there includes changes made while later pages were read. It is not
        complete if the pages don't end.

        :param prefix: key prefix, empty for all items.
        """
        pages = Pages()
        target = f'/kv-range?prefix={quote(prefix, safe="")}'
        result = self._call(target, 0).bind(pages.add)
        while isinstance(result, Success) and pages.may_continue:
            after = quote(pages.last_key, safe='')
            result = self._call(f'{target}&after={after}', 0).bind(pages.add)
        return result.map(lambda _: pages.snapshot)

    def watch(
        self,
        prefix: str,
        after: int,
        wait_ms: int,
        generation: int = 0,
    ) -> Result[Snapshot, StoreFailure]:
        """Return the changes after a revision, waiting until there is one.

        The wait ends early if the store falls silent, or comes back from an
        older copy of its data.

        :param prefix: key prefix, empty for all items.
        :param after: latest revision that is already known.
        :param wait_ms: longest wait for a change in milliseconds.
        :param generation: generation that the revision belongs to, 0 if
            unknown.
        """

        def watch() -> Result[Snapshot, StoreFailure]:
            path = f'/kv-watch?prefix={quote(prefix, safe="")}&after={after}'
            return call_hedged(
                lambda: self._call(f'{path}&waitMs={max(1, wait_ms)}', wait_ms),
                lambda: self._call(f'{path}&waitMs=1', 1),
                wait_ms + OVERDUE_ANSWER_MS,
            ).bind(_decode_changes)

        if wait_ms <= CHECK_INTERVAL_MS:
            return watch()
        return first_result(watch, lambda: self.check.run(generation))

    def _call(
        self,
        target: str,
        wait_ms: int,
    ) -> Result[StoreAnswer, StoreFailure]:
        self.call_count += 1
        client = _KeepAliveClient(self._address, wait_ms)
        limit_s = seconds(_MAX_CALL_MS + wait_ms)
        try:
            with Timeout(limit_s, TimeoutError('the answer never ends')):
                return _send_get(client, target)
        except _CALL_ERRORS as error:
            return Failure(StoreFailure(f'{type(error).__name__}: {error}'))
        finally:
            client.close()


def _send_get(
    client: HTTPClient,
    target: str,
) -> Result[StoreAnswer, StoreFailure]:
    response = client.get(target)
    body: bytes = response.read(_MAX_BODY_BYTES)
    status = response.status_code
    generation = parse_generation(response.get(GENERATION_HEADER, ''))
    if status == _HTTP_OK:
        return Success(StoreAnswer(body, generation))
    return Failure(
        StoreFailure(
            f'status {status}', status == _HTTP_GONE, generation=generation
        )
    )


def _decode_changes(answer: StoreAnswer) -> Result[Snapshot, StoreFailure]:
    found = decode_answer(answer.body, WatchEvents)
    return found.map(
        lambda each: Snapshot(
            each.at,
            tuple(map(read_item, each.events)),
            generation=answer.generation,
        )
    )


__all__ = ('StoreClient',)
