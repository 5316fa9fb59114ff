"""Encode and decode what entries tell each other about request limits."""

import math
from typing import Any

from comfreyarch_core.limitshares import LimitReport, Loan
from comfreyarch_core.permits import PERMIT_TTL_S, Ask, Grant, SendDemand
from comfreyarch_core.upstreamlimits import LimitState, bounded

# Tags of the messages.
REPORT = 'limits'
ASKS = 'permit_asks'
GRANT = 'permits'
# Bounds on what a message may hold.
MAX_UPSTREAMS = 1000
MAX_ORDER_LENGTH = 8
MAX_PERMITS = 1000


def encode_report(report: LimitReport) -> list[Any]:
    """Encode a report.

    :returns: the message.
    """
    return [
        REPORT,
        report.node,
        report.incarnation,
        report.sequence,
        report.is_candidate,
        {
            name: [
                state.rate if state.is_limit else None,
                state.version,
                state.started_ms,
            ]
            for name, state in report.states.items()
        },
        {
            holder: [
                loan.incarnation,
                loan.sequence,
                loan.term_s,
                loan.share,
                list(loan.upstreams),
            ]
            for holder, loan in report.loans.items()
        },
    ]


def decode_report(message: list[Any]) -> LimitReport:
    """Decode a report.

    :returns: the report.
    :raises ValueError: if the message is malformed.
    """
    node, incarnation, sequence, is_candidate, *rest = message[1:]
    states, loans = rest
    if len(states) > MAX_UPSTREAMS:
        raise ValueError(f'report on {len(states)} upstreams is too large')
    return LimitReport(
        check_name(node),
        check_count(incarnation),
        check_count(sequence),
        bool(is_candidate),
        {check_name(name): decode_state(each) for name, each in states.items()},
        {check_name(name): decode_loan(each) for name, each in loans.items()},
    )


def decode_state(fields: list[Any]) -> LimitState:
    """Decode what an entry knows of one upstream.

    :returns: the state.
    :raises ValueError: if it is malformed.
    """
    rate, version, started_ms = fields
    limit = math.inf if rate is None else bounded(check_number(rate))
    return LimitState(limit, check_count(version), check_count(started_ms))


def decode_loan(fields: list[Any]) -> Loan:
    """Decode a loan.

    :returns: the loan.
    :raises ValueError: if it is malformed.
    """
    incarnation, sequence, term_s, *rest = fields
    share, upstreams = rest
    if not 0 <= check_number(share) <= 1 or len(upstreams) > MAX_UPSTREAMS:
        raise ValueError(f'loan of {share} of {len(upstreams)} limits')
    return Loan(
        check_count(incarnation),
        check_count(sequence),
        check_number(term_s),
        share,
        tuple(check_name(name) for name in upstreams),
    )


def encode_asks(asks: list[Ask], demand: SendDemand) -> list[Any]:
    """Encode the asks of an entry to one holder.

    :returns: the message.
    """
    return [
        ASKS,
        asks[0].node,
        demand.waiting,
        list(demand.order),
        demand.wanted_s,
        [[ask.upstream, ask.number] for ask in asks],
    ]


def decode_asks(message: list[Any]) -> list[Ask]:
    """Decode asks.

    :returns: the asks.
    :raises ValueError: if the message is malformed.
    """
    node, waiting, order, *rest = message[1:]
    wanted_s, wanted = rest
    if len(order) > MAX_ORDER_LENGTH or len(wanted) > MAX_UPSTREAMS:
        raise ValueError(f'{len(wanted)} asks are too many')
    demand = SendDemand(
        check_count(waiting),
        tuple(check_number(part) for part in order),
        min(check_number(wanted_s), PERMIT_TTL_S),
    )
    return [
        Ask(check_name(node), check_name(upstream), check_count(number), demand)
        for upstream, number in wanted
    ]


def encode_grant(grant: Grant) -> list[Any]:
    """Encode the answer to an ask.

    :returns: the message.
    """
    return [GRANT, grant.node, grant.upstream, grant.number, grant.permits]


def decode_grant(message: list[Any]) -> Grant:
    """Decode the answer to an ask.

    :returns: the answer.
    :raises ValueError: if the message is malformed.
    """
    node, upstream, number, permits = message[1:]
    if check_count(permits) > MAX_PERMITS:
        raise ValueError(f'{permits} permits are too many')
    return Grant(
        check_name(node), check_name(upstream), check_count(number), permits
    )


def check_name(name: object) -> str:
    """Check a name.

    :returns: the name.
    :raises ValueError: if it is none.
    """
    if not isinstance(name, str):
        raise ValueError(f'{name!r} is no name')
    return name


def check_count(count: object) -> int:
    """Check a non-negative integer.

    :returns: the integer.
    :raises ValueError: if it is none.
    """
    if not isinstance(count, int) or count < 0:
        raise ValueError(f'{count!r} is no count')
    return count


def check_number(number: object) -> float:
    """Check a finite number.

    :returns: the number.
    :raises ValueError: if it is none.
    """
    if not isinstance(number, int | float) or not math.isfinite(number):
        raise ValueError(f'{number!r} is no finite number')
    return number
