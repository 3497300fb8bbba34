"""Checkers: each searches the evidence for violations of one guarantee."""

from __future__ import annotations

from . import answers, state
from .base import CHECKS, Violation, Check, find_violations

__all__ = (
    'CHECKS',
    'Violation',
    'Check',
    'answers',
    'find_violations',
    'state',
)
