"""Report the health of a sidecar's engine to the entries."""

from collections.abc import Callable
from typing import Any

from comfreyarch_core.enginehealth import (
    EngineHealth,
    HealthWatch,
    make_health_watch,
)
from comfreyarch_core.enginestate import EngineState
from comfreyarch_daemon.datagrams import Datagrams
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.healthmessages import (
    HELLO,
    REPEAT_INTERVAL_S,
    SUBSCRIPTION_TIMEOUT_S,
    HealthReport,
    encode_health,
)
from comfreyarch_daemon.upstreamcalls import boot_time


class HealthReporter:
    """Track the health of an engine and report it to subscribed entries.

    :param last_sent: health reported last, None before the first report.
    :param subscribers: time of the last subscription, by address of the entry.
    """

    __slots__ = (
        'datagrams',
        'engine',
        'last_sent',
        'last_sent_at',
        'log',
        'subscribers',
        'watch',
    )

    def __init__(
        self,
        engine: str,
        datagrams: Datagrams,
        log: EventLog,
    ) -> None:
        """Start without subscribed entries."""
        self.engine = engine
        self.datagrams = datagrams
        self.log = log
        self.watch: HealthWatch = make_health_watch()
        self.last_sent: EngineHealth | None = None
        self.last_sent_at = 0.0
        self.subscribers: dict[str, float] = {}

    def handlers(self) -> dict[str, Callable[[list[Any], str], None]]:
        """Return the handlers of the messages that this reporter receives.

        :returns: handlers by tag.
        """
        return {HELLO: self.handle_hello}

    def report_health(self, state: EngineState, now: float) -> None:
        """Update the health from the engine's state and report it.

        Unchanged health is repeated at an interval, as datagrams may be lost.
        """
        health = self.watch.handle(state, now)
        if (
            health == self.last_sent
            and now - self.last_sent_at < REPEAT_INTERVAL_S
        ):
            return
        if health != self.last_sent:
            self.log.write(
                'engine_health',
                usable=health.usable,
                pace=health.pace,
            )
        self.last_sent = health
        self.last_sent_at = now
        message = encode_health(HealthReport(self.engine, health))
        for address, subscribed_at in list(self.subscribers.items()):
            if now - subscribed_at > SUBSCRIPTION_TIMEOUT_S:
                self.subscribers.pop(address)
            else:
                self.datagrams.send(message, address)

    def handle_hello(self, _message: list[Any], address: str) -> None:
        """Subscribe an entry, and send the current health to a new one."""
        is_new = address not in self.subscribers
        self.subscribers[address] = boot_time()
        if is_new and self.last_sent is not None:
            report = HealthReport(self.engine, self.last_sent)
            self.datagrams.send(encode_health(report), address)
