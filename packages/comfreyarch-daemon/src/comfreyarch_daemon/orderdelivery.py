"""Send a map leader's orders to the sidecars of its group or to engines."""

from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Protocol

import gevent

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
from comfreyarch_core.mapcontrol import MapControl
from comfreyarch_core.mapcontrolmessages import Send
from comfreyarch_daemon.engineapi import EngineApi, EngineUnavailable
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.groupreports import RANK_TIMEOUT_S, GroupReports
from comfreyarch_daemon.sidecarmessages import READINGS_PER_S, RankOrder
from comfreyarch_daemon.upstreamcalls import boot_time

# Usual maximum time from a sidecar's reading to its arrival at the leader.
REPORT_DELAY_S = 0.008
# Time after which a rank without reports is sent maps directly. They take far more
# of the leader's link than datagrams do, and a few lost reports show no silent rank.
MAP_RANK_TIMEOUT_S = 1.0
# Maximum age of a state that is read from another instance.
DIRECT_READING_AGE_S = 0.5
# Maximum number of readings in which a silent rank must show a map that it accepted,
# and their interval. Sending the map again would cost more.
MAP_READINGS = 8
MAP_READING_INTERVAL_S = 0.2
# Maximum number of maps that are sent directly at the same time.
MAX_DIRECT_MAPS = 2


class OrderSender(Protocol):
    """Interface to the sidecars of a group, implemented by ``orderchannel``."""

    def send(self, order: RankOrder) -> None:
        """Send an order to a rank's sidecar."""

    def send_to_many(self, orders: Sequence[RankOrder]) -> float:
        """Send orders that differ in rank and sequence only.

        :returns: seconds until the last of them should have arrived.
        """


