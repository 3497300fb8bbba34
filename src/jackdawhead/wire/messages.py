"""Messages of the streams between nodes, one frozen class each."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, TypeVar

PROTOCOL_VERSION: Final = 5
_NO_LIMIT: Final = 1000

HeaderPairs = list[list[str]]
_MessageT = TypeVar('_MessageT')


@dataclass(frozen=True, slots=True)
class Message:
    """Base of all messages."""


MESSAGE_TYPES: Final[dict[int, type[Message]]] = {}
MESSAGE_CODES: Final[dict[type[Message], int]] = {}


def _message(code: int) -> Callable[[type[_MessageT]], type[_MessageT]]:
    def register(cls: type[_MessageT]) -> type[_MessageT]:
        MESSAGE_TYPES[code] = cls  # type: ignore[assignment]
        MESSAGE_CODES[cls] = code  # type: ignore[index]
        return cls

    return register


@_message(1)
@dataclass(frozen=True, slots=True)
class Challenge(Message):
    """First message of the accepting node.

    :param version: protocol version.
    :param nonce: random bytes that the dialling node has to sign.
    """

    version: int
    nonce: bytes


@_message(2)
@dataclass(frozen=True, slots=True)
class Hello(Message):
    """First message of the dialling node.

    :param incarnation: random number of this process start.
    :param nonce: random bytes that the accepting node has to sign.
    :param signature: keyed hash of the challenge's nonce.
    """

    version: int
    vm: str
    incarnation: int
    nonce: bytes
    signature: bytes


@_message(3)
@dataclass(frozen=True, slots=True)
class Welcome(Message):
    """Ends the handshake.

    :param signature: keyed hash of the hello's nonce.
    """

    vm: str
    incarnation: int
    signature: bytes


@_message(4)
@dataclass(frozen=True, slots=True)
class Submit(Message):
    """Asks the receiver to run a request on one of its upstreams.

    :param request_id: unique on the stream, minted for each attempt.
    :param upstream: identity of the upstream.
    :param target: path and query of the request line.
    :param deadline_ms: time left for the whole answer.
    :param may_wait: whether the home may queue it.
    :param body_bytes: length of the body, -1 if it is not known.
    :param chunk: first bytes of the body.
    :param last: whether the body ends with this chunk.
    :param host: host that the caller named.
    :param caller_service: service of the VM from which the request comes.
    :param risk_limit: the home refuses the request if the risk of a failure
        is greater, in thousandths.
    """

    request_id: int
    service: str
    upstream: str
    operation: str
    method: str
    target: str
    headers: HeaderPairs
    organisation: str
    fingerprint: int
    deadline_ms: int
    may_wait: bool
    body_bytes: int
    chunk: bytes
    last: bool
    host: str = ''
    caller_service: str = ''
    risk_limit: int = _NO_LIMIT


@_message(5)
@dataclass(frozen=True, slots=True)
class Body(Message):
    """A chunk of a request's or an answer's body."""

    request_id: int
    chunk: bytes
    last: bool


@_message(6)
@dataclass(frozen=True, slots=True)
class Credit(Message):
    """Allows the sender of a body to send that many bytes more."""

    request_id: int
    byte_count: int


@_message(7)
@dataclass(frozen=True, slots=True)
class Head(Message):
    """Status and headers of an upstream's answer, with its first bytes."""

    request_id: int
    status: int
    headers: HeaderPairs
    body_bytes: int
    chunk: bytes
    last: bool


@_message(8)
@dataclass(frozen=True, slots=True)
class Refusal(Message):
    """Ends a request without an answer of the upstream, or cuts one.

    :param outcome: value of :class:`~jackdawhead.outcome.Outcome`.
    :param reason: value of a :class:`~jackdawhead.node.reasons.Reason`.
    :param retry_after_ms: when to come back, 0 for at once elsewhere.
    """

    request_id: int
    outcome: str
    reason: str
    retry_after_ms: int


@_message(9)
@dataclass(frozen=True, slots=True)
class Cancel(Message):
    """Withdraws a request whose caller no longer waits."""

    request_id: int


