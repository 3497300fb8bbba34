"""Read-only client of the platform."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
from returns.result import Failure, Result, Success

from ..clock import seconds
from ..config.load import ConfigLoader
from ..config.sources import MAX_CONFIG_BYTES
from ..json_parts import DECODE_ERRORS, decode_parts
from .listed_types import Version

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..blackboard import VmList
    from ..config.load import SourceLoader
    from ..config.settings import Address

_OK: Final = 200
_NO_CONTENT: Final = 204
_REQUEST_TIMEOUT_MS: Final = 3000
_REQUEST_ERRORS: Final = (OSError, HTTPParseError, ValueError)


class _Answer(msgspec.Struct, frozen=True):
    version: Version
    content: Any = msgspec.field(name='value')


@dataclass(frozen=True, slots=True)
class PublishedValue:
    """A value published by the platform.

    :param version: version, which increases with each change.
    :param content: the decoded JSON value.
    :param generation: generation that the version of a VM list belongs to, 0
        if unknown.
    """

    version: int
    content: Any
    generation: int = 0


class PlatformSource(ABC):
    """Source of the configuration and the VM list.

    The attribute ``call_count`` counts the calls to the platform. The attribute
    ``proof_ms`` is the time within which the entry of an upstream that no
    longer reports is gone, after a return of the platform.
    """

    call_count: int = 0
    proof_ms: float = 0

    def follow(self, list_in_force: Callable[[], VmList]) -> None:
        """Use the VM list that the node follows; ignored by default.

        :param list_in_force: returns that list.
        """

    def on_silence(self, note_silence: Callable[[], None]) -> None:
        """Tell when the platform falls silent while it is watched.

        A source that can't tell it early ignores this.

        :param note_silence: is called then.
        """

    def is_provisional(self, version: int) -> bool:
        """Return whether VM lists of a version may differ; none by default.

        :param version: version of a VM list that this source gives.
        """
        return False

    def config_loader(self) -> SourceLoader:
        """Return a loader for the configurations that this source gives."""
        return ConfigLoader()

    @abstractmethod
    def read(
        self,
        key: str,
        after: int,
        wait_ms: int,
    ) -> Result[PublishedValue | None, str]:
        """Read a value if it is newer than a known version.

        :param key: name of the value, ``config`` or ``vms``.
        :param after: the known version.
        :param wait_ms: how long the platform may hold the call until there
            is a newer value, in milliseconds; 0 for not at all.
        :returns: the value, ``None`` if there is no newer one, or why the
            call failed.
        """


class PlatformClient(PlatformSource):
    """Client of jackdawhead's own platform interface.

    :param address: IP address and port of the platform.
    """

    def __init__(self, address: Address) -> None:
        self._address = address

    def read(
        self,
        key: str,
        after: int,
        wait_ms: int,
    ) -> Result[PublishedValue | None, str]:
        self.call_count += 1
        client = HTTPClient(
            self._address.ip,
            self._address.port,
            connection_timeout=seconds(_REQUEST_TIMEOUT_MS),
            network_timeout=seconds(_REQUEST_TIMEOUT_MS + wait_ms),
        )
        try:
            return _read(client, f'/v1/{key}?after={after}&wait_ms={wait_ms}')
        except _REQUEST_ERRORS as error:
            return Failure(f'{type(error).__name__}: {error}')
        finally:
            client.close()


def _read(
    client: HTTPClient, target: str
) -> Result[PublishedValue | None, str]:
    response = client.get(target)
    if response.status_code == _NO_CONTENT:
        return Success(None)
    if response.status_code != _OK:
        return Failure(f'status {response.status_code}')
    return decode_published(response.read(2 * MAX_CONFIG_BYTES))


def decode_published(body: bytes) -> Result[PublishedValue | None, str]:
    """Decode an answer of the platform.

    :param body: JSON object with the version and the value.
    :returns: the value, or why the answer is invalid.
    """
    try:
        answer = decode_parts(body, _Answer)
    except DECODE_ERRORS as error:
        return Failure(str(error))
    return Success(PublishedValue(answer.version, answer.content))


__all__ = (
    'PlatformClient',
    'PlatformSource',
    'PublishedValue',
    'decode_published',
)
