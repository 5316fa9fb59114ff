"""Write one bounded line a decision to standard output, never blocking.

A line is dropped, and counted, where its event wrote too many or where the
reader of standard output does not keep up.
"""

import os
import select
import time

import msgspec

from comfreyarch_core.logratelimit import LogRateLimiter, make_log_rate_limiter

STDOUT = 1
# Writes of up to this length to a writable pipe never block.
LONGEST_LINE = 4096


class EventLog:
    """Write the events of one node.

    :param dropped: lines lost so far, by reason.
    """

    __slots__ = ('limiter', 'dropped', 'encoder', 'node', 'output')

    def __init__(self, node: str, output: int = STDOUT) -> None:
        """Name the node that every line carries."""
        self.node = node
        self.output = output
        self.limiter: LogRateLimiter = make_log_rate_limiter()
        self.encoder = msgspec.json.Encoder(enc_hook=str)
        self.dropped = {'rate': 0, 'reader': 0}

    def write(self, event: str, **facts: object) -> None:
        """Write one event.

        :param event: a fixed name; see docs/EVENTS.md.
        :param facts: what decided it and how it ended.
        """
        left_out = self.limiter.allow(event, time.monotonic())
        if left_out is None:
            self.dropped['rate'] += 1
            return
        line = {'at': time.time(), 'node': self.node, 'event': event, **facts}
        if left_out:
            line['left_out'] = left_out
        encoded = self.encoder.encode(line)[: LONGEST_LINE - 1]
        self.emit(b'%b\n' % encoded)

    def emit(self, line: bytes) -> None:
        """Write a line if that does not block."""
        poll = select.poll()
        poll.register(self.output, select.POLLOUT)
        try:
            if poll.poll(0):
                os.write(self.output, line)
                return
        except OSError:
            # The reader is gone; requests go on without logs.
            self.dropped['reader'] += 1
            return
        self.dropped['reader'] += 1
