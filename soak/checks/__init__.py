"""Checkers: each searches the evidence for violations of one guarantee."""

from __future__ import annotations

from . import answers, organisations, state, stops
from .base import CHECKS, Check, Violation, find_violations

__all__ = (
    'CHECKS',
    'Check',
    'Violation',
    'answers',
    'find_violations',
    'organisations',
    'state',
    'stops',
)
