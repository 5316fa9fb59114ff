"""Bar what the requests that crash upstreams have in common.

A trait is what different requests may share: a part of the prompt, or the
whole request, by its digest. A crash counts for the traits of all requests that
the upstream had not begun to answer, an answer against the traits of its
request. A trait is barred at a net count of ``BAR_SCORE``.

This is a sequential test of two hypotheses: a run with the trait ends in a
crash with a probability of at most 0.1, or of at least 0.65. Each crash changes
the odds by a factor of 6.5, two answers undo that, so a trait of the first kind is
barred with a probability of at most 6.5 ** -3, which is 0.36 %.

Sound requests lose their connections with a crashing one, so crashes that a
barred trait explains no longer count for other traits.
"""

from dataclasses import dataclass, field

from comfreyarch_core.commonparts import (
    BAR_SCORE,
    CommonParts,
    make_common_parts,
)
from comfreyarch_core.crashmessages import (
    ConnectionBroken,
    CrashObserved,
    Lift,
    Message,
    Notice,
    PeerAnswer,
    PeerBar,
    PeerCrash,
    PeerMessage,
    RequestAnswered,
    RequestSent,
    SuspectAnswered,
    Target,
    TraitBarred,
    TraitCleared,
    UpstreamAlive,
    UpstreamDied,
)
from comfreyarch_core.crashrecords import (
    EVIDENCE_S,
    Break,
    Crash,
    CrashRecords,
    LostTrait,
    make_crash_records,
)
from comfreyarch_core.traitbars import (
    BAR_S,
    TraitBar,
    TraitBars,
    make_trait_bar,
    make_trait_bars,
)
from comfreyarch_core.traitscores import TraitScores, make_trait_scores

# Crashes that an answer makes up for. A trait that ends most of its runs must be
# barred soon, though some are answered.
ANSWER_WEIGHT = 0.5
# Net number up to which a bar of a peer is not taken over.
SOUND_SCORE = -3
# Limit on the traits of one crash.
MAX_CRASH_TRAITS = 256

PART = 'part:'
REQUEST = 'request:'


