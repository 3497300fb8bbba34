"""Loads a configuration: read, merge, check, build."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from .build import build_config
from .checks import check_references, check_schema
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


def load_sources(
    sources: tuple[SourceFile, ...],
) -> Result[LoadedConfig, tuple[Problem, ...]]:
    """Merge, check and build a configuration.

    :param sources: the files of the folder.
    :returns: the configuration, or every problem found.
    """
    return merge_sources(sources).bind(_check_and_build)


def load_folder(folder: Path) -> Result[LoadedConfig, tuple[Problem, ...]]:
    """Read, merge, check and build a configuration.

    :param folder: folder of YAML files.
    :returns: the configuration, or every problem found.
    """
    return read_folder(folder).bind(load_sources)


def _check_and_build(
    tree: MergedTree,
) -> Result[LoadedConfig, tuple[Problem, ...]]:
    problems = check_schema(tree, CONFIG_SCHEMA) or check_references(tree)
    if problems:
        return Failure(problems)
    return Success(LoadedConfig(build_config(tree.plain), tree))


__all__ = ('LoadedConfig', 'load_folder', 'load_sources')
