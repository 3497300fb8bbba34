"""Reads configuration and upstreams from the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure, Result, Success

from ..clock import monotonic_ms
from ..logs import log_event
from ..node.platform_client import PlatformSource, Published
from ..node.platform_watch import CONFIG_KEY
from ..node.upstream_list import ListedUpstream, compose_vms
from ..policy.removals import DEFAULT_RETURN_MS, RemovalHold
from .document import decode_document
from .names import CONFIG_ITEM, UPSTREAM_ITEMS
from .records import decode_record
from .store import Snapshot, StoreClient, StoredItem, StoreFailure

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..config.settings import Address

_NO_CHANGE: Final = Success(None)
_VERSIONS_PER_REVISION: Final = 2


class StoreSource(PlatformSource):
    """Turns what the store holds into values of the project's own interface.

    :param address: IP number and port of the store.
    :param zones: regions by availability zone.
    :param stream_port: port of the node on each VM.
    :param lapse_ms: silence after which an upstream's entry may lapse.
    """

    def __init__(
        self,
        address: Address,
        zones: Mapping[str, str],
        stream_port: int,
        lapse_ms: float,
    ) -> None:
        self._client = StoreClient(address)
        self._config = _ConfigValue(self._client, zones)
        self._vms = _VmsValue(self._client, stream_port, lapse_ms)

    @property
    def calls(self) -> int:  # type: ignore[override]
        """Number of calls to the store."""
        return self._client.calls

    def read(
        self,
        key: str,
        after: int,
        wait_ms: int,
    ) -> Result[Published | None, str]:
        value = self._config if key == CONFIG_KEY else self._vms
        return value.read(wait_ms)


class _ConfigValue:
    """The configuration, an item of its own."""

    def __init__(self, client: StoreClient, zones: Mapping[str, str]) -> None:
        self._client = client
        self._zones = zones
        self._revision: int | None = None

    def read(self, wait_ms: int) -> Result[Published | None, str]:
        if self._revision is None:
            answered = self._client.get(CONFIG_ITEM)
        else:
            answered = self._client.watch(CONFIG_ITEM, self._revision, wait_ms)
        match answered:
            case Success(snapshot):
                self._revision = snapshot.revision
                return self._latest(snapshot)
            case Failure(failure):
                return self._failed(failure)
        raise AssertionError('a result is a success or a failure')

    def _failed(self, failure: StoreFailure) -> Result[Published | None, str]:
        if failure.is_history_lost:
            self._revision = None
            return _NO_CHANGE
        return Failure(failure.cause)

    def _latest(self, snapshot: Snapshot) -> Result[Published | None, str]:
        found = [
            each
            for each in snapshot.items
            if each.key == CONFIG_ITEM and not each.gone
        ]
        if not found:
            return _NO_CHANGE
        match decode_document(found[-1].value, self._zones):
            case Success(published):
                return Success(published)
            case Failure(cause):
                log_event('config-refused', subject=CONFIG_ITEM, cause=cause)
        return _NO_CHANGE


class _VmsValue:
    """The list of VMs, put together from one item for each upstream."""

    def __init__(
        self,
        client: StoreClient,
        stream_port: int,
        lapse_ms: float,
    ) -> None:
        self._client = client
        self._stream_port = stream_port
        self._hold = RemovalHold(lapse_ms, DEFAULT_RETURN_MS)
        self._revision: int | None = None
        self._upstreams: dict[str, ListedUpstream] = {}
        self._removed: set[str] = set()
        self._plain: list[dict[str, Any]] | None = None

    def read(self, wait_ms: int) -> Result[Published | None, str]:
        began_ms = monotonic_ms()
        held_ms = self._hold.left_ms(began_ms)
        if self._removed and held_ms:
            wait_ms = min(wait_ms, int(held_ms) + 1)
        answered = self._ask(wait_ms)
        now_ms = monotonic_ms()
        if isinstance(answered, Failure):
            failure: StoreFailure = answered.failure()
            if not failure.is_history_lost:
                self._hold.note_failure(began_ms)
                return Failure(failure.cause)
            self._revision = None
            answered = self._ask(wait_ms)
            if isinstance(answered, Failure):
                self._hold.note_failure(began_ms)
                return Failure(answered.failure().cause)
        self._hold.note_answer(now_ms)
        self._take(answered.unwrap())
        return self._publish(monotonic_ms())

    def _ask(self, wait_ms: int) -> Result[Snapshot, StoreFailure]:
        if self._revision is None:
            return self._client.range(UPSTREAM_ITEMS)
        return self._client.watch(UPSTREAM_ITEMS, self._revision, wait_ms)

    def _take(self, snapshot: Snapshot) -> None:
        if self._revision is None:
            present = {each.key for each in snapshot.items}
            self._removed.update(self._upstreams.keys() - present)
        self._revision = snapshot.revision
        for each in snapshot.items:
            self._take_item(each)

    def _take_item(self, stored: StoredItem) -> None:
        if stored.gone:
            self._removed.add(stored.key)
            return
        match decode_record(stored):
            case Success(upstream):
                self._take_upstream(stored.key, upstream)
            case Failure(cause):
                self._removed.add(stored.key)
                log_event('entry-refused', subject=stored.key, cause=cause)

    def _take_upstream(self, key: str, upstream: ListedUpstream) -> None:
        known = self._upstreams.get(key)
        if known is not None and upstream.born_ms < known.born_ms:
            log_event(
                'entry-refused',
                subject=key,
                cause=f'start {upstream.born_ms} is before {known.born_ms}',
            )
            return
        self._removed.discard(key)
        self._upstreams[key] = upstream

    def _publish(self, now_ms: float) -> Result[Published | None, str]:
        """Return the list if it is another one than before."""
        is_holding = self._hold.left_ms(now_ms) > 0
        if not is_holding:
            for gone in self._removed:
                self._upstreams.pop(gone, None)
            self._removed.clear()
        plain = compose_vms(self._upstreams.values(), self._stream_port)
        if plain == self._plain:
            return _NO_CHANGE
        self._plain = plain
        # The list after a hold is another one at the same revision.
        version = _VERSIONS_PER_REVISION * (self._revision or 0)
        return Success(Published(version + (not is_holding), plain))


__all__ = ('StoreSource',)
