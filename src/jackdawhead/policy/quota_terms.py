"""What a quota allows, split between those that may grant credit.

The bound for all nodes together is a quarter and twenty requests above the
quota, in any window. Part of this margin pays for credit that is used late and
for changes of the node that grants; the rest is divided into fixed reserves.
They need no message, so the sum holds through any partition.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import floor
from typing import Final

WINDOW_MS: Final = 5000
# An entry may use credit for so long after its ask.
CREDIT_LIFE_MS: Final = 600
# What was granted for longer has left the window.
GRANT_MEMORY_MS: Final = WINDOW_MS + CREDIT_LIFE_MS
LEASE_MS: Final = 1500
# A claim whose votes take longer is not counted.
CLAIM_TIMEOUT_MS: Final = 250
ELECTORS: Final = 5
_MS_PER_S: Final = 1000.0
_WINDOW_S: Final = WINDOW_MS / _MS_PER_S
_GRANT_MEMORY_S: Final = GRANT_MEMORY_MS / _MS_PER_S
_OVERAGE: Final = 1.25
_SLACK: Final = 20.0
_EXTRA_BURST_S: Final = 0.2
_EXTRA_BURST: Final = 5.0
# Credit of a new holder that does not know what was granted before.
_START_CREDIT: Final = 1.5
# Holders that can follow each other while a grant is remembered.
_MAX_HOLDERS: Final = GRANT_MEMORY_MS // (LEASE_MS - CLAIM_TIMEOUT_MS) + 1


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
    def capacity(self) -> float:
        """Largest credit that the holder of the mandate has at once."""
        extra = self.rate_per_s * _EXTRA_BURST_S + _EXTRA_BURST
        return self.burst + extra

    @property
    def start_credit(self) -> float:
        """Credit of a holder that does not know what was granted before."""
        return _START_CREDIT

    @property
    def reserve(self) -> int:
        """Requests in a window that are granted without the mandate."""
        granted = (
            self.capacity
            + self.rate_per_s * _GRANT_MEMORY_S
            + _MAX_HOLDERS * _START_CREDIT
        )
        return max(0, floor(self.bound - granted))

    def elector_reserve(self, rank: int, electors: int) -> int:
        """Return an elector's part of the reserve.

        :param rank: rank of the elector, from 0.
        :param electors: number of electors, at least 1.
        """
        return _part(self.reserve - self.reserve // 2, rank, electors)

    def node_reserve(self, rank: int, nodes: int) -> int:
        """Return the part of the reserve that an entry uses on its own.

        :param rank: rank of its node for this organisation, from 0.
        :param nodes: number of nodes, at least 1.
        """
        return _part(self.reserve // 2, rank, nodes)

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


def _part(total: int, rank: int, count: int) -> int:
    """Return one part of a number that is divided as evenly as it can be."""
    whole, rest = divmod(total, count)
    return whole + (rank < rest)


__all__ = (
    'CLAIM_TIMEOUT_MS',
    'CREDIT_LIFE_MS',
    'ELECTORS',
    'GRANT_MEMORY_MS',
    'LEASE_MS',
    'WINDOW_MS',
    'QuotaTerms',
)
