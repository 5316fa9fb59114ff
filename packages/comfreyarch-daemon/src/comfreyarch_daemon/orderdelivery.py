"""Send a map leader's orders to the sidecars of its group or to engines."""

from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Protocol

import gevent

from comfreyarch_core.enginestate import (
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
    """

    __slots__ = (
        'control',
        'direct_maps',
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
            self.order_directly(order)
        finally:
            self.direct_maps -= 1

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

    def order_directly(self, order: RankOrder) -> None:
        """Send an order to an engine directly, bypassing its sidecar."""
        address = self.reports.engine_addresses[order.rank]
        engine = self.open_engine(address)
        try:
            state = self.try_order(engine, order)
        except EngineUnavailable as error:
            self.log.write('engine_silent', rank=order.rank, why=str(error))
            return
        finally:
            engine.close()
        if state is not None:
            number = self.estimate_reading_number(order.rank)
            self.on_reading(state, number)

    def estimate_reading_number(self, rank: int) -> int:
        """Return a number for a direct reading of another rank's engine.

        :returns: the estimated number that the rank's sidecar would assign to
            a reading now.
        """
        last_number = self.control.reading_numbers.get(rank, 0)
        last_seen_at = self.reports.last_seen_at.get(rank)
        if last_seen_at is None:
            return last_number
        age_s = boot_time() - last_seen_at + REPORT_DELAY_S
        return last_number + int(age_s * READINGS_PER_S)

    def try_order(
        self, engine: EngineApi, order: RankOrder
    ) -> EngineState | None:
        """Send an order that may get no answer.

        A state read from another instance is some hundred milliseconds old, so
        an accepted hold or release is taken as proof that it took effect.

        :returns: the engine's state after the order, None if it is unknown.
        :raises EngineUnavailable: if the state cannot be read.
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
        last_state = self.control.states.get(order.rank)
        if isinstance(order.order, HoldStep | ReleaseStep):
            if outcome != 'accepted' or last_state is None:
                return None
            holds = isinstance(order.order, HoldStep)
            return replace(last_state, held=order.order.step if holds else None)
        return engine.state()
