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


@given('a loader that follows the configuration of "{site}"')
def make_loader(context: Context, site: str) -> None:
    """Load an example."""
    context.sources = read_folder(_ROOT / 'examples' / site).unwrap()
    context.loader = ConfigLoader()
    context.loader.load(context.sources).unwrap()


@when(
    '{count:d} random changes are loaded one after the other with seed {seed:d}'
)
def load_changes(context: Context, count: int, seed: int) -> None:
    """Load each changed folder twice, by the loader and afresh."""
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
    """Return the files with one line of one of them changed."""
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


def verdict(loaded: Loaded) -> object:
    """Return what can be compared of a load."""
    if isinstance(loaded, Success):
        return loaded.unwrap().config
    return loaded.failure()


@then('each gives what a fresh load of the same files gives')
def check_same(context: Context) -> None:
    """Compare the pairs."""
    for known, fresh in context.pairs:
        assert verdict(known) == verdict(fresh), (known, fresh)


@then('some were accepted and some were refused')
def check_both(context: Context) -> None:
    """Look for both kinds."""
    kinds = {isinstance(fresh, Success) for _, fresh in context.pairs}
    assert kinds == {True, False}
