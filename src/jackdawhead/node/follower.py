"""Fetches newer configurations and lists of VMs from other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent

from ..blackboard import ConfigMark
from ..clock import monotonic_ms, seconds
from ..policy.catch_up import CatchUp
from ..wire.messages import ConfigAsk, VmAsk

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..wire.messages import Heartbeat
    from .links import Link
    from .parts import NodeParts

# Times that the readers of a zone have to pass news on within it.
_CONFIG_SPREAD_MS: Final = 300
_LIST_SPREAD_MS: Final = 700


class NewsFollower:
    """Asks the nodes that announce something newer than is known here.

    :param parts: controllers of this node.
    :param is_near: tells whether a link leads to a node of the same zone.
    """

    def __init__(
        self,
        parts: NodeParts,
        is_near: Callable[[Link], bool],
    ) -> None:
        self._board = parts.board
        self._is_near = is_near
        self._config = CatchUp(_CONFIG_SPREAD_MS)
        self._vm_list = CatchUp(_LIST_SPREAD_MS)
        self._board.config.on_change(lambda _: self._config.note_answer())
        self._board.vm_list.on_change(lambda _: self._vm_list.note_answer())

    def hear(self, link: Link, beat: Heartbeat) -> None:
        """Take in which versions another node has.

        :param link: way to the node.
        :param beat: its heartbeat.
        """
        link.config_mark = ConfigMark(beat.config_version, beat.config_digest)
        link.vm_list_version = beat.vm_list_version
        if self._is_config_behind(link):
            self._plan(link, self._config, self._ask_config)
        if self._is_list_behind(link):
            self._plan(link, self._vm_list, self._ask_list)

    def _plan(
        self,
        link: Link,
        catch_up: CatchUp,
        ask: Callable[[Link], None],
    ) -> None:
        knows_nothing = not self._board.vm_list.read().vms
        delay_ms = catch_up.delay_ms(
            monotonic_ms(), is_near=knows_nothing or self._is_near(link)
        )
        if delay_ms:
            gevent.spawn_later(seconds(delay_ms), ask, link)
        elif delay_ms is not None:
            ask(link)

    def _is_config_behind(self, link: Link) -> bool:
        return self._board.config.read().mark < link.config_mark

    def _is_list_behind(self, link: Link) -> bool:
        return self._board.vm_list.read().version < link.vm_list_version

    def _ask_config(self, link: Link) -> None:
        if not self._is_config_behind(link):
            return
        if link.is_ready and self._config.may_ask(monotonic_ms()):
            mark = self._board.config.read().mark
            link.send(ConfigAsk(mark.version, mark.digest))

    def _ask_list(self, link: Link) -> None:
        if not self._is_list_behind(link):
            return
        if link.is_ready and self._vm_list.may_ask(monotonic_ms()):
            link.send(VmAsk(self._board.vm_list.read().version))


__all__ = ('NewsFollower',)
