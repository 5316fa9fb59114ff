"""Keep the rules for a group's expert maps current."""

from collections.abc import Callable

import gevent

from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.leadership import MapRules
from comfreyarch_daemon.supervision import spawn_loop
from comfreyarch_daemon.tablesource import StoreCallFailed
from comfreyarch_daemon.upstreamcalls import boot_time

# Age above which the rules are read again. They depend on routes and services,
# which change rarely.
MAX_RULES_AGE_S = 15.0


class MapRulesReader:
    """Read the rules for a group's maps, and again when they are old.

    :param rules: None until they are read, and for a service without experts.
    :param read_at: time at which they were read last.
    :param find_user: returns the function to call with rules that were read
        again, None while nobody uses them.
    """

    __slots__ = ('find_user', 'log', 'read_at', 'read_store', 'rules', 'worker')

    def __init__(
        self,
        read_store: Callable[[], MapRules | None],
        find_user: Callable[[], Callable[[MapRules], None] | None],
        log: EventLog,
    ) -> None:
        """Prepare without rules; nothing is read before ``start``."""
        self.read_store = read_store
        self.find_user = find_user
        self.log = log
        self.rules: MapRules | None = None
        self.read_at: float | None = None
        self.worker: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start reading the rules again while they are used."""
        self.worker = spawn_loop('map rules', self.run)

    def close(self) -> None:
        """Stop reading."""
        if self.worker is not None:
            self.worker.kill(block=False)

    def run(self) -> None:
        """Read the rules periodically, until closed."""
        while True:
            gevent.sleep(MAX_RULES_AGE_S)
            self.refresh()

    def refresh(self) -> None:
        """Read the rules for their user; the known ones stay if that fails."""
        apply_rules = self.find_user()
        if apply_rules is None:
            return
        try:
            rules = self.read()
        except StoreCallFailed as error:
            self.log.write('map_rules_unknown', why=str(error))
            return
        if rules is not None:
            apply_rules(rules)

    def read(self) -> MapRules | None:
        """Read the rules.

        :raises StoreCallFailed: if the store has no usable configuration.
        """
        started_at = boot_time()
        rules = self.read_store()
        if rules != self.rules:
            self.log.write('map_rules', known=rules is not None)
        self.rules = rules
        self.read_at = started_at
        return rules

    def current(self) -> MapRules | None:
        """Return rules that are recent enough for a new term.

        :raises StoreCallFailed: if they must be read and cannot be.
        """
        if self.read_at is None or boot_time() - self.read_at > MAX_RULES_AGE_S:
            return self.read()
        return self.rules
