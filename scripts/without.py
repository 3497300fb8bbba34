"""Checks that features fail when the mechanism they test is patched out.

Each entry of ``features/without.yaml`` is one mutation of the source.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import yaml

_ROOT: Final = Path(__file__).resolve().parent.parent
_MUTATIONS_FILE: Final = _ROOT / 'features' / 'without.yaml'
_COPIED_FOLDERS: Final = ('src', 'standins', 'soak', 'features', 'examples')
_FAILURE_MARK: Final = 'ASSERT FAILED'
_EXCERPT_CHARS: Final = 150


@dataclass(frozen=True, slots=True)
class Edit:
    """A replacement in the source.

    :param file: path below the package ``jackdawhead``.
    :param old: text to replace with ``new``.
    """

    file: str
    old: str
    new: str


@dataclass(frozen=True, slots=True)
class Mutation:
    """A mechanism to patch out.

    :param edits: replacements that disable it.
    :param feature: feature file that must fail without it.
    :param scenario: pattern of the name of its scenario.
    """

    name: str
    edits: tuple[Edit, ...]
    feature: str
    scenario: str


def run(names: list[str]) -> int:
    """Run each feature on a copy of the source without its mechanism.

    :param names: parts of the names to run; all by default.
    :returns: 0 if all features fail, as they should, else 1.
    """
    entries = yaml.safe_load(_MUTATIONS_FILE.read_text(encoding='utf-8'))
    mutations = [_parse_mutation(entry) for entry in entries]
    selected = [
        each
        for each in mutations
        if not names or any(name in each.name for name in names)
    ]
    surviving = sum(not _fails(each) for each in selected)
    _print_line(
        f'{len(selected) - surviving} fail without, {surviving} still pass'
    )
    return 1 if surviving else 0


def _parse_mutation(entry: dict[str, Any]) -> Mutation:
    edits = tuple(Edit(**edit) for edit in entry.pop('edits'))
    return Mutation(edits=edits, **entry)


def _fails(mutation: Mutation) -> bool:
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for part in _COPIED_FOLDERS:
            shutil.copytree(_ROOT / part, copy / part)
        for edit in mutation.edits:
            _apply_edit(edit, copy)
        result = _run_feature(mutation, copy)
    failures = [line for line in result.splitlines() if _FAILURE_MARK in line]
    # A run that crashes proves nothing; only a failed assertion counts.
    failed = bool(failures) and not result.rstrip().endswith(' 0 failed')
    verdict = 'fails without' if failed else 'STILL PASSES without'
    excerpt = (
        failures[0][:_EXCERPT_CHARS] if failures else result[-_EXCERPT_CHARS:]
    )
    _print_line(f'{verdict}: {mutation.name}\n    {excerpt.strip()}')
    return failed


def _apply_edit(edit: Edit, copy: Path) -> None:
    path = copy / 'src' / 'jackdawhead' / edit.file
    text = path.read_text(encoding='utf-8')
    if edit.old not in text:
        sys.exit(f'{edit.file}: not found: {edit.old}')
    path.write_text(text.replace(edit.old, edit.new), encoding='utf-8')


def _run_feature(mutation: Mutation, copy: Path) -> str:
    command = [
        sys.executable,
        '-m',
        'features.runner',
        mutation.feature,
        '-n',
        mutation.scenario,
    ]
    paths = os.pathsep.join((str(copy / 'src'), str(copy)))
    completed = subprocess.run(
        command,
        cwd=copy,
        env={**os.environ, 'PYTHONPATH': paths},
        capture_output=True,
        text=True,
        check=False,
    )
    return completed.stdout


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(run(sys.argv[1:]))
