"""Reasons why a request got no response from an upstream."""

from __future__ import annotations

from enum import StrEnum


class Reason(StrEnum):
    """Machine-readable reason, documented in docs/reference/answers.md."""

    NO_ROUTE = 'no-route'
    NO_CONFIG = 'no-configuration'
    UNKNOWN_KEY = 'unknown-key'
    OVER_QUOTA = 'over-quota'
    NO_UPSTREAM = 'no-upstream'
    BODY_TOO_LARGE = 'body-too-large'
    BODY_CUT = 'request-body-cut'
    OVERLOADED = 'overloaded'
    BUSY = 'busy'
    RISKY = 'risky'
    DRAINING = 'draining'
    NODE_LEAVING = 'node-leaving'
    UPSTREAM_UNREACHABLE = 'upstream-unreachable'
    UPSTREAM_REFUSED = 'upstream-refused'
    UPSTREAM_CRASHED = 'upstream-crashed'
    UPSTREAM_RESET = 'upstream-reset'
    ANSWER_CUT = 'answer-cut'
    ANSWER_MALFORMED = 'answer-malformed'
    DEADLINE = 'deadline'
    CANCELLED = 'cancelled'
    QUARANTINED = 'quarantined'
    TICKET_GONE = 'ticket-gone'
    TICKET_REFUSED = 'ticket-refused'
    TICKET_UNREACHABLE = 'ticket-unreachable'
    ANSWER_TOO_LARGE = 'answer-too-large'
    PEER_LOST = 'peer-lost'
    PEER_SILENT = 'peer-silent'
    PEER_UNREACHABLE = 'peer-unreachable'


__all__ = ('Reason',)
