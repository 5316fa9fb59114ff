"""Call functions periodically with jitter, each in its own greenlet."""

import random
from collections.abc import Callable

import gevent

from comfreyarch_daemon.logs import log_error

# Width of the random jitter as a fraction of the interval: 10 % either way.
JITTER_FRACTION = 0.2


class Ticker:
    """Call one function periodically.

    An exception of the function is logged and does not stop the ticker.
    """

    __slots__ = ('callback', 'greenlet', 'interval_s', 'random_source')

    def __init__(
        self,
        callback: Callable[[], None],
        interval_s: Callable[[], float],
        random_source: random.Random,
    ) -> None:
        """Prepare a ticker.

        :param interval_s: returns the interval in seconds; called before each
            pause.
        :param random_source: random numbers for the jitter.
        """
        self.callback = callback
        self.interval_s = interval_s
        self.random_source = random_source
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the greenlet; the first call follows immediately."""
        self.greenlet = gevent.spawn(self.run)

    def close(self) -> None:
        """Stop the greenlet."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)

    def run(self) -> None:
        """Call the function and pause, until the greenlet is killed."""
        while True:
            try:
                self.callback()
            except Exception as error:
                log_error(
                    'timer failed', act=str(self.callback), error=repr(error)
                )
            jitter_factor = 1 + JITTER_FRACTION * (
                self.random_source.random() - 0.5
            )
            gevent.sleep(self.interval_s() * jitter_factor)
