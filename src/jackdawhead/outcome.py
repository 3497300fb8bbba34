"""Outcome of a request: whether an upstream ran it."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """Whether an upstream ran a request.

    ``NOT_RUN`` requires proof: either nothing was sent, or the receiver
    refused the request before starting it.
    """

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


__all__ = ('Outcome',)
