"""Follow how fast an answer is passed on."""


class Pace:
    """Follow how fast an answer is passed on; times are in seconds.

    :param first_s: from the request to the first bytes of the body.
    :param longest_gap_s: longest pause after them.
    """

    __slots__ = ('began', 'first_s', 'last', 'longest_gap_s')

    def __init__(self, began: float) -> None:
        """Start at the request."""
        self.began = began
        self.last = 0.0
        self.first_s: float | None = None
        self.longest_gap_s = 0.0

    def passed(self, now: float) -> None:
        """Note that bytes were passed on."""
        if self.first_s is None:
            self.first_s = round(now - self.began, 3)
        else:
            gap = round(now - self.last, 3)
            self.longest_gap_s = max(self.longest_gap_s, gap)
        self.last = now
