"""Round trips to the zones, as measured on the links of an entry."""

from __future__ import annotations

from typing import Final

# A measured time is forgotten after this long without another one.
_LIFE_MS: Final = 30_000.0
# A shorter time than known is believed at once, as nothing but the way can
# shorten it. A longer one may be due to a busy node.
_LONGER_WEIGHT: Final = 0.1


class RoundTrips:
    """Decaying estimates of the round trip to each zone."""

    def __init__(self) -> None:
        self._known_ms: dict[str, float] = {}
        self._noted_at_ms: dict[str, float] = {}

    def note(self, zone: str, round_trip_ms: float, now_ms: float) -> None:
        """Add the time between a ping and its answer.

        :param zone: zone of the node that has answered.
        :param round_trip_ms: time between the ping and the answer.
        :param now_ms: monotonic time.
        """
        known_ms = self.measured_ms(zone, now_ms)
        if known_ms is not None and round_trip_ms > known_ms:
            change_ms = _LONGER_WEIGHT * (round_trip_ms - known_ms)
            round_trip_ms = known_ms + change_ms
        self._known_ms[zone] = round_trip_ms
        self._noted_at_ms[zone] = now_ms

    def measured_ms(self, zone: str, now_ms: float) -> float | None:
        """Return the round trip to a zone, None if it isn't known.

        :param zone: any zone.
        :param now_ms: monotonic time.
        """
        noted_at_ms = self._noted_at_ms.get(zone)
        if noted_at_ms is None or now_ms - noted_at_ms > _LIFE_MS:
            return None
        return self._known_ms[zone]


__all__ = ('RoundTrips',)
