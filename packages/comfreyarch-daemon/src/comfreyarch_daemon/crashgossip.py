"""Exchange crashes, answers to suspects and bars between entries."""

import math
from collections.abc import Callable, Iterable
from typing import Any

from comfreyarch_core.crashguard import CrashGuard
from comfreyarch_core.crashmessages import (
    CrashObserved,
    Lift,
    Notice,
    PeerAnswer,
    PeerBar,
    PeerCrash,
    PeerMessage,
    SuspectAnswered,
    Target,
    TraitBarred,
    TraitCleared,
)
from comfreyarch_core.crashrecords import Crash
from comfreyarch_daemon.datagrams import Datagrams
from comfreyarch_daemon.upstreamcalls import boot_time

# Tags of the messages.
CRASH = 'crash'
SUSPECT_ANSWERED = 'suspect_answered'
BARS = 'bars'
LIFTED = 'bar_lifted'
EVIDENCE_REQUEST = 'evidence_request'
# Crashes are sent again for this time, since datagrams may be lost.
RESEND_AGE_S = 10.0
# Number of newest crashes that are sent again at once.
MAX_RESENT = 10
# Bounds on what a message may hold.
MAX_TRAITS = 256
MAX_TRAIT_LENGTH = 128


class CrashGossip:
    """Send an entry's evidence to its peers and apply theirs.

    :param on_notices: called with what follows from a peer's message.
    :param peers: returns the addresses of the other entries.
    """

    __slots__ = ('datagrams', 'guard', 'on_notices', 'peers')

    def __init__(
        self, guard: CrashGuard, on_notices: Callable[[list[Notice]], None]
    ) -> None:
        """Start without peers."""
        self.guard = guard
        self.on_notices = on_notices
        self.datagrams: Datagrams | None = None
        self.peers: Callable[[], Iterable[str]] = tuple

    def share(
        self, datagrams: Datagrams, peers: Callable[[], Iterable[str]]
    ) -> None:
        """Start to exchange evidence with the other entries."""
        self.datagrams = datagrams
        self.peers = peers
        datagrams.handlers[CRASH] = self.receive_crash
        datagrams.handlers[SUSPECT_ANSWERED] = self.receive_answer
        datagrams.handlers[BARS] = self.receive_bars
        datagrams.handlers[LIFTED] = self.receive_lift
        datagrams.handlers[EVIDENCE_REQUEST] = self.receive_request

    def request(self) -> None:
        """Request the evidence of all peers, after a start."""
        self.send_messages([[EVIDENCE_REQUEST]], self.peers())

    def send(self, notices: list[Notice]) -> None:
        """Send what this entry has observed or concluded to all peers."""
        messages = [self.encode_notice(notice) for notice in notices]
        self.send_messages(messages, self.peers())

    def resend(self) -> None:
        """Send the recent crashes and all bars to all peers again."""
        messages = self.encode_evidence()
        if messages:
            self.send_messages(messages, self.peers())

    def send_messages(
        self, messages: list[list[Any]], addresses: Iterable[str]
    ) -> None:
        """Send messages, if there is a socket to send from."""
        if self.datagrams is None:
            return
        for address in addresses:
            for message in messages:
                self.datagrams.send(message, address)

    def encode_notice(self, notice: Notice) -> list[Any]:
        """Encode a notice.

        :returns: the message.
        """
        match notice:
            case CrashObserved(target, upstream, traits):
                return encode_crash(target, upstream, traits, 0)
            case SuspectAnswered(trait):
                return [SUSPECT_ANSWERED, trait]
            case TraitBarred(trait):
                return self.encode_bars([trait])
            case TraitCleared(trait):
                return [LIFTED, trait]

    def encode_evidence(self) -> list[list[Any]]:
        """Encode the recent crashes and all bars.

        :returns: the messages.
        """
        now = boot_time()
        recent = [
            crash
            for crash in self.guard.records.crashes[-MAX_RESENT:]
            if now - crash.at < RESEND_AGE_S
        ]
        messages = [
            message for crash in recent for message in encode_record(crash, now)
        ]
        if self.guard.bars.by_trait:
            messages.append(self.encode_bars(self.guard.bars.by_trait))
        return messages

    def encode_bars(self, traits: Iterable[str]) -> list[Any]:
        """Encode bars, each with its age and the time left in seconds.

        :returns: the message.
        """
        now = boot_time()
        known = [
            (trait, self.guard.bars.by_trait.get(trait)) for trait in traits
        ]
        return [
            BARS,
            [
                [trait, now - known_bar.since, max(0, known_bar.until - now)]
                for trait, known_bar in known
                if known_bar is not None
            ],
        ]

    def receive_crash(self, message: list[Any], _address: str) -> None:
        """Handle a crash that a peer observed.

        :raises ValueError: if the message is malformed.
        """
        service, route, *lost = message[1:]
        upstream, traits, age_s = lost
        if len(traits) > MAX_TRAITS:
            raise ValueError(f'crash with {len(traits)} traits is too large')
        checked = tuple(check_name(trait) for trait in traits)
        target = Target(check_name(service), check_name(route))
        self.apply(
            PeerCrash(target, check_name(upstream), checked, check_s(age_s))
        )

    def receive_answer(self, message: list[Any], _address: str) -> None:
        """Handle an answer to a suspect that a peer received."""
        self.apply(PeerAnswer(check_name(message[1])))

    def receive_bars(self, message: list[Any], address: str) -> None:
        """Handle the bars of a peer; it is told those that it has to lift."""
        for trait, age_s, left_s in message[1]:
            peer_bar = PeerBar(
                check_name(trait), check_s(age_s), check_s(left_s)
            )
            notices = self.apply(peer_bar)
            refuted = [
                [LIFTED, notice.trait]
                for notice in notices
                if isinstance(notice, TraitCleared) and notice.trait == trait
            ]
            self.send_messages(refuted, [address])

    def receive_lift(self, message: list[Any], _address: str) -> None:
        """Handle the end of a bar at a peer."""
        self.apply(Lift(check_name(message[1])))

    def receive_request(self, _message: list[Any], address: str) -> None:
        """Send a peer that has started all evidence."""
        self.send_messages(self.encode_evidence(), [address])

    def apply(self, message: PeerMessage) -> list[Notice]:
        """Pass a peer's message to the guard.

        :returns: the notices that follow.
        """
        notices = self.guard.handle_peer(message, boot_time())
        if notices:
            self.on_notices(notices)
        return notices


