"""Pulls newer configurations and VM lists from other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent

from ..blackboard import ConfigId
from ..clock import monotonic_ms, seconds
from ..policy.list_order import ListOrder
from ..policy.pull_schedule import PullSchedule
from ..wire.messages import ConfigRequest, VmListRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..wire.messages import Heartbeat
    from .links import Link
    from .parts import NodeParts

# Time for an update to spread within the zone from the nodes that watch the
# platform; only then is a node of another zone asked.
_CONFIG_ZONE_PROPAGATION_MS: Final = 300
_VM_LIST_ZONE_PROPAGATION_MS: Final = 700


class UpdatePuller:
    """Requests updates from nodes that announce a newer version.

    :param parts: controllers of this node.
    :param is_same_zone: returns whether a link leads to a node of the same
        zone as this node.
    """

    def __init__(
        self,
        parts: NodeParts,
        is_same_zone: Callable[[Link], bool],
    ) -> None:
        self._board = parts.board
        self._is_same_zone = is_same_zone
        self._config = PullSchedule(_CONFIG_ZONE_PROPAGATION_MS)
        self._vm_list = PullSchedule(_VM_LIST_ZONE_PROPAGATION_MS)
        self._board.config.subscribe(lambda _: self._config.note_update())
        self._board.vm_list.subscribe(lambda _: self._vm_list.note_update())

    def note_heartbeat(self, link: Link, beat: Heartbeat) -> None:
        """Record a peer's versions and request those that are newer.

        :param link: link to the peer.
        :param beat: its heartbeat.
        """
        link.config_id = ConfigId(beat.config_version, beat.config_digest)
        link.vm_list_order = ListOrder(
            beat.vm_list_generation, beat.vm_list_version
        )
        link.is_leaving = beat.leaving
        if beat.config_version and beat.vm_list_version:
            link.knows_upstreams.set()
        if self._is_config_behind(link):
            self._schedule_request(link, self._config, self._request_config)
        if self._is_vm_list_behind(link):
            self._schedule_request(link, self._vm_list, self._request_vm_list)

    def _schedule_request(
        self,
        link: Link,
        schedule: PullSchedule,
        send_request: Callable[[Link], None],
    ) -> None:
        has_no_list = not self._board.vm_list.read().vms
        delay_ms = schedule.pull_delay_ms(
            monotonic_ms(), is_same_zone=has_no_list or self._is_same_zone(link)
        )
        if delay_ms:
            gevent.spawn_later(seconds(delay_ms), send_request, link)
        elif delay_ms is not None:
            send_request(link)

    def _is_config_behind(self, link: Link) -> bool:
        return self._board.config.read().config_id < link.config_id

    def _is_vm_list_behind(self, link: Link) -> bool:
        return self._board.vm_list.read().order < link.vm_list_order

    def _request_config(self, link: Link) -> None:
        if not self._is_config_behind(link):
            return
        if link.is_ready and self._config.try_begin_pull(monotonic_ms()):
            config_id = self._board.config.read().config_id
            link.send(ConfigRequest(config_id.version, config_id.digest))

    def _request_vm_list(self, link: Link) -> None:
        if not self._is_vm_list_behind(link):
            return
        if link.is_ready and self._vm_list.try_begin_pull(monotonic_ms()):
            order = self._board.vm_list.read().order
            link.send(VmListRequest(order.version, order.generation))


__all__ = ('UpdatePuller',)
