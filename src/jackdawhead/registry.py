"""Registry of interchangeable implementations, filled by a decorator."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

from returns.result import Failure, Result, Success

if TYPE_CHECKING:
    from collections.abc import Callable

_EntryT = TypeVar('_EntryT')
_SpecificT = TypeVar('_SpecificT')


class Registry(Generic[_EntryT]):
    """Implementations of one abstract base class, by name.

    :param kind: what is registered, for error messages ("unknown KIND ...").
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, type[_EntryT]] = {}

    def register(
        self,
        name: str,
    ) -> Callable[[type[_SpecificT]], type[_SpecificT]]:
        """Return a class decorator that registers the class under a name.

        :param name: name used in the configuration.
        """

        def decorate(cls: type[_SpecificT]) -> type[_SpecificT]:
            self._entries[name] = cls  # type: ignore[assignment]
            return cls

        return decorate

    def find(self, name: str) -> Result[type[_EntryT], str]:
        """Return the class registered under a name, or an error message.

        :param name: name used in the configuration.
        """
        entry = self._entries.get(name)
        if entry is not None:
            return Success(entry)
        known = ', '.join(self.names())
        return Failure(f'unknown {self._kind} {name!r}; choose one of: {known}')

    def names(self) -> tuple[str, ...]:
        """Return all registered names in alphabetical order."""
        return tuple(sorted(self._entries))


__all__ = ('Registry',)
