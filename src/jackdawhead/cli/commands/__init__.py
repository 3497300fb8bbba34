"""Sub-commands; importing this package registers all of them."""

from __future__ import annotations

from ..command import COMMANDS
from .config import CheckCommand, DiffCommand, ShowCommand
from .node import NodeCommand

__all__ = (
    'COMMANDS',
    'CheckCommand',
    'DiffCommand',
    'NodeCommand',
    'ShowCommand',
)
