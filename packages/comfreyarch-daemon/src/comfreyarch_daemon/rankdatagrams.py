"""Encode and decode the datagrams between the sidecars of a rank group."""

import zlib
from dataclasses import astuple
from typing import Any

from comfreyarch_core.countpacking import pack_counts, unpack_counts
from comfreyarch_core.enginestate import (
    ArmedSwitch,
    ArmMap,
    DisarmMap,
    EngineOrder,
    EngineState,
    HoldStep,
    PrepareMap,
    ReleaseStep,
)
from comfreyarch_core.mappacking import pack_map, unpack_map
from comfreyarch_daemon.sidecarmessages import (
    ExpertCounts,
    LeaderAnnouncement,
    RankOrder,
    StateReport,
)

STATE = 'state'
COUNTS = 'counts8'
# Counts of a large group, of which each sidecar sends more reports.
PACKED_COUNTS = 'counts4'
ORDER = 'order'
RELAY = 'relay'
LEAD = 'lead'
COMPRESSION_LEVEL = 1
# Counts are sent in units of a power of two, so that the highest fits a byte.
MAX_SENT_COUNT = 255


def encode_state(report: StateReport) -> list[Any]:
    """Encode a state report.

    :returns: a message.
    """
    state = report.state
    armed = None if state.armed is None else list(astuple(state.armed))
    return [
        STATE,
        report.engine,
        report.number,
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
        state.copying,
    ]


def decode_state(message: list[Any]) -> StateReport:
    """Decode a state report.

    :returns: the report.
    """
    fields = list(message[3:])
    if fields[8] is not None:
        fields[8] = ArmedSwitch(*fields[8])
    return StateReport(str(message[1]), EngineState(*fields), int(message[2]))


def encode_counts(counts: ExpertCounts) -> list[Any]:
    """Encode expert counts, rounded and compressed.

    A leader of a hundred ranks receives them from each of these all the time.

    :returns: a message.
    """
    highest = max(counts.counts, default=0)
    unit_bits = max(0, highest.bit_length() - MAX_SENT_COUNT.bit_length())
    half = (1 << unit_bits) >> 1
    packed = bytes(
        min(MAX_SENT_COUNT, (count + half) >> unit_bits)
        for count in counts.counts
    )
    return [
        COUNTS,
        counts.group,
        counts.rank,
        counts.epoch,
        counts.version,
        [list(experts) for experts in counts.experts],
        unit_bits,
        zlib.compress(packed, COMPRESSION_LEVEL),
    ]


def decode_counts(message: list[Any]) -> ExpertCounts:
    """Decode expert counts.

    :returns: the counts.
    """
    group, rank, epoch, version = message[1:5]
    experts, unit_bits, packed = message[5:8]
    return ExpertCounts(
        group,
        rank,
        epoch,
        version,
        tuple(tuple(set_experts) for set_experts in experts),
        tuple(count << unit_bits for count in zlib.decompress(packed)),
    )


def encode_packed_counts(counts: ExpertCounts) -> list[Any]:
    """Encode expert counts in four bits each.

    The experts are always included, as a report may be lost.

    :returns: a message.
    """
    highest, packed = pack_counts(counts.counts, counts.rank)
    return [
        PACKED_COUNTS,
        counts.group,
        counts.rank,
        counts.epoch,
        counts.version,
        [list(experts) for experts in counts.experts],
        highest,
        len(counts.counts),
        zlib.compress(packed, COMPRESSION_LEVEL),
    ]


def decode_packed_counts(message: list[Any]) -> ExpertCounts:
    """Decode expert counts of four bits each.

    :returns: the counts.
    """
    group, rank, epoch, version = message[1:5]
    experts, highest, length, packed = message[5:9]
    return ExpertCounts(
        group,
        rank,
        epoch,
        version,
        tuple(tuple(set_experts) for set_experts in experts),
        unpack_counts(highest, zlib.decompress(packed), length),
    )


def encode_order(rank_order: RankOrder) -> list[Any]:
    """Encode an order.

    :returns: a message.
    """
    return [
        ORDER,
        rank_order.group,
        rank_order.fence,
        rank_order.rank,
        rank_order.epoch,
        rank_order.sequence,
        encode_engine_order(rank_order.order),
    ]


def encode_engine_order(order: EngineOrder) -> list[Any]:
    """Encode the order to the engine.

    :returns: the kind of order and its fields.
    """
    fields: list[Any] = [type(order).__name__]
    match order:
        case PrepareMap(version, content):
            fields += [version, *pack_map(content)]
        case ArmMap(version, step):
            fields += [version, step]
        case DisarmMap(version):
            fields.append(version)
        case HoldStep(step) | ReleaseStep(step):
            fields.append(step)
    return fields


def decode_order(message: list[Any]) -> RankOrder:
    """Decode an order.

    :returns: the order and its addressee.
    :raises ValueError: if the kind of order is unknown.
    """
    group, fence, rank = message[1:4]
    epoch, sequence, fields = message[4:7]
    return RankOrder(
        group,
        fence,
        rank,
        epoch,
        sequence,
        decode_engine_order(fields),
    )


def encode_relayed_order(leader: str, order: RankOrder) -> list[Any]:
    """Encode an order to a relay group without its targets.

    :param leader: datagram address of the leader.
    :param order: the order of any target.
    :returns: a message that lacks its last item, the list of encoded targets,
        the receiver first.
    """
    return [
        RELAY,
        leader,
        order.group,
        order.fence,
        order.epoch,
        encode_engine_order(order.order),
    ]


def encode_target(order: RankOrder, address: str) -> list[Any]:
    """Encode what an order to one target of a relay group has of its own.

    :param address: datagram address of the target's sidecar.
    :returns: an item of the list of targets.
    """
    return [order.rank, order.sequence, address]


def decode_relayed_order(message: list[Any]) -> tuple[RankOrder, str]:
    """Decode the receiver's order of a relay group.

    :returns: the order and the leader's address.
    :raises ValueError: if there is no target or the order is unknown.
    """
    leader, group, fence = message[1:4]
    epoch, fields, targets = message[4:7]
    if not targets:
        raise ValueError('relayed order without a target; the sender is faulty')
    rank, sequence, _ = targets[0]
    engine_order = decode_engine_order(fields)
    order = RankOrder(group, fence, rank, epoch, sequence, engine_order)
    return order, leader


def decode_engine_order(fields: list[Any]) -> EngineOrder:
    """Decode the order to the engine.

    :returns: the order.
    :raises ValueError: if the kind of order is unknown.
    """
    match fields:
        case ['PrepareMap', version, *packed]:
            return PrepareMap(version, unpack_map(packed))
        case ['ArmMap', version, step]:
            return ArmMap(version, step)
        case ['DisarmMap', version]:
            return DisarmMap(version)
        case ['HoldStep', step]:
            return HoldStep(step)
        case ['ReleaseStep', step]:
            return ReleaseStep(step)
    raise ValueError(
        f'unknown engine order {fields[:1]!r}; '
        'run the same version on all sidecars of the group'
    )


def encode_announcement(announcement: LeaderAnnouncement) -> list[Any]:
    """Encode a leader's announcement.

    :returns: a message.
    """
    return [LEAD, announcement.group, announcement.fence, announcement.node]


def decode_announcement(message: list[Any]) -> LeaderAnnouncement:
    """Decode a leader's announcement.

    :returns: the announcement.
    """
    _, group, fence, node = message
    return LeaderAnnouncement(group, fence, node)
