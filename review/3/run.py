"""One entry freezes while streams wait there for a slot."""

import asyncio
import os
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
FIRST, ADDED = '/plain/first/30', '/words/added/1'
# Time between two streams; the same before, during and after the freeze.
ARRIVAL_S = 0.08
LONG_STREAM = '/words/added/60'


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
            method = 'GET' if path == FIRST else 'POST'
            replies[path].append(
                asyncio.create_task(world.call(entry, path, method, 4000))
            )
        await asyncio.sleep(ARRIVAL_S)
    shares = {}
    for path, tasks in replies.items():
        done = await asyncio.gather(*tasks)
        shares[path] = sum(map(is_served, done)) / len(done)
        world.record.write('share_served', path=path, share=shares[path])
    return shares


async def fill_slots(world, trouble):
    """Fill all slots by one entry, while later streams wait at the other one.

    Streams arrive at the same rate all the time.
    """
    first, second = world.entries
    slots = SERVERS * SLOTS
    tasks = []
    for entry, path in ((second, LONG_STREAM), (first, ADDED)):
        for _ in range(slots):
            tasks.append(asyncio.create_task(world.call(entry, path, 'POST')))
            await asyncio.sleep(ARRIVAL_S)
    if trouble:
        first.signal(signal.SIGSTOP)
    await asyncio.sleep(FROZEN_S)
    if trouble:
        first.signal(signal.SIGCONT)
    await asyncio.gather(*tasks)


async def play(record, trouble):
    world = w.World(record)
    for _ in range(SERVERS):
        world.add_server('first', SLOTS)
    for _ in range(SERVERS):
        world.add_server('added', SLOTS)
    world.add_route('/plain/first/', 'idempotent', 'first', timeout_ms=2000)
    try:
        await world.start()
        world.add_route('/words/added/', 'streaming', 'added', resumable=True)
        world.configure()
        await asyncio.sleep(w.CONTACT_S)
        before = await measure(world, [FIRST, ADDED], WARM_UP_REQUESTS)
        await fill_slots(world, trouble)
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
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Path(os.environ.get('RECORD', HERE / 'record.txt'))
    w.main(play, trouble, record)
