"""Hold the bars of traits, each with an end and one probe after it."""

import math
from dataclasses import dataclass

# Time after which one request with a barred trait is sent as a probe.
BAR_S = 600.0
# Time after which the outcome of a probe counts as unknown.
PROBE_OUTCOME_S = 30.0


@dataclass(slots=True)
class TraitBar:
    """Hold a bar.

    :param until: time from which one request is sent as a probe.
    :param probed_at: time of the last probe.
    """

    since: float
    until: float
    probed_at: float = -math.inf


def may_probe(trait_bar: TraitBar, now: float) -> bool:
    """Check whether a request may be sent in spite of a bar.

    :returns: True after its end, unless a probe is under way.
    """
    return (
        now >= trait_bar.until and now - trait_bar.probed_at > PROBE_OUTCOME_S
    )


def is_probed(trait_bar: TraitBar) -> bool:
    """Check whether a request was sent after the end of a bar.

    :returns: False if its answer was under way before.
    """
    return trait_bar.probed_at >= trait_bar.until


def make_trait_bar(since: float, until: float) -> TraitBar:
    """Create a bar.

    :returns: a bar without a probe.
    """
    return TraitBar(since, until)
