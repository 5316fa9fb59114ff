"""Decide what follows when an upstream did not answer a request.

A request that may not be repeated is sent once more only after the
upstream said that it did not run it. "Not run" is answered only while no
upstream may have run the request.
"""

import enum
from dataclasses import dataclass, field

from comfreyarch_core.refusals import Kind, Refusal, not_run, unknown

# Less time than this is not worth another send.
MIN_LEFT_S = 0.03
# Sends of one request that upstreams may reject as not run.
MAX_REJECTED = 6
# Retries of a request under whose runs connections broke.
MAX_BROKEN = 3


class Ending(enum.StrEnum):
    """Say how a send ended without a usable answer."""

    unreachable = 'unreachable'
    rejected = 'rejected'
    replaced = 'replaced'
    broken = 'broken'
    silent = 'silent'
    spoilt = 'spoilt'
    failed = 'failed'


# Nothing of the request can have run after these.
NOT_RUN = frozenset((Ending.unreachable, Ending.rejected, Ending.replaced))


@dataclass(slots=True)
class HandOver:
    """Follow the sends of one request.

    :param repeatable: whether it may run more than once.
    :param attempts: upstreams that may run it, at most.
    :param deadline: time at which the caller stops waiting.
    :param runs: sends that may have run.
    :param tried: upstreams that may have run it.
    """

    repeatable: bool
    attempts: int
    deadline: float
    runs: int = 0
    rejected: int = 0
    tried: set[str] = field(default_factory=set)

    def ended(self, name: str, ending: Ending) -> None:
        """Note how a send to an upstream ended."""
        if ending in NOT_RUN:
            self.rejected += 1
        else:
            self.tried.add(name)
            self.runs += 1

    def may_send(self, now: float) -> bool:
        """Tell whether the request may be sent once more.

        :returns: False once it may have run and must not again.
        """
        if self.deadline - now < MIN_LEFT_S:
            return False
        if self.runs and not self.repeatable:
            return False
        return self.runs < self.attempts and self.rejected <= MAX_REJECTED

    def refusal(
        self,
        kind: Kind,
        retry_after_s: float,
        detail: str = '',
    ) -> Refusal:
        """Give the final answer to a request that is given up.

        :returns: "not run" only where that is certain.
        """
        if self.runs:
            return unknown(Kind.outcome_unknown, detail=detail)
        return not_run(kind, retry_after_s, detail)


def make_hand_over(
    *,
    repeatable: bool,
    attempts: int,
    deadline: float,
) -> HandOver:
    """Start following a request.

    :returns: a state with nothing sent.
    """
    return HandOver(repeatable, attempts, deadline)
