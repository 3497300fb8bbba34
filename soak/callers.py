"""Callers that send requests over persistent connections."""

from __future__ import annotations

import hashlib
import json
from contextlib import suppress
from random import Random
from typing import TYPE_CHECKING, Final

import gevent
from geventhttpclient.response import HTTPParseError

from jackdawhead.bench.client import HttpClient, HttpRequest
from jackdawhead.config.settings import Address

from .evidence import OK, SentRequest
from .organisations import (
    KEY_HEADER,
    NAME_HEADER,
    UNKNOWN_KEY,
    key_of,
    organisation_of,
)
from .work import RequestedWork, draw_long_tailed

if TYPE_CHECKING:
    from jackdawhead.bench.client import HttpResponse

    from .world import Testbed

_IP: Final = '127.0.0.1'
_TIMEOUT_S: Final = 15.0
# Share of requests that must not run twice, about as in the data sheets.
_NON_IDEMPOTENT_SHARE: Final = 0.6
# Share of requests that callers with spare connections send to stopping nodes.
_STOPPING_SHARE: Final = 0.5
_MAX_BODY_BYTES: Final = 20_000
_REQUESTS_PER_INTRUDER: Final = 20


class Caller:
    """Sends requests one after the other, each to a random node.

    :param testbed: the nodes, and the evidence to add to.
    :param seed: of the run.
    :param number: of this caller, part of its keys and its random seed.
    :param rate_per_s: requests per second.
    :param spare: connections to each node that are kept open beside the one
        in use, also while the node stops; its work then has a long tail.
    """

    def __init__(
        self,
        testbed: Testbed,
        seed: int,
        number: int,
        rate_per_s: float,
        spare: int = 0,
    ) -> None:
        self._testbed = testbed
        self._number = number
        self._rate_per_s = rate_per_s
        self._spare = spare
        self._rng = Random(f'{seed}-{number}')
        self._clients: dict[str, HttpClient] = {}

    def run(self, until_s: float) -> None:
        """Send requests until a time.

        :param until_s: seconds since the start of the run.
        """
        count = 0
        while self._testbed.now_s < until_s:
            count += 1
            vm = self._choose_node()
            is_non_idempotent = self._rng.random() < _NON_IDEMPOTENT_SHARE
            work = RequestedWork()
            if self._spare:
                work = draw_long_tailed(
                    self._rng, is_non_idempotent=is_non_idempotent
                )
            request = SentRequest(
                f'{self._number}-{count}',
                vm,
                is_non_idempotent,
                self._testbed.now_s,
                deadline_ms=work.deadline_ms,
                is_streamed=work.streamed_bytes > 0,
                is_from_holder=self._spare > 0,
                organisation=organisation_of(self._number),
            )
            if count % _REQUESTS_PER_INTRUDER == 0:
                self._send_unknown_key(vm, f'{request.key}-intruder')
            self._send(request, work)
            request.ended_s = self._testbed.now_s
            self._testbed.evidence.requests.append(request)
            gevent.sleep(self._rng.expovariate(self._rate_per_s))
        for client in self._clients.values():
            client.close()

    def _choose_node(self) -> str:
        """Choose a node; with spare connections, often one that stops."""
        stopping = self._testbed.stopping
        if self._spare and stopping and self._rng.random() < _STOPPING_SHARE:
            return self._rng.choice(stopping)
        return self._rng.choice(self._testbed.vms)

    def _send(self, request: SentRequest, work: RequestedWork) -> None:
        body = b''
        if request.is_non_idempotent:
            body = self._rng.randbytes(self._rng.randint(1, _MAX_BODY_BYTES))
        headers = {
            'X-Work-Key': request.key,
            KEY_HEADER: key_of(request.organisation),
            NAME_HEADER: 'claimed',
        }
        if work.deadline_ms:
            headers['X-Deadline-Ms'] = str(work.deadline_ms)
        http_request = HttpRequest(
            'POST' if request.is_non_idempotent else 'GET',
            f'/cultivars/{request.key}{work.query}',
            body,
            headers,
        )
        try:
            reply = self._client_of(request.node).send(http_request)
        except ConnectionRefusedError as error:
            request.is_connected = False
            request.error = repr(error)
            return
        except (OSError, HTTPParseError) as error:
            request.error = repr(error)
            return
        request.status = reply.status
        request.outcome = reply.headers.get('x-outcome', '')
        request.is_answer_valid = _is_answer_valid(request, work, body, reply)
        if reply.headers.get('connection') != 'close':
            with suppress(OSError):
                self._client_of(request.node).keep_open(self._spare)

    def _send_unknown_key(self, vm: str, work_key: str) -> None:
        headers = {'X-Work-Key': work_key, KEY_HEADER: UNKNOWN_KEY}
        request = HttpRequest('GET', f'/cultivars/{work_key}', b'', headers)
        self._testbed.evidence.keyless.append(work_key)
        with suppress(OSError, HTTPParseError):
            self._client_of(vm).send(request)

    def _client_of(self, vm: str) -> HttpClient:
        if vm not in self._clients:
            address = Address(_IP, self._testbed.node(vm).caller_port)
            self._clients[vm] = HttpClient(address, _TIMEOUT_S)
        return self._clients[vm]


def _is_answer_valid(
    request: SentRequest,
    work: RequestedWork,
    body: bytes,
    reply: HttpResponse,
) -> bool:
    if reply.status != OK:
        return True
    if work.streamed_bytes:
        return len(reply.body) == work.streamed_bytes
    try:
        answer = json.loads(reply.body)
    except ValueError:
        return False
    digest = hashlib.sha256(body).hexdigest()
    return bool(
        answer['key'] == request.key and answer['body_sha256'] == digest
    )


__all__ = ('Caller',)
