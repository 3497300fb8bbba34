"""Faults that the soak test injects from outside the programs."""

from __future__ import annotations

from . import store, upstream, vm
from .base import FAULTS, STORE, UPSTREAM, VM, Fault

__all__ = (
    'FAULTS',
    'STORE',
    'UPSTREAM',
    'VM',
    'Fault',
    'store',
    'upstream',
    'vm',
)
