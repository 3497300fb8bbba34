"""Generations of VM lists in a fleet of several builds.

Earlier builds refuse a message with a field that they don't know, and close the
link. A node therefore names generations only to a node that has shown that it
knows them.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Final

from .messages import (
    Heartbeat,
    Message,
    VmListDelta,
    VmListRequest,
    VmListSnapshot,
)

# Earlier builds take it for the report of a reader that isn't listed, or for
# a change of a list that they have, and ignore it.
GENERATIONS_KNOWN: Final = VmListDelta(
    0,
    0,
    '{"vm":"","incarnation":0,"serial":0,"is_reading":false,'
    '"knows_generations":true}',
)


def with_generation(message: Message, generation: int) -> Message:
    """Return a message with another generation, if it names one.

    :param message: any message.
    :param generation: the generation, 0 for a node of an earlier build.
    """
    match message:
        case Heartbeat():
            return replace(message, vm_list_generation=generation)
        case VmListSnapshot() | VmListDelta() | VmListRequest():
            return replace(message, generation=generation)
    return message


__all__ = ('GENERATIONS_KNOWN', 'with_generation')
