"""One entry freezes while requests wait there for a slot."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

import world as w  # noqa: E402

FROZEN_S = 4.0
SERVERS = 3
SLOTS = 4
REQUESTS = 30
WARM_UP_REQUESTS = 8
FIRST, ADDED = '/plain/first/30', '/plain/added/30'


def is_served(reply):
    return reply.status == 200 and 'x-server-signature' in reply.headers


async def measure(world, paths, number):
    """Send requests on each path to all entries in turn.

    :returns: the share served of each path.
    """
    replies = {path: [] for path in paths}
    for count in range(number):
        for path in paths:
            entry = world.entries[count % len(world.entries)]
            replies[path].append(
                asyncio.create_task(world.call(entry, path, 'GET', 4000))
            )
        await asyncio.sleep(0.15)
    shares = {}
    for path, tasks in replies.items():
        done = await asyncio.gather(*tasks)
        shares[path] = sum(map(is_served, done)) / len(done)
        world.record.write('share_served', path=path, share=shares[path])
    return shares


async def burst(world, trouble):
    """Let requests wait at the first entry while the second uses all slots."""
    first, second = world.entries
    slots = SERVERS * SLOTS
    tasks = [
        asyncio.create_task(
            world.call(second, '/plain/added/1200', 'GET', 4000)
        )
        for _ in range(slots)
    ]
    await asyncio.sleep(0.2)
    tasks += [
        asyncio.create_task(world.call(first, '/plain/added/60', 'GET', 4000))
        for _ in range(slots)
    ]
    await asyncio.sleep(0.15)
    if trouble:
        first.signal(signal.SIGSTOP)
    await asyncio.sleep(FROZEN_S)
    if trouble:
        first.signal(signal.SIGCONT)
    await asyncio.gather(*tasks)


async def play(folder, trouble):
    world = w.World(folder)
    for _ in range(SERVERS):
        world.add_server('first', SLOTS)
    for _ in range(SERVERS):
        world.add_server('added', SLOTS)
    world.add_route('/plain/first/', 'idempotent', 'first', timeout_ms=2000)
    try:
        await world.start()
        world.add_route('/plain/added/', 'idempotent', 'added', timeout_ms=2000)
        world.configure()
        await asyncio.sleep(w.CONTACT_S)
        before = await measure(world, [FIRST, ADDED], WARM_UP_REQUESTS)
        await burst(world, trouble)
        # Steady state: contactMs after the end of the disruption.
        await asyncio.sleep(w.CONTACT_S + 2)
        after = await measure(world, [FIRST, ADDED], REQUESTS)
    finally:
        await world.close()
    print(f'served before: {before}; in steady state after: {after}')
    if after[ADDED] < after[FIRST] / 4:
        return [
            f'CONFIG: {after[ADDED]:.2f} served on the added route,'
            f' {after[FIRST]:.2f} on the first'
        ]
    return []


if __name__ == '__main__':
    w.main(HERE, play)
