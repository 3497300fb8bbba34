"""A machine's service changes in its settings file, without a signal."""

from __future__ import annotations

import asyncio
import os
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig import Caller, World, config, now, route, run_script  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
CALLERS = 4
CHANGED = '127.1.0.1'
# Requests that were on their way when the file changed don't count.
SETTLED_S = 0.1
CHANGES = 3
SERVICES = ('desk', 'archive')


class Case:
    """The fleet, and whose requests its backends have run."""

    def __init__(self) -> None:
        self.world = World(HERE, ['basel-a'])
        self.answers: Counter = Counter()
        self.service = 'desk'
        self.changed_at = now()
        self.sent: dict[str, tuple[float, str]] = {}
        self.broken: list[float] = []
        self.is_over = False

    async def run(self) -> int:
        """Run the case; return the exit code."""
        world = self.world
        routes = [route('r-post', '/post/', 'desk', 'non_idempotent')]
        world.store.put('op/config', config(7, routes, ['desk', 'archive']))
        await world.add(CHANGED, 'basel-a', 'desk')
        await world.add('127.1.0.2', 'basel-a', 'desk')
        if not await world.await_ready():
            return 2
        await asyncio.sleep(1)
        for upstream in world.upstreams:
            upstream.faults.append(self._check)
        callers = [
            asyncio.ensure_future(self._register(Caller(world, CHANGED)))
            for _ in range(CALLERS)
        ]
        await asyncio.sleep(1)
        for number in range(1, CHANGES + 1):
            if HAS_TROUBLE:
                self.service = SERVICES[number % 2]
                world.nodes[0].service = self.service
                world.nodes[0].write_settings()
                self.changed_at = now()
                world.record.note('settings-changed', service=self.service)
            await asyncio.sleep(3.37)
        self.is_over = True
        await asyncio.gather(*callers)
        print('callers got', dict(self.answers))
        print(f'{len(self.broken)} ran under another service;',
              f'the last {max(self.broken, default=0):.2f} s after a change')
        return 1 if self.broken else 0

    async def _check(self, upstream, request, writer) -> bool:
        _, headers, _ = request
        request_id = headers['request-id']
        after = now() - self.changed_at
        if headers.get('caller-service') != self.service and after > SETTLED_S:
            self.broken.append(after)
            self.world.record.note(
                'UNASKED', id=request_id, service=headers['caller-service']
            )
        return False

    async def _register(self, caller) -> None:
        while not self.is_over:
            _, status, _, _ = await caller.send('POST', '/post/2f', b'x' * 400)
            self.answers[status] += 1


async def main() -> int:
    """Run the case and end what it started."""
    case = Case()
    try:
        return await case.run()
    finally:
        await case.world.close()


run_script(main)
