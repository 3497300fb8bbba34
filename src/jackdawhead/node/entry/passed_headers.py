"""Selects the headers of a caller's request that are passed on."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..home.request_head import HOP_BY_HOP
from ..http_keys import HEADERS_KEY

if TYPE_CHECKING:
    from ...wire.messages import HeaderPairs
    from .key_check import Caller


def passed_headers(environ: dict[str, Any], caller: Caller) -> HeaderPairs:
    """Return the end-to-end headers, with the name of the organisation.

    A caller's key and its own claims about its organisation are dropped.

    :param environ: WSGI environment.
    :param caller: who sent the request.
    """
    names = caller.names
    fleet_headers = {
        names.deadline_ms.lower(),
        names.caller_service.lower(),
        names.instance.lower(),
    }
    # Headers that the Connection header lists are hop-by-hop, too (RFC 9110).
    hop_by_hop = environ.get('HTTP_CONNECTION', '').lower().split(',')
    dropped = HOP_BY_HOP | fleet_headers | {each.strip() for each in hop_by_hop}
    pairs: HeaderPairs = environ[HEADERS_KEY]
    kept = [each for each in pairs if each[0].lower() not in dropped]
    return _identified(kept, caller) if caller.is_identified_by_key else kept


def _identified(pairs: HeaderPairs, caller: Caller) -> HeaderPairs:
    names = caller.names
    dropped = {
        _folded(names.credential),
        _folded(names.organisation),
        _folded(names.upstream_organisation),
    }
    kept = [each for each in pairs if _folded(each[0]) not in dropped]
    if caller.organisation and names.upstream_organisation:
        kept.append([names.upstream_organisation, caller.organisation])
    return kept


def _folded(name: str) -> str:
    """Return a name as upstreams see it that don't tell ``_`` from ``-``."""
    return name.lower().replace('_', '-')


__all__ = ('passed_headers',)
