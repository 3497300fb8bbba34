"""Faults of the platform's store, and changes of the configuration."""

from __future__ import annotations

from .base import FAULTS, STORE, Fault


@FAULTS.register('store-down')
class StoreDown(Fault):
    """The platform's store answers nothing."""

    concerns = STORE

    def begin(self) -> None:
        self._world.set_store('down')

    def end(self) -> None:
        self._world.set_store('up')


@FAULTS.register('store-stale')
class StoreStale(Fault):
    """The platform's store serves what it had."""

    concerns = STORE

    def begin(self) -> None:
        self._world.set_store('stale')

    def end(self) -> None:
        self._world.set_store('up')


@FAULTS.register('config-changed')
class ConfigChanged(Fault):
    """A newer configuration is published."""

    concerns = STORE

    def begin(self) -> None:
        self._world.change_config()


@FAULTS.register('config-back')
class ConfigBack(Fault):
    """The store has an older configuration, then a newer one."""

    concerns = STORE

    def begin(self) -> None:
        self._world.take_config_back()

    def end(self) -> None:
        self._world.change_config()


__all__ = (
    'ConfigBack',
    'ConfigChanged',
    'StoreDown',
    'StoreStale',
)
