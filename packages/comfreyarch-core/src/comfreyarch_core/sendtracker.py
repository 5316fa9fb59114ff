"""Track the sends of one request and decide what follows a failed send.

A request that must not run twice is sent again only after the upstream said
that it did not run it. The caller is told "not run" only if no upstream can
have run the request.
"""

import enum
from dataclasses import dataclass, field

from comfreyarch_core.refusals import Kind, Refusal, not_run, unknown

# Time to the deadline below which the request is not sent again.
MIN_TIME_LEFT_S = 0.03
# Sends that may fail without the request having run; it is given up after one
# more.
MAX_REJECTIONS = 6
# Limit for retries of a request whose connections broke while it ran; not in
# use.
MAX_BROKEN = 3


class SendFailure(enum.StrEnum):
    """Classify how a send ended without a usable answer.

    - ``unreachable``: no connection could be opened.
    - ``rejected``: the upstream answered that it did not run the request.
    - ``replaced``: another upstream has the address now.
    - ``broken``: the connection broke or the answer was invalid.
    - ``silent``: the answer timed out.
    - ``malformed``: the answer exceeded a bound.
    - ``failed``: the upstream ran the request and answered with an error.
    """

    unreachable = 'unreachable'
    rejected = 'rejected'
    replaced = 'replaced'
    broken = 'broken'
    silent = 'silent'
    malformed = 'malformed'
    failed = 'failed'


# Failures after which no part of the request can have run.
NOT_RUN_FAILURES = frozenset(
    (SendFailure.unreachable, SendFailure.rejected, SendFailure.replaced)
)


@dataclass(slots=True)
class SendTracker:
    """Track the sends of one request.

    :param repeatable: whether the request may run more than once.
    :param attempts: maximum number of upstreams that may run it.
    :param deadline: when the caller stops waiting.
    :param runs: failed sends after which the request may have run.
    :param rejected: failed sends after which it certainly did not run.
    :param tried: names of upstreams that may have run it.
    """

    repeatable: bool
    attempts: int
    deadline: float
    runs: int = 0
    rejected: int = 0
    tried: set[str] = field(default_factory=set)

    def record_failure(self, name: str, failure: SendFailure) -> None:
        """Record a failed send to an upstream."""
        if failure in NOT_RUN_FAILURES:
            self.rejected += 1
        else:
            self.tried.add(name)
            self.runs += 1

    def may_send(self, now: float) -> bool:
        """Check whether the request may be sent again.

        :returns: False if time or sends are used up, or if the request may
            have run and must not run twice.
        """
        if self.deadline - now < MIN_TIME_LEFT_S:
            return False
        if self.runs and not self.repeatable:
            return False
        return self.runs < self.attempts and self.rejected <= MAX_REJECTIONS

    def refusal(
        self,
        kind: Kind,
        retry_after_s: float,
        detail: str = '',
    ) -> Refusal:
        """Build the final answer to a request that is given up.

        :returns: ``not_run`` only if that is certain.
        """
        if self.runs:
            return unknown(Kind.outcome_unknown, detail=detail)
        return not_run(kind, retry_after_s, detail)


def make_send_tracker(
    *,
    repeatable: bool,
    attempts: int,
    deadline: float,
) -> SendTracker:
    """Create the tracker of a request.

    :returns: a tracker without sends.
    """
    return SendTracker(repeatable, attempts, deadline)
