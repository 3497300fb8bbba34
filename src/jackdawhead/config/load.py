"""Loads a configuration: read, merge, check, build."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from .build import build_config
from .checks import check_references, check_schema
from .known_parts import (
    Digests,
    KnownFiles,
    entry_digests,
    without_known,
)
from .merge import MergedTree, merge_sources, read_folder
from .schema import CONFIG_SCHEMA

if TYPE_CHECKING:
    from .model import Config
    from .problems import Problem
    from .sources import SourceFile


@dataclass(frozen=True, slots=True)
class LoadedConfig:
    """A checked configuration and the merged tree it was built from."""

    config: Config
    tree: MergedTree


class ConfigLoader:
    """Merges, checks and builds one configuration after the other.

    Files, services and routes that were in the one before are not parsed
    and checked again, so a change costs little more than what it changes.
    """

    def __init__(self) -> None:
        self._files = KnownFiles()
        self._in_force: tuple[SourceFile, ...] = ()
        self._known: Digests = {}

    def load(
        self,
        sources: tuple[SourceFile, ...],
    ) -> Result[LoadedConfig, tuple[Problem, ...]]:
        """Return the configuration, or every problem found.

        :param sources: the files of the folder.
        """
        loaded = merge_sources(sources, self._files.parse).bind(self._check)
        if isinstance(loaded, Success):
            self._in_force = sources
        self._files.keep(self._in_force)
        return loaded

    def _check(
        self,
        tree: MergedTree,
    ) -> Result[LoadedConfig, tuple[Problem, ...]]:
        digests = entry_digests(tree)
        rest = without_known(tree, digests, self._known)
        problems = check_schema(rest, CONFIG_SCHEMA) or check_references(tree)
        if problems:
            return Failure(problems)
        self._known = digests
        return Success(LoadedConfig(build_config(tree.plain), tree))


def load_sources(
    sources: tuple[SourceFile, ...],
) -> Result[LoadedConfig, tuple[Problem, ...]]:
    """Merge, check and build a configuration.

    :param sources: the files of the folder.
    :returns: the configuration, or every problem found.
    """
    return ConfigLoader().load(sources)


def load_folder(folder: Path) -> Result[LoadedConfig, tuple[Problem, ...]]:
    """Read, merge, check and build a configuration.

    :param folder: folder of YAML files.
    :returns: the configuration, or every problem found.
    """
    return read_folder(folder).bind(load_sources)


__all__ = ('ConfigLoader', 'LoadedConfig', 'load_folder', 'load_sources')
