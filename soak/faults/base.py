"""Base of the faults that a soak injects from outside the programs."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, ClassVar, Final

from jackdawhead.registry import Registry

if TYPE_CHECKING:
    from ..world import World

VM: Final = 'vm'
UPSTREAM: Final = 'upstream'
STORE: Final = 'store'


class Fault(ABC):
    """Something that goes wrong for a time.

    :param world: what it happens to.
    :param target: name of the VM or upstream, empty for the store.
    """

    concerns: ClassVar[str] = VM

    def __init__(self, world: World, target: str) -> None:
        self._world = world
        self._target = target

    @abstractmethod
    def begin(self) -> None:
        """Let it go wrong."""

    def end(self) -> None:
        """Put it right again, where it does not mend itself."""


FAULTS: Final[Registry[Fault]] = Registry('fault')

__all__ = ('FAULTS', 'STORE', 'UPSTREAM', 'VM', 'Fault')
