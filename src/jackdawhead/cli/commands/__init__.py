"""Sub-commands; importing this package registers all of them."""

from __future__ import annotations

from ..command import COMMANDS
from .bench import BenchCommand
from .config import CheckCommand, DiffCommand, ShowCommand
from .node import NodeCommand
from .operators import AuditCommand, StatusCommand
from .replay import ReplayCommand

__all__ = (
    'COMMANDS',
    'AuditCommand',
    'BenchCommand',
    'CheckCommand',
    'DiffCommand',
    'NodeCommand',
    'ReplayCommand',
    'ShowCommand',
    'StatusCommand',
)
