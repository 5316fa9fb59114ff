"""Rows of another writer name the addresses of servers, for another service."""

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

import world as w  # noqa: E402

SERVERS = 3
REQUESTS = 30
FIRST, ADDED = '/plain/first/30', '/plain/added/30'


def is_served(reply):
    return reply.status == 200 and 'x-server-signature' in reply.headers


async def measure(world):
    """Send requests on each route to all entries in turn.

    :returns: the share served of each route.
    """
    replies = {FIRST: [], ADDED: []}
    for count in range(REQUESTS):
        for path, tasks in replies.items():
            entry = world.entries[count % len(world.entries)]
            tasks.append(
                asyncio.create_task(world.call(entry, path, 'GET', 4000))
            )
        await asyncio.sleep(0.1)
    shares = {}
    for path, tasks in replies.items():
        done = await asyncio.gather(*tasks)
        shares[path] = sum(map(is_served, done)) / len(done)
        world.record.write('share_served', path=path, share=shares[path])
    return shares


def write_foreign_rows(world):
    """Write a row for the address of each server of the added route.

    They are complete, but their service is none of the configuration.
    """
    for number, server in enumerate(world.servers):
        if server.service != 'added':
            continue
        row = {
            **server.fields(),
            'service': 'inventory',
            'sequence': 1,
            'born': int(time.time() * 1000),
        }
        world.store.put('servers', f'inventory-{number}', row)
        world.record.write('foreign_row', address=server.address)


async def play(record, trouble):
    world = w.World(record)
    for service in ('first', 'added'):
        for _ in range(SERVERS):
            world.add_server(service)
    world.add_route('/plain/first/', 'idempotent', 'first', timeout_ms=2000)
    try:
        await world.start()
        world.add_route('/plain/added/', 'idempotent', 'added', timeout_ms=2000)
        world.configure()
        await asyncio.sleep(w.CONTACT_S)
        before = await measure(world)
        if trouble:
            write_foreign_rows(world)
        # All servers go on to write their own rows.
        await asyncio.sleep(3 * w.HEARTBEAT_S + w.CONTACT_S)
        after = await measure(world)
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
