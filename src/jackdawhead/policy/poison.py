"""Quarantine of poison requests, which crash each upstream that runs them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from itertools import islice
from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from ..config.model import PoisonPolicy

_MAX_FINGERPRINTS: Final = 4096
# Fingerprints whose crashes are announced to another node.
_MAX_ANNOUNCED: Final = 64


def fingerprint_of(
    service: str,
    method: str,
    target: str,
    body: bytes,
) -> int:
    """Return the fingerprint of a request, a 64-bit XXH3 hash.

    :param service: name of the service.
    :param method: HTTP method.
    :param target: path and query.
    :param body: part of the body that is known before sending.
    """
    text = f'{service}|{method}|{target}|'.encode()
    return xxhash.xxh3_64_intdigest(text + body)


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of an upstream with a request in flight.

    :param fingerprint: fingerprint of the request.
    :param upstream: identity of the upstream.
    :param age_ms: time since the crash.
    """

    fingerprint: int
    upstream: str
    age_ms: float


@dataclass(slots=True)
class _Suspect:
    """Crash times by upstream, and end of the quarantine, of a fingerprint."""

    crashed_at_ms: dict[str, float] = field(default_factory=dict)
    until_ms: float = 0


class PoisonTable:
    """Counts crashes by fingerprint, and quarantines requests that cause many.

    All requests in flight at a crash are suspects. A request that succeeds
    later is cleared, so that harmless requests, even frequent ones, are not
    refused. At most 4096 suspects are kept; the oldest are dropped.

    :param policy: number of crashes before a quarantine, and its length.
    """

    def __init__(self, policy: PoisonPolicy) -> None:
        self._policy = policy
        self._suspects: OrderedDict[int, _Suspect] = OrderedDict()

    def replace_policy(self, policy: PoisonPolicy) -> None:
        """Apply a new policy; counted crashes are kept.

        :param policy: number of crashes before a quarantine, and its length.
        """
        self._policy = policy

    def note_crash(
        self,
        fingerprint: int,
        upstream: str,
        at_ms: float,
    ) -> bool:
        """Record that an upstream crashed with this request in flight.

        :param fingerprint: fingerprint of the request.
        :param upstream: identity of the upstream.
        :param at_ms: monotonic time of the crash.
        :returns: whether this crash puts the fingerprint in quarantine.
        """
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > _MAX_FINGERPRINTS:
            self._suspects.popitem(last=False)
        suspect.crashed_at_ms[upstream] = at_ms
        if suspect.until_ms > at_ms:
            return False
        if len(suspect.crashed_at_ms) < self._policy.max_crashes:
            return False
        latest_ms = max(suspect.crashed_at_ms.values())
        suspect.until_ms = latest_ms + self._policy.quarantine_ms
        return True

    def recent_crashes(self, now_ms: float) -> tuple[Crash, ...]:
        """Return the crashes of the 64 most recent suspects.

        :param now_ms: monotonic time.
        """
        latest = islice(reversed(self._suspects.items()), _MAX_ANNOUNCED)
        return tuple(
            Crash(fingerprint, upstream, now_ms - at_ms)
            for fingerprint, suspect in latest
            for upstream, at_ms in suspect.crashed_at_ms.items()
        )

    def is_expired(self, age_ms: float) -> bool:
        """Return whether a crash is too old to count.

        :param age_ms: time since the crash.
        """
        return age_ms >= self._policy.quarantine_ms

    def note_success(self, fingerprint: int) -> None:
        """Clear a request that an upstream has completed.

        :param fingerprint: fingerprint of the request.
        """
        if self._suspects and fingerprint in self._suspects:
            self._suspects.pop(fingerprint)

    @property
    def suspects(self) -> int:
        """Number of suspected fingerprints."""
        return len(self._suspects)

    def has_crash(self, fingerprint: int, upstream: str) -> bool:
        """Return whether this crash has been counted.

        :param fingerprint: fingerprint of the request.
        :param upstream: identity of the upstream.
        """
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and upstream in suspect.crashed_at_ms

    def crashed_upstreams(self, fingerprint: int) -> set[str]:
        """Return the upstreams that crashed with this request in flight.

        The request is next sent to others, since a second crash of the same
        upstream would be no new evidence.

        :param fingerprint: fingerprint of the request.
        """
        suspect = self._suspects.get(fingerprint) if self._suspects else None
        return set(suspect.crashed_at_ms) if suspect else set()

    def quarantine_remaining_ms(self, fingerprint: int, now_ms: float) -> int:
        """Return the remaining quarantine of a request, 0 if there is none.

        :param fingerprint: fingerprint of the request.
        :param now_ms: monotonic time.
        """
        if not self._suspects:
            return 0
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return 0
        return max(0, int(suspect.until_ms - now_ms))

    def release_due(self, now_ms: float) -> tuple[int, ...]:
        """Remove ended quarantines and return their fingerprints.

        :param now_ms: monotonic time.
        """
        due = tuple(
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if 0 < suspect.until_ms <= now_ms
        )
        for fingerprint in due:
            self._suspects.pop(fingerprint)
        return due


__all__ = ('Crash', 'PoisonTable', 'fingerprint_of')
