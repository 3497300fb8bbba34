"""What is known about whether a request's work was run."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """Whether the work of a request was run by an upstream.

    ``NOT_RUN`` is only used on proof: nothing was sent, or the receiver
    refused the work before starting it.
    """

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


__all__ = ('Outcome',)
