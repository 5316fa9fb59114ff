"""Write and read the messages between the sidecars of a rank group."""

import zlib
from array import array
from dataclasses import astuple, dataclass
from typing import Any

import cbor2

from comfreyarch_core.enginestate import (
    ArmedSwitch,
    ArmMap,
    DisarmMap,
    EngineOrder,
    EngineState,
    GroupMap,
    HoldStep,
    PrepareMap,
    ReleaseStep,
)

STATE = 'state'
COUNTS = 'counts'
ORDER = 'order'
LEAD = 'lead'
COMPRESSION = 1
# Counts are sent as unsigned 32-bit numbers.
COUNT_TYPE = 'I'


@dataclass(frozen=True, slots=True)
class StateNews:
    """Tell the state of a rank's engine.

    :param engine: address of the engine itself.
    :param number: grows with each reading of one engine.
    """

    engine: str
    state: EngineState
    number: int


@dataclass(frozen=True, slots=True)
class CountNews:
    """Tell how often a rank's requests chose each expert of late.

    :param version: the map in use, whose experts of this rank follow.
    :param counts: set after set, since the last news.
    """

    group: str
    rank: int
    epoch: int
    version: int
    experts: tuple[tuple[int, ...], ...]
    counts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class OrderNews:
    """Ask a sidecar to give its engine an order."""

    group: str
    fence: int
    rank: int
    epoch: int
    sequence: int
    order: EngineOrder


@dataclass(frozen=True, slots=True)
class LeadNews:
    """Tell who leads a group."""

    group: str
    fence: int
    node: str


def write_state(news: StateNews) -> list[Any]:
    """Write a state.

    :returns: a message.
    """
    state = news.state
    armed = None if state.armed is None else list(astuple(state.armed))
    return [
        STATE,
        news.engine,
        news.number,
        state.group,
        state.epoch,
        state.rank,
        state.size,
        state.is_open,
        state.step,
        state.version,
        state.prepared,
        armed,
        state.held,
        state.sequence,
        state.pace,
        state.running,
        state.waiting,
        state.unanswered,
    ]


def read_state(message: list[Any]) -> StateNews:
    """Read a state.

    :returns: the news.
    """
    fields = list(message[3:])
    if fields[8] is not None:
        fields[8] = ArmedSwitch(*fields[8])
    return StateNews(str(message[1]), EngineState(*fields), int(message[2]))


def write_counts(news: CountNews) -> list[Any]:
    """Write counts, compressed.

    :returns: a message.
    """
    packed = array(COUNT_TYPE, news.counts).tobytes()
    return [
        COUNTS,
        news.group,
        news.rank,
        news.epoch,
        news.version,
        [list(experts) for experts in news.experts],
        zlib.compress(packed, COMPRESSION),
    ]


def read_counts(message: list[Any]) -> CountNews:
    """Read counts.

    :returns: the news.
    """
    group, rank, epoch, version = message[1:5]
    experts, packed = message[5:7]
    counts = array(COUNT_TYPE)
    counts.frombytes(zlib.decompress(packed))
    return CountNews(
        group,
        rank,
        epoch,
        version,
        tuple(tuple(one) for one in experts),
        tuple(counts),
    )


def write_order(news: OrderNews) -> list[Any]:
    """Write an order.

    :returns: a message.
    """
    order = news.order
    fields: list[Any] = [type(order).__name__]
    match order:
        case PrepareMap(version, content):
            fields += [version, zlib.compress(cbor2.dumps(content))]
        case ArmMap(version, step):
            fields += [version, step]
        case DisarmMap(version):
            fields.append(version)
        case HoldStep(step) | ReleaseStep(step):
            fields.append(step)
    return [
        ORDER,
        news.group,
        news.fence,
        news.rank,
        news.epoch,
        news.sequence,
        fields,
    ]


def read_order(message: list[Any]) -> OrderNews:
    """Read an order.

    :returns: the news.
    :raises ValueError: for an unknown order.
    """
    group, fence, rank = message[1:4]
    epoch, sequence, fields = message[4:7]
    return OrderNews(
        group,
        fence,
        rank,
        epoch,
        sequence,
        read_order_fields(fields),
    )


def read_order_fields(fields: list[Any]) -> EngineOrder:
    """Read what is ordered.

    :returns: the order.
    :raises ValueError: for an unknown one.
    """
    match fields:
        case ['PrepareMap', version, content]:
            decoded = cbor2.loads(zlib.decompress(content))
            return PrepareMap(version, as_map(decoded))
        case ['ArmMap', version, step]:
            return ArmMap(version, step)
        case ['DisarmMap', version]:
            return DisarmMap(version)
        case ['HoldStep', step]:
            return HoldStep(step)
        case ['ReleaseStep', step]:
            return ReleaseStep(step)
    raise ValueError(f'unknown order {fields[:1]!r}')


def as_map(decoded: Any) -> GroupMap:
    """Read a map's content.

    :returns: experts by set and rank.
    """
    return tuple(
        tuple(tuple(experts) for experts in ranks) for ranks in decoded
    )


def write_lead(news: LeadNews) -> list[Any]:
    """Write who leads.

    :returns: a message.
    """
    return [LEAD, news.group, news.fence, news.node]


def read_lead(message: list[Any]) -> LeadNews:
    """Read who leads.

    :returns: the news.
    """
    _, group, fence, node = message
    return LeadNews(group, fence, node)
