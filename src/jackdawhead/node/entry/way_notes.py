"""Notes sizes of transfers, and the ways that they take."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...policy.answer_sizes import UNKNOWN_LENGTH
from ...policy.way_traffic import WayLabel

if TYPE_CHECKING:
    from ...policy.loads import UpstreamLoad
    from ...wire.messages import Head
    from .call_state import Call


def note_sent(call: Call, load: UpstreamLoad) -> None:
    """Count an attempt.

    :param call: the request.
    :param load: upstream to which it is sent.
    """
    call.router.ways.traffic.note_sent(_label_of(call, load))


def note_answered(call: Call, load: UpstreamLoad, head: Head) -> None:
    """Learn the size of a request with its answer, and count its bytes.

    :param call: the request.
    :param load: upstream that has answered.
    :param head: head of the answer.
    """
    answer_bytes = max(head.body_bytes, len(head.chunk))
    router = call.router
    is_known = head.last or head.body_bytes >= 0
    router.answer_sizes.note(
        call.operation.name, answer_bytes if is_known else UNKNOWN_LENGTH
    )
    router.transfer_sizes.note(
        call.operation.name, call.request.body_bytes + answer_bytes
    )
    router.ways.traffic.note_answer(_label_of(call, load), answer_bytes)


def _label_of(call: Call, load: UpstreamLoad) -> WayLabel:
    router = call.router
    way = router.ways.way_to(load.zone)
    return WayLabel(router.service.name, call.operation.name, way)


__all__ = ('note_answered', 'note_sent')
