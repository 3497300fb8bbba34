"""Reads the configuration and the upstreams from the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gevent.event import AsyncResult
from returns.result import Failure, Result, Success

from ..clock import monotonic_ms, wall_ms
from ..logs import log_event
from ..node.platform_client import PlatformSource, PublishedValue
from ..node.platform_watch import CONFIG_KEY, VMS_KEY
from ..node.refusal_log import RefusalLog
from ..node.listing_rules import ListingRules
from ..node.upstream_list import ListedUpstreams, Moment
from ..policy.list_order import (
    complete_revision,
    complete_version,
    is_provisional,
    provisional_version,
)
from ..policy.removal_grace_period import (
    DEFAULT_REREGISTRATION_MS,
    RemovalGracePeriod,
)
from .document_loader import DocumentLoader, decode_document
from .names import CONFIG_ITEM_KEY, TARGET_ADMISSION, UPSTREAM_KEY_PREFIX
from .store import StoreClient
from .store_position import StorePosition
from .store_types import Snapshot, StoredItem, StoreFailure
from .upstream_entries import decode_record

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ..blackboard import VmList

    from ..config.load import SourceLoader
    from ..config.settings import Address

_ALL_KEYS: Final = ''


class StoreSource(PlatformSource):
    """Provides the store's contents as a configuration and a VM list.

    One watch serves both: while a call to the store is in flight, a second
    reader waits for its result.

    :param address: IP address and port of the store.
    :param zones: regions by availability zone.
    :param stream_port: port on which the nodes of all VMs accept streams.
    :param expiry_ms: time without a heartbeat after which an upstream's entry
        may expire.
    :param node_ports: ports that the nodes listen on, the same on all VMs.
    :param admission: admission rule of all services.
    """

    def __init__(
        self,
        address: Address,
        zones: Mapping[str, str],
        stream_port: int,
        expiry_ms: float,
        node_ports: frozenset[int],
        admission: str = TARGET_ADMISSION,
    ) -> None:
        self._admission = admission
        self._client = StoreClient(address)
        # The entry expires, and its removal is passed on.
        self.proof_ms = expiry_ms + DEFAULT_REREGISTRATION_MS
        self._zones = zones
        self._upstreams = ListedUpstreams(
            stream_port,
            ListingRules(frozenset(zones), node_ports),
            RemovalGracePeriod(expiry_ms, DEFAULT_REREGISTRATION_MS),
            expiry_ms,
        )
        self._position = StorePosition(
            lambda: self._upstreams.list_in_force().generation
        )
        # Latest revision of the generation at which no removal was held back.
        self._complete_revision = 0
        self._poll_in_flight: AsyncResult | None = None
        self._pending: dict[str, PublishedValue] = {}
        self._refusals = RefusalLog()

    @property
    def call_count(self) -> int:  # type: ignore[override]
        """Number of calls made to the store."""
        return self._client.call_count

    def follow(self, list_in_force: Callable[[], VmList]) -> None:
        self._upstreams.list_in_force = list_in_force

    def is_provisional(self, version: int) -> bool:
        return is_provisional(version)

    def on_silence(self, note_silence: Callable[[], None]) -> None:
        self._client.check.on_silence = note_silence

    def config_loader(self) -> SourceLoader:
        return DocumentLoader(self._zones, self._admission)

    def read(
        self,
        key: str,
        after: int,
        wait_ms: int,
    ) -> Result[PublishedValue | None, str]:
        if key not in self._pending:
            cause = self._poll(wait_ms)
            if cause:
                return Failure(cause)
        return Success(self._pending.pop(key, None))

    def _poll(self, wait_ms: int) -> str:
        """Call the store, or wait for the call that is in flight.

        :returns: why the call failed, empty on success.
        """
        if self._poll_in_flight is not None:
            cause: str = self._poll_in_flight.get()
            return cause
        self._poll_in_flight = AsyncResult()
        cause = 'the call was cancelled'
        try:
            cause = self._fetch(wait_ms)
        finally:
            self._finish_poll(cause)
        return cause

    def _finish_poll(self, cause: str) -> None:
        finished_poll = self._poll_in_flight
        self._poll_in_flight = None
        if finished_poll is not None:
            finished_poll.set(cause)

    def _fetch(self, wait_ms: int) -> str:
        start_ms = monotonic_ms()
        grace_period = self._upstreams.grace_period
        result = self._call(grace_period.bounded_wait_ms(wait_ms, start_ms))
        if self._position.is_outdated(result):
            self._position.revision = None
            result = self._call(0)
        result = result.bind(self._position.refuse_earlier)
        match result:
            case Success(snapshot):
                grace_period.note_answer(monotonic_ms())
                return self._apply(snapshot)
            case Failure(failure):
                grace_period.note_failure(start_ms)
                if failure.is_unreadable:
                    # The next watch would have the same answer.
                    self._position.revision = None
                return str(failure.cause)
        raise AssertionError('a result is a success or a failure')

    def _call(self, wait_ms: int) -> Result[Snapshot, StoreFailure]:
        position = self._position
        if position.revision is None:
            return self._client.range(_ALL_KEYS)
        return self._client.watch(
            _ALL_KEYS, position.revision, wait_ms, position.generation
        )

    def _begin_generation(self, previous: int) -> None:
        """Start anew after the store has come back from an older copy.

        What the copy lacks is written again, and is kept until then, unless
        other readers have waited for that already.

        :param previous: latest generation that was known before.
        """
        self._complete_revision = 0
        generation = self._position.known_generation
        in_force = self._upstreams.list_in_force()
        is_complete = not is_provisional(in_force.version)
        if generation > in_force.generation or not is_complete:
            self._upstreams.grace_period.begin(monotonic_ms())
        log_event(
            'platform-generation', generation=generation, previous=previous
        )

    def _apply(self, snapshot: Snapshot) -> str:
        """Apply an answer.

        :returns: why the same call would have the same answer, empty if it
            would not.
        """
        known = self._position.revision
        previous = self._position.known_generation
        is_later = self._position.is_later(snapshot)
        revision = self._position.advance(snapshot)
        if previous and is_later:
            self._begin_generation(previous)
        if known is None and snapshot.is_complete:
            present = {each.key for each in snapshot.stored_items}
            self._upstreams.keep_only(present)
        for each in snapshot.stored_items:
            if each.key == CONFIG_ITEM_KEY:
                self._apply_config(each)
            elif each.key.startswith(UPSTREAM_KEY_PREFIX):
                self._apply_upstream(each)
        self._publish_vms(revision)
        if snapshot.stored_items and revision == known:
            return f'changes of no revision after {known}'
        return ''

    def _apply_config(self, item: StoredItem) -> None:
        if item.is_deleted:
            return
        match decode_document(item.value):
            case Success(published):
                self._pending[CONFIG_KEY] = published
            case Failure(cause):
                log_event('config-refused', subject=item.key, cause=cause)

    def _apply_upstream(self, item: StoredItem) -> None:
        if item.is_deleted:
            self._upstreams.remove(item.key)
            return
        cause = ''
        match decode_record(item):
            case Success(upstream):
                now = Moment(monotonic_ms(), wall_ms())
                cause = self._upstreams.put(item.key, upstream, now)
            case Failure(decode_error):
                cause = str(decode_error)
                self._upstreams.remove(item.key)
        if cause:
            self._refusals.note(item.key, item.value, cause)

    def _publish_vms(self, revision: int) -> None:
        vms = self._upstreams.changed_vms(monotonic_ms())
        is_complete = not self._upstreams.is_provisional
        if is_complete:
            self._complete_revision = revision
            version = complete_version(revision)
        else:
            base = self._base_revision()
            version = provisional_version(base)
            if revision < base:
                # What was read is older than the list in force.
                return
        if vms is None:
            return
        generation = self._position.known_generation
        self._pending[VMS_KEY] = PublishedValue(version, vms, generation)
        log_event(
            'vm-list-read',
            version=version,
            generation=generation,
            revision=revision,
            complete=is_complete,
            vms=len(vms),
        )

    def _base_revision(self) -> int:
        """Return the revision of the latest complete list that is known.

        :returns: a revision of the store's generation, 0 if none is known.
        """
        in_force = self._upstreams.list_in_force()
        if in_force.generation < self._position.known_generation:
            return self._complete_revision
        return max(self._complete_revision, complete_revision(in_force.version))


__all__ = ('StoreSource',)
