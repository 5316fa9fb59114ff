"""Decide whether an attempt that failed is tried once more.

Only what is idempotent, or was truly not run, is tried again; a budget
bounds retries as a share of first attempts, and the caller's deadline
bounds everything.
"""

from dataclasses import dataclass

from comfreyarch_core.refusals import Kind, Ran, Refusal

BUDGET_SHARE = 0.1
BUDGET_FLOOR = 10.0
MAX_ATTEMPTS = 4
MIN_TIME_LEFT_S = 0.02

ELSEWHERE = frozenset(
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
    """Hold the retries that traffic has earned.

    :param tokens: retries that may be made now.
    """

    tokens: float = BUDGET_FLOOR

    def earn(self) -> None:
        """Count a first attempt."""
        self.tokens = min(
            BUDGET_FLOOR * MAX_ATTEMPTS,
            self.tokens + BUDGET_SHARE,
        )

    def spend(self) -> bool:
        """Take one retry.

        :returns: False when the budget is empty.
        """
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(frozen=True, slots=True)
class Failure:
    """Describe a failed attempt.

    :param refusal: how it ended.
    :param idempotent: whether the request may run again.
    :param tries: attempts made so far.
    :param left_s: seconds to the caller's deadline.
    """

    refusal: Refusal
    idempotent: bool
    tries: int
    left_s: float


def may_retry(failure: Failure, budget: RetryBudget) -> bool:
    """Decide on one more attempt, and take it from the budget.

    A planned stop costs no budget: the refused attempt never waited.

    :returns: whether to try again.
    """
    if failure.tries >= MAX_ATTEMPTS or failure.left_s < MIN_TIME_LEFT_S:
        return False
    if failure.refusal.kind not in ELSEWHERE:
        return False
    if failure.refusal.ran != Ran.not_run and not failure.idempotent:
        return False
    if failure.refusal.kind == Kind.leaving:
        return True
    return budget.spend()
