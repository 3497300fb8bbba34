"""Types of audit records."""

from __future__ import annotations

from enum import StrEnum


class AuditKind(StrEnum):
    """Type of change that an audit record reports."""

    NODE_STARTED = 'node-started'
    NODE_LEAVING = 'node-leaving'
    CONFIG_ACCEPTED = 'config-accepted'
    CONFIG_REFUSED = 'config-refused'
    CONFIG_ENTRY_REFUSED = 'config-entry-refused'
    SETTINGS_RELOADED = 'settings-reloaded'
    SETTINGS_REFUSED = 'settings-refused'
    SPELL_BEGUN = 'spell-begun'
    SPELL_OVER = 'spell-over'
    UPSTREAM_EJECTED = 'upstream-ejected'
    UPSTREAM_TRIAL = 'upstream-trial'
    UPSTREAM_RETURNED = 'upstream-returned'
    UPSTREAM_UNREACHABLE = 'upstream-unreachable'
    UPSTREAM_RESTARTED = 'upstream-restarted'
    UPSTREAM_DRAINING = 'upstream-draining'
    UPSTREAM_JOINED = 'upstream-joined'
    UPSTREAM_LEFT = 'upstream-left'
    CONNECTION_CONDEMNED = 'connection-condemned'
    REQUEST_QUARANTINED = 'request-quarantined'
    REQUEST_RELEASED = 'request-released'
    HOME_EXCLUDED = 'home-excluded'
    HOME_INCLUDED = 'home-included'
    PATH_SILENT = 'path-silent'
    PATH_OPEN = 'path-open'
    UPSTREAM_STALLED = 'upstream-stalled'
    PEER_LOST = 'peer-lost'
    PEER_JOINED = 'peer-joined'
    TICKET_REFUSED = 'ticket-refused'
    PEER_REFUSED = 'peer-refused'
    PLATFORM_LOST = 'platform-lost'
    PLATFORM_BACK = 'platform-back'
    PLATFORM_STALE = 'platform-stale'
    PAUSE_NOTICED = 'pause-noticed'


__all__ = ('AuditKind',)
