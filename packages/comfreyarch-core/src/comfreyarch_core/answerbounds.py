"""Bound what an upstream's answer may take of an instance.

An upstream in trouble may send bytes without end that are no answer: in a head,
in interim answers, between the chunks of a body, in an event of a stream or in
a body that has to be complete before it is forwarded. Reading stops at a bound,
and the exchange has failed.
"""

from dataclasses import dataclass, field

# Bytes of a head, of all interim answers before it, and of surplus answers.
MAX_HEAD_BYTES = 65_536
# Bytes of chunk sizes, extensions and trailers, besides those that chunks of a
# few bytes need.
MAX_FRAMING_BYTES = 65_536
# Bytes of framing per byte of a body in chunks of a single byte.
FRAMING_BYTES_PER_BODY_BYTE = 6
# Bytes of an event of a stream.
MAX_EVENT_BYTES = 262_144
# Memory for answers that are not forwarded yet, over all exchanges of a node.
ANSWER_MEMORY_BYTES = 25_165_824
# An answer of up to this size is read whatever others hold.
ALWAYS_READ_BYTES = 65_536


@dataclass(slots=True)
class AnswerMeter:
    """Count the bytes of the answer that a connection reads.

    :param head_bytes: bytes received since the end of the last head.
    :param framing_bytes: bytes received in bodies besides the bodies.
    :param body_bytes: bytes received of bodies.
    """

    head_bytes: int = 0
    framing_bytes: int = 0
    body_bytes: int = 0

    def record(self, received: int, body: int, has_head: bool) -> str:
        """Count received bytes.

        :param received: number of bytes received.
        :param body: those of them that belong to a body.
        :param has_head: whether the head of the answer is complete now.
        :returns: the bound that is exceeded, empty if none is.
        """
        if not has_head:
            self.head_bytes += received
            return 'head' if self.head_bytes > MAX_HEAD_BYTES else ''
        self.head_bytes = 0
        self.body_bytes += body
        self.framing_bytes += received - body
        allowed = (
            MAX_HEAD_BYTES
            + MAX_FRAMING_BYTES
            + FRAMING_BYTES_PER_BODY_BYTE * self.body_bytes
        )
        return 'framing' if self.framing_bytes > allowed else ''


@dataclass(slots=True)
class AnswerMemory:
    """Share a node's memory among the answers that wait to be complete.

    An answer may hold as much as is free. Many endless answers therefore
    leave room for others, and one large answer may hold half of the memory.
    Waiting for free memory would not help, as an answer that must be complete
    gives up nothing before.

    :param limit: bytes for all answers.
    :param held: bytes by holder.
    """

    limit: int = ANSWER_MEMORY_BYTES
    held: dict[int, int] = field(default_factory=dict)
    total: int = 0

    def update(self, holder: int, size: int) -> bool:
        """Record what a holder's answer takes.

        :param holder: number of the connection.
        :returns: False if the answer must not grow any further.
        """
        self.total += size - self.held.pop(holder, 0)
        if size:
            self.held[holder] = size
        free = self.limit - self.total
        return size <= max(ALWAYS_READ_BYTES, free)

    def release(self, holder: int) -> None:
        """Record that a holder has no answer any more."""
        self.total -= self.held.pop(holder, 0)


def make_answer_memory(limit: int = ANSWER_MEMORY_BYTES) -> AnswerMemory:
    """Create the memory of a node.

    :param limit: bytes for all answers that wait to be complete.
    :returns: memory that no answer holds.
    """
    return AnswerMemory(limit)
