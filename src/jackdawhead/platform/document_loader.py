"""Loads configurations that come as one document of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash
from returns.result import Failure, Result, Success

from ..config.entries import Entries, EntryMerger, RouteEntry
from ..config.load import ConfigLoader, LoadedConfig, SourceLoader
from ..config.model import CallerPolicy, HeaderNames, Zone
from ..config.problems import Place, Problem
from ..config.sources import SourceFile
from ..node.platform_client import PublishedValue
from .config_document import read_document
from .config_translation import Part, ResourceTranslator
from .formats import parse_version
from .names import HEADER_NAMES, TARGET_ADMISSION

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

_DOCUMENT_NAME: Final = 'platform-document.json'
# More than the store takes as one value, and less than a message between
# nodes may have.
_MAX_DOCUMENT_BYTES: Final = 1_150_000
# Status that callers accept as proof that the work has not run.
_STATUS_NOT_RUN: Final = 503
_LIMITS: Final = (
    'max_body_bytes',
    'idle_ms',
    'max_head_bytes',
    'head_ms',
)


def decode_document(body: bytes) -> Result[PublishedValue, str]:
    """Return a document as it is passed on between nodes.

    Its resources are translated by each node: the translation would be larger.

    :param body: the value in the store.
    :returns: version and files, or why the document is refused.
    """
    text = body.decode(errors='replace')
    if len(text.encode()) > _MAX_DOCUMENT_BYTES:
        return Failure(f'larger than {_MAX_DOCUMENT_BYTES} bytes')
    try:
        version = parse_version(read_document(text).version)
    except ValueError as error:
        return Failure(str(error))
    return Success(PublishedValue(version, {_DOCUMENT_NAME: text}))


class DocumentLoader(SourceLoader):
    """Loads successive versions of the document incrementally.

    Only resources that have changed are decoded and translated. Files in the
    project's own format, as nodes of earlier builds pass them on, are loaded
    as such.

    :param zones: regions by availability zone.
    :param admission: admission rule of all services.
    """

    def __init__(
        self, zones: Mapping[str, str], admission: str = TARGET_ADMISSION
    ) -> None:
        self._files = ConfigLoader()
        self._translator = ResourceTranslator(zones, admission)
        self._parts: dict[bytes, Part] = {}
        self._merger = EntryMerger(
            {name: Zone(name, region) for name, region in zones.items()},
            HeaderNames(**HEADER_NAMES),
            CallerPolicy(
                quarantined_status=_STATUS_NOT_RUN,
                expired_status=_STATUS_NOT_RUN,
                fractional_retry_after=True,
            ),
        )

    def load_valid_entries(
        self,
        sources: tuple[SourceFile, ...],
        on_step: Callable[[], None],
    ) -> Result[LoadedConfig, tuple[Problem, ...]]:
        names = [each.name for each in sources]
        if names != [_DOCUMENT_NAME]:
            return self._files.load_valid_entries(sources, on_step)
        text = sources[0].text
        try:
            resources = read_document(text).resources
        except ValueError as error:
            return Failure(
                (
                    Problem(
                        Place(_DOCUMENT_NAME),
                        '',
                        str(error),
                        'publish a document with a version and resources',
                    ),
                )
            )
        digest = xxhash.xxh3_128_hexdigest(text.encode())
        parts = self._translate(resources, on_step)
        return Success(self._merger.merge(_entries(digest, parts), on_step))

    def _translate(
        self, resources: tuple[bytes, ...], on_step: Callable[[], None]
    ) -> list[Part]:
        known = self._parts
        parts: dict[bytes, Part] = {}
        for text in resources:
            on_step()
            parts[text] = known.get(text) or self._translator.translate(text)
        self._parts = parts
        return [parts[each] for each in resources]


def _entries(digest: str, parts: list[Part]) -> Entries:
    entries = Entries(digest)
    for number, part in enumerate(parts):
        path = f'{part.kind}.{part.name}' if part.kind else f'{number}'
        if part.cause:
            entries.reject(path, part.cause)
        _add(entries, part)
    return entries


def _add(entries: Entries, part: Part) -> None:
    match part.kind:
        case 'routes':
            route: RouteEntry | None = part.entry
            entries.routes[part.name] = route
            entries.requires_keys |= route is not None and route.requires_key
        case 'services':
            entries.services[part.name] = part.entry
        case 'tenants':
            entries.organisations[part.name] = part.entry
            # Its callers have keys, also if it can't be read.
            entries.requires_keys = True
        case 'limits':
            limits = part.entry
            entries.limits.update(
                dict.fromkeys(_LIMITS) if limits is None else limits
            )


__all__ = ('DocumentLoader', 'decode_document')