@_message(10)
@dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """Shows that the sender is alive.

    :param config_version: version of the configuration in force there.
    :param config_digest: leading bits of its digest.
    :param leaving: whether the sender takes no new work.
    :param vm_list_version: version of the list of VMs there.
    """

    config_version: int
    config_digest: int
    leaving: bool
    vm_list_version: int = 0


@_message(11)
@dataclass(frozen=True, slots=True)
class DrainNews(Message):
    """An upstream of the sender takes no new work, or takes it again."""

    upstream: str
    draining: bool


@_message(12)
@dataclass(frozen=True, slots=True)
class ConfigNews(Message):
    """A published configuration, passed on between nodes.

    :param files: names and texts of the files.
    """

    version: int
    files: HeaderPairs


@_message(13)
@dataclass(frozen=True, slots=True)
class PoisonNews(Message):
    """An upstream crashed with a request of this fingerprint in flight.

    :param age_ms: time since the crash.
    """

    service: str
    fingerprint: int
    upstream: str
    age_ms: int


@_message(14)
@dataclass(frozen=True, slots=True)
class UpstreamStatus(Message):
    """Load and evidence of an upstream; sent ahead of each answer.

    :param wait_ms: expected wait of short work that arrives now.
    :param free: slots that are free.
    :param run_ms: average run time of its short work.
    :param count: outcomes that the evidence rests on.
    :param failures: how many of them are failures.
    :param median_ms: median run time of the successes, 0 if unknown.
    :param least_ms: least of the last few run times, 0 if unknown.
    :param cusum: evidence for failing, in hundredths.
    :param avoid_ms: time for which it cannot be reached, 0 if it can.
    :param risk: probability that work fails there now, in thousandths.
    """

    upstream: str
    operation: str
    wait_ms: int
    free: int
    run_ms: int
    count: int
    failures: int
    median_ms: int
    least_ms: int
    cusum: int
    avoid_ms: int
    draining: bool
    risk: int = 0


@_message(15)
@dataclass(frozen=True, slots=True)
class VmNews(Message):
    """The platform's list of VMs, passed on between nodes.

    :param text: the list as JSON, as the platform gives it.
    """

    version: int
    text: str


@_message(16)
@dataclass(frozen=True, slots=True)
class TicketSubmit(Message):
    """A request with a ticket, forwarded to the node that keeps it.

    :param ticket: signed text of the ticket.
    :param chunk: the whole body.
    """

    request_id: int
    ticket: str
    method: str
    target: str
    headers: HeaderPairs
    organisation: str
    deadline_ms: int
    chunk: bytes


@_message(17)
@dataclass(frozen=True, slots=True)
class Ping(Message):
    """Asks for an answer at once, which shows that the path is open.

    :param serial: grows with each ping on a stream.
    """

    serial: int


@_message(18)
@dataclass(frozen=True, slots=True)
class Pong(Message):
    """The answer to a ping.

    :param serial: that of the ping.
    """

    serial: int


@_message(19)
@dataclass(frozen=True, slots=True)
class VmChange(Message):
    """The difference between two lists of VMs, passed on between nodes.

    :param base: version of the earlier list.
    :param version: version of the later one.
    :param text: VMs that have changed and names of those gone, as JSON.
    """

    base: int
    version: int
    text: str


@_message(20)
@dataclass(frozen=True, slots=True)
class VmAsk(Message):
    """Asks for the whole list of VMs.

    :param version: of the list that the sender has.
    """

    version: int


__all__ = (
    'MESSAGE_CODES',
    'MESSAGE_TYPES',
    'PROTOCOL_VERSION',
    'Body',
    'Cancel',
    'Challenge',
    'ConfigNews',
    'Credit',
    'Head',
    'HeaderPairs',
    'Heartbeat',
    'Hello',
    'DrainNews',
    'Message',
    'PoisonNews',
    'Refusal',
    'Pong',
    'Ping',
    'UpstreamStatus',
    'Submit',
    'TicketSubmit',
    'VmAsk',
    'VmChange',
    'VmNews',
    'Welcome',
)
