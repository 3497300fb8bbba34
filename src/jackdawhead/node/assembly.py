"""Builds the controllers of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..audit import AuditTrail
from ..blackboard import Blackboard
from .config_controller import ConfigController
from .entry.attempts import PendingAttempts
from .entry.crash_tracker import CrashTracker
from .entry.routing import RoutingController
from .home.controller import HomeController
from .identity import new_identity
from .membership import MembershipController
from .parts import NodeParts
from .pause_watch import PauseWatch
from .quota_controller import QuotaController
from .reader_controller import ReaderController
from .tickets.store import TicketStore
from .trace_recorder import TraceRecorder

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from ..config.settings import NodeSettings
    from ..wire.messages import UpstreamStatus


def build_parts(
    settings: NodeSettings,
    rng: Random,
    on_drain: Callable[[str, bool], None],
    on_crash: Callable[[str, int, str], None],
    on_status: Callable[[UpstreamStatus], None],
) -> NodeParts:
    """Return the controllers of a node, which share one blackboard.

    :param settings: addresses, zone and keys.
    :param rng: source of randomness for all decisions.
    :param on_drain: called with the upstream and its new state when a drain
        starts or ends.
    :param on_crash: called with service, fingerprint and upstream when an
        upstream crashes, and this node is the first to know.
    :param on_status: called with each status of an upstream that all entries
        should receive.
    """
    board = Blackboard()
    audit = AuditTrail()
    recorder = TraceRecorder(settings, board)
    routing = RoutingController(settings.vm, settings.zone, board, audit, rng)
    identity = new_identity(settings.vm, settings.stream_keys)
    readers = ReaderController(identity, settings.zone, board)
    quotas = QuotaController(settings.vm, board)
    quotas.is_list_current = lambda: readers.is_in_touch
    crashes = CrashTracker(routing, audit, on_crash)
    home = HomeController(
        settings.vm, board, audit, rng, recorder, on_drain, on_status
    )
    home.on_crash = crashes.note_crash_at_home
    return NodeParts(
        settings=settings,
        identity=identity,
        board=board,
        audit=audit,
        recorder=recorder,
        attempts=PendingAttempts(),
        home=home,
        routing=routing,
        crashes=crashes,
        config=ConfigController(board, audit),
        membership=MembershipController(board, audit),
        tickets=TicketStore(identity),
        pauses=PauseWatch(settings.vm, audit),
        readers=readers,
        quotas=quotas,
    )


__all__ = ('build_parts',)
