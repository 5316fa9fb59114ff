"""Tell common parts of prompts, which are not barred, from rare ones.

A bar on a common part would refuse most sound requests of a route.
"""

import math
from dataclasses import dataclass, field

from comfreyarch_core.crashmessages import Target
from comfreyarch_core.traitshares import TraitShares, make_trait_shares

# Net number of crashes at which a trait is barred.
BAR_SCORE = 3
# The same for parts while few answers on the route show which are common on it.
NEW_ROUTE_SCORE = 5
# Answers on a route, or of its service, needed before its parts are judged.
MIN_ANSWERS = 5
# Sends on a route needed where there are fewer answers.
MIN_SENDS = 20
# Share in the recent answers or sends on a route above which a part is common.
MAX_SHARE = 0.3


@dataclass(slots=True)
class CommonParts:
    """Estimate which parts are common.

    :param sent: shares of the parts in the requests sent.
    :param answered: shares of the traits in the requests answered.
    """

    sent: TraitShares = field(default_factory=make_trait_shares)
    answered: TraitShares = field(default_factory=make_trait_shares)

    def is_common(self, part: str) -> bool:
        """Check whether a part is in many of the answers on a route."""
        return self.answered.highest_share(part) > MAX_SHARE

    def bar_score(self, part: str, target: Target) -> float:
        """Return the net number of crashes at which a part is barred.

        :returns: infinity for a common part, or if that is unknown.
        """
        if self.answered.route_count(target.route) >= MIN_ANSWERS:
            share = self.answered.share(target.route, part)
            return BAR_SCORE if share <= MAX_SHARE else math.inf
        if self.answered.service_count(target.service) >= MIN_ANSWERS:
            return NEW_ROUTE_SCORE
        is_known = self.sent.route_count(target.route) >= MIN_SENDS
        share = self.sent.share(target.route, part)
        return NEW_ROUTE_SCORE if is_known and share <= MAX_SHARE else math.inf


def make_common_parts() -> CommonParts:
    """Create the estimate.

    :returns: one without any request.
    """
    return CommonParts()
