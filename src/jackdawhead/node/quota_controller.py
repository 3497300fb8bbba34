"""Enforces quotas at this node, and carries what nodes say about them.

Times are those since boot: a right to grant credit that was given for a moment
must also end while the VM is suspended.
"""

from __future__ import annotations

from collections import Counter
from math import inf
from typing import TYPE_CHECKING, Final

from gevent.event import Event

from ..clock import boot_ms, seconds
from ..logs import log_event
from ..outcome import Outcome
from ..policy.quota_gate import QuotaGate
from ..policy.quota_verdicts import Admission, QuotaRefusal
from ..reasons import Reason
from .entry.requests import Refused

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from ..blackboard import ActiveConfig, Blackboard, VmList
    from ..policy.quota_gate import QuotaMessage, QuotaUse
    from ..wire.messages import Message

# Whatever a message makes due is due later than this.
_TICK_MS: Final = 50.0
_MAX_WAIT_MS: Final = 400.0
_UNDECIDED_RETRY_AFTER_MS: Final = 300


class QuotaController:
    """Admits requests within the quotas of their organisations.

    :param vm: VM of this node.
    :param board: source of configuration and VM list.

    The attribute ``send`` sends a message to another node; ``is_list_current``
    tells whether the VM list is up to date; ``refused`` counts refusals by
    organisation.
    """

    def __init__(self, vm: str, board: Blackboard) -> None:
        self.send: Callable[[str, Message], None] | None = None
        self.is_list_current: Callable[[], bool] | None = None
        self.refused: Counter[str] = Counter()
        self._gate = QuotaGate(vm, boot_ms())
        self._changes: dict[str, Event] = {}
        self._has_work = Event()
        self._next_tick_ms: float = 0
        board.config.subscribe(self._follow_config)
        board.vm_list.subscribe(self._follow_list)

    def admit(
        self, organisation: str, request_id: str, left_ms: float
    ) -> Admission | Refused | None:
        """Admit or refuse a request, after a short wait for credit if need be.

        :param organisation: name of its organisation, empty if it has none.
        :param request_id: identity of the request, for the log.
        :param left_ms: time until its deadline.
        :returns: its credit, or the refusal, or ``None`` without a quota.
        """
        if not self._gate.has_quota(organisation):
            return None
        verdict = self._await_verdict(organisation, left_ms)
        if isinstance(verdict, Admission):
            return verdict
        self.refused[organisation] += 1
        log_event(
            'quota-refused',
            id=request_id,
            organisation=organisation,
            used=verdict.used,
            quota=int(self._gate.window_quota(organisation)),
            age_ms=verdict.age_ms,
            retry_after_ms=verdict.retry_after_ms,
        )
        return Refused(
            Outcome.NOT_RUN, Reason.OVER_QUOTA, verdict.retry_after_ms
        )

    def give_back(self, organisation: str, admission: Admission) -> None:
        """Take back the credit of a request that did not run.

        :param organisation: name of its organisation.
        :param admission: its credit.
        """
        self._gate.give_back(organisation, admission, boot_ms())

    def receive(self, vm: str, message: QuotaMessage) -> None:
        """Handle a message of another node.

        :param vm: VM of that node.
        :param message: the message.
        """
        self._note_list_age()
        self._gate.receive(vm, message, boot_ms())
        self._flush()
        self._wake(message.organisation)

    def note_unreachable(self, vm: str) -> None:
        """Record that a node can't be dialled.

        :param vm: VM of the node.
        """
        if not self._gate.is_idle:
            self._gate.note_unreachable(vm, boot_ms())
            self._flush_all()

    def note_link_lost(self, vm: str) -> None:
        """Record that a link has ended.

        :param vm: VM of the node at its other end.
        """
        if not self._gate.is_idle:
            self._gate.note_reset(vm, boot_ms())
            self._flush_all()

    def uses(self) -> Iterator[QuotaUse]:
        """Yield what this node knows of the use of quotas."""
        yield from self._gate.uses(boot_ms())

    def run(self) -> None:
        """Give up unanswered asks, forever."""
        while True:
            self._has_work.clear()
            now_ms = boot_ms()
            due_at_ms = self._gate.due_at_ms
            self._next_tick_ms = max(due_at_ms, now_ms + _TICK_MS)
            self._await_tick(now_ms)
            now_ms = boot_ms()
            if self._gate.due_at_ms <= now_ms:
                self._gate.tick(now_ms)
                self._flush_all()

    def _await_tick(self, now_ms: float) -> None:
        if self._next_tick_ms == inf:
            self._has_work.wait()
        else:
            self._has_work.wait(seconds(self._next_tick_ms - now_ms))

    def _await_verdict(
        self, organisation: str, left_ms: float
    ) -> Admission | QuotaRefusal:
        began_ms = boot_ms()
        self._gate.enter(organisation, began_ms)
        verdict: Admission | QuotaRefusal | None = None
        try:
            until_ms = began_ms + min(_MAX_WAIT_MS, left_ms)
            verdict = self._poll_verdict(organisation, until_ms)
        finally:
            # The caller may leave meanwhile.
            if verdict is None:
                self._gate.abandon(organisation)
        return verdict or QuotaRefusal(_UNDECIDED_RETRY_AFTER_MS, 0, -1)

    def _poll_verdict(
        self, organisation: str, until_ms: float
    ) -> Admission | QuotaRefusal | None:
        while True:
            self._note_list_age()
            verdict = self._gate.decide(organisation, boot_ms())
            self._flush()
            left_ms = until_ms - boot_ms()
            if verdict is not None or left_ms <= 0:
                return verdict
            change = self._changes.setdefault(organisation, Event())
            change.wait(seconds(left_ms))

    def _note_list_age(self) -> None:
        if self.is_list_current is not None:
            self._gate.note_list_age(is_current=self.is_list_current())

    def _wake(self, organisation: str) -> None:
        change = self._changes.pop(organisation, None)
        if change is not None:
            change.set()

    def _flush_all(self) -> None:
        self._flush()
        for organisation in tuple(self._changes):
            self._wake(organisation)

    def _flush(self) -> None:
        """Send what is to be sent, and see that the next tick is in time."""
        outgoing = self._gate.outbox
        if not outgoing:
            return
        self._gate.outbox = []
        for vm, message in outgoing:
            if self.send is not None:
                self.send(vm, message)
        if self._next_tick_ms - boot_ms() > _TICK_MS:
            self._has_work.set()

    def _follow_config(self, config: ActiveConfig) -> None:
        if config.loaded is not None:
            self._gate.replace_organisations(
                config.loaded.config.organisations, boot_ms()
            )
            self._flush_all()

    def _follow_list(self, vm_list: VmList) -> None:
        nodes = sorted(
            vm.name
            for vm in vm_list.vms.values()
            if vm.stream_port and not vm.leaving
        )
        self._gate.replace_nodes(tuple(nodes), boot_ms())
        self._flush_all()


__all__ = ('QuotaController',)