def encode_crash(
    target: Target, upstream: str, traits: Iterable[str], age_s: float
) -> list[Any]:
    """Encode a crash at which requests of one route were lost.

    :param age_s: seconds since the crash.
    :returns: the message.
    """
    return [CRASH, target.service, target.route, upstream, list(traits), age_s]


def encode_record(crash: Crash, now: float) -> list[list[Any]]:
    """Encode a crash on record, the most general traits first.

    :returns: a message for each route.
    """
    traits_by_target: dict[Target, list[str]] = {}
    for trait, lost in sorted(
        crash.traits.items(), key=lambda known: known[1].position
    ):
        traits_by_target.setdefault(lost.target, []).append(trait)
    age_s = max(0, now - crash.at)
    return [
        encode_crash(target, crash.upstream, traits, age_s)
        for target, traits in traits_by_target.items()
    ]


def check_name(text: object) -> str:
    """Check a trait, or the name of a service, route or upstream, that a peer sent.

    :returns: the text.
    :raises ValueError: if it is no text, or too long.
    """
    if not isinstance(text, str) or len(text) > MAX_TRAIT_LENGTH:
        raise ValueError('trait or name is no short text')
    return text


def check_s(seconds: object) -> float:
    """Check a time that a peer sent.

    :returns: seconds.
    :raises ValueError: if it is no finite number from 0.
    """
    if not isinstance(seconds, int | float) or not math.isfinite(seconds):
        raise ValueError(f'time {seconds!r} is no finite number')
    if seconds < 0:
        raise ValueError(f'time {seconds!r} is negative')
    return seconds


def make_crash_gossip(
    guard: CrashGuard, on_notices: Callable[[list[Notice]], None]
) -> CrashGossip:
    """Create the exchange of an entry.

    :param on_notices: called with what follows from a peer's message.
    :returns: an exchange without peers.
    """
    return CrashGossip(guard, on_notices)
