"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from returns.result import Failure, Result, Success

from ..config.problems import Place, Problem
from ..config.settings import Address, NodeSettings
from ..node.upstream_list import vm_name
from .formats import parse_duration_ms
from .names import SETTINGS_FILE_VARIABLE, STREAM_KEY_VARIABLE

_DEFAULT_PATH: Final = '/etc/jackdawhead/local.conf'
_ZONE_PREFIX: Final = 'zones.'
# Entries lapse after three intervals of silence, the first of which may be
# almost over when the platform goes away.
_LAPSE_INTERVALS: Final = 2
# Two questions a second apart without a 200 take a node out; what callers
# had sent by then arrives a moment later.
_NOTICED_MS: Final = 2600
# Work in progress has all but the last sixth of the time before a kill, and
# a moment more; what is left is for closing.
_CLOSING_PART: Final = 6
_MOMENT_MS: Final = 100


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """What the platform tells a process.

    :param node: settings of the node.
    :param zones: regions by availability zone.
    :param lapse_ms: silence after which an upstream's entry may lapse.
    """

    node: NodeSettings
    zones: dict[str, str]
    lapse_ms: int


def settings_path() -> Path:
    """Return where the settings file of this process is."""
    return Path(os.environ.get(SETTINGS_FILE_VARIABLE, _DEFAULT_PATH))


def read_settings(path: Path) -> Result[PlatformSettings, tuple[Problem, ...]]:
    """Read and check the settings file.

    :param path: the file.
    :returns: the settings, or what is wrong with them.
    """
    try:
        fields = _fields(path.read_text(encoding='utf-8'))
        return Success(_build(fields))
    except KeyError as error:
        cause = f'the field {error} is missing'
    except (OSError, ValueError) as error:
        cause = str(error)
    problem = Problem(
        Place(str(path)), '', cause, 'look at what the platform has written'
    )
    return Failure((problem,))


def _fields(text: str) -> dict[str, str]:
    pairs = (line.partition('=') for line in text.splitlines() if '=' in line)
    return {name.strip(): field.strip() for name, _, field in pairs}


def _build(fields: dict[str, str]) -> PlatformSettings:
    zones = {
        name.removeprefix(_ZONE_PREFIX): region
        for name, region in fields.items()
        if name.startswith(_ZONE_PREFIX)
    }
    zones.setdefault(fields['zone'], fields.get('region', fields['zone']))
    heartbeat_ms = parse_duration_ms(fields.get('heartbeat', '1500ms'))
    return PlatformSettings(
        _node_settings(fields), zones, _LAPSE_INTERVALS * heartbeat_ms
    )


def _node_settings(fields: dict[str, str]) -> NodeSettings:
    ip = fields['ip']
    # The first port of the range; nodes need no other one among themselves.
    admin_port = int(fields['portRange'].partition(',')[0])
    grace_ms = _grace_ms(fields)
    seeds = filter(None, fields.get('seeds', '').split(','))
    return NodeSettings(
        vm=vm_name(ip),
        zone=fields['zone'],
        caller_address=Address.parse(fields['listen.outbound']),
        stream_address=Address.parse(
            fields.get('listen.control') or fields['listen.inbound']
        ),
        admin_address=Address(ip, admin_port),
        platform_address=Address.parse(fields['platform.address']),
        stream_keys=(os.environ[STREAM_KEY_VARIABLE],),
        seed_addresses=tuple(Address.parse(each) for each in seeds),
        drain_ms=grace_ms - grace_ms // _CLOSING_PART + _MOMENT_MS,
        ready_address=Address.parse(fields['listen.readyAddr']),
        service=fields.get('service', ''),
        accept_while_leaving_ms=min(_NOTICED_MS, grace_ms // 2),
        # Callers there are told by the readiness listener before.
        drain_idle_ms=0,
    )


def _grace_ms(fields: dict[str, str]) -> int:
    """Return the time between the question to stop and the kill."""
    bounds = _fields(fields.get('bounds', '').replace(',', '\n'))
    return parse_duration_ms(bounds.get('grace', '6s'))


__all__ = ('PlatformSettings', 'read_settings', 'settings_path')
