"""Calls to the platform's store, which can only be read."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, TypeVar
from urllib.parse import quote

import msgspec
from gevent import socket
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError
from returns.result import Failure, Result, Success

from ..clock import seconds
from .store_types import (
    News,
    Page,
    Snapshot,
    StoreFailure,
    StoredItem,
)

if TYPE_CHECKING:
    from gevent.socket import socket as Socket

    from ..config.settings import Address

_OK: Final = 200
_GONE: Final = 410
_CALL_MS: Final = 2000
# A path that has gone silent shows within this time, also during a long wait.
_SILENT_PATH_MS: Final = 3000
_PROBE_S: Final = 1
_PROBES: Final = 2
# A page of items holds about a megabyte, in base64.
_MAX_BODY_BYTES: Final = 8_000_000
_FAILURES: Final = (OSError, HTTPParseError, msgspec.DecodeError, ValueError)


_DecodedT = TypeVar('_DecodedT')


class _ProbedPool(ConnectionPool):
    """Notices a silent path by keep-alive probes."""

    def after_connect(self, sock: Socket) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, figure in (
            (socket.TCP_NODELAY, 1),
            (socket.TCP_KEEPIDLE, _PROBE_S),
            (socket.TCP_KEEPINTVL, _PROBE_S),
            (socket.TCP_KEEPCNT, _PROBES),
            (socket.TCP_USER_TIMEOUT, _SILENT_PATH_MS),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, figure)


class _ProbedClient(HTTPClient):
    """One connection with keep-alive probes."""

    def __init__(self, address: Address, wait_ms: int) -> None:
        super().__init__(address.ip, address.port)
        # The library has no argument for the kind of pool.
        self._connection_pool = _ProbedPool(
            address.ip,
            address.port,
            address.ip,
            address.port,
            size=1,
            connection_timeout=seconds(_CALL_MS),
            network_timeout=seconds(_CALL_MS + wait_ms),
        )


class StoreClient:
    """Reads and watches items.

    :param address: IP number and port of the store.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self.calls = 0

    def range(self, prefix: str) -> Result[Snapshot, StoreFailure]:
        """Return all items whose keys begin with a prefix.

        Its revision is that of the first page, so that a watch from there
        on gives all changes made between the pages.

        :param prefix: of the keys.
        """
        found: list[StoredItem] = []
        target = f'/kv-range?prefix={quote(prefix, safe="")}'
        answered = self._call(target, 0).bind(_page)
        first: Page | None = None
        while isinstance(answered, Success):
            page = answered.unwrap()
            first = first or page
            found.extend(page.found)
            if not page.has_more or not page.found:
                return Success(Snapshot(first.at, tuple(found)))
            after = quote(page.found[-1].key, safe='')
            answered = self._call(f'{target}&after={after}', 0).bind(_page)
        return Failure(answered.failure())

    def watch(
        self,
        prefix: str,
        after: int,
        wait_ms: int,
    ) -> Result[Snapshot, StoreFailure]:
        """Return the changes after a revision, waiting for the first.

        :param prefix: of the keys.
        :param after: revision up to which all is known.
        :param wait_ms: longest wait.
        """
        where = f'/kv-watch?prefix={quote(prefix, safe="")}'
        target = f'{where}&after={after}&waitMs={max(1, wait_ms)}'
        return self._call(target, wait_ms).bind(_news)

    def _call(
        self,
        target: str,
        wait_ms: int,
    ) -> Result[bytes, StoreFailure]:
        self.calls += 1
        client = _ProbedClient(self._address, wait_ms)
        try:
            return _answered(client, target)
        except _FAILURES as error:
            return Failure(StoreFailure(f'{type(error).__name__}: {error}'))
        finally:
            client.close()


def _answered(
    client: HTTPClient,
    target: str,
) -> Result[bytes, StoreFailure]:
    response = client.get(target)
    body: bytes = response.read(_MAX_BODY_BYTES)
    status = response.status_code
    if status == _OK:
        return Success(body)
    return Failure(StoreFailure(f'status {status}', status == _GONE))


def _page(body: bytes) -> Result[Page, StoreFailure]:
    return _decode(body, Page)


def _news(body: bytes) -> Result[Snapshot, StoreFailure]:
    found = _decode(body, News)
    return found.map(lambda each: Snapshot(each.at, tuple(each.events)))


def _decode(
    body: bytes, kind: type[_DecodedT]
) -> Result[_DecodedT, StoreFailure]:
    try:
        return Success(msgspec.json.decode(body, type=kind))
    except msgspec.DecodeError as error:
        return Failure(StoreFailure(f'{kind.__name__}: {error}'))


__all__ = ('StoreClient',)
