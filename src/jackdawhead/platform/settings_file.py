"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Final

from returns.result import Failure, Result, Success

from ..config.problems import Place, Problem
from ..config.settings import Address, NodeSettings
from ..logs import log_event
from ..node.listed_content import vm_name
from .formats import parse_duration_ms
from .machine_limits import caller_connections, caller_memory_bytes
from .names import (
    SETTINGS_FILE_VARIABLE,
    STREAM_KEY_VARIABLE,
    TARGET_ADMISSION,
    VALUE_ADMISSION,
    VALUE_CONTRACTS,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

_DEFAULT_PATH: Final = '/etc/jackdawhead/local.conf'
_ZONE_PREFIX: Final = 'zones.'
# An entry expires after three heartbeat intervals without a heartbeat. The
# first may be almost over when the platform fails, so at least two remain.
_EXPIRY_HEARTBEATS: Final = 2
# Callers stop using a node after two failed readiness probes, one second
# apart; requests that they sent before then arrive a moment later.
_READINESS_PROPAGATION_MS: Final = 2600
# Work in progress may use all but the last sixth of the grace period, plus a
# small margin; the rest is left for closing connections.
_CLOSING_DIVISOR: Final = 6
_DRAIN_MARGIN_MS: Final = 100
_MAX_DURATION_MS: Final = 86_400_000
_MAX_PORT: Final = 65_535
_PORT_DIGITS: Final = 5


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings that the platform provides to a process.

    :param node: settings of the node.
    :param zones: regions by availability zone.
    :param expiry_ms: time without a heartbeat after which an upstream's entry
        may expire.
    :param admission: admission rule of all services.
    """

    node: NodeSettings
    zones: dict[str, str]
    expiry_ms: int
    admission: str = TARGET_ADMISSION


def settings_path() -> Path:
    """Return the path of the settings file, from the environment if set."""
    return Path(os.environ.get(SETTINGS_FILE_VARIABLE, _DEFAULT_PATH))


def read_settings(path: Path) -> Result[PlatformSettings, tuple[Problem, ...]]:
    """Read and check the settings file.

    :param path: file of ``name=value`` lines.
    :returns: the settings, or the problem found in the file.
    """
    try:
        fields = _parse_fields(path.read_text(encoding='utf-8'))
        return Success(_build_settings(fields))
    except KeyError as error:
        cause = f'the field {error} is missing'
    except (OSError, ValueError) as error:
        cause = str(error)
    problem = Problem(
        Place(str(path)), '', cause, 'check the file the platform has written'
    )
    return Failure((problem,))


def _parse_fields(text: str) -> dict[str, str]:
    pairs = (line.partition('=') for line in text.splitlines() if '=' in line)
    return {name.strip(): field.strip() for name, _, field in pairs}


def _build_settings(fields: dict[str, str]) -> PlatformSettings:
    zones = {
        name.removeprefix(_ZONE_PREFIX): region
        for name, region in fields.items()
        if name.startswith(_ZONE_PREFIX)
    }
    zones.setdefault(fields['zone'], fields.get('region', fields['zone']))
    heartbeat_ms = _duration_ms(fields, 'heartbeat', '1500ms')
    return PlatformSettings(
        _node_settings(fields),
        zones,
        _EXPIRY_HEARTBEATS * heartbeat_ms,
        _admission(fields, zones),
    )


def _admission(fields: dict[str, str], zones: dict[str, str]) -> str:
    """Return the admission rule; see docs/design/giving-way.md."""
    contracts = fields.get('contracts', '').split(',')
    has_contract = not VALUE_CONTRACTS.isdisjoint(contracts)
    has_regions = len(set(zones.values())) > 1
    return VALUE_ADMISSION if has_contract or has_regions else TARGET_ADMISSION


def _node_settings(fields: dict[str, str]) -> NodeSettings:
    ip = fields['ip']
    # The admin page takes the first port of the range; nodes need no other.
    admin_port = fields['portRange'].partition(',')[0]
    grace_ms = _grace_ms(fields)
    return NodeSettings(
        vm=vm_name(ip),
        zone=fields['zone'],
        caller_address=_address('listen.outbound', fields['listen.outbound']),
        stream_address=_address(
            'listen.inbound',
            fields.get('listen.control') or fields['listen.inbound'],
        ),
        admin_address=_address('portRange', f'{ip}:{admin_port}'),
        platform_address=_address(
            'platform.address', fields['platform.address']
        ),
        stream_keys=(os.environ[STREAM_KEY_VARIABLE],),
        seed_addresses=tuple(_seeds(fields)),
        caller_connections=caller_connections(fields),
        caller_memory_bytes=caller_memory_bytes(fields),
        drain_ms=grace_ms - grace_ms // _CLOSING_DIVISOR + _DRAIN_MARGIN_MS,
        ready_address=_address('listen.readyAddr', fields['listen.readyAddr']),
        service=fields.get('service', ''),
        accept_while_leaving_ms=min(_READINESS_PROPAGATION_MS, grace_ms // 2),
        # No wait for idle connections: the readiness listener has already
        # told callers to leave.
        drain_idle_ms=0,
    )


def _grace_ms(fields: dict[str, str]) -> int:
    """Return the time between a stop request and the kill."""
    bounds = _parse_fields(fields.get('bounds', '').replace(',', '\n'))
    return _duration_ms(bounds, 'grace', '6s')


def _duration_ms(fields: dict[str, str], name: str, default: str) -> int:
    try:
        duration_ms = parse_duration_ms(fields.get(name, default))
    except ValueError as error:
        raise ValueError(f'{name}: {error}') from error
    return min(duration_ms, _MAX_DURATION_MS)


def _address(name: str, text: str) -> Address:
    ip, _, port = text.rpartition(':')
    is_port = port.isascii() and port.isdecimal() and len(port) <= _PORT_DIGITS
    if not ip or not is_port or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f'{name}: {text!r} is not an IP address with a port')
    return Address(ip, int(port))


def _seeds(fields: dict[str, str]) -> Iterator[Address]:
    """Yield the seeds that can be dialled; no node waits for others."""
    for text in filter(None, fields.get('seeds', '').split(',')):
        try:
            yield _address('seeds', text)
        except ValueError as error:
            log_event('entry-refused', subject='seeds', cause=str(error))


__all__ = ('PlatformSettings', 'read_settings', 'settings_path')
