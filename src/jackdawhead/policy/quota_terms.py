"""What a quota allows, divided between the nodes that grant it.

The bound for all nodes together is a quarter and twenty requests above the
quota, in any window. The deputy, and an owner that is out of touch, grant only
from what the bound leaves beyond the owner's credit, so all may grant at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

WINDOW_MS: Final = 5000
# An entry may use credit for so long after its ask.
CREDIT_LIFE_MS: Final = 600
# Exceeds the life of credit and the time in which a VM list spreads.
HANDOVER_MS: Final = 3000
# The earlier process of a node that starts has granted credit until now.
START_MS: Final = CREDIT_LIFE_MS
_MS_PER_S: Final = 1000.0
_WINDOW_S: Final = WINDOW_MS / _MS_PER_S
_GRANT_MEMORY_S: Final = (WINDOW_MS + CREDIT_LIFE_MS) / _MS_PER_S
_OVERAGE: Final = 1.25
_SLACK: Final = 20.0
_EXTRA_BURST_S: Final = 0.2
_EXTRA_BURST: Final = 4.0
_DETACHED_PART: Final = 0.08
_CAPACITY_PART: Final = 0.3


@dataclass(frozen=True, slots=True)
class CreditShare:
    """What one node may grant.

    :param rate_per_s: requests per second.
    :param capacity: largest credit at once.
    """

    rate_per_s: float
    capacity: float

    def refill(self, elapsed_ms: float) -> float:
        """Return the credit that accrues in a time.

        :param elapsed_ms: the time in milliseconds.
        """
        return self.rate_per_s * elapsed_ms / _MS_PER_S

    def refill_ms(self, credit: float) -> float:
        """Return the time in which some credit accrues, in milliseconds.

        :param credit: number of requests.
        """
        return credit * _MS_PER_S / self.rate_per_s


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """Limits for one organisation.

    :param rate_per_s: requests per second of the quota.
    :param burst: requests beyond the rate that may come at once.
    """

    rate_per_s: float
    burst: float

    @property
    def window_quota(self) -> float:
        """Requests that the quota allows in one window."""
        return self.rate_per_s * _WINDOW_S + self.burst

    @property
    def bound(self) -> float:
        """Requests in one window that all nodes together never exceed."""
        return self.window_quota * _OVERAGE + _SLACK

    @property
    def owner(self) -> CreditShare:
        """Share of the owner."""
        extra = self.rate_per_s * _EXTRA_BURST_S + _EXTRA_BURST
        return CreditShare(self.rate_per_s, self.burst + extra)

    @property
    def deputy(self) -> CreditShare:
        """Share of the deputy."""
        return _share(self._beyond_owner * (1 - _DETACHED_PART))

    @property
    def detached(self) -> CreditShare:
        """Share of an owner whose VM list may be out of date."""
        return _share(self._beyond_owner * _DETACHED_PART)

    def retired(self, elapsed_ms: float) -> CreditShare:
        """Return the share of a former owner, beside one that begins empty.

        :param elapsed_ms: time since the list has named another owner.
        """
        spent = self.owner.refill(elapsed_ms)
        return CreditShare(0, max(0, self.owner.capacity - spent))

    @property
    def _beyond_owner(self) -> float:
        owner = self.owner
        accrued = owner.rate_per_s * _GRANT_MEMORY_S
        return self.bound - owner.capacity - accrued


def _share(requests: float) -> CreditShare:
    """Divide the requests of a window into rate and capacity."""
    capacity = max(1, requests * _CAPACITY_PART)
    return CreditShare((requests - capacity) / _GRANT_MEMORY_S, capacity)


__all__ = (
    'CREDIT_LIFE_MS',
    'HANDOVER_MS',
    'START_MS',
    'WINDOW_MS',
    'CreditShare',
    'QuotaTerms',
)
