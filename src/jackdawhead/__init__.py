"""Proxy fleet for upstreams with gray failures."""

from __future__ import annotations

from typing import Final

VERSION: Final = '0.1.0'

__all__ = ('VERSION',)
