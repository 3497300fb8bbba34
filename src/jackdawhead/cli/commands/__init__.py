"""Sub-commands, imported on demand."""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, Final

from ..command import COMMANDS

if TYPE_CHECKING:
    from ..command import CommandTable

# Modules by the first word of their commands. Nodes start often and run on
# small VMs, so `node` must not import what only other commands need.
_MODULES: Final = {
    'audit': 'operators',
    'bench': 'bench',
    'config': 'config',
    'node': 'node',
    'replay': 'replay',
    'status': 'operators',
}


def load_commands(word: str) -> CommandTable:
    """Import the module of a command, or all modules if it is unknown.

    :param word: first command line argument.
    :returns: the commands registered so far.
    """
    known = _MODULES.get(word)
    modules = (known,) if known else sorted(set(_MODULES.values()))
    for name in modules:
        import_module(f'.{name}', __name__)
    return COMMANDS


__all__ = ('load_commands',)
