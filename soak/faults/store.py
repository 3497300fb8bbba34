"""Faults of the platform's store, and configuration changes."""

from __future__ import annotations

from .base import FAULTS, STORE, Fault


@FAULTS.register('store-down')
class StoreDown(Fault):
    """The platform's store refuses all reads."""

    target_kind = STORE

    def begin(self) -> None:
        self._testbed.set_store_mode('down')

    def end(self) -> None:
        self._testbed.set_store_mode('up')


@FAULTS.register('store-stale')
class StoreStale(Fault):
    """The platform's store keeps serving old values."""

    target_kind = STORE

    def begin(self) -> None:
        self._testbed.set_store_mode('stale')

    def end(self) -> None:
        self._testbed.set_store_mode('up')


@FAULTS.register('config-changed')
class ConfigChanged(Fault):
    """A newer configuration is published."""

    target_kind = STORE
    is_planned = True

    def begin(self) -> None:
        self._testbed.change_config()


@FAULTS.register('config-back')
class ConfigBack(Fault):
    """The store falls back to an older configuration, then gets a new one."""

    target_kind = STORE

    def begin(self) -> None:
        self._testbed.roll_back_config()

    def end(self) -> None:
        self._testbed.change_config()


__all__ = (
    'ConfigBack',
    'ConfigChanged',
    'StoreDown',
    'StoreStale',
)
