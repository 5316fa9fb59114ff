"""Pace the messages between a leader and the ranks of a large group.

All ranks report to one leader over the link of its instance. If the reports
fill that link, the leader's orders and announcements are late or lost, and
other ranks take over the lead.
"""

# Share of the leader's link that the expert counts of all ranks may use.
COUNTS_LINK_SHARE = 0.3
# Number of ranks from which reports are paced by the link and cover a short time
# each.
MIN_LARGE_GROUP = 32
# Shortest interval at which the ranks of a large group report: reports of a third
# of the ranks then arrive within 0.1 s.
SHORTEST_LARGE_GROUP_INTERVAL_S = 0.3
# Bytes of a datagram's headers.
DATAGRAM_OVERHEAD_BYTES = 28
# Lowest ranks that are sent every announcement; they claim leadership first.
ALWAYS_ANNOUNCED_RANKS = 9
# Other ranks are sent one of this many announcements.
ANNOUNCEMENT_STRIDE = 6
# Number of announcements after the start of a term that all ranks are sent.
FIRST_ANNOUNCEMENTS = 4


def compute_count_interval(
    message_bytes: int,
    ranks: int,
    link_bytes_per_s: float,
    shortest_s: float,
) -> float:
    """Return the interval at which each rank reports its expert counts.

    :param message_bytes: size of a rank's last report.
    :param ranks: number of ranks in the group.
    :param link_bytes_per_s: capacity of the leader's link, 0 if unknown.
    :param shortest_s: interval at which small groups report.
    :returns: seconds.
    """
    if link_bytes_per_s <= 0:
        return shortest_s
    total = ranks * (message_bytes + DATAGRAM_OVERHEAD_BYTES)
    return max(shortest_s, total / (COUNTS_LINK_SHARE * link_bytes_per_s))


def is_announcement_due(rank: int, number: int) -> bool:
    """Check whether a rank is sent one of a leader's announcements.

    A rank claims leadership only after a delay that increases with its number,
    so higher ranks need fewer announcements.

    :param number: number of earlier announcements of the term.
    :returns: True for the first announcements and for the lowest ranks.
    """
    if number < FIRST_ANNOUNCEMENTS or rank < ALWAYS_ANNOUNCED_RANKS:
        return True
    return (rank + number) % ANNOUNCEMENT_STRIDE == 0
