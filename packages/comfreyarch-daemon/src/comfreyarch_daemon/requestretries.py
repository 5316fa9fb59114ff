"""Account the retries of one request to the retry budget of its service."""

from comfreyarch_core.retryshare import RetryShare
from comfreyarch_daemon.forwarding import Forwarder
from comfreyarch_daemon.upstreamcalls import boot_time

# Reason why a failed request is not sent again.
BUDGET_USED = 'the retry budget is used up'


class RetryRefused(Exception):
    """Report that the budget has no room for a retry that was to be sent."""


class RequestRetries:
    """Reserve and spend the retries of one request.

    A send that reached no upstream is no arrival, so the next one is charged
    only if an earlier send was written.

    :param sends_written: sends of which an upstream may have received bytes.
    :param is_reserved: whether a retry is reserved for the next send.
    """

    __slots__ = ('forwarder', 'is_reserved', 'sends_written', 'service')

    def __init__(self, forwarder: Forwarder, service: str) -> None:
        """Start with nothing sent."""
        self.forwarder = forwarder
        self.service = service
        self.sends_written = 0
        self.is_reserved = False

    def reserve(self, now: float) -> bool:
        """Reserve a retry for the next send, if that will be one.

        :returns: False if the retry budget is used up.
        """
        if not self.sends_written or self.is_reserved:
            return True
        share = self.forwarder.retry_share(self.service)
        self.is_reserved = share.reserve(now)
        if not self.is_reserved:
            self.report_refusal(share, now)
        return self.is_reserved

    def record_send(self) -> None:
        """Count the send that follows, as a retry if it is one.

        :raises RetryRefused: if the budget has no room for it any more.
        """
        if self.is_reserved:
            self.is_reserved = False
            share = self.forwarder.retry_share(self.service)
            now = boot_time()
            if not share.spend(now):
                self.report_refusal(share, now)
                raise RetryRefused(BUDGET_USED)
        self.sends_written += 1

    def report_refusal(self, share: RetryShare, now: float) -> None:
        """Log and count a retry that the budget has no room for."""
        self.forwarder.metrics.count('retries_refused')
        self.forwarder.log.write(
            'retry_budget_used',
            service=self.service,
            entries=share.entries,
            count_age_s=round(now - self.forwarder.entry_count.recorded_at, 1),
            requests=len(share.requests),
            retries=len(share.retries),
            reserved=share.reserved,
            allowance=round(share.allowance(now), 1),
        )

    def cancel(self) -> None:
        """End the reservation, if there is one."""
        if self.is_reserved:
            self.is_reserved = False
            self.forwarder.retry_share(self.service).cancel()
