"""Imports of what a node needs only after its home can run work."""

from __future__ import annotations

import mimetypes
from importlib import import_module
from typing import TYPE_CHECKING, Final

import gevent

from ..clock import seconds

if TYPE_CHECKING:
    from .http_listeners import HttpListeners

# One step each, so that the home is not held up for long at a time.
_STEPS: Final = ('gevent.pywsgi', 'asyncio', 'falcon', 'prometheus_client')
# Enough for the handshakes of links, which take several round trips.
_PAUSE_MS: Final = 20


def import_listeners() -> type[HttpListeners]:
    """Import the HTTP listeners in steps, between which other tasks run."""
    # Falcon would read the VM's files of media types, which no answer needs.
    mimetypes.init(())
    for module in _STEPS:
        import_module(module)
        gevent.sleep(seconds(_PAUSE_MS))
    from .http_listeners import HttpListeners

    return HttpListeners


__all__ = ('import_listeners',)
