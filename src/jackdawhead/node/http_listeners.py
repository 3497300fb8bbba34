"""HTTP listeners of a node: for operators, readiness checks and callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .admin import admin_server, ready_server
from .caller_listener import caller_server
from .entry.request_stats import RequestStats

if TYPE_CHECKING:
    from contextlib import ExitStack

    from .dispatchers import Dispatchers
    from .runtime import Node


class HttpListeners:
    """Listeners of one node, not started yet.

    :param node: the running node.
    :param dispatchers: dispatchers of callers' requests.
    """

    def __init__(self, node: Node, dispatchers: Dispatchers) -> None:
        self._node = node
        self.request_stats = RequestStats()
        self.callers = caller_server(
            node.parts, dispatchers, self.request_stats
        )

    def start(self, stack: ExitStack) -> None:
        """Start listening.

        :param stack: closes the listeners on exit.
        :raises OSError: if an address cannot be bound.
        """
        settings = self._node.parts.settings
        admin = admin_server(self._node, settings.admin_address)
        admin.start()
        stack.callback(admin.stop, 0)
        if settings.ready_address is not None:
            ready = ready_server(self._node, settings.ready_address)
            ready.start()
            stack.callback(ready.stop, 0)
        self.callers.start()
        stack.callback(self.callers.stop, 0)


__all__ = ('HttpListeners',)
