"""Tells the watches of the platform when this node reads for its zone."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent
from gevent.event import Event

from ..clock import monotonic_ms, seconds
from ..logs import log_event
from ..policy.reader_duty import REPORT_INTERVAL_MS, ReaderDuty, ReaderReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..blackboard import Blackboard
    from .identity import Identity

# A watch without a change is answered after this time.
LONG_POLL_MS: Final = 2000
# Time for that answer to arrive.
_ANSWER_DELAY_MS: Final = 700
# Consecutive calls without an answer after which a reader reports that it
# doesn't read; one may have been lost on the way.
_MAX_FAILED_CALLS: Final = 2
# Several reports may be lost.
_IN_TOUCH_MS: Final = 3000


class ReaderController:
    """Follows the readers of the zone, and reports while this node is one.

    :param identity: VM and process start of this node.
    :param zone: zone of this node.
    :param board: source of the VM list and the planned stop.

    The attribute ``send_report`` sends a report to other nodes.
    """

    def __init__(
        self, identity: Identity, zone: str, board: Blackboard
    ) -> None:
        self._identity = identity
        self._board = board
        self._duty = ReaderDuty(identity.vm, zone, monotonic_ms())
        self._is_due = Event()
        self._is_watching = False
        self._answered_at_ms: float | None = None
        self._failed_calls = 0
        self._reported_at_ms: float = 0
        self._heard_at_ms = monotonic_ms()
        self._report = ReaderReport(identity.vm, identity.incarnation, 0, False)
        self.send_report: Callable[[ReaderReport], None] | None = None
        board.vm_list.subscribe(self._duty.replace_list)

    def must_read(self) -> bool:
        """Return whether this node reads the platform.

        :returns: the answer of the last check, for which ``await_duty`` waits.
        """
        return bool(self._is_due.is_set())

    def await_duty(self, timeout_ms: float) -> bool:
        """Wait until this node must read the platform.

        :param timeout_ms: longest wait.
        :returns: whether it must, false after the timeout.
        """
        return bool(self._is_due.wait(seconds(timeout_ms)))

    @property
    def is_reading(self) -> bool:
        """Whether the platform answers this node."""
        return self._is_answered and self._failed_calls < _MAX_FAILED_CALLS

    @property
    def is_in_touch(self) -> bool:
        """Whether this node reads the platform or hears of one that tries."""
        age_ms = monotonic_ms() - self._heard_at_ms
        return self._is_answered or age_ms <= _IN_TOUCH_MS

    def begin(self) -> None:
        """Record that the watches have begun; no report is sent before.

        A node that starts reads the platform once and watches it only later.
        """
        self._is_watching = True

    def note_answer(self) -> None:
        """Record that the platform has answered with all changes so far."""
        self._answered_at_ms = monotonic_ms()
        self._failed_calls = 0

    def note_failure(self) -> None:
        """Record that a call to the platform has failed."""
        self._failed_calls += 1

    def note_silence(self) -> None:
        """Record that the platform no longer answers, and report it."""
        self._failed_calls = _MAX_FAILED_CALLS
        self.check()

    def note_report(self, report: ReaderReport) -> bool:
        """Record a report of another node.

        :param report: the report.
        :returns: whether it is news, to be passed on.
        """
        now_ms = monotonic_ms()
        is_news = self._duty.note(report, now_ms)
        if is_news:
            self._heard_at_ms = now_ms
        if is_news and not report.is_reading:
            # Whoever takes over begins at once.
            self.check()
        return is_news

    def relay_count(self, linked: int) -> int:
        """Return to how many nodes this node passes a report that is news.

        :param linked: nodes of the zone that it has links to.
        """
        return self._duty.relay_count(linked)

    def run(self) -> None:
        """Follow the duty and report on it, forever."""
        while True:
            gevent.sleep(seconds(self._duty.check_interval_ms(monotonic_ms())))
            self.check()

    def check(self) -> None:
        """Compare the duty with that of the last check."""
        is_due = self._duty.must_read(monotonic_ms())
        if is_due is not self.must_read():
            log_event('platform-reader', due=is_due)
            if is_due:
                self._is_due.set()
            else:
                self._is_due.clear()
        if is_due and self._is_watching and not self._board.leaving:
            self._report_if_due()

    @property
    def _is_answered(self) -> bool:
        """Whether the platform has answered this node lately."""
        if self._answered_at_ms is None:
            return False
        age_ms = monotonic_ms() - self._answered_at_ms
        return age_ms <= LONG_POLL_MS + _ANSWER_DELAY_MS

    def _report_if_due(self) -> None:
        now_ms = monotonic_ms()
        is_changed = self.is_reading is not self._report.is_reading
        is_late = now_ms - self._reported_at_ms >= REPORT_INTERVAL_MS
        if self.send_report is None or not (is_changed or is_late):
            return
        self._reported_at_ms = now_ms
        self._report = ReaderReport(
            self._identity.vm,
            self._identity.incarnation,
            self._report.serial + 1,
            self.is_reading,
        )
        self.send_report(self._report)


__all__ = ('LONG_POLL_MS', 'ReaderController')
