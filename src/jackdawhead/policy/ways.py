"""Ways from an entry to the upstreams, and what a request costs on each.

Load pattern: demand of zones and regions swings out of phase, and bytes between
regions are scarce and expensive. Work leaves a zone while that saves its caller
time, but large answers stay near.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import TYPE_CHECKING, Final

from .round_trips import RoundTrips
from .way_traffic import WayTraffic

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..config.model import Operation
    from .loads import RoutingQuery


class Way(StrEnum):
    """Kind of way from an entry to an upstream, the nearest first."""

    ZONE = 'zone'
    REGION = 'region'
    OTHER_REGION = 'other-region'


@dataclass(frozen=True, slots=True)
class WayPrice:
    """What a kind of way costs.

    :param round_trip_ms: round trip that is assumed until one is measured.
    :param least_targets: cost of any request, as a share of its target latency.
    :param bytes_per_target: size that costs as much as the target latency.
    """

    round_trip_ms: float
    least_targets: float
    bytes_per_target: float


# Round trips that are assumed until one is measured.
_REGION_MS: Final = 4.0
_OTHER_REGION_MS: Final = 20.0
# Costs of any request, as a share of its target latency. Smaller gains are
# within the error of the estimates.
_REGION_TARGETS: Final = 0.05
_OTHER_REGION_TARGETS: Final = 0.1
# Sizes that cost as much as the target latency. Bytes between regions cost
# about five times as much as those between zones.
_REGION_BYTES: Final = 320_000.0
_OTHER_REGION_BYTES: Final = 60_000.0
_REGION: Final = WayPrice(_REGION_MS, _REGION_TARGETS, _REGION_BYTES)
_OTHER_REGION: Final = WayPrice(
    _OTHER_REGION_MS, _OTHER_REGION_TARGETS, _OTHER_REGION_BYTES
)
_PRICES: Final = {Way.REGION: _REGION, Way.OTHER_REGION: _OTHER_REGION}
# A request waits no longer than this share of its target for a nearer upstream,
# so that the answer of a run that takes the other half is still in time.
_MAX_PRICE_TARGETS: Final = 0.5
# Costs below this share of the target are minor.
_MINOR_TARGETS: Final = 0.25


@dataclass(frozen=True, slots=True)
class WayCosts:
    """Costs of one request.

    :param cost_ms: time that the caller would wait to avoid the way, by zone.
    :param ways: kind of way, by zone.
    :param minor_ms: cost that is minor for the caller: of a way that an attempt
        to test an upstream may take, or of the risk at a healthy upstream.
    """

    cost_ms: Mapping[str, float]
    ways: Mapping[str, Way]
    minor_ms: float

    def to(self, zone: str) -> float:
        """Return the cost of the way to a zone.

        :param zone: zone of an upstream; one that isn't configured any more
            costs nothing.
        """
        return self.cost_ms.get(zone, 0)

    def way_to(self, zone: str) -> Way:
        """Return the kind of way to a zone.

        :param zone: zone of an upstream.
        """
        return self.ways.get(zone, Way.OTHER_REGION)


class Ways:
    """Kinds of way by zone, with the round trips measured on them.

    :param zone: zone of the entry.
    """

    def __init__(self, zone: str) -> None:
        self.round_trips = RoundTrips()
        self.traffic = WayTraffic()
        self._zone = zone
        self._ways = {zone: Way.ZONE}

    @property
    def has_regions(self) -> bool:
        """Whether some zone belongs to another region than the entry's."""
        return Way.OTHER_REGION in self._ways.values()

    def replace_regions(self, regions: Mapping[str, str]) -> None:
        """Apply the zones of a new configuration.

        :param regions: region of each zone.
        """
        own = regions.get(self._zone)
        self._ways = {
            zone: Way.REGION if region == own else Way.OTHER_REGION
            for zone, region in regions.items()
        }
        self._ways[self._zone] = Way.ZONE

    def way_to(self, zone: str) -> Way:
        """Return the kind of way to a zone.

        :param zone: zone of an upstream; a zone without a region is far.
        """
        return self._ways.get(zone, Way.OTHER_REGION)

    def with_costs(
        self, query: RoutingQuery, operation: Operation, byte_count: float
    ) -> RoutingQuery:
        """Return a query with the costs of the ways, if there are regions.

        :param query: properties of an attempt.
        :param operation: operation of the request.
        :param byte_count: expected size of request plus answer, 0 if unknown.
        """
        if not self.has_regions:
            return query
        target_ms = operation.target_ms or operation.deadline_ms
        cost_ms = {
            zone: self._cost_ms(zone, target_ms, byte_count, query.now_ms)
            for zone in self._ways
        }
        minor_ms = _MINOR_TARGETS * target_ms
        return replace(query, ways=WayCosts(cost_ms, self._ways, minor_ms))

    def _cost_ms(
        self, zone: str, target_ms: float, byte_count: float, now_ms: float
    ) -> float:
        way = self.way_to(zone)
        if way is Way.ZONE:
            return 0
        price = _PRICES[way]
        size_targets = byte_count / price.bytes_per_target
        targets = min(_MAX_PRICE_TARGETS, price.least_targets + size_targets)
        measured_ms = self.round_trips.measured_ms(zone, now_ms)
        round_trip_ms = (
            price.round_trip_ms if measured_ms is None else measured_ms
        )
        return round_trip_ms + targets * target_ms


__all__ = ('Way', 'WayCosts', 'Ways')
