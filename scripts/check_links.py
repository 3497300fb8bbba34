"""Checks that links between documentation pages have existing targets."""

from __future__ import annotations

import re
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

_ROOT: Final = Path(__file__).resolve().parent.parent
_LINK_PATTERN: Final = re.compile(r'\[[^\]]*\]\(([^)\s]+)\)')
_HEADING_PATTERN: Final = re.compile('^#+ (.*)$', re.MULTILINE)
_EXTERNAL_PREFIXES: Final = ('http:', 'https:', 'mailto:')


def pages() -> Iterator[Path]:
    """Yield all Markdown pages of the documentation."""
    yield from sorted(_ROOT.glob('*.md'))
    yield from sorted((_ROOT / 'docs').rglob('*.md'))


def broken_links(page: Path) -> Iterator[str]:
    """Yield the links of a page whose target or anchor does not exist.

    :param page: a Markdown file.
    """
    for link in _LINK_PATTERN.findall(page.read_text(encoding='utf-8')):
        if not link.startswith(_EXTERNAL_PREFIXES) and not _target_exists(
            page, link
        ):
            yield link


def _target_exists(page: Path, link: str) -> bool:
    path, _, anchor = link.partition('#')
    target = (page.parent / path).resolve() if path else page
    if not target.exists():
        return False
    return not anchor or anchor in _anchors(target)


def _anchors(page: Path) -> set[str]:
    headings = _HEADING_PATTERN.findall(page.read_text(encoding='utf-8'))
    return {
        re.sub('[^a-z0-9 _-]', '', each.lower()).replace(' ', '-')
        for each in headings
    }


def main() -> int:
    """Print broken links; return 1 if there are any."""
    found = [
        f'{page.relative_to(_ROOT)}: {link}'
        for page in pages()
        for link in broken_links(page)
    ]
    for line in found:
        sys.stdout.write(f'broken link: {line}\n')
    return 1 if found else 0


if __name__ == '__main__':
    sys.exit(main())
