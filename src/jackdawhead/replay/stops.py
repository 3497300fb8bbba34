"""Simulates planned stops of nodes, and their starts afterwards."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Final

from ..policy.home_stop import StopPhase, StopProgress
from ..policy.stopping import StopPlan

if TYPE_CHECKING:
    from collections.abc import Callable

    from .context import ReplayContext
    from .entries import ReplayEntry
    from .homes import ReplayUpstream
    from .views import EntryView

_POLL_MS: Final = 20
# One-way network delay of messages between nodes.
_HOP_MS: Final = 2.5


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A planned stop of a node.

    :param node: VM of the node.
    :param at_ms: virtual time of the stop signal.
    :param accept_ms: time from then until the listener for callers closes.
    :param drain_ms: longest time until the process ends.
    :param down_ms: time from the end of the process until it serves again.
    """

    node: str
    at_ms: float
    accept_ms: float
    drain_ms: float
    down_ms: float


class NodeRestart:
    """A stop of a node and the start after it.

    :param stop: when and how the node stops.
    :param entries: all entries by node.
    :param upstreams_on: returns the upstreams of a node's home.
    :param context: state shared by the whole replay.
    :param add_services: gives a new entry its services and upstreams.
    """

    def __init__(
        self,
        stop: PlannedStop,
        entries: dict[str, ReplayEntry],
        upstreams_on: Callable[[str], list[ReplayUpstream]],
        context: ReplayContext,
        add_services: Callable[[ReplayEntry], None],
    ) -> None:
        self._stop = stop
        self._entries = entries
        self._upstreams_on = upstreams_on
        self._timeline = context.timeline
        self._add_services = add_services
        self._is_stopping = False

    def begin(self) -> None:
        """Deliver the stop signal."""
        self._is_stopping = True
        stop = self._stop
        now_ms = self._timeline.now_ms
        plan = StopPlan(now_ms, now_ms + stop.accept_ms, now_ms + stop.drain_ms)
        for upstream in self._upstreams():
            upstream.stop.begin(plan)
        self._notify(lambda view: view.note_leaving(stop.node))
        self._timeline.schedule_at(
            plan.closes_at_ms, lambda: self._close_listener(plan)
        )

    def tell(self, view: EntryView) -> None:
        """Tell a new entry of the stop, as its first link to the home does.

        :param view: routing state of the entry.
        """
        if not self._is_stopping:
            return
        view.note_leaving(self._stop.node)
        for upstream in self._upstreams():
            if upstream.stop.refusing_ms(self._timeline.now_ms):
                upstream.report_to(view)

    def _upstreams(self) -> list[ReplayUpstream]:
        return self._upstreams_on(self._stop.node)

    def _notify(self, action: Callable[[EntryView], None]) -> None:
        own = self._entries[self._stop.node]
        for entry in self._entries.values():
            if entry is not own:
                self._timeline.schedule_after(
                    _HOP_MS, partial(action, entry.view)
                )

    def _close_listener(self, plan: StopPlan) -> None:
        self._entries[self._stop.node].is_listening = False
        self._poll(StopProgress(plan))

    def _poll(self, progress: StopProgress) -> None:
        # A closed entry gets no further requests.
        entry_active = bool(self._entries[self._stop.node].active)
        phase = progress.step(
            self._timeline.now_ms,
            older_active=entry_active,
            entry_active=entry_active,
            home_active=any(
                upstream.active_requests for upstream in self._upstreams()
            ),
        )
        if phase is StopPhase.ENDED:
            self._end()
            return
        if phase is not StopPhase.SERVING:
            self._finish_running()
        self._timeline.schedule_after(_POLL_MS, lambda: self._poll(progress))

    def _finish_running(self) -> None:
        for upstream in self._upstreams():
            if upstream.finish_running():
                for entry in self._entries.values():
                    upstream.report_to(entry.view)

    def _end(self) -> None:
        self._is_stopping = False
        for upstream in self._upstreams():
            upstream.stop_home()
        self._entries[self._stop.node].stop()
        self._notify(self._note_link_closed)
        self._timeline.schedule_after(self._stop.down_ms, self._start)

    def _note_link_closed(self, view: EntryView) -> None:
        view.mark_path(self._stop.node, is_up=False)
        view.avoid(self._stop.node)

    def _start(self) -> None:
        entry = self._entries[self._stop.node]
        for upstream in self._upstreams():
            upstream.start_home()
        self._add_services(entry)
        entry.is_listening = True
        for other in self._entries.values():
            other.view.note_restarted(self._stop.node)


__all__ = ('NodeRestart', 'PlannedStop')
