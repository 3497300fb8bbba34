"""Base class and registry of the faults."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, ClassVar, Final

from jackdawhead.registry import Registry

if TYPE_CHECKING:
    from ..world import Testbed

VM: Final = 'vm'
UPSTREAM: Final = 'upstream'
STORE: Final = 'store'


class Fault(ABC):
    """A fault, or a planned change, that lasts for some time.

    :param testbed: the testbed to apply it to.
    :param target: name of the VM or upstream, empty for the store.
    """

    target_kind: ClassVar[str] = VM
    # Planned work excuses no failed request.
    is_planned: ClassVar[bool] = False
    # Has an effect only while the target stops.
    accompanies_stop: ClassVar[bool] = False

    def __init__(self, testbed: Testbed, target: str) -> None:
        self._testbed = testbed
        self._target = target

    @abstractmethod
    def begin(self) -> None:
        """Inject the fault."""

    def end(self) -> None:
        """Remove the fault; does nothing if it ends by itself."""


FAULTS: Final[Registry[Fault]] = Registry('fault')

__all__ = ('FAULTS', 'STORE', 'UPSTREAM', 'VM', 'Fault')