@dataclass(slots=True)
class CrashGuard:
    """Attribute the crashes that all entries observe to traits."""

    records: CrashRecords = field(default_factory=make_crash_records)
    scores: TraitScores = field(default_factory=make_trait_scores)
    common_parts: CommonParts = field(default_factory=make_common_parts)
    bars: TraitBars = field(default_factory=make_trait_bars)

    def handle(self, message: Message, now: float) -> list[Notice]:
        """Process a message.

        :param now: monotonic time in seconds.
        :returns: what to tell the other entries.
        """
        match message:
            case RequestSent(target, traits):
                self.record_send(target, traits, now)
            case RequestAnswered(target, traits):
                return self.record_answer(target, traits, now)
            case ConnectionBroken(target, traits, upstream):
                broken = Break(target, traits, upstream, now)
                self.records.add_break(broken)
            case UpstreamDied(upstream):
                return self.confirm_crash(upstream, now)
            case UpstreamAlive(upstream):
                self.records.take_breaks(upstream)
            case Lift(trait):
                return self.lift(trait, now)
        return []

    def expire(self, now: float) -> None:
        """Drop old evidence; a bar ends by an answered probe or an order."""
        for crash in self.records.expire(now):
            if crash.explained:
                continue
            for trait in crash.traits:
                self.scores.add(trait, -1)

    def handle_peer(self, message: PeerMessage, now: float) -> list[Notice]:
        """Process a message of another entry.

        :param now: monotonic time in seconds.
        :returns: what changed, and ``TraitCleared`` for a bar that the peer
            has to lift.
        """
        match message:
            case PeerCrash(target, upstream, traits, age_s):
                crash = self.records.find_crash(upstream, now - age_s)
                self.record_crash(crash, target, traits)
                return self.judge(now)
            case PeerAnswer(trait):
                return self.count_answer(trait, now)
            case PeerBar(trait, age_s, left_s):
                return self.adopt_bar(
                    trait, make_trait_bar(now - age_s, now + left_s)
                )
            case Lift(trait):
                return self.lift(trait, now)
        return []

    @property
    def is_idle(self) -> bool:
        """Check that nothing is on record.

        :returns: True nearly always; the digests of requests are not needed.
        """
        records = self.records
        return not (records.breaks or records.crashes or self.bars.by_trait)

    def record_send(
        self, target: Target, traits: tuple[str, ...], now: float
    ) -> None:
        """Count the parts of a request that is sent, which may be a probe."""
        parts = [trait for trait in traits if trait.startswith(PART)]
        self.common_parts.sent.record(target, parts)
        self.bars.record_send(traits, now)

    def record_answer(
        self, target: Target, traits: tuple[str, ...], now: float
    ) -> list[Notice]:
        """Count an answer against the traits of its request."""
        counted = [
            trait
            for trait in traits
            if trait.startswith(PART) or trait in self.scores.by_trait
        ]
        self.common_parts.answered.record(target, counted)
        notices: list[Notice] = []
        for trait in counted:
            if self.scores.net(trait) > 0:
                notices.append(SuspectAnswered(trait))
            notices.extend(self.count_answer(trait, now))
        return notices

    def count_answer(self, trait: str, now: float) -> list[Notice]:
        """Count an answer against a trait; it may lift a bar."""
        self.scores.add(trait, -ANSWER_WEIGHT)
        is_refuted = self.scores.net(trait) <= 0
        if is_refuted or self.bars.is_probed(trait):
            return self.lift(trait, now)
        return []

    def confirm_crash(self, upstream: str, now: float) -> list[Notice]:
        """Record a crash if connections to the dead upstream broke recently."""
        lost = [
            broken
            for broken in self.records.take_breaks(upstream)
            if now - broken.at <= EVIDENCE_S
        ]
        for broken in lost:
            crash = self.records.find_crash(upstream, now)
            self.record_crash(crash, broken.target, broken.traits)
        observed: list[Notice] = [
            CrashObserved(each.target, upstream, each.traits) for each in lost
        ]
        return [*observed, *self.judge(now)]

    def record_crash(
        self, crash: Crash, target: Target, traits: tuple[str, ...]
    ) -> None:
        """Count a crash once for each trait, also if it is reported again."""
        self.expire(crash.at)
        for position, trait in enumerate(traits):
            if trait in crash.traits or len(crash.traits) >= MAX_CRASH_TRAITS:
                continue
            crash.traits[trait] = LostTrait(target, position)
            if not crash.explained:
                self.scores.add(trait, 1)
        for barred in traits:
            if self.bars.extend(barred, crash.at + BAR_S):
                self.explain([crash], barred)

    def judge(self, now: float) -> list[Notice]:
        """Bar the traits that reach the limit, the best explanation first."""
        notices: list[Notice] = []
        while trait := self.find_culprit():
            notices.extend(
                self.add_bar(trait, make_trait_bar(now, now + BAR_S))
            )
        return notices

    def find_culprit(self) -> str:
        """Find the trait that explains the crashes best.

        :returns: of the traits that reach the limit, the one with the most net
            crashes, then the most specific; empty if there is none.
        """
        position_by_trait = {
            trait: lost.position
            for crash in self.records.crashes
            if not crash.explained
            for trait, lost in crash.traits.items()
            if self.is_culprit(trait, lost.target)
        }
        return max(
            position_by_trait,
            key=lambda trait: (
                self.scores.net(trait),
                trait.startswith(REQUEST),
                position_by_trait[trait],
            ),
            default='',
        )

    def is_culprit(self, trait: str, target: Target) -> bool:
        """Check whether a trait is to be barred."""
        net = self.scores.net(trait)
        if net < BAR_SCORE or self.bars.has(trait):
            return False
        if trait.startswith(REQUEST):
            return True
        return net >= self.common_parts.bar_score(trait, target)

    def add_bar(self, trait: str, trait_bar: TraitBar) -> list[Notice]:
        """Add a bar and attribute the crashes with the trait to it.

        :returns: its notice, and those of bars that it makes needless.
        """
        self.bars.add(trait, trait_bar)
        self.scores.raise_to(trait, BAR_SCORE)
        self.explain(self.records.crashes, trait)
        crashes = len(self.records.with_trait(trait))
        weaker = self.lift_weaker(trait, trait_bar.since)
        return [TraitBarred(trait, crashes), *weaker]

    def explain(self, crashes: list[Crash], culprit: str) -> None:
        """Attribute those of the crashes that have a barred trait to it.

        A trait with as many crashes as the barred one may be the cause too: one
        more crash bars it. For all others these crashes no longer count.
        """
        limit = self.scores.net(culprit)
        tied: list[str] = []
        for crash in crashes:
            if crash.explained or culprit not in crash.traits:
                continue
            crash.explained = True
            others = [name for name in crash.traits if not self.bars.has(name)]
            for trait in others:
                if self.scores.net(trait) >= limit:
                    tied.append(trait)
                else:
                    self.scores.add(trait, -1)
        for trait in tied:
            self.scores.lower_to(trait, BAR_SCORE - 1)

    def lift_weaker(self, culprit: str, now: float) -> list[Notice]:
        """Lift the bars whose crashes are all explained by a new one."""
        notices: list[Notice] = []
        for trait in list(self.bars.by_trait):
            with_trait = self.records.with_trait(trait)
            if (
                trait != culprit
                and with_trait
                and all(culprit in crash.traits for crash in with_trait)
            ):
                notices.extend(self.lift(trait, now))
        return notices

    def adopt_bar(self, trait: str, trait_bar: TraitBar) -> list[Notice]:
        """Take over a bar of a peer, unless this entry knows better.

        :returns: the notice of the bar, or the one that clears it if it was
            lifted since or the trait is answered here.
        """
        if self.bars.extend(trait, trait_bar.until):
            return []
        is_lifted = self.bars.was_lifted_since(trait, trait_bar.since)
        is_sound = self.scores.net(trait) <= SOUND_SCORE
        is_common = self.common_parts.is_common(trait)
        if is_lifted or is_sound or is_common:
            return [TraitCleared(trait)]
        return self.add_bar(trait, trait_bar)

    def lift(self, trait: str, now: float) -> list[Notice]:
        """Lift a bar; only later crashes count for the trait again."""
        if not self.bars.lift(trait, now):
            return []
        self.scores.lower_to(trait, 0)
        return [TraitCleared(trait)]


def make_crash_guard() -> CrashGuard:
    """Create the guard of an entry.

    :returns: a guard without evidence.
    """
    return CrashGuard()
