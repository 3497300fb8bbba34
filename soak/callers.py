"""Callers that send work over connections which they keep."""

from __future__ import annotations

import hashlib
import json
from random import Random
from typing import TYPE_CHECKING, Final

import gevent
from geventhttpclient.response import HTTPParseError

from jackdawhead.bench.client import Call, CallerClient
from jackdawhead.config.settings import Address

from .evidence import OK, Sent

if TYPE_CHECKING:
    from jackdawhead.bench.client import Reply

    from .world import World

_IP: Final = '127.0.0.1'
_TIMEOUT_S: Final = 15.0
# Share of the work that must not run twice, about that of the sheets.
_ONCE_SHARE: Final = 0.6
_DEADLINE_MS: Final = 2000
_MOST_BYTES: Final = 20_000


class Caller:
    """Sends one request after the other, each to any node.

    :param world: the nodes, and the evidence.
    :param number: of this caller, for its keys and its randomness.
    :param rate: requests a second.
    """

    def __init__(
        self,
        world: World,
        seed: int,
        number: int,
        rate: float,
    ) -> None:
        self._world = world
        self._number = number
        self._rate = rate
        self._rng = Random(f'{seed}-{number}')
        self._clients: dict[str, CallerClient] = {}

    def run(self, ends_s: float) -> None:
        """Send requests until a time.

        :param ends_s: time since the start of the soak.
        """
        count = 0
        while self._world.now_s < ends_s:
            count += 1
            vm = self._rng.choice(self._world.vms)
            sent = Sent(
                f'{self._number}-{count}',
                vm,
                self._rng.random() < _ONCE_SHARE,
                self._world.now_s,
            )
            self._send(sent)
            sent.ended_s = self._world.now_s
            self._world.evidence.sent.append(sent)
            gevent.sleep(self._rng.expovariate(self._rate))
        for client in self._clients.values():
            client.close()

    def _send(self, sent: Sent) -> None:
        body = b''
        if sent.is_once:
            body = self._rng.randbytes(self._rng.randint(1, _MOST_BYTES))
        call = Call(
            'POST' if sent.is_once else 'GET',
            f'/cultivars/{sent.key}',
            body,
            {'X-Work-Key': sent.key, 'X-Deadline-Ms': str(_DEADLINE_MS)},
        )
        try:
            reply = self._client(sent.node).send(call)
        except ConnectionRefusedError as error:
            sent.is_connected = False
            sent.error = repr(error)
            return
        except (OSError, HTTPParseError) as error:
            sent.error = repr(error)
            return
        sent.status = reply.status
        sent.outcome = reply.headers.get('x-outcome', '')
        sent.is_own = _is_own(sent, body, reply)

    def _client(self, vm: str) -> CallerClient:
        if vm not in self._clients:
            address = Address(_IP, self._world.node(vm).caller_port)
            self._clients[vm] = CallerClient(address, _TIMEOUT_S)
        return self._clients[vm]


def _is_own(sent: Sent, body: bytes, reply: Reply) -> bool:
    if reply.status != OK:
        return True
    try:
        plain = json.loads(reply.body)
    except ValueError:
        return False
    digest = hashlib.sha256(body).hexdigest()
    return bool(plain['key'] == sent.key and plain['body_sha256'] == digest)


__all__ = ('Caller',)
