"""Keep the bars of traits, each with an end and one probe after it."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

# Time after which one request with a barred trait is sent as a probe.
BAR_S = 600.0
# Time after which the outcome of a probe counts as unknown.
PROBE_OUTCOME_S = 30.0
# Limit on the bars kept; the oldest is dropped first.
MAX_BARS = 200


@dataclass(slots=True)
class TraitBar:
    """Represent a bar.

    :param until: time from which one request is sent as a probe.
    :param probed_at: time of the last probe.
    """

    since: float
    until: float
    probed_at: float = -math.inf


@dataclass(slots=True)
class TraitBars:
    """Keep the bars in force, and when others were lifted.

    :param by_trait: bars in force, oldest first.
    :param lifted: time at which a bar was last lifted, by trait.
    """

    by_trait: dict[str, TraitBar] = field(default_factory=dict)
    lifted: dict[str, float] = field(default_factory=dict)

    def has(self, trait: str) -> bool:
        """Check whether there is a bar on a trait."""
        return trait in self.by_trait

    def barred_trait(self, traits: Iterable[str], now: float) -> str:
        """Find a trait due to which a request must not be sent.

        :returns: the trait, empty if the request may be sent.
        """
        return next(
            (
                trait
                for trait in traits
                if self.has(trait) and not self.may_probe(trait, now)
            ),
            '',
        )

    def may_probe(self, trait: str, now: float) -> bool:
        """Check whether a request may be sent in spite of a bar.

        :returns: True after its end, unless a probe is under way.
        """
        known = self.by_trait[trait]
        return now >= known.until and now - known.probed_at > PROBE_OUTCOME_S

    def record_send(self, traits: Iterable[str], now: float) -> None:
        """Record that a request is sent; with a barred trait it is a probe."""
        for trait in traits:
            known = self.by_trait.get(trait)
            if known is not None:
                known.probed_at = now

    def is_probed(self, trait: str) -> bool:
        """Check whether a request was sent after the end of a bar.

        :returns: False if its answer was under way before.
        """
        known = self.by_trait.get(trait)
        return known is not None and known.probed_at >= known.until

    def add(self, trait: str, trait_bar: TraitBar) -> None:
        """Add a bar, and drop the oldest one above the limit."""
        self.by_trait[trait] = trait_bar
        if len(self.by_trait) > MAX_BARS:
            self.by_trait.pop(next(iter(self.by_trait)))

    def extend(self, trait: str, until: float) -> bool:
        """Move the end of a bar to a later time.

        :returns: False if there is no bar on the trait.
        """
        known = self.by_trait.get(trait)
        if known is None:
            return False
        known.until = max(known.until, until)
        return True

    def lift(self, trait: str, now: float) -> bool:
        """Remove a bar.

        :returns: False if there is none on the trait.
        """
        if self.by_trait.pop(trait, None) is None:
            return False
        self.lifted.pop(trait, None)
        self.lifted[trait] = now
        if len(self.lifted) > MAX_BARS:
            self.lifted.pop(next(iter(self.lifted)))
        return True

    def was_lifted_since(self, trait: str, since: float) -> bool:
        """Check whether a bar that began at some time was lifted later."""
        return self.lifted.get(trait, -math.inf) >= since


def make_trait_bar(since: float, until: float) -> TraitBar:
    """Create a bar.

    :returns: a bar without a probe.
    """
    return TraitBar(since, until)


def make_trait_bars() -> TraitBars:
    """Create bars.

    :returns: none in force.
    """
    return TraitBars()
