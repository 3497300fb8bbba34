"""Checkers: each looks at the evidence for one broken promise."""

from __future__ import annotations

from . import answers, state
from .base import CHECKS, Breach, Check, find_breaches

__all__ = (
    'CHECKS',
    'Breach',
    'Check',
    'answers',
    'find_breaches',
    'state',
)
