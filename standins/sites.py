"""The two sites of the requirements, at their stated sizes."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

_EXAMPLES: Final = Path(__file__).resolve().parent.parent / 'examples'


@dataclass(frozen=True, slots=True)
class SiteService:
    """A service of a site.

    :param upstreams: number of upstreams.
    :param slots: requests that one upstream runs at the same time.
    :param run_ms: run time in milliseconds by path prefix.
    """

    name: str
    upstreams: int
    slots: int
    run_ms: dict[str, float]

    def behaviour(self, **extra: Any) -> dict[str, Any]:
        """Return the behaviour settings of the service's stand-ins."""
        return {'run_ms': self.run_ms, **extra}


@dataclass(frozen=True, slots=True)
class Site:
    """A site with its services and zones."""

    name: str
    zones: tuple[str, ...]
    services: tuple[SiteService, ...]

    @property
    def folder(self) -> Path:
        """Folder of the site's configuration files."""
        return _EXAMPLES / self.name

    def placements(self, service: SiteService) -> list[tuple[str, str]]:
        """Return the VM and zone of each upstream of a service."""
        prefix = service.name.split('-')[0]
        return [
            (f'{prefix}-{number}', self.zones[number % len(self.zones)])
            for number in range(service.upstreams)
        ]


HELVETIA: Final = Site(
    'helvetia',
    ('basel-1', 'basel-2', 'basel-3'),
    (
        SiteService('registry-desk', 15, 3, {'/cultivars': 20}),
        SiteService(
            'archive-ledger',
            6,
            3,
            {'/ledger': 25, '/bundles': 2000, '/fees': 60},
        ),
    ),
)
AMAKUSA: Final = Site(
    'amakusa',
    ('kumamoto-1', 'kumamoto-2', 'fukuoka-1', 'fukuoka-2'),
    (
        SiteService(
            'proofing',
            23,
            5,
            {'/artwork': 40, '/renders': 1500, '/approvals': 60},
        ),
        SiteService(
            'dispatch',
            8,
            5,
            {'/dispatch': 20, '/labels': 800, '/slots': 60},
        ),
    ),
)

__all__ = ('AMAKUSA', 'HELVETIA', 'Site', 'SiteService')
