"""Deliver a leader's orders to the sidecars of its group."""

import operator
from collections.abc import Callable, Sequence
from typing import Any

import cbor2

from comfreyarch_core.relaytree import (
    count_rounds,
    rotate,
    split_for_relays,
)
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

# Time from the receipt of an order to the first byte that is forwarded.
FORWARD_S = 0.005
# Maximum number of ranks that are sent orders without relays, and the maximum time
# that these orders may take on the link.
MAX_DIRECT_RANKS = 16
MAX_DIRECT_S = 0.1


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

    def send_to_many(self, orders: Sequence[RankOrder]) -> float:
        """Send orders that differ in rank and sequence only.

        Ranks of unknown address are left out. Those of neighbouring addresses
        are mostly in one availability zone, so most orders stay in it.

        :returns: seconds until the last of them should have arrived.
        """
        targets = sorted(
            (
                encode_target(order, self.addresses[order.rank])
                for order in orders
                if order.rank in self.addresses
            ),
            key=operator.itemgetter(-1),
        )
        if not targets:
            return 0
        head = encode_relayed_order(self.own_address, orders[0])
        backlog_s = self.datagrams.backlog_s()
        parts, rounds = self.divide(head, rotate(targets, self.attempts))
        size_bytes = self.send_parts(head, parts)
        arrival_s = backlog_s + rounds * (
            self.datagrams.transfer_s(size_bytes) + FORWARD_S
        )
        self.log.write(
            'maps_sent',
            fence=orders[0].fence,
            attempt=self.attempts,
            ranks=len(targets),
            size_bytes=size_bytes,
            arrival_s=round(arrival_s, 3),
        )
        self.attempts += 1
        return arrival_s

    def divide(
        self, head: list[Any], targets: list[list[Any]]
    ) -> tuple[list[list[list[Any]]], int]:
        """Divide the targets of an order into the parts to send.

        :param head: the encoded order without its targets.
        :returns: the parts, and the messages that pass one after another.
        """
        count = len(targets)
        order_s = self.datagrams.transfer_s(len(cbor2.dumps(head)))
        if count <= MAX_DIRECT_RANKS and count * order_s <= MAX_DIRECT_S:
            return [[target] for target in targets], count
        return split_for_relays(targets), count_rounds(count)

    def send_parts(
        self, head: list[Any], parts: Sequence[list[list[Any]]]
    ) -> int:
        """Send an order to the first target of each part, for all of it.

        :param head: the encoded order without its targets.
        :returns: the size of the largest message in bytes, 0 if none was sent.
        """
        largest = 0
        for part in parts:
            address = part[0][-1]
            if address == self.own_address:
                self.handle_relayed_order([*head, part], address)
            else:
                size_bytes = self.datagrams.send([*head, part], address)
                largest = max(largest, size_bytes)
        return largest

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

    def announce_to(
        self, announcement: LeaderAnnouncement, address: str
    ) -> None:
        """Announce this sidecar as the leader to one sidecar."""
        self.datagrams.send(encode_announcement(announcement), address)

    def handle_relayed_order(self, message: list[Any], _address: str) -> None:
        """Forward an order to its other targets, and process the own one."""
        *head, targets = message
        if targets[1:]:
            self.log.write('map_relayed', targets=len(targets[1:]))
            self.send_parts(head, split_for_relays(targets[1:]))
        self.on_order(*decode_relayed_order(message))
