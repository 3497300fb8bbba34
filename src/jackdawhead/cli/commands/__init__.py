"""Sub-commands, a module each, imported when they are called for."""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, Final

from ..command import COMMANDS

if TYPE_CHECKING:
    from ..command import CommandTable

# Modules by the first word of their commands. A node starts often and on
# small VMs, so that it does not import what the other commands need.
_MODULES: Final = {
    'audit': 'operators',
    'bench': 'bench',
    'config': 'config',
    'node': 'node',
    'replay': 'replay',
    'status': 'operators',
}


def load_commands(word: str) -> CommandTable:
    """Return the commands that begin with a word, or all if none does.

    :param word: first word after the program's name.
    """
    known = _MODULES.get(word)
    modules = (known,) if known else sorted(set(_MODULES.values()))
    for name in modules:
        import_module(f'.{name}', __name__)
    return COMMANDS


__all__ = ('load_commands',)
