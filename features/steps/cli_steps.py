"""Steps that run the command line."""

from __future__ import annotations

import contextlib
import io
import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

from behave import given, then, when

from jackdawhead.cli.run import run

if TYPE_CHECKING:
    from behave.runner import Context

_ROOT = Path(__file__).resolve().parent.parent.parent
_EXAMPLES = _ROOT / 'examples'
_SOURCES = _ROOT / 'src'


def new_folder(context: Context) -> Path:
    """Return a temporary folder that is removed after the scenario."""
    folder = Path(tempfile.mkdtemp())
    context.stack.callback(shutil.rmtree, folder)
    return folder


def run_command(context: Context, *words: str) -> None:
    """Run the command line in this process and capture its output."""
    out = io.StringIO()
    errors = io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(errors):
        try:
            context.exit_code = run(words)
        except SystemExit as stop:
            context.exit_code = stop.code
    context.output = out.getvalue()
    context.errors = errors.getvalue()


@given('the configuration of "{site}" in a folder')
def copy_example(context: Context, site: str) -> None:
    """Copy an example to a temporary folder, so that steps can change it."""
    context.folder = new_folder(context)
    shutil.copytree(_EXAMPLES / site, context.folder, dirs_exist_ok=True)


@given('a folder with the file "{name}" and the text "{text}"')
def write_folder(context: Context, name: str, text: str) -> None:
    """Create a folder with one file."""
    context.folder = new_folder(context)
    (context.folder / name).write_text(text)


@when('a process imports "{modules}"')
def import_modules(context: Context, modules: str) -> None:
    """Import modules in a new process, and list all that are loaded."""
    shown = subprocess.run(
        [
            sys.executable,
            '-c',
            f'import {modules}, sys; print(*sys.modules)',
        ],
        cwd=_SOURCES,
        capture_output=True,
        check=True,
        text=True,
    )
    context.loaded = shown.stdout.split()


@then('it has not imported "{modules}"')
def check_not_imported(context: Context, modules: str) -> None:
    """Check that modules are not loaded."""
    found = set(modules.split(', ')).intersection(context.loaded)
    assert context.loaded
    assert not found, found


@given('the file "{name}" with')
def write_file(context: Context, name: str) -> None:
    """Write the text of the step to a file."""
    (context.folder / name).write_text(context.text)


@given('the file "{name}" changed from "{before}" to "{after}"')
def change_file(context: Context, name: str, before: str, after: str) -> None:
    """Replace a text that occurs in a file."""
    path = context.folder / name
    text = path.read_text()
    assert before in text
    path.write_text(text.replace(before, after))


@given('the file "{name}" of {size:d} bytes')
def write_large_file(context: Context, name: str, size: int) -> None:
    """Write a file that consists of one long comment."""
    (context.folder / name).write_text('#' * size)


@given('the file "{name}" nested {depth:d} deep')
def write_deep_file(context: Context, name: str, depth: int) -> None:
    """Write a file with nested lists."""
    text = ''.join(('a: ', '[' * depth, ']' * depth))
    (context.folder / name).write_text(text)


@given('the built binary')
def find_binary(context: Context) -> None:
    """Build the binary unless it is up to date."""
    context.binary = _ROOT / 'dist' / 'jackdawhead'
    newest = max(path.stat().st_mtime for path in _SOURCES.rglob('*.py'))
    binary = context.binary
    if not binary.exists() or binary.stat().st_mtime < newest:
        subprocess.run([_ROOT / 'scripts' / 'build'], check=True)


@when('the binary runs with "{words}"')
def run_binary(context: Context, words: str) -> None:
    """Run the binary as a process."""
    _run_binary(context, *words.split())


@when('the binary checks the example "{site}" with "{words}"')
def run_binary_on(context: Context, site: str, words: str) -> None:
    """Run the binary as a process on an example."""
    _run_binary(context, *words.split(), str(_EXAMPLES / site))


def _run_binary(context: Context, *words: str) -> None:
    environment = {**os.environ, 'SHIV_ROOT': str(new_folder(context))}
    finished = subprocess.run(
        [str(context.binary), *words],
        capture_output=True,
        text=True,
        check=False,
        env=environment,
    )
    context.exit_code = finished.returncode
    context.output = finished.stdout
    context.errors = finished.stderr


@when('"{words}" runs on the folder')
def run_on_folder(context: Context, words: str) -> None:
    """Run a command on the folder of the scenario."""
    run_command(context, *words.split(), str(context.folder))


@when('"{words}" runs on the example "{site}"')
def run_on_example(context: Context, words: str, site: str) -> None:
    """Run a command on an example."""
    run_command(context, *words.split(), str(_EXAMPLES / site))


@when('"{words}" runs on the path "{path}"')
def run_on_path(context: Context, words: str, path: str) -> None:
    """Run a command on a path."""
    run_command(context, *words.split(), path)


@when('"{words}" compares the example "{site}" with the folder')
def run_compare(context: Context, words: str, site: str) -> None:
    """Run a command on an example and on the folder of the scenario."""
    run_command(
        context,
        *words.split(),
        str(_EXAMPLES / site),
        str(context.folder),
    )


@when('the command line runs with "{words}"')
def run_words(context: Context, words: str) -> None:
    """Run a command with the given arguments."""
    run_command(context, *words.split())


@then('the exit code is {code:d}')
def check_code(context: Context, code: int) -> None:
    """Compare the exit code."""
    assert context.exit_code == code, (context.exit_code, context.errors)


@then('the errors contain "{text}"')
def check_errors(context: Context, text: str) -> None:
    """Check that standard error contains a text."""
    assert text in context.errors, context.errors


@then('the errors don\'t contain "{text}"')
def check_no_error(context: Context, text: str) -> None:
    """Check that standard error doesn't contain a text."""
    assert text not in context.errors, context.errors


@then('the output contains "{text}"')
def check_output(context: Context, text: str) -> None:
    """Check that standard output contains a text."""
    assert text in context.output, context.output


@then('no traceback is printed')
def check_no_traceback(context: Context) -> None:
    """Check that standard error contains no traceback."""
    assert 'Traceback' not in context.errors, context.errors
