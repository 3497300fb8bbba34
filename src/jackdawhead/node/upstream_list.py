"""Builds the VM list from individually listed upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from ..blackboard import VmList
from .listed_content import add_unlisted, compose_vms, vm_name, vms_in
from .listed_types import (
    BornMs,
    ColdMs,
    Instance,
    Ip,
    Name,
    Port,
    Revision,
    Slots,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..policy.removal_grace_period import RemovalGracePeriod
    from .listing_rules import ListingRules

# A start that is further in the future than clocks of VMs differ is no order:
# without this bound one entry would keep all later ones out.
_MAX_CLOCK_DIFFERENCE_MS: Final = 60_000


@dataclass(frozen=True, slots=True)
class ListedUpstream:
    """An upstream, as listed by the platform.

    The types bound what ``msgspec.convert`` accepts.

    :param instance: identity of the current start of the upstream.
    :param slots: number of requests that it runs at once.
    :param cold_ms: remaining time in milliseconds for which it is slow
        after its start.
    :param leaving: whether it accepts no new requests.
    :param born_ms: start time in milliseconds since 1970, 0 if unknown.
    :param created_revision: number that increases with each entry; of two
        upstreams at one address, the later one is running.
    """

    instance: Instance
    service: Name
    zone: Name
    ip: Ip
    port: Port
    slots: Slots
    cold_ms: ColdMs
    leaving: bool
    born_ms: BornMs
    created_revision: Revision


@dataclass(frozen=True, slots=True)
class Moment:
    """A time by both clocks.

    :param monotonic_ms: monotonic time in milliseconds.
    :param unix_ms: milliseconds since 1970 by the clock of this VM.
    """

    monotonic_ms: float
    unix_ms: float


@dataclass(frozen=True, slots=True)
class _Entry:
    """A listed upstream.

    :param start_ms: Unix time of its start, by which entries are ordered, 0 if
        unknown.
    """

    upstream: ListedUpstream
    start_ms: int

    @property
    def order(self) -> tuple[int, int, str]:
        """Sorts entries by the start of their upstreams."""
        upstream = self.upstream
        return self.start_ms, upstream.created_revision, upstream.instance


@dataclass(frozen=True, slots=True)
class _EarlierStart:
    """An entry of an earlier start than that of the entry before it.

    :param since_ms: monotonic time from which it has been the platform's last
        word.
    """

    entry: _Entry
    since_ms: float


class ListedUpstreams:
    """All listed upstreams by the key of their entry.

    :param stream_port: stream port of the node on each VM.
    :param rules: what entries must agree with.
    :param grace_period: delays removals until a missing entry can be trusted.
    :param expiry_ms: time within which a live upstream writes its entry again.

    The attribute ``list_in_force`` returns the list that this node follows,
    which may come from other readers, and ``is_provisional`` tells whether
    removals are held back from the list of the last call of `changed_vms`.
    """

    def __init__(
        self,
        stream_port: int,
        rules: ListingRules,
        grace_period: RemovalGracePeriod,
        expiry_ms: float,
    ) -> None:
        self.grace_period = grace_period
        self._stream_port = stream_port
        self.list_in_force: Callable[[], VmList] = VmList
        self._rules = rules
        self._expiry_ms = expiry_ms
        self._entries: dict[str, _Entry] = {}
        self._earlier_starts: dict[str, _EarlierStart] = {}
        self._pending_removals: set[str] = set()
        self._vms: list[dict[str, Any]] | None = None
        self._has_changed = True
        self.is_provisional = False

    def put(self, key: str, upstream: ListedUpstream, now: Moment) -> str:
        """Add or replace an entry.

        An entry of an earlier start than the known one is a late write of an
        upstream that is gone, and is held back. If it stays the platform's
        last word, the later start is gone, or was never one.

        :param key: key of the entry.
        :param upstream: the listed upstream.
        :param now: time at which the entry was read.
        :returns: why the entry is refused, empty if it is accepted.
        """
        objection = self._rules.objection(upstream)
        if objection:
            self.remove(key)
            return objection
        entry = _Entry(upstream, _believed_start_ms(upstream.born_ms, now))
        known = self._entries.get(key)
        self._pending_removals.discard(key)
        if known is not None and 0 < entry.start_ms < known.start_ms:
            earlier = self._earlier_starts.get(key)
            since_ms = earlier.since_ms if earlier else now.monotonic_ms
            self._earlier_starts[key] = _EarlierStart(entry, since_ms)
            return f'start {entry.start_ms} is before {known.start_ms}'
        self._replace(key, entry)
        return ''

    def remove(self, key: str) -> None:
        """Schedule the removal of an entry.

        :param key: key of the entry.
        """
        if key in self._entries:
            self._pending_removals.add(key)

    def keep_only(self, keys: set[str]) -> None:
        """Schedule the removal of all entries except the given ones.

        :param keys: keys of the entries to keep.
        """
        self._pending_removals.update(self._entries.keys() - keys)
        self._has_changed = True

    def changed_vms(self, now_ms: float) -> list[dict[str, Any]] | None:
        """Apply due removals and return the VM list if it has changed.

        A list is also returned when it is no longer provisional, since other
        nodes may have kept an earlier complete list, and when entries have
        changed and the list in force is another one.

        :param now_ms: monotonic time in milliseconds.
        :returns: the list, or ``None`` if it is unchanged.
        """
        was_provisional = self.is_provisional
        if self.grace_period.remaining_ms(now_ms):
            self._apply_removals(filter(self._has_left, self._pending_removals))
            vms = self._listed_vms()
            vms, has_unlisted = add_unlisted(vms, self.list_in_force())
            self.is_provisional = has_unlisted or bool(self._pending_removals)
        else:
            self._apply_removals(self._pending_removals)
            self._apply_earlier_starts(now_ms)
            self.is_provisional = False
            if not (self._has_changed or was_provisional):
                return None
            vms = self._listed_vms()
        self._has_changed = False
        is_completed = was_provisional and not self.is_provisional
        if self._is_known(vms) and not is_completed:
            return None
        self._vms = vms
        return vms

    def _listed_vms(self) -> list[dict[str, Any]]:
        entries = sorted(self._entries.values(), key=lambda each: each.order)
        listed = (entry.upstream for entry in entries)
        return compose_vms(listed, self._stream_port)

    def _is_known(self, vms: list[dict[str, Any]]) -> bool:
        """Return whether a list is the last one and that in force.

        The one in force may come from a reader that was lost before it could
        tell that an upstream has left again.
        """
        in_force = self.list_in_force()
        is_in_force = not in_force.version or vms == vms_in(in_force)
        return is_in_force and vms == self._vms

    def _replace(self, key: str, entry: _Entry) -> None:
        self._has_changed = self._has_changed or entry != self._entries.get(key)
        self._entries[key] = entry
        self._earlier_starts.pop(key, None)

    def _apply_removals(self, keys: Iterable[str]) -> None:
        for gone in tuple(keys):
            self._entries.pop(gone)
            self._earlier_starts.pop(gone, None)
            self._pending_removals.discard(gone)
            self._has_changed = True

    def _has_left(self, key: str) -> bool:
        """Return whether the list in force no longer has an upstream.

        Other readers, which the platform served meanwhile, have seen it leave.
        """
        vm_list = self.list_in_force()
        if not vm_list.version:
            return False
        upstream = self._entries[key].upstream
        vm = vm_list.vms.get(vm_name(upstream.ip))
        if vm is None:
            return True
        details = vm.upstream_details(upstream.service)
        return details.leaving or details.instance != upstream.instance

    def _apply_earlier_starts(self, now_ms: float) -> None:
        due_since_ms = now_ms - self._expiry_ms
        for key, earlier in tuple(self._earlier_starts.items()):
            if earlier.since_ms <= due_since_ms:
                self._replace(key, earlier.entry)


def _believed_start_ms(born_ms: int, now: Moment) -> int:
    """Return the start of an upstream, 0 if no clock can have shown it."""
    is_possible = born_ms <= now.unix_ms + _MAX_CLOCK_DIFFERENCE_MS
    return born_ms if is_possible else 0


__all__ = (
    'ListedUpstream',
    'ListedUpstreams',
    'Moment',
)
