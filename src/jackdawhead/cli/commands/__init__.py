"""Sub-commands; importing this package registers all of them."""

from __future__ import annotations

from . import config as config
from . import node as node

__all__ = ('config', 'node')
