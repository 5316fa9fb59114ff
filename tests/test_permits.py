"""Test permits, loans and the messages that carry them."""

import math
import random

import pytest

from comfreyarch_core.limitshares import (
    REPORT_INTERVAL_S,
    LimitReport,
    Loan,
    make_limit_shares,
)
from comfreyarch_core.permits import (
    PERMIT_TTL_S,
    Ask,
    Grant,
    SendDemand,
    make_permit_issuer,
)
from comfreyarch_core.permitstock import ASK_INTERVAL_S, make_permit_stock
from comfreyarch_core.upstreamlimits import LimitState
from comfreyarch_daemon.datagrams import DECODE_ERRORS
from comfreyarch_daemon.limitmessages import (
    decode_asks,
    decode_grant,
    decode_report,
    encode_asks,
    encode_grant,
    encode_report,
)

STATES = {'u': LimitState(2.0, 1, 0)}
WAITING = SendDemand(1, (1, 5.0), 3.0)


def asked_stock():
    """Create a stock with an ask sent at time 0.

    :returns: the stock and the number of the ask.
    """
    stock = make_permit_stock()
    return stock, stock.next_ask('u', 0)


def full_issuer():
    """Create an issuer with a full bucket."""
    issuer = make_permit_issuer(random.Random(1))
    issuer.issue('u', 1, 1, 0)
    issuer.issue('u', 1, 1, 10)
    return issuer


# Fails if a process that did not run, or a late message, uses a permit that has
# ended.
def test_a_permit_ends_a_while_after_its_ask():
    stock, number = asked_stock()
    assert stock.handle(Grant('e', 'u', number, 1), 0.9)
    assert stock.has('u', PERMIT_TTL_S - 0.01)
    assert not stock.has('u', PERMIT_TTL_S)
    with pytest.raises(LookupError):
        stock.take('u', PERMIT_TTL_S)
    stock, number = asked_stock()
    assert not stock.handle(Grant('e', 'u', number, 1), PERMIT_TTL_S)
    assert not stock.has('u', PERMIT_TTL_S)


# Fails if the second copy of a datagram counts as another permit.
def test_an_answer_counts_once():
    stock, number = asked_stock()
    grant = Grant('e', 'u', number, 1)
    assert stock.handle(grant, 0.1)
    assert not stock.handle(grant, 0.2)
    stock.take('u', 0.3)
    assert not stock.has('u', 0.3)


def test_asks_are_repeated_until_they_are_answered():
    stock, number = asked_stock()
    assert stock.next_ask('u', ASK_INTERVAL_S / 2) is None
    assert stock.next_ask('u', ASK_INTERVAL_S) == number + 1
    # An answer to either ask counts.
    stock.handle(Grant('e', 'u', number, 1), ASK_INTERVAL_S)
    assert stock.next_ask('u', 2 * ASK_INTERVAL_S) is None
    stock.forget('u')
    assert not stock.has('u', 0.3)


def test_requests_that_wait_are_served_first_in_their_order():
    issuer = full_issuer()
    demands = {
        'a': SendDemand(),
        'b': SendDemand(3, (1, 2.0), 2.0),
        'c': WAITING,
    }
    demands['d'] = SendDemand(1, (0, 9.0), 9.0)
    for node, demand in demands.items():
        issuer.handle(Ask(node, 'u', 1, demand), 10)
    order = []
    for now in (10, 10.6, 11.2, 11.8, 12.4, 13):
        order += [grant.node for grant in issuer.issue('u', 1, 1, now)]
        for node, demand in demands.items():
            if node not in order:
                issuer.handle(Ask(node, 'u', 1, demand), now)
    assert order[:3] == ['d', 'b', 'c']


def test_a_token_is_left_for_the_requests_of_the_holder():
    issuer = full_issuer()
    for node in ('a', 'b'):
        issuer.handle(Ask(node, 'u', 1, SendDemand()), 10)
    assert len(issuer.issue('u', 1, 1, 10)) == 1
    assert issuer.has_own('u', 1, 1, 10)
    issuer.use_own('u')
    assert not issuer.has_own('u', 1, 1, 10)


def test_requests_that_wait_elsewhere_go_before_those_that_come():
    issuer = full_issuer()
    issuer.buckets['u'].tokens = 0.5
    issuer.handle(Ask('a', 'u', 1, WAITING), 10)
    assert not issuer.issue('u', 1, 1, 10)
    assert issuer.next_token_s('u', 1) == 0.5
    assert not issuer.has_own('u', 1, 1, 10.6)
    assert issuer.issue('u', 1, 1, 10.6)


def test_asks_end_with_the_use_of_their_answer():
    issuer = full_issuer()
    issuer.buckets['u'].tokens = 0
    issuer.handle(Ask('a', 'u', 1, SendDemand(1, (1, 0.5), 0.5)), 10)
    assert not issuer.issue('u', 1, 1, 11.5)
    assert not issuer.asks
    assert issuer.next_token_s('u', 1) == math.inf


# Fails if each of many entries without contact saves a request, and all of them
# send at once.
def test_an_entry_with_a_small_share_saves_nothing():
    issuer = make_permit_issuer(random.Random(1))
    issuer.refill('u', 0.1, 0.1, 0)
    started = issuer.buckets['u'].tokens
    whole_at = (1 - started) / 0.1
    assert issuer.has_own('u', 1, 0.1, whole_at + 0.5)
    assert not issuer.has_own('u', 1, 0.1, whole_at + 2)


