"""Write a bounded JSON line per event to standard output without blocking.

A line is dropped, and counted, if its event exceeds the rate limit or if the
reader of standard output does not keep up.
"""

import os
import select
import time

import msgspec

from comfreyarch_core.logratelimit import LogRateLimiter, make_log_rate_limiter

STDOUT = 1
# Writes of up to this size to a writable pipe never block; the fields of longer
# lines are shortened.
MAX_LINE_BYTES = 4096
# Fields that are never shortened.
KEPT_FIELDS = ('at', 'node', 'event')


class EventLog:
    """Write the events of one node.

    :param dropped: number of dropped lines by reason: rate limit or reader.
    """

    __slots__ = ('dropped', 'encoder', 'limiter', 'node', 'output')

    def __init__(self, node: str, output: int = STDOUT) -> None:
        """Log as ``node``, which is a field of every line.

        :param output: file descriptor to write to.
        """
        self.node = node
        self.output = output
        self.limiter: LogRateLimiter = make_log_rate_limiter()
        self.encoder = msgspec.json.Encoder(enc_hook=str)
        self.dropped = {'rate': 0, 'reader': 0}

    def write(self, event: str, **fields: object) -> None:
        """Write an event unless it exceeds the rate limit.

        :param event: a fixed name, listed in docs/EVENTS.md.
        :param fields: values that explain the decision and its result.
        """
        suppressed = self.limiter.allow(event, time.monotonic())
        if suppressed is None:
            self.dropped['rate'] += 1
            return
        line = {'at': time.time(), 'node': self.node, 'event': event, **fields}
        if suppressed:
            line['left_out'] = suppressed
        self.emit(b'%b\n' % self.encode_bounded(line))

    def encode_bounded(self, line: dict[str, object]) -> bytes:
        """Encode a line, shortening its longest fields until it fits.

        :returns: valid JSON of less than ``MAX_LINE_BYTES``.
        """
        encoded = self.encoder.encode(line)
        kept = {name: line[name] for name in KEPT_FIELDS}
        kept['shortened'] = True
        while len(encoded) >= MAX_LINE_BYTES:
            sizes = {
                name: len(self.encoder.encode(content))
                for name, content in line.items()
                if name not in kept
            }
            longest = max(sizes, key=sizes.__getitem__)
            text = line[longest]
            if not isinstance(text, str):
                text = self.encoder.encode(text).decode()
            if not text:
                return self.encoder.encode(kept)
            excess = len(encoded) - MAX_LINE_BYTES + 1
            line[longest] = text[: max(0, len(text) - excess)]
            line.update(kept)
            encoded = self.encoder.encode(line)
        return encoded

    def emit(self, line: bytes) -> None:
        """Write a line if that does not block, else count it as dropped."""
        poll = select.poll()
        poll.register(self.output, select.POLLOUT)
        try:
            if poll.poll(0):
                os.write(self.output, line)
                return
        except OSError:
            # The reader closed its end; requests proceed without logs.
            self.dropped['reader'] += 1
            return
        self.dropped['reader'] += 1
