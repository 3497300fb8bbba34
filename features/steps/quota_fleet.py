"""A small fleet of the real decisions on quotas, on a simulated network."""

from __future__ import annotations

from functools import partial
from heapq import heappop, heappush
from itertools import count
from math import inf
from typing import TYPE_CHECKING, Final

from jackdawhead.config.organisation import Organisation
from jackdawhead.policy.quota_gate import QuotaGate
from jackdawhead.policy.quota_verdicts import QuotaRefusal

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from jackdawhead.policy.quota_verdicts import Admission
    from jackdawhead.wire.messages import Message

ORGANISATION: Final = 'acme'
WINDOW_MS: Final = 5000
# The platform drops a node that is lost only after some heartbeats.
_UNLISTED_AFTER_MS: Final = 4500
_LIST_SPREAD_MS: Final = 1000
# Reports of the readers of the platform are missed for so long.
_IN_TOUCH_MS: Final = 3000


def rule_bound(rate_per_s: float, burst: float) -> float:
    """Return the most requests that the rule allows in a window."""
    return (rate_per_s * WINDOW_MS / 1000 + burst) * 1.25 + 20


class SimulatedFleet:
    """Nodes that exchange messages with random delays and losses.

    :param size: number of nodes.
    :param rng: source of randomness.
    :param delay_ms: longest delay of a message.
    :param loss: share of messages that are lost.
    """

    def __init__(
        self, size: int, rng: Random, delay_ms: float, loss: float = 0
    ) -> None:
        self.names = tuple(f'vm-{number}' for number in range(size))
        self.rng = rng
        self.now_ms: float = 0
        self.admitted: list[float] = []
        self.refused: list[tuple[float, int]] = []
        self.refused_by: list[str] = []
        self.waits_ms: list[float] = []
        self.sent: list[tuple[float, str, str, Message]] = []
        self.dead: set[str] = set()
        self.unlisted: set[str] = set()
        self.side_of: dict[str, int] = {}
        self.unrun_share: float = 0
        self.unrun_delay_ms: float = 1000
        self._organisations: dict[str, Organisation] = {}
        self._delay_ms = delay_ms
        self._loss = loss
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._waiting: dict[str, list[float]] = {}
        self._gates: dict[str, QuotaGate] = {}
        self._tick_at_ms: dict[str, float] = {}
        for name in self.names:
            self._start(name, self.names)

    def gate(self, name: str) -> QuotaGate:
        """Return the decisions of a node."""
        return self._gates[name]

    def set_quota(
        self, rate_per_s: float, burst: float, spread_ms: float = 0
    ) -> None:
        """Put a quota in force, at each node after a random time."""
        quota = Organisation(ORGANISATION, frozenset(), None, rate_per_s, burst)
        self._organisations = {ORGANISATION: quota}
        for name in self.names:
            self.at(
                self.now_ms + self.rng.uniform(0, spread_ms),
                partial(self._configure, name),
            )

    def at(self, time_ms: float, action: Callable[[], None]) -> None:
        """Do something later."""
        heappush(self._events, (time_ms, next(self._order), action))

    def run_until(self, end_ms: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= end_ms:
            time_ms, _, action = heappop(self._events)
            self.now_ms = max(self.now_ms, time_ms)
            action()
        self.now_ms = end_ms

    def send_requests(
        self, rate_per_s: float, duration_ms: float, skew: float = 0
    ) -> None:
        """Let callers send at a mean rate, spread over the live nodes.

        :param skew: exponent of a Zipf distribution over the nodes.
        """
        weights = [(rank + 1) ** -skew for rank in range(len(self.names))]
        time_ms = self.now_ms
        end_ms = self.now_ms + duration_ms
        while True:
            time_ms += self.rng.expovariate(rate_per_s / 1000)
            if time_ms >= end_ms:
                return
            name = self.rng.choices(self.names, weights)[0]
            self.at(time_ms, partial(self._request, name))

    def kill(self, name: str) -> None:
        """End a process."""
        self.dead.add(name)
        self._waiting[name] = []
        self.at(self.now_ms + _UNLISTED_AFTER_MS, self._publish_list)

    def restart(self, name: str) -> None:
        """Start a killed process anew."""
        if name in self.dead:
            self.dead.discard(name)
            self._start(name, self._listed())
            self._configure(name)
            self._publish_list()

    def retire(self, name: str) -> None:
        """Let a node leave as planned."""
        self.unlisted.add(name)
        self._publish_list()

    def isolate(self, name: str) -> None:
        """Cut a node off, which keeps its list while the others drop it."""
        self.cut({name: 1})
        gate = self._gates[name]
        self.at(
            self.now_ms + _IN_TOUCH_MS,
            partial(gate.note_list_age, is_current=False),
        )
        self.at(self.now_ms + _UNLISTED_AFTER_MS, partial(self.retire, name))

    def cut(self, groups: dict[str, int]) -> None:
        """Let nodes reach only those with the same number, 0 by default."""
        self.side_of = groups
        self._publish_list()

    def owners(self) -> list[str]:
        """Return the live nodes that grant the quota now."""
        return [
            name
            for name in self.names
            if name not in self.dead
            and self._gates[name].is_owner(ORGANISATION, self.now_ms)
        ]

    def most_in_a_window(self, since_ms: float = 0) -> int:
        """Return the most admissions in any window."""
        times = [each for each in self.admitted if each >= since_ms]
        start = 0
        most = 0
        for end, time_ms in enumerate(times):
            while times[start] <= time_ms - WINDOW_MS:
                start += 1
            most = max(most, end - start + 1)
        return most

    def _start(self, name: str, nodes: tuple[str, ...]) -> None:
        self._gates[name] = QuotaGate(name, self.now_ms)
        self._gates[name].replace_nodes(nodes, self.now_ms)
        self._waiting[name] = []
        self._tick_at_ms.pop(name, None)

    def _configure(self, name: str) -> None:
        gate = self._gates[name]
        gate.replace_organisations(self._organisations, self.now_ms)
        self._settle(name)

    def _listed(self) -> tuple[str, ...]:
        gone = self.dead | self.unlisted
        return tuple(name for name in self.names if name not in gone)

    def _publish_list(self) -> None:
        for name in self.names:
            self.at(
                self.now_ms + self.rng.uniform(0, _LIST_SPREAD_MS),
                partial(self._relist, name),
            )

    def _relist(self, name: str) -> None:
        if name not in self.dead and not self.side_of.get(name):
            gate = self._gates[name]
            gate.replace_nodes(self._listed(), self.now_ms)
            self._settle(name)

    def _request(self, name: str) -> None:
        if name in self.dead:
            return
        gate = self._gates[name]
        if not gate.has_quota(ORGANISATION):
            self.admitted.append(self.now_ms)
            return
        gate.enter(ORGANISATION, self.now_ms)
        self._waiting[name].append(self.now_ms)
        self._settle(name)

    def _settle(self, name: str) -> None:
        """Decide what waits, send what is due, and plan the next tick."""
        gate = self._gates[name]
        waiting = self._waiting[name]
        while waiting:
            verdict = gate.decide(ORGANISATION, self.now_ms)
            if verdict is None:
                break
            self._finish(name, verdict, waiting.pop(0))
        self._send_all(name)
        due_at_ms = gate.due_at_ms
        if due_at_ms < self._tick_at_ms.get(name, inf):
            self._tick_at_ms[name] = due_at_ms
            self.at(due_at_ms, partial(self._tick, name, gate))

    def _tick(self, name: str, gate: QuotaGate) -> None:
        if self._gates[name] is not gate or name in self.dead:
            return
        self._tick_at_ms.pop(name, None)
        gate.tick(self.now_ms)
        self._settle(name)

    def _finish(
        self,
        name: str,
        verdict: Admission | QuotaRefusal,
        arrived_ms: float,
    ) -> None:
        self.waits_ms.append(self.now_ms - arrived_ms)
        if isinstance(verdict, QuotaRefusal):
            self.refused.append((self.now_ms, verdict.retry_after_ms))
            self.refused_by.append(name)
        elif self.rng.random() < self.unrun_share:
            gate = self._gates[name]
            self.at(
                self.now_ms + self.rng.uniform(0, self.unrun_delay_ms),
                lambda: gate.give_back(ORGANISATION, verdict, self.now_ms),
            )
        else:
            self.admitted.append(self.now_ms)

    def _send_all(self, source: str) -> None:
        gate = self._gates[source]
        outgoing = gate.outbox
        gate.outbox = []
        for target, message in outgoing:
            self.sent.append((self.now_ms, source, target, message))
            if self.rng.random() >= self._loss:
                self.at(
                    self.now_ms + self.rng.uniform(1, self._delay_ms),
                    partial(self._deliver, source, gate, target, message),
                )

    def _deliver(
        self, source: str, sender: QuotaGate, target: str, message: Message
    ) -> None:
        if self.side_of.get(source, 0) != self.side_of.get(target, 0):
            return
        if target in self.dead:
            if self._gates[source] is sender and source not in self.dead:
                sender.note_unreachable(target, self.now_ms)
                self._settle(source)
            return
        self._gates[target].receive(source, message, self.now_ms)
        self._settle(target)
