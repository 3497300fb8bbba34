"""Loads a configuration: read, merge, check, build."""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from .build import build_config, content_digest
from .checks import check_references, check_schema
from .known_parts import (
    Digests,
    KnownFiles,
    entry_digests,
    without_known,
)
from .mend import mend_tree
from .merge import MergedTree, merge_sources, read_folder
from .schema import CONFIG_SCHEMA

if TYPE_CHECKING:
    from collections.abc import Callable

    from .model import Config
    from .problems import Problem
    from .sources import Plain, SourceFile

    Loaded = Result['LoadedConfig', tuple[Problem, ...]]


@dataclass(frozen=True, slots=True)
class LoadedConfig:
    """A checked configuration and the merged tree it was built from.

    :param refused: problems of entries that are in force in their former
        form, or not at all.
    """

    config: Config
    tree: MergedTree
    refused: tuple[Problem, ...] = ()


class ConfigLoader:
    """Merges, checks and builds one configuration after the other.

    Files, services and routes that were in the one before are not parsed
    and checked again, so a change costs little more than what it changes.
    """

    def __init__(self) -> None:
        self._files = KnownFiles()
        self._in_force: tuple[SourceFile, ...] = ()
        self._known: Digests = {}
        self._former: dict[str, Plain] = {}

    def load(
        self,
        sources: tuple[SourceFile, ...],
    ) -> Result[LoadedConfig, tuple[Problem, ...]]:
        """Return the configuration, or every problem found.

        :param sources: the files of the folder.
        """
        return self._load(sources, self._check)

    def load_tolerantly(
        self,
        sources: tuple[SourceFile, ...],
    ) -> Result[LoadedConfig, tuple[Problem, ...]]:
        """Return what holds of the configuration, or why nothing does.

        A faulty entry keeps the form that it had before, or is left out.

        :param sources: the files of the folder.
        """
        return self._load(sources, self._check_tolerantly)

    def _load(
        self,
        sources: tuple[SourceFile, ...],
        check: Callable[[MergedTree], Loaded],
    ) -> Loaded:
        loaded = merge_sources(sources, self._files.parse).bind(check)
        if isinstance(loaded, Success):
            self._in_force = sources
            self._former = loaded.unwrap().tree.plain
        self._files.keep(self._in_force)
        return loaded

    def _check(self, tree: MergedTree) -> Loaded:
        digests = entry_digests(tree)
        rest = without_known(tree, digests, self._known)
        problems = check_schema(rest, CONFIG_SCHEMA) or check_references(tree)
        if problems:
            return Failure(problems)
        self._known = digests
        return Success(LoadedConfig(build_config(tree.plain), tree))

    def _check_tolerantly(self, tree: MergedTree) -> Loaded:
        refused: tuple[Problem, ...] = ()
        mended: MergedTree | None = tree
        while mended is not None:
            match self._check(mended):
                case Success(loaded):
                    return Success(_as_published(loaded, tree, refused))
                case Failure(problems):
                    refused += problems
                    mended = mend_tree(mended, problems, self._former)
        return Failure(refused)


def _as_published(
    loaded: LoadedConfig,
    published: MergedTree,
    refused: tuple[Problem, ...],
) -> LoadedConfig:
    """Return a configuration whose digest is that of what was published.

    What nodes had in force before may differ; they must agree on the digest.
    """
    if not refused:
        return loaded
    digest = content_digest(published.plain)
    return replace(
        loaded, config=replace(loaded.config, digest=digest), refused=refused
    )


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
