"""Loads a configuration: read, merge, validate and build."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from .build import build_config, content_digest
from .checks import check_references, check_schema
from .entry_fallback import replace_faulty_entries
from .merge import MergedTree, merge_sources, read_folder
from .schema import CONFIG_SCHEMA
from .validated_cache import (
    Digests,
    ParsedFiles,
    entry_digests,
    without_validated,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from .model import Config
    from .problems import Problem
    from .sources import Plain, SourceFile

    Loaded = Result['LoadedConfig', tuple[Problem, ...]]


@dataclass(frozen=True, slots=True)
class LoadedConfig:
    """A validated configuration and the merged tree it was built from.

    :param rejected_entries: problems of rejected entries; such an entry keeps
        its last accepted form, or is left out if it has none.
    """

    config: Config
    tree: MergedTree
    rejected_entries: tuple[Problem, ...] = ()


class SourceLoader(ABC):
    """Loads successive versions of a configuration."""

    @abstractmethod
    def load_valid_entries(
        self,
        sources: tuple[SourceFile, ...],
        on_step: Callable[[], None],
    ) -> Result[LoadedConfig, tuple[Problem, ...]]:
        """Load the valid entries of a configuration.

        A faulty entry keeps its last accepted form, or is left out if it has
        none.

        :param sources: all configuration files.
        :param on_step: called at short intervals; may let other work run.
        :returns: the configuration, or every problem if a problem cannot be
            attributed to a single entry.
        """


class ConfigLoader(SourceLoader):
    """Loads successive versions of a configuration incrementally.

    Files, services and routes that are unchanged since the last version are
    not parsed and validated again, so the cost of a load depends mainly on
    the size of the change.
    """

    def __init__(self) -> None:
        self._files = ParsedFiles()
        self._active_sources: tuple[SourceFile, ...] = ()
        self._validated: Digests = {}
        self._last_accepted: dict[str, Plain] = {}

    def load(
        self,
        sources: tuple[SourceFile, ...],
    ) -> Result[LoadedConfig, tuple[Problem, ...]]:
        """Load a configuration and reject it as a whole if any entry is faulty.

        :param sources: all configuration files.
        :returns: the configuration, or every problem found.
        """
        return self._load(sources, self._check)

    def load_valid_entries(
        self,
        sources: tuple[SourceFile, ...],
        on_step: Callable[[], None],
    ) -> Result[LoadedConfig, tuple[Problem, ...]]:
        return self._load(sources, self._check_tolerantly)

    def _load(
        self,
        sources: tuple[SourceFile, ...],
        check: Callable[[MergedTree], Loaded],
    ) -> Loaded:
        loaded = merge_sources(sources, self._files.parse).bind(check)
        if isinstance(loaded, Success):
            self._active_sources = sources
            self._last_accepted = loaded.unwrap().tree.plain
        self._files.retain(self._active_sources)
        return loaded

    def _check(self, tree: MergedTree) -> Loaded:
        digests = entry_digests(tree)
        changed = without_validated(tree, digests, self._validated)
        problems = check_schema(changed, CONFIG_SCHEMA) or check_references(
            tree
        )
        if problems:
            return Failure(problems)
        self._validated = digests
        return Success(LoadedConfig(build_config(tree.plain), tree))

    def _check_tolerantly(self, tree: MergedTree) -> Loaded:
        rejected_entries: tuple[Problem, ...] = ()
        candidate: MergedTree | None = tree
        while candidate is not None:
            match self._check(candidate):
                case Success(loaded):
                    return Success(
                        _with_published_digest(loaded, tree, rejected_entries)
                    )
                case Failure(problems):
                    rejected_entries += problems
                    candidate = replace_faulty_entries(
                        candidate, problems, self._last_accepted
                    )
        return Failure(rejected_entries)


def _with_published_digest(
    loaded: LoadedConfig,
    published: MergedTree,
    rejected_entries: tuple[Problem, ...],
) -> LoadedConfig:
    """Return the configuration with the digest of the published content.

    Rejected entries keep their last accepted form, which may differ between
    nodes, but all nodes must agree on the digest of a version.
    """
    if not rejected_entries:
        return loaded
    digest = content_digest(published.plain)
    return replace(
        loaded,
        config=replace(loaded.config, digest=digest),
        rejected_entries=rejected_entries,
    )


def load_sources(
    sources: tuple[SourceFile, ...],
) -> Result[LoadedConfig, tuple[Problem, ...]]:
    """Merge, validate and build a configuration.

    :param sources: all configuration files.
    :returns: the configuration, or every problem found.
    """
    return ConfigLoader().load(sources)


def load_folder(folder: Path) -> Result[LoadedConfig, tuple[Problem, ...]]:
    """Read, merge, validate and build a configuration.

    :param folder: folder of YAML files.
    :returns: the configuration, or every problem found.
    """
    return read_folder(folder).bind(load_sources)


__all__ = (
    'ConfigLoader',
    'LoadedConfig',
    'SourceLoader',
    'load_folder',
    'load_sources',
)
