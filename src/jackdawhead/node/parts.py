"""Container that gives the controllers of a node access to each other."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..audit import AuditTrail
    from ..blackboard import Blackboard
    from ..config.settings import NodeSettings
    from .config_controller import ConfigController
    from .entry.attempts import PendingAttempts
    from .entry.crash_tracker import CrashTracker
    from .entry.routing import RoutingController
    from .home.controller import HomeController
    from .identity import Identity
    from .membership import MembershipController
    from .pause_watch import PauseWatch
    from .quota_controller import QuotaController
    from .reader_controller import ReaderController
    from .tickets.store import TicketStore
    from .trace_recorder import TraceRecorder


@dataclass(frozen=True, slots=True)
class NodeParts:
    """Controllers and shared state of one node."""

    settings: NodeSettings
    identity: Identity
    board: Blackboard
    audit: AuditTrail
    recorder: TraceRecorder
    attempts: PendingAttempts
    home: HomeController
    routing: RoutingController
    crashes: CrashTracker
    config: ConfigController
    membership: MembershipController
    tickets: TicketStore
    pauses: PauseWatch
    readers: ReaderController
    quotas: QuotaController


__all__ = ('NodeParts',)
