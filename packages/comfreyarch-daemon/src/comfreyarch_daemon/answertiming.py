"""Measure how fast the body of an answer reaches the caller."""


class AnswerTiming:
    """Record when parts of a body are forwarded; durations are in seconds.

    :param first_s: time from the request to the first part of the body, None
        before it.
    :param longest_gap_s: longest time between two consecutive parts.
    """

    __slots__ = ('first_s', 'last_at', 'longest_gap_s', 'received_at')

    def __init__(self, received_at: float) -> None:
        """Start at the time at which the request was received."""
        self.received_at = received_at
        self.last_at = 0.0
        self.first_s: float | None = None
        self.longest_gap_s = 0.0

    def record_part(self, now: float) -> None:
        """Record that a part of the body was forwarded."""
        if self.first_s is None:
            self.first_s = round(now - self.received_at, 3)
        else:
            gap = round(now - self.last_at, 3)
            self.longest_gap_s = max(self.longest_gap_s, gap)
        self.last_at = now