def exchange(lender, borrower, now):
    """Let two entries send each other a report."""
    for sender, receiver in ((borrower, lender), (lender, borrower)):
        receiver.handle(sender.make_report(STATES, 2, now), now)


def make_pair():
    """Create two entries that lend: the holder of ``u`` is the second one."""
    shares = [make_limit_shares(f'e{number}', number, -10) for number in (0, 1)]
    for now in (0, 0.1):
        exchange(*shares, now)
    holder = shares[0].holder('u')
    return sorted(shares, key=lambda each: each.node == holder)


def test_the_holder_uses_the_shares_of_all():
    lender, holder = make_pair()
    exchange(lender, holder, 0.2)
    assert holder.share('u', 2, 0.2) == 1
    assert lender.share('u', 2, 0.2) == 0


# Fails if a holder that did not run for a while uses loans that have ended, or
# takes a report that waited meanwhile for a new one.
def test_a_loan_ends_by_the_clock_of_the_holder():
    lender, holder = make_pair()
    late = lender.make_report(STATES, 2, 0.2)
    assert holder.share('u', 2, 5) == 0.5
    holder.handle(late, 5)
    assert holder.share('u', 2, 5) == 0.5


# Fails if the lender uses its share while the holder still may.
def test_a_lender_waits_for_the_end_of_its_loan():
    lender, holder = make_pair()
    exchange(lender, holder, 1)
    lent_until = lender.lent['u'].until
    lender.update_candidates(lent_until - 0.01)
    assert lender.holder('u') == lender.node
    assert lender.share('u', 2, lent_until - 0.01) == 0
    assert lender.share('u', 2, lent_until) == 0.5
    assert holder.borrowed['u'][lender.node].until <= lent_until


def test_a_holder_that_leaves_returns_its_loans():
    lender, holder = make_pair()
    exchange(lender, holder, 1)
    assert holder.share('u', 2, 1.01) == 1
    holder.leave()
    # Its own share is left until its next report lends it.
    assert holder.share('u', 2, 1.01) == 0.5
    lender.handle(holder.make_report(STATES, 2, 1.01), 1.01)
    assert lender.share('u', 2, 1.02) == 1
    assert holder.share('u', 2, 1.02) == 0


# Fails if an entry that restarts uses the share that its predecessor lent.
def test_an_entry_that_starts_waits_for_a_term():
    shares = make_limit_shares('e', 1, 100)
    assert shares.share('u', 1, 100) == 0
    assert not shares.make_report(STATES, 2, 100.1).loans
    assert shares.share('u', 1, 100 + shares.term_s) == 1


def test_loans_to_a_former_incarnation_are_void():
    shares = make_limit_shares('e', 7, 0)
    shares.make_report(STATES, 2, 10)
    for loan in (
        Loan(6, 1, 9.0, 0.5, ('u',)),
        Loan(7, 99, 9.0, 0.5, ('u',)),
    ):
        shares.handle(LimitReport('x', 1, 1, True, {}, {'e': loan}), 10)
    assert not shares.borrowed


def test_what_entries_say_is_forgotten():
    shares = make_limit_shares('e', 7, 0)
    now = 10.0
    for number in range(500):
        now += REPORT_INTERVAL_S
        shares.make_report(STATES, 2, now)
        shares.handle(LimitReport(f'x{number}', 1, 1, True), now)
    assert len(shares.sent_at) <= 10
    assert len(shares.heard) <= 10


REPORT = LimitReport(
    'e',
    5,
    6,
    True,
    {'u': LimitState(2.5, 3, 9), 'v': LimitState(math.inf, 4, 0)},
    {'f': Loan(8, 9, 1.25, 0.125, ('u',))},
)
ASKS = [Ask('e', 'u', 4, WAITING), Ask('e', 'v', 5, WAITING)]


def test_messages_are_read_as_they_were_written():
    assert decode_report(encode_report(REPORT)) == REPORT
    grant = Grant('e', 'u', 4, 2)
    assert decode_grant(encode_grant(grant)) == grant
    read = decode_asks(encode_asks(ASKS, WAITING))
    assert [ask.number for ask in read] == [4, 5]
    assert read[0].demand == SendDemand(1, (1, 5.0), PERMIT_TTL_S)


INVALID = (None, -1, 'x', [], {}, math.nan, math.inf, 10**30, b'x', [[1]])


# Fails if a malformed message raises an error that ends the listener.
@pytest.mark.parametrize('invalid', INVALID)
def test_malformed_messages_are_refused_or_bounded(invalid):
    messages = (
        (decode_report, encode_report(REPORT)),
        (decode_asks, encode_asks(ASKS, WAITING)),
        (decode_grant, encode_grant(Grant('e', 'u', 4, 2))),
    )
    for decode, message in messages:
        for position in range(1, len(message)):
            changed = [*message]
            changed[position] = invalid
            try:
                decode(changed)
            except DECODE_ERRORS:
                continue
        with pytest.raises(DECODE_ERRORS):
            decode([*message, 1, 2])


@pytest.mark.parametrize('rate', [0, -1, math.nan, 'x'])
def test_a_reported_limit_is_checked(rate):
    message = encode_report(REPORT)
    message[5] = {'u': [rate, 1, 0]}
    try:
        report = decode_report(message)
    except ValueError:
        return
    assert report.states['u'].rate > 0
