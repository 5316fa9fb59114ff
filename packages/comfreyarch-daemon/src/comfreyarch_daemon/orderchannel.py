"""Deliver a leader's orders to the sidecars of its group."""

from collections.abc import Callable, Sequence
from typing import Any

import cbor2

from comfreyarch_core.relaygroups import split_into_relay_groups
from comfreyarch_core.reportpacing import is_announcement_due
from comfreyarch_daemon.datagrams import Datagrams
from comfreyarch_daemon.eventlog import EventLog
from comfreyarch_daemon.rankdatagrams import (
    LEAD,
    decode_relayed_order,
    encode_announcement,
    encode_order,
    encode_relayed_order,
    encode_target,
)
from comfreyarch_daemon.sidecarmessages import LeaderAnnouncement, RankOrder


class OrderChannel:
    """Send a leader's orders, large ones through relays, and relay them.

    :param own_address: datagram address of this sidecar.
    :param addresses: datagram addresses of the group's sidecars, by rank;
        maintained by the owner.
    :param on_order: called with an order to this sidecar and the leader's
        address.
    :param attempts: number of orders sent to many ranks so far.
    """

    __slots__ = (
        'addresses',
        'attempts',
        'datagrams',
        'log',
        'on_order',
        'own_address',
    )

    def __init__(
        self,
        datagrams: Datagrams,
        own_address: str,
        addresses: dict[int, str],
        on_order: Callable[[RankOrder, str], None],
        log: EventLog,
    ) -> None:
        """Create the channel of one sidecar."""
        self.log = log
        self.datagrams = datagrams
        self.own_address = own_address
        self.addresses = addresses
        self.on_order = on_order
        self.attempts = 0

    def send(self, order: RankOrder) -> None:
        """Send an order to one rank, if its address is known."""
        address = self.addresses.get(order.rank)
        if address == self.own_address:
            self.on_order(order, self.own_address)
        elif address is not None:
            self.datagrams.send(encode_order(order), address)

    def send_to_many(self, orders: Sequence[RankOrder]) -> None:
        """Send orders that differ in rank and sequence only.

        Ranks of unknown address are left out.
        """
        targets = {
            order.rank: encode_target(order, self.addresses[order.rank])
            for order in orders
            if order.rank in self.addresses
        }
        if not targets:
            return
        head = encode_relayed_order(self.own_address, orders[0])
        groups = split_into_relay_groups(list(targets), self.attempts)
        self.log.write(
            'maps_sent',
            fence=orders[0].fence,
            attempt=self.attempts,
            ranks=len(targets),
            relays=[group[0] for group in groups],
        )
        for group in groups:
            relay_address = self.addresses[group[0]]
            message = [*head, [targets[rank] for rank in group]]
            if relay_address == self.own_address:
                self.handle_relayed_order(message, relay_address)
            else:
                self.datagrams.send(message, relay_address)
        self.attempts += 1

    def announce(self, announcement: LeaderAnnouncement, number: int) -> None:
        """Announce this sidecar as the leader to the ranks that are due.

        :param number: number of earlier announcements of the term.
        """
        encoded = cbor2.dumps(encode_announcement(announcement))
        for rank, address in self.addresses.items():
            if address != self.own_address and is_announcement_due(
                rank, number
            ):
                self.datagrams.send_encoded(LEAD, encoded, address)

    def handle_relayed_order(self, message: list[Any], _address: str) -> None:
        """Process the own order of a relay group, and forward the others."""
        *head, targets = message
        order, leader = decode_relayed_order(message)
        if targets[1:]:
            self.log.write(
                'map_relayed', fence=order.fence, targets=len(targets[1:])
            )
        for target in targets[1:]:
            self.datagrams.send([*head, [target]], target[-1])
        self.on_order(order, leader)
