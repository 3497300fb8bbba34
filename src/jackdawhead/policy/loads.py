"""What an entry knows about the load of each upstream."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from .spells import SUSPECT_RISK, later_risk

if TYPE_CHECKING:
    from random import Random

    from .caution import TrialRule

_REPORT_LIFE_MS: Final = 1000
_SAMPLE_TRIES: Final = 8
_UNREACHABLE_WAIT_MS: Final = 1e9
_STALLED_MS: Final = 1000


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an upstream, as told by the node that owns its slots.

    :param wait_ms: expected wait of short work that arrives now.
    :param run_ms: average run time of short work.
    :param free: slots that are free.
    """

    wait_ms: float
    run_ms: float
    slots: int
    free: int


@dataclass(slots=True)
class UpstreamLoad:
    """Load of one upstream: the last report and what was sent since.

    :param home: VM of the node that owns the upstream's slots.
    :param in_flight: requests of this node that are not answered yet.
    :param sent_since_report: requests that the report does not count.
    :param avoid_until_ms: monotonic time until which it cannot be reached.
    :param answered_at_ms: monotonic time of the last answer.
    :param stalled_until_ms: monotonic time until which it seems to answer
        nothing.
    :param medians_ms: median run time of each operation, as far as known.
    :param slots: requests that it runs at once, 0 if the list does not say.
    :param risk: probability of a spell of failing, as its home has told.
    :param risk_at_ms: monotonic time at which that was heard.
    """

    upstream: str
    zone: str
    home: str
    report: LoadReport
    reported_at_ms: float = 0
    in_flight: int = 0
    sent_since_report: int = 0
    avoid_until_ms: float = 0
    answered_at_ms: float = 0
    stalled_until_ms: float = 0
    medians_ms: dict[str, float] = field(default_factory=dict)
    slots: int = 0
    risk: float = 0
    risk_at_ms: float | None = None

    def risk_now(self, now_ms: float) -> float:
        """Return the probability that work fails there, 0 if unknown.

        A low one does not grow old, since the home tells at once when a
        spell begins.

        :param now_ms: monotonic time.
        """
        if self.risk_at_ms is None or self.risk < SUSPECT_RISK:
            return self.risk
        return later_risk(self.risk, now_ms - self.risk_at_ms)

    def expected_wait_ms(self, now_ms: float) -> float:
        """Return the expected wait of a request that is sent now.

        A report that has grown old counts for nothing; then only this
        node's own requests in flight are known.

        :param now_ms: monotonic time.
        """
        if self.is_avoided(now_ms):
            return _UNREACHABLE_WAIT_MS
        report = self.report
        each_ms = report.run_ms / report.slots
        if now_ms - self.reported_at_ms > _REPORT_LIFE_MS:
            return max(0, self.in_flight + 1 - report.slots) * each_ms
        surplus = self.sent_since_report + 1 - report.free
        if report.free:
            return max(0, surplus) * each_ms
        return report.wait_ms + self.sent_since_report * each_ms

    def is_avoided(self, now_ms: float) -> bool:
        """Return whether it cannot be reached, or seems to have stopped.

        :param now_ms: monotonic time.
        """
        return now_ms < max(self.avoid_until_ms, self.stalled_until_ms)

    def is_idle(self, now_ms: float) -> bool:
        """Return whether two slots are free or more, as far as is known.

        :param now_ms: monotonic time.
        """
        has_slots = self.report.free - self.sent_since_report > 1
        return has_slots and not self.is_avoided(now_ms)

    def completion_ms(self, now_ms: float) -> float:
        """Return the expected wait and run time of short work sent now.

        The fewer slots are free, the likelier it is that another node takes
        them meanwhile; that risk is counted as a share of a run.

        :param now_ms: monotonic time.
        """
        report = self.report
        left = max(0, report.free - self.sent_since_report)
        risk_ms = report.run_ms / (1 + left) ** 2
        return self.expected_wait_ms(now_ms) + report.run_ms + risk_ms

    def note_sent(self) -> None:
        """Count a request sent to the upstream."""
        self.in_flight += 1
        self.sent_since_report += 1

    def note_done(self) -> None:
        """Count a request that ended, in whatever way."""
        self.in_flight = max(0, self.in_flight - 1)

    def note_overdue(self, sent_ms: float, now_ms: float) -> bool:
        """Take in that a request has taken longer than few runs do.

        If nothing at all has come back since it was sent, the upstream may
        have stopped: it is avoided until something comes back, or for a
        moment.

        :param sent_ms: monotonic time at which it was sent.
        :param now_ms: monotonic time.
        :returns: whether it is avoided from now on, and was not before.
        """
        if self.answered_at_ms >= sent_ms:
            return False
        was_avoided = self.is_avoided(now_ms)
        self.stalled_until_ms = now_ms + _STALLED_MS
        return not was_avoided

    def note_answer(self, now_ms: float) -> None:
        """Take in that the upstream has answered a request.

        A report alone shows nothing, as its home sends one, too, when it
        breaks off a run.

        :param now_ms: monotonic time.
        """
        self.answered_at_ms = now_ms
        self.stalled_until_ms = 0

    def note_report(self, report: LoadReport, now_ms: float) -> None:
        """Take a newer report.

        :param report: what the home says.
        :param now_ms: monotonic time of its arrival.
        """
        self.report = report
        self.reported_at_ms = now_ms
        self.sent_since_report = 0


@dataclass(frozen=True, slots=True)
class Pool:
    """Upstreams of a service that may be chosen for an operation.

    :param local: those in the zone of this node.
    :param remote: those in all other zones.
    """

    local: tuple[UpstreamLoad, ...] = ()
    remote: tuple[UpstreamLoad, ...] = ()

    def __len__(self) -> int:
        """Return the number of upstreams in all zones."""
        return len(self.local) + len(self.remote)


@dataclass(frozen=True, slots=True)
class RoutingQuery:
    """One choice to be made.

    :param now_ms: monotonic time.
    :param tried: upstreams that this request has been sent to before.
    :param failure_ms: cost of a failure, as time that a caller would wait to
        avoid it.
    :param way_bytes: size of request and answer, as far as known.
    :param trial: for what the request may be used, if anything.
    """

    now_ms: float
    tried: frozenset[str] = field(default_factory=frozenset)
    failure_ms: float = 0
    way_bytes: float = 0
    trial: TrialRule | None = None


def sample(
    members: tuple[UpstreamLoad, ...],
    count: int,
    tried: frozenset[str],
    rng: Random,
) -> list[UpstreamLoad]:
    """Return up to ``count`` random members that were not tried.

    The cost does not grow with the number of members, but for the rare
    case in which every draw hits a member that was tried.

    :param members: upstreams to draw from.
    """
    if not members:
        return []
    drawn: dict[str, UpstreamLoad] = {}
    for _ in range(min(_SAMPLE_TRIES, 2 * count)):
        member = members[int(rng.random() * len(members))]
        if member.upstream not in tried:
            drawn[member.upstream] = member
        if len(drawn) == count:
            break
    if drawn or not tried:
        return list(drawn.values())
    return [each for each in members if each.upstream not in tried][:count]


def least(
    members: list[UpstreamLoad],
    cost_ms: Callable[[UpstreamLoad], float],
) -> UpstreamLoad | None:
    """Return the member of least cost, or nothing.

    :param cost_ms: gives the cost of a member.
    """
    return min(members, key=cost_ms, default=None)


__all__ = (
    'LoadReport',
    'Pool',
    'RoutingQuery',
    'UpstreamLoad',
    'least',
    'sample',
)
