"""Decide whether a failed attempt is retried.

Only a request that is idempotent, or that certainly did not run, is retried.
A token budget limits retries to a share of first attempts, and no retry
extends past the caller's deadline.
"""

from dataclasses import dataclass

from comfreyarch_core.refusals import Kind, Ran, Refusal

# Retry tokens that each first attempt adds to the budget.
TOKENS_PER_REQUEST = 0.1
# Retry tokens that a new budget holds.
INITIAL_TOKENS = 10.0
# Attempts at one request, the first included.
MAX_ATTEMPTS = 4
# Time to the deadline below which a request is not retried.
MIN_TIME_LEFT_S = 0.02

# Refusals after which another sidecar may accept the request.
RETRYABLE_KINDS = frozenset(
    (
        Kind.leaving,
        Kind.overloaded,
        Kind.deadline,
        Kind.no_upstream,
        Kind.upstream_failed,
        Kind.not_ready,
    )
)


@dataclass(slots=True)
class RetryBudget:
    """Limit retries to a share of first attempts with a token budget.

    :param tokens: retries that may be made now.
    """

    tokens: float = INITIAL_TOKENS

    def earn(self) -> None:
        """Credit the budget for a first attempt, up to its limit."""
        self.tokens = min(
            INITIAL_TOKENS * MAX_ATTEMPTS,
            self.tokens + TOKENS_PER_REQUEST,
        )

    def try_spend(self) -> bool:
        """Take the token for one retry.

        :returns: False if the budget is exhausted.
        """
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(frozen=True, slots=True)
class Failure:
    """Describe a failed attempt.

    :param refusal: how the attempt ended.
    :param idempotent: whether the request may run more than once.
    :param attempts: attempts made so far.
    :param time_left_s: seconds until the caller's deadline.
    """

    refusal: Refusal
    idempotent: bool
    attempts: int
    time_left_s: float


def may_retry(failure: Failure, budget: RetryBudget) -> bool:
    """Decide whether to retry, and charge the retry to the budget.

    A refusal because of a planned stop is retried without charge, since the
    refused attempt never waited.

    :returns: whether to make another attempt.
    """
    if (
        failure.attempts >= MAX_ATTEMPTS
        or failure.time_left_s < MIN_TIME_LEFT_S
    ):
        return False
    if failure.refusal.kind not in RETRYABLE_KINDS:
        return False
    if failure.refusal.ran != Ran.not_run and not failure.idempotent:
        return False
    if failure.refusal.kind == Kind.leaving:
        return True
    return budget.try_spend()
