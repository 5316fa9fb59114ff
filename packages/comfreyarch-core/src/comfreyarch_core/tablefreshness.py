"""Bound the age of what a node knows of a table.

An answer of the store confirms that a node knew all changes of the table at one
moment. The age of its knowledge is the time since that moment, whether or not
the table has changed meanwhile. A poll that waits for changes confirms nothing
until it is answered, and may never be. A node therefore asks the store for a
confirmation when its knowledge is too old, and sends each one to its peers:
those that know as much need not ask, so that a fleet makes about as many
calls as one node.
"""

import random
from dataclasses import dataclass

# Age at which a node asks the store for a confirmation. With the stagger, it is
# well within the 2 s after which a change must be in force.
CONFIRM_INTERVAL_S = 0.8
# Upper limit of a node's random delay beyond that age, within which a
# confirmation of the first node that asks reaches the others.
MAX_STAGGER_S = 0.4
# Exponent of the distribution of the delays: most are long and few are short, so
# that only few nodes of a large fleet ask before they hear from the first.
STAGGER_EXPONENT = 0.25
# Age above which knowledge counts as unconfirmed. The users' bound on the time
# until a configuration is in force, so that an unconfirmed table may break it.
MAX_CONFIRMED_AGE_S = 2.0
# Probes that remain unanswered when the store counts as lost. One may be lost
# with a packet.
MIN_UNANSWERED_PROBES = 2
# Interval at which a process records that it runs.
RUN_CHECK_INTERVAL_S = 0.25
# Time without running after which messages received may have been sent long
# before.
MAX_RUN_GAP_S = 0.5
# Time after such a pause within which all messages that waited are read.
BACKLOG_S = 0.25
# Time after such a pause within which the node may wait for newer knowledge: the
# backlog is read, and a peer's next confirmation (each 0.5 s) arrives.
RESUME_HOLD_S = 0.75


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Confirm to peers what a node knows of a table.

    :param floor: a peer that knows all changes up to this version of the store
        knows at least as much as the sender.
    :param age_s: age of the sender's knowledge.
    """

    floor: int
    age_s: float


@dataclass(slots=True)
class TableFreshness:
    """Track when the knowledge of one table was last confirmed.

    :param confirmed_at: latest time at which all changes were known, None
        before the first answer.
    :param answered_at: the same by the store's own answers, without what peers
        confirmed. Only this is sent to peers: ages that were passed on would
        lose the delay of each message, and two nodes could keep each other's
        knowledge young for ever.
    :param probed_at: time of the last probe, a call that asks for confirmation.
    :param unanswered: probes since the last confirmation.
    :param random_source: draws the staggers; it must differ between nodes.
    :param stagger_s: the node's delay beyond the age at which probes are due,
        drawn anew for each confirmation.
    :param is_stale: whether the age has been reported as too high.
    """

    random_source: random.Random
    confirmed_at: float | None = None
    answered_at: float | None = None
    probed_at: float = 0
    unanswered: int = 0
    stagger_s: float = 0
    is_stale: bool = False

    def confirm(self, at: float) -> None:
        """Record that the store confirmed all changes up to a time."""
        self.answered_at = max(at, self.answered_at or at)
        self.confirm_by_peer(at)

    def confirm_by_peer(self, at: float) -> None:
        """Record that a peer confirmed all changes up to a time."""
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at
            self.unanswered = 0
            self.draw_stagger()

    def draw_stagger(self) -> None:
        """Draw the delay of the next probe."""
        fraction = self.random_source.random() ** STAGGER_EXPONENT
        self.stagger_s = MAX_STAGGER_S * fraction

    def probe_due_at(self) -> float | None:
        """Return the time at which the next probe is due.

        :returns: None before the first confirmation.
        """
        if self.confirmed_at is None:
            return None
        started_at = max(self.confirmed_at, self.probed_at)
        return started_at + CONFIRM_INTERVAL_S + self.stagger_s

    def record_probe(self, now: float) -> None:
        """Record that a probe is sent."""
        self.probed_at = now
        self.draw_stagger()
        self.unanswered += 1

    def is_confirmed_since(self, at: float) -> bool:
        """Check whether the knowledge was confirmed at or after a time.

        :returns: False if it never was.
        """
        return self.confirmed_at is not None and self.confirmed_at >= at

    def is_store_lost(self, probed_at: float) -> bool:
        """Check whether the failure of a probe means that the store is lost.

        :param probed_at: start of the failed probe.
        :returns: False if the knowledge was confirmed since then, or if the
            next probe has not been sent yet.
        """
        return (
            not self.is_confirmed_since(probed_at)
            and self.unanswered >= MIN_UNANSWERED_PROBES
        )

    def confirmation(self, floor: int, now: float) -> Confirmation | None:
        """Return what a node can confirm to its peers.

        :param floor: see ``Confirmation``.
        :returns: None before the store's first answer.
        """
        if self.answered_at is None:
            return None
        return Confirmation(floor, max(0, now - self.answered_at))

    def age_s(self, now: float) -> float | None:
        """Return the age of the knowledge.

        :returns: seconds, or None before the first confirmation.
        """
        if self.confirmed_at is None:
            return None
        return max(0, now - self.confirmed_at)

    def became_stale(self, now: float) -> bool:
        """Check whether the age has just exceeded its limit.

        :returns: True once for each time that it does.
        """
        age_s = self.age_s(now)
        if self.is_stale or age_s is None or age_s <= MAX_CONFIRMED_AGE_S:
            return False
        self.is_stale = True
        return True

    def became_fresh(self, now: float) -> bool:
        """Check whether the age has just returned below its limit.

        :returns: True once after ``became_stale`` was True.
        """
        age_s = self.age_s(now)
        if not self.is_stale or age_s is None or age_s > MAX_CONFIRMED_AGE_S:
            return False
        self.is_stale = False
        return True


@dataclass(slots=True)
class PauseDetector:
    """Detect that a process did not run, for example while suspended.

    Messages that arrived meanwhile are read late, so the ages that they state
    are too low.

    :param ran_at: time at which the process last recorded that it runs.
    :param distrusted_until: time until which such messages may be read.
    :param held_until: time until which newer knowledge may be waited for.
    """

    ran_at: float
    distrusted_until: float = 0
    held_until: float = 0

    def record_run(self, now: float) -> None:
        """Record that the process runs; called every RUN_CHECK_INTERVAL_S."""
        if now - self.ran_at > MAX_RUN_GAP_S:
            self.distrusted_until = now + BACKLOG_S
            self.held_until = now + RESUME_HOLD_S
        self.ran_at = now

    def has_resumed(self, now: float) -> bool:
        """Check whether the process has not run for long until recently.

        :returns: False once newer knowledge has had time to arrive.
        """
        return now - self.ran_at > MAX_RUN_GAP_S or now < self.held_until

    def is_backlogged(self, now: float) -> bool:
        """Check whether a message that is read now may have waited.

        :returns: True if the process has not run for long, or just resumed.
        """
        return now - self.ran_at > MAX_RUN_GAP_S or now < self.distrusted_until


def make_table_freshness(random_source: random.Random) -> TableFreshness:
    """Create the state of a table that has not been read.

    :param random_source: must differ between nodes.
    :returns: the state.
    """
    return TableFreshness(random_source)


def make_pause_detector(now: float) -> PauseDetector:
    """Create the detector of a process that runs now.

    :returns: the detector.
    """
    return PauseDetector(now)
