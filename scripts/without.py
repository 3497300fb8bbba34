"""Shows that features fail on a build without the mechanism they prove."""

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
_LIST: Final = _ROOT / 'features' / 'without.yaml'
_PARTS: Final = ('src', 'standins', 'soak', 'features', 'examples')
_FAILED: Final = 'ASSERT FAILED'
_SHOWN_CHARS: Final = 150


@dataclass(frozen=True, slots=True)
class Edit:
    """A change of the source.

    :param file: below the package.
    :param old: text that is replaced by ``new``.
    """

    file: str
    old: str
    new: str


@dataclass(frozen=True, slots=True)
class Removal:
    """A mechanism to take out.

    :param edits: changes that take it out.
    :param feature: that must fail.
    :param scenario: pattern of its name.
    """

    name: str
    edits: tuple[Edit, ...]
    feature: str
    scenario: str


def run(names: list[str]) -> int:
    """Run each feature on a copy without its mechanism.

    :param names: parts of the names to run; all by default.
    :returns: 0 if all of them fail, as they should.
    """
    entries = yaml.safe_load(_LIST.read_text(encoding='utf-8'))
    removals = [_removal(entry) for entry in entries]
    chosen = [
        each
        for each in removals
        if not names or any(name in each.name for name in names)
    ]
    passing = sum(not _fails(each) for each in chosen)
    _say(f'{len(chosen) - passing} fail without, {passing} still pass')
    return 1 if passing else 0


def _removal(entry: dict[str, Any]) -> Removal:
    edits = tuple(Edit(**edit) for edit in entry.pop('edits'))
    return Removal(edits=edits, **entry)


def _fails(removal: Removal) -> bool:
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for part in _PARTS:
            shutil.copytree(_ROOT / part, copy / part)
        for edit in removal.edits:
            _change(edit, copy)
        result = _run_feature(removal, copy)
    reasons = [line for line in result.splitlines() if _FAILED in line]
    # A run that breaks off shows nothing.
    failed = bool(reasons) and not result.rstrip().endswith(' 0 failed')
    verdict = 'fails without' if failed else 'STILL PASSES without'
    shown = reasons[0][:_SHOWN_CHARS] if reasons else result[-_SHOWN_CHARS:]
    _say(f'{verdict}: {removal.name}\n    {shown.strip()}')
    return failed


def _change(edit: Edit, copy: Path) -> None:
    path = copy / 'src' / 'jackdawhead' / edit.file
    text = path.read_text(encoding='utf-8')
    if edit.old not in text:
        sys.exit(f'{edit.file}: not found: {edit.old}')
    path.write_text(text.replace(edit.old, edit.new), encoding='utf-8')


def _run_feature(removal: Removal, copy: Path) -> str:
    command = [
        sys.executable,
        '-m',
        'features.runner',
        removal.feature,
        '-n',
        removal.scenario,
    ]
    paths = os.pathsep.join((str(copy / 'src'), str(copy)))
    done = subprocess.run(
        command,
        cwd=copy,
        env={**os.environ, 'PYTHONPATH': paths},
        capture_output=True,
        text=True,
        check=False,
    )
    return done.stdout


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(run(sys.argv[1:]))
