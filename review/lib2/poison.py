"""Servers that crash on one request, and the check of rule BUDGET for it."""

import asyncio
import random
import socket
import struct
import time

from standins import BOUNDS, Server

POISON = b'{"text": "poison"}'
# "The server is back after some seconds."
BACK_AFTER_S = 3.0
# "Or after three heartbeat intervals of silence."
EXPIRY_S = 3.6
PIECE_S = 0.06
RESET = struct.pack('ii', 1, 0)


class CrashingServer(Server):
    """A sound server, but for one request that crashes it.

    It streams events where the request states token counts, as engines do.
    """

    # Time from the begin of the run to the crash, None if it does not crash.
    crash_after_s = None

    def __init__(self, *args, **fields):
        super().__init__(*args, **fields)
        self.writers = set()
        self.is_up = True

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def run(self, attempt, headers, body, reader, writer):
        name = self.name
        if body == POISON and self.crash_after_s is not None:
            asyncio.get_running_loop().call_later(self.crash_after_s, self.crash, name, attempt)
        if 'x-token-counts' not in headers:
            await asyncio.sleep(max(self.work_s, 2 * (self.crash_after_s or 0) * (body == POISON)))
            if self.name != name or not self.is_up:
                return False
            self.send(writer, 200, self.headers(attempt), f'answer to {attempt}'.encode())
            return True
        fields = {**self.headers(attempt), 'Content-Type': 'text/event-stream',
                  'Transfer-Encoding': 'chunked'}
        lines = ['HTTP/1.1 200 OK', *(f'{k}: {v}' for k, v in fields.items()), '', '']
        writer.write('\r\n'.join(lines).encode())
        first = int(headers.get('last-event-id', -1)) + 1
        for number in range(first, int(headers['x-token-counts'].split(',')[1])):
            await asyncio.sleep(PIECE_S)
            if self.name != name or not self.is_up or writer.is_closing():
                return False
            event = f'id: {number}\ndata: token {number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True

    def crash(self, name, attempt):
        """End as a killed process does: reset all connections, listen no more."""
        if self.name != name or not self.is_up:
            return
        self.is_up = False
        self.record.write('crash', server=name, attempt=attempt)
        self.server.close()
        for task in self.tasks:
            task.cancel()
        for writer in list(self.writers):
            sock = writer.get_extra_info('socket')
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()
        self.tasks = [asyncio.create_task(self.restart(name))]
        self.expiry = asyncio.create_task(self.expire(name))

    async def expire(self, name):
        await asyncio.sleep(EXPIRY_S)
        await self.store.put('servers', name, None)

    async def restart(self, _former):
        await asyncio.sleep(BACK_AFTER_S)
        self.name = f'i-{random.getrandbits(40):010x}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.is_up = True
        await self.start()


def check(record, in_touch_from):
    """Check rule BUDGET for the request that crashes servers.

    :param in_touch_from: function of a time that tells since when all entries
        have been in touch then, None if one is not.
    :returns: retries that count.
    """
    contact_s = BOUNDS['contactMs'] / 1000
    crashes = [event['t'] for event in record.events if event['kind'] == 'crash']
    runs = [event for event in record.events
            if event['kind'] == 'run' and event['body'] == POISON.decode()]
    if len(crashes) < 3:
        return 0
    late = [event for event in runs[1:]
            if event['t'] > crashes[2] + contact_s and in_touch_from(event['t'])]
    record.write('retries of the request that crashes servers', reached=len(runs),
                 crashes=len(crashes), third_crash_at=crashes[2], counted=len(late),
                 allowed=3, at=[event['t'] for event in late])
    return len(late)
