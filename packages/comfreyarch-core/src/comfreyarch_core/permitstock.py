"""Keep an entry's permits for sends to limited upstreams, and its open asks."""

from dataclasses import dataclass, field

from comfreyarch_core.permits import PERMIT_TTL_S, Grant

# Time after which an ask without an answer is repeated.
ASK_INTERVAL_S = 0.25


@dataclass(slots=True)
class PermitStock:
    """Keep valid permits and unanswered asks.

    :param permits: ends of the valid permits, by upstream.
    :param sent_at: when the unanswered asks were sent, by upstream and number.
    :param number: number of the last ask.
    """

    permits: dict[str, list[float]] = field(default_factory=dict)
    sent_at: dict[str, dict[int, float]] = field(default_factory=dict)
    number: int = 0

    def has(self, upstream: str, now: float) -> bool:
        """Check whether there is a valid permit for an upstream.

        :returns: False if none is left.
        """
        return any(until > now for until in self.permits.get(upstream, ()))

    def take(self, upstream: str, now: float) -> float:
        """Use the permit that ends first.

        :returns: its end.
        :raises LookupError: if there is none.
        """
        valid = sorted(
            until for until in self.permits.pop(upstream, ()) if until > now
        )
        if not valid:
            raise LookupError(
                f'no permit for upstream {upstream!r}; check has() before'
            )
        if len(valid) > 1:
            self.permits[upstream] = valid[1:]
        return valid[0]

    def next_ask(self, upstream: str, now: float) -> int | None:
        """Number the next ask for an upstream, if one is due.

        :returns: None if there are permits, or a recent ask.
        """
        if self.has(upstream, now):
            return None
        asked = {
            number: sent_at
            for number, sent_at in self.sent_at.get(upstream, {}).items()
            if now - sent_at < PERMIT_TTL_S
        }
        if asked and now - max(asked.values()) < ASK_INTERVAL_S:
            return None
        self.number += 1
        self.sent_at[upstream] = {**asked, self.number: now}
        return self.number

    def handle(self, grant: Grant, now: float) -> bool:
        """Add the permits of an answer to an ask, once.

        :returns: False if they are void.
        """
        sent_at = self.sent_at.get(grant.upstream, {}).pop(grant.number, None)
        if sent_at is None or now >= sent_at + PERMIT_TTL_S:
            return False
        until = sent_at + PERMIT_TTL_S
        self.permits.setdefault(grant.upstream, []).extend(
            [until] * grant.permits
        )
        return True

    def forget(self, upstream: str) -> None:
        """Forget an upstream whose limit has ended."""
        self.permits.pop(upstream, None)
        self.sent_at.pop(upstream, None)


def make_permit_stock() -> PermitStock:
    """Create a stock.

    :returns: a stock without permits.
    """
    return PermitStock()
