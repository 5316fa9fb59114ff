"""Count the datagrams of a node by the tag of their message.

Datagrams that are lost leave no trace at either end. The sums over all nodes of
what was sent and received show which kind of message a link loses.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class TagCount:
    """Represent the totals of one tag.

    :param datagrams: number of datagrams.
    :param size_bytes: their size without headers.
    """

    datagrams: int = 0
    size_bytes: int = 0


@dataclass(slots=True)
class DatagramCounts:
    """Count datagrams in one direction since the last summary."""

    by_tag: dict[str, TagCount] = field(default_factory=dict)

    def add(self, tag: str, size_bytes: int) -> None:
        """Count a datagram.

        :param size_bytes: its size without headers.
        """
        total = self.by_tag.setdefault(tag, TagCount())
        total.datagrams += 1
        total.size_bytes += size_bytes

    def take_summary(self) -> dict[str, list[int]]:
        """Return the totals and start again from zero.

        :returns: datagrams and bytes by tag.
        """
        summary = {
            tag: [total.datagrams, total.size_bytes]
            for tag, total in self.by_tag.items()
        }
        self.by_tag.clear()
        return summary


def make_datagram_counts() -> DatagramCounts:
    """Create counts of zero.

    :returns: the counts.
    """
    return DatagramCounts()
