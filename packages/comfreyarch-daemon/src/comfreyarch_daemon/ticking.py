"""Call functions at intervals, with jitter, on their own greenlets."""

import random
from collections.abc import Callable

import gevent

from comfreyarch_daemon.logs import log_error

JITTER = 0.2


class Ticker:
    """Call one function again and again.

    A failure of the function is logged and does not end the ticker.
    """

    __slots__ = ('act', 'greenlet', 'interval_s', 'source')

    def __init__(
        self,
        act: Callable[[], None],
        interval_s: Callable[[], float],
        source: random.Random,
    ) -> None:
        """Prepare a ticker.

        :param interval_s: read anew before each pause.
        """
        self.act = act
        self.interval_s = interval_s
        self.source = source
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start ticking at once."""
        self.greenlet = gevent.spawn(self.loop)

    def close(self) -> None:
        """Stop ticking."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)

    def loop(self) -> None:
        """Act and pause, for ever."""
        while True:
            try:
                self.act()
            except Exception as error:
                log_error('timer failed', act=str(self.act), error=repr(error))
            spread = 1 + JITTER * (self.source.random() - 0.5)
            gevent.sleep(self.interval_s() * spread)
