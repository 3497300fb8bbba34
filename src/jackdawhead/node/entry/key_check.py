"""Checks the keys of callers against the configuration in force."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from ...config.credentials import key_id
from ...config.model import HeaderNames
from ...logs import log_event
from ...outcome import Outcome
from ...policy.credentials import KeyTable, digest_of
from ...reasons import Reason
from .request_fields import header_of, host_of, path_of
from .requests import Refused

if TYPE_CHECKING:
    from ...blackboard import Blackboard
    from ...config.model import Config
    from ...config.organisation import Organisation
    from ..pause_watch import PauseWatch
    from .routing import RoutingController

_REFUSED: Final = Refused(Outcome.NOT_RUN, Reason.UNKNOWN_KEY)
_NO_KEY: Final = 'none'


@dataclass(frozen=True, slots=True)
class Caller:
    """Who sent a request.

    :param config: configuration that the key was checked against, if any.
    :param organisation: organisation that the key belongs to, if any.
    :param key_digest: digest of that key.
    """

    config: Config | None
    organisation: str = ''
    key_digest: str = ''

    @property
    def names(self) -> HeaderNames:
        """Names of the headers in that configuration."""
        return HeaderNames() if self.config is None else self.config.headers

    @property
    def is_identified_by_key(self) -> bool:
        """Whether only a key tells who the caller is."""
        return self.config is not None and self.config.requires_keys


class KeyCheck:
    """Finds out who sends a request.

    :param board: source of the configuration.
    :param routing: source of the routes.
    :param pauses: delays requests until this node has caught up after a pause.
    """

    def __init__(
        self,
        board: Blackboard,
        routing: RoutingController,
        pauses: PauseWatch,
    ) -> None:
        self._board = board
        self._routing = routing
        self._pauses = pauses
        self._organisations: dict[str, Organisation] = {}
        self._keys = KeyTable(())

    def identify(self, environ: dict[str, Any]) -> Caller | Refused:
        """Return who sends a request, or the refusal of its key.

        A request that matches no route is not refused here.

        :param environ: WSGI environment.
        """
        config = self._config()
        if config is None or not config.requires_keys:
            return Caller(config)
        self._pauses.wait_until_synced()
        return self._identify(environ, self._config() or config)

    def confirm(
        self, environ: dict[str, Any], caller: Caller
    ) -> Caller | Refused:
        """Return who sends a request by the configuration in force now.

        :param environ: WSGI environment.
        :param caller: who sent it when its body had not been read.
        """
        self._pauses.wait_until_synced()
        config = self._config()
        if config is caller.config or config is None:
            return caller
        if config.requires_keys:
            return self._identify(environ, config)
        return Caller(config)

    def _config(self) -> Config | None:
        loaded = self._board.config.read().loaded
        return None if loaded is None else loaded.config

    def _identify(
        self, environ: dict[str, Any], config: Config
    ) -> Caller | Refused:
        names = config.headers
        digest = digest_of(
            header_of(environ, names.credential), names.credential_scheme
        )
        owner = self._table(config).owner(digest)
        if owner is not None:
            return Caller(config, owner.name, digest)
        if self._may_be_unknown(environ):
            return Caller(config)
        log_event(
            'key-refused',
            id=header_of(environ, names.request_id),
            key=key_id(digest) or _NO_KEY,
            config_version=self._board.config.read().version,
        )
        return _REFUSED

    def _table(self, config: Config) -> KeyTable:
        if config.organisations is not self._organisations:
            self._organisations = config.organisations
            self._keys = KeyTable(config.organisations.values())
        return self._keys

    def _may_be_unknown(self, environ: dict[str, Any]) -> bool:
        table = self._routing.table
        if table is None:
            return True
        route = table.match(
            environ['REQUEST_METHOD'], path_of(environ), host_of(environ)
        )
        return route is None or route.is_public


__all__ = ('Caller', 'KeyCheck')
