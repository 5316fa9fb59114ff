"""Tell the entries how the engine beside a sidecar is."""

from typing import Any

from comfreyarch_core.enginehealth import (
    EngineHealth,
    HealthWatch,
    make_health_watch,
)
from comfreyarch_core.enginestate import EngineState
from comfreyarch_daemon.datagrams import Datagrams
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.healthnews import (
    FORGET_S,
    REPEAT_S,
    HealthNews,
    write_health,
)
from comfreyarch_daemon.upstreamcalls import boot_time


class HealthTeller:
    """Follow one engine and tell all entries that asked.

    :param entries: addresses of the entries, and when they last asked.
    """

    __slots__ = (
        'datagrams',
        'engine',
        'entries',
        'log',
        'told',
        'told_at',
        'watch',
    )

    def __init__(
        self,
        engine: str,
        datagrams: Datagrams,
        log: EventLog,
    ) -> None:
        """Name the engine; nobody asked yet."""
        self.engine = engine
        self.datagrams = datagrams
        self.log = log
        self.watch: HealthWatch = make_health_watch()
        self.told: EngineHealth | None = None
        self.told_at = 0.0
        self.entries: dict[str, float] = {}

    def take(self, state: EngineState, now: float) -> None:
        """Take the engine's state and tell of it when that changes."""
        health = self.watch.handle(state, now)
        if health == self.told and now - self.told_at < REPEAT_S:
            return
        if health != self.told:
            self.log.write(
                'engine_health',
                usable=health.usable,
                pace=health.pace,
            )
        self.told = health
        self.told_at = now
        message = write_health(HealthNews(self.engine, health))
        for address, heard_at in list(self.entries.items()):
            if now - heard_at > FORGET_S:
                self.entries.pop(address)
            else:
                self.datagrams.send(message, address)

    def heard_hello(self, _message: list[Any], address: str) -> None:
        """Take an entry's wish to be told."""
        fresh = address not in self.entries
        self.entries[address] = boot_time()
        if fresh and self.told is not None:
            news = HealthNews(self.engine, self.told)
            self.datagrams.send(write_health(news), address)