class OrderDelivery:
    """Send the orders of one leader.

    :param control: the leader's map control, for its term and known states.
    :param open_engine: opens a connection to the engine at an address.
    :param on_reading: called with an engine's state after a direct order, and
        the number of that reading.
    :param direct_maps: number of maps being sent directly to engines.
    :param last_reports: time and number of the last report of each rank that
        was ordered directly.
    """

    __slots__ = (
        'control',
        'direct_maps',
        'last_reports',
        'log',
        'on_reading',
        'open_engine',
        'orders',
        'reports',
    )

    def __init__(
        self,
        control: MapControl,
        reports: GroupReports,
        orders: OrderSender,
        open_engine: Callable[[str], EngineApi],
        log: EventLog,
        on_reading: Callable[[EngineState, int], None],
    ) -> None:
        """Create the delivery of a term."""
        self.control = control
        self.reports = reports
        self.orders = orders
        self.open_engine = open_engine
        self.log = log
        self.on_reading = on_reading
        self.direct_maps = 0
        self.last_reports: dict[int, tuple[float, int]] = {}

    def deliver(self, sends: Sequence[Send]) -> None:
        """Send the orders that the map control requests."""
        maps: list[RankOrder] = []
        for send in sends:
            order = self.address_order(send)
            if isinstance(order.order, PrepareMap):
                maps.append(order)
            else:
                self.send(order)
        self.send_maps(maps)

    def address_order(self, send: Send) -> RankOrder:
        """Return an order as it is sent to a rank's sidecar."""
        return RankOrder(
            self.control.states[send.rank].group,
            self.control.fence,
            send.rank,
            send.epoch,
            send.sequence,
            send.order,
        )

    def send_maps(self, orders: Sequence[RankOrder]) -> None:
        """Send a map to sidecars, directly to engines of silent ones."""
        now = boot_time()
        by_sidecar = []
        for order in orders:
            silent_s = now - self.reports.last_seen_at.get(order.rank, 0)
            if (
                silent_s < MAP_RANK_TIMEOUT_S
                or order.rank == self.control.own_rank
                or order.rank not in self.reports.engine_addresses
            ):
                by_sidecar.append(order)
            elif self.direct_maps < MAX_DIRECT_MAPS:
                self.direct_maps += 1
                gevent.spawn(self.send_map_directly, order)
        if by_sidecar:
            arrival_s = self.orders.send_to_many(by_sidecar)
            self.control.delay_resends(
                [addressed.rank for addressed in by_sidecar], now + arrival_s
            )

    def send_map_directly(self, order: RankOrder) -> None:
        """Send a map to an engine directly, bypassing its sidecar."""
        try:
            if self.order_directly(order):
                self.await_map(order)
        finally:
            self.direct_maps -= 1

    def await_map(self, order: RankOrder) -> None:
        """Read an engine until it shows a map that it accepted.

        The readings end when the leader goes on to another map.
        """
        engine = self.open_engine(self.reports.engine_addresses[order.rank])
        try:
            for _ in range(MAP_READINGS):
                gevent.sleep(MAP_READING_INTERVAL_S)
                is_current = order.order == PrepareMap(
                    self.control.version, self.control.target
                )
                if (
                    not is_current
                    or order.rank not in self.control.find_unprepared()
                ):
                    return
                state = engine.state()
                if state is not None:
                    self.pass_on_reading(order.rank, state)
        except EngineUnavailable as error:
            self.log.write('engine_silent', rank=order.rank, why=str(error))
        finally:
            engine.close()

    def pass_on_reading(self, rank: int, state: EngineState) -> None:
        """Process a state that was read from another instance.

        It may be older than the effect of an order that the engine accepted,
        so it gets the number of a reading of the highest age.
        """
        age = int(DIRECT_READING_AGE_S * READINGS_PER_S)
        known = self.control.states.get(rank)
        if known is not None:
            # Only sidecars know which map their engine copies.
            state = replace(state, copying=known.copying)
        number = self.estimate_reading_number(rank) - age
        self.on_reading(state, max(0, number))

    def send(self, order: RankOrder) -> None:
        """Send an order to the rank's sidecar or directly to its engine."""
        silent_s = boot_time() - self.reports.last_seen_at.get(order.rank, 0)
        is_own_rank = order.rank == self.control.own_rank
        is_address_known = order.rank in self.reports.engine_addresses
        if (
            is_address_known
            and not is_own_rank
            and isinstance(order.order, HoldStep | ReleaseStep)
        ):
            # Holds and releases go directly to the engine. A stalled instance
            # does not answer, and the leader's own may be the next to stall, so
            # the rank that holds a step should not be the one that sends
            # orders.
            gevent.spawn(self.order_directly, order)
            return
        if is_own_rank or silent_s < RANK_TIMEOUT_S or not is_address_known:
            self.orders.send(order)
            return
        gevent.spawn(self.order_directly, order)

    def order_directly(self, order: RankOrder) -> bool:
        """Send an order to an engine directly, bypassing its sidecar.

        :returns: whether the engine accepted it.
        """
        address = self.reports.engine_addresses[order.rank]
        engine = self.open_engine(address)
        number = self.estimate_reading_number(order.rank)
        try:
            is_accepted = self.try_order(engine, order)
            if not is_accepted and not isinstance(
                order.order, HoldStep | ReleaseStep
            ):
                state = engine.state()
                if state is not None:
                    self.pass_on_reading(order.rank, state)
        except EngineUnavailable as error:
            self.log.write('engine_silent', rank=order.rank, why=str(error))
            return False
        finally:
            engine.close()
        known = self.control.states.get(order.rank)
        if not is_accepted or known is None or known.epoch != order.epoch:
            return is_accepted
        if isinstance(order.order, PrepareMap):
            # Later readings, which may be older than the order, show the copy.
            number = self.control.reading_numbers.get(order.rank, 0)
        elif isinstance(order.order, HoldStep | ReleaseStep):
            number = self.estimate_reading_number(order.rank)
        self.on_reading(apply_accepted(known, order.order), number)
        return True

    def estimate_reading_number(self, rank: int) -> int:
        """Return a number for a direct reading of another rank's engine.

        :returns: the estimated number that the rank's sidecar would assign to
            a reading now.
        """
        now = boot_time()
        last_number = self.control.reading_numbers.get(rank, 0)
        last_seen_at = self.reports.last_seen_at.get(rank, -1)
        seen_at, number = self.last_reports.get(rank, (-1.0, 0))
        if rank not in self.last_reports or seen_at < last_seen_at:
            # Evidence from direct orders since then must not be added up.
            seen_at = now if last_seen_at < 0 else last_seen_at
            number = last_number
            self.last_reports[rank] = (seen_at, number)
        age_s = now - seen_at + REPORT_DELAY_S
        return max(last_number, number + int(age_s * READINGS_PER_S))

    def try_order(self, engine: EngineApi, order: RankOrder) -> bool:
        """Send an order that may get no answer.

        :returns: whether the engine accepted it.
        """
        outcome = 'accepted'
        try:
            if not engine.order(order.order, order.epoch, order.sequence):
                outcome = 'refused'
        except EngineUnavailable as error:
            outcome = str(error)
        self.log.write(
            'direct_order',
            rank=order.rank,
            order=type(order.order).__name__,
            outcome=outcome,
        )
        return outcome == 'accepted'


def apply_accepted(state: EngineState, order: EngineOrder) -> EngineState:
    """Return an engine's state after an order that it accepted.

    A state read from another instance is some hundred milliseconds old, so an
    accepted order is taken as proof that it took effect. A map still has to be
    copied.
    """
    match order:
        case HoldStep(step):
            return replace(state, held=step)
        case ReleaseStep():
            return replace(state, held=None)
        case ArmMap(version, step):
            return replace(state, armed=ArmedSwitch(version, step))
        case DisarmMap(version):
            armed = state.armed
            is_undone = armed is not None and armed.version == version
            return replace(state, armed=None) if is_undone else state
        case PrepareMap(version):
            return replace(state, copying=version)
    return state
