"""Steps that load one configuration after the other."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

from behave import given, then, when
from returns.result import Result, Success

from jackdawhead.config.load import ConfigLoader, LoadedConfig, load_sources
from jackdawhead.config.merge import read_folder
from jackdawhead.config.problems import Problem
from jackdawhead.config.sources import SourceFile

if TYPE_CHECKING:
    from behave.runner import Context

_ROOT = Path(__file__).resolve().parent.parent.parent
_WORDS = ('1', '0', '-5', 'true', 'short', 'x', '[]', '{}', '2500', '"7"')

Loaded = Result[LoadedConfig, tuple[Problem, ...]]


@given('a loader that has loaded the configuration of "{site}"')
def make_loader(context: Context, site: str) -> None:
    """Load the configuration of an example site."""
    context.sources = read_folder(_ROOT / 'examples' / site).unwrap()
    context.loader = ConfigLoader()
    context.loader.load(context.sources).unwrap()


@when(
    '{count:d} random changes are loaded one after the other with seed {seed:d}'
)
def load_changes(context: Context, count: int, seed: int) -> None:
    """Load each changed folder with the same loader and with a new one."""
    rng = Random(seed)
    context.pairs = []
    for _ in range(count):
        changed = change(context.sources, rng)
        pair = (context.loader.load(changed), load_sources(changed))
        context.pairs.append(pair)
        if isinstance(pair[1], Success) and rng.randrange(2):
            context.sources = changed


def change(
    sources: tuple[SourceFile, ...],
    rng: Random,
) -> tuple[SourceFile, ...]:
    """Return the files with a random change to one line."""
    position = rng.randrange(len(sources))
    lines = sources[position].text.splitlines()
    number = rng.randrange(len(lines))
    before, _, _ = lines[number].rpartition(' ')
    line = lines[number]
    changed_lines = rng.choice(
        (
            [],
            [line, line],
            [f'{before} {rng.choice(_WORDS)}'],
            [line.replace('0', rng.choice(('1', '00')), 1)],
            [line.replace('-', '-x', 1)],
        )
    )
    text = '\n'.join(lines[:number] + changed_lines + lines[number + 1 :])
    changed = replace(sources[position], text=text)
    return (*sources[:position], changed, *sources[position + 1 :])


def comparable(loaded: Loaded) -> object:
    """Return the part of a result to compare: configuration or problems."""
    if isinstance(loaded, Success):
        return loaded.unwrap().config
    return loaded.failure()


@then('each gives the same result as a new loader')
def check_same(context: Context) -> None:
    """Compare the results of both loaders."""
    for incremental, fresh in context.pairs:
        assert comparable(incremental) == comparable(fresh), (
            incremental,
            fresh,
        )


@then('some were accepted and some were rejected')
def check_both(context: Context) -> None:
    """Check that the random changes cover both cases."""
    kinds = {isinstance(fresh, Success) for _, fresh in context.pairs}
    assert kinds == {True, False}
