"""Search for sequences of faults after which a rank group stands still.

Orders to engines may be answered late or never, engines and sidecars restart,
coordinators replace one another. Once the faults end, the group must go on.
"""

import random

import pytest

from comfreyarch_core import coordinatormessages, rankmessages
from comfreyarch_core import mapmessages as maps
from comfreyarch_daemon.engineclient import encode_order
from tests.simulated_group import NEW_PLACEMENT, SimulatedGroup

RANKS = 3
MAX_COORDINATORS = 3
ANSWERED_SHARE = 0.7
LATE_SHARE = 0.5
IN_ORDER_SHARE = 0.7
ACTIONS = (
    *('deliver',) * 8,
    *('drop',) * 2,
    *('begin_steps',) * 3,
    *('end_step',) * 3,
    *('refresh',) * 2,
    'lose_state',
    'tick',
    'restart_sidecar',
    'elect',
    'propose',
    'apply_late_order',
)


class FaultyGroup(SimulatedGroup):
    """Leave some orders to engines unanswered, and apply some of them late."""

    def start_faults(self, seed: int) -> None:
        """Seed the faults."""
        self.random = random.Random(seed)
        self.late_orders: list[tuple[int, maps.EngineOrder]] = []
        self.is_faulty = True
        self.proposals = 0

    def order_engine(self, number: int, order: maps.EngineOrder) -> None:
        """Send an engine an order that may stay unanswered."""
        is_faulty = getattr(self, 'is_faulty', False)
        if not is_faulty or self.random.random() < ANSWERED_SHARE:
            super().order_engine(number, order)
            return
        if self.random.random() < LATE_SHARE:
            self.late_orders.append((number, order))
        else:
            self.engines[number].order(encode_order(order))
        self.send_to_participant(number, rankmessages.EngineUnresponsive())

    def act(self, action: str) -> None:
        """Perform one random action."""
        rank = self.random.randrange(self.size)
        match action:
            case 'deliver' if self.sent:
                in_order = self.random.random() < IN_ORDER_SHARE
                index = 0 if in_order else self.pick(self.sent)
                self.deliver(self.sent.pop(index))
            case 'drop' if self.sent:
                self.sent.pop(self.pick(self.sent))
            case 'begin_steps':
                for number in range(self.size):
                    self.begin_step(number)
            case 'end_step':
                self.end_step()
            case 'refresh':
                self.refresh_sidecar(rank)
                self.send_to_participant(rank, rankmessages.Tick())
            case 'lose_state':
                self.lose_state_unnoticed(rank)
            case 'tick':
                self.now += self.random.choice([0.1, 0.3, 0.6])
                for number in range(len(self.coordinators)):
                    self.send_to_coordinator(number, coordinatormessages.Tick())
            case 'restart_sidecar':
                self.restart_sidecar(rank)
            case 'elect' if len(self.coordinators) < MAX_COORDINATORS:
                self.elect_coordinator()
            case 'propose':
                self.propose()
            case 'apply_late_order' if self.late_orders:
                late = self.late_orders.pop(self.pick(self.late_orders))
                self.apply_late_order(late)

    def pick(self, entries: list) -> int:
        """Return a random index of a list."""
        return self.random.randrange(len(entries))

    def lose_state_unnoticed(self, rank: int) -> None:
        """Reset an engine's state, which its sidecar may read only later."""
        self.state_losses += 1
        self.engines[rank].lose_state()
        self.engines[rank].incarnation = f'{rank}/{self.state_losses}'
        if self.random.choice([True, False]):
            self.refresh_sidecar(rank)

    def propose(self) -> None:
        """Propose a change to the newest coordinator."""
        self.proposals += 1
        proposal = coordinatormessages.Propose(
            f'change-{self.proposals}', NEW_PLACEMENT
        )
        self.send_to_coordinator(len(self.coordinators) - 1, proposal)

    def apply_late_order(self, late: tuple[int, maps.EngineOrder]) -> None:
        """Execute an order that an engine left unanswered."""
        number, order = late
        self.engines[number].order(encode_order(order))

    def end_faults(self) -> None:
        """Execute all late orders; from now on all orders are answered."""
        self.is_faulty = False
        for late in self.late_orders:
            self.apply_late_order(late)

    def highest_step(self) -> tuple[int, int]:
        """Return the highest epoch and step that a rank has reached."""
        return max((engine.epoch, engine.step) for engine in self.engines)


def run_with_faults(seed: int, actions: int) -> FaultyGroup:
    """Run a group through random faults, then let it settle."""
    group = FaultyGroup(RANKS)
    group.elect_coordinator()
    group.run_rounds(3)
    group.start_faults(seed)
    for _ in range(actions):
        group.act(group.random.choice(ACTIONS))
    group.end_faults()
    group.run_rounds(40)
    return group


def find_standstills(seeds: range, actions: int) -> list[int]:
    """List the seeds after which the group begins no more steps."""
    standstills = []
    for seed in seeds:
        group = run_with_faults(seed, actions)
        before = group.highest_step()
        group.run_rounds(10)
        assert not group.mixed_steps(), seed
        if group.highest_step() <= before:
            standstills.append(seed)
    return standstills


@pytest.mark.parametrize('first_seed', range(0, 600, 150))
def test_group_goes_on_after_faults(first_seed: int) -> None:
    """A restarted engine that re-enters its epoch must not block the others."""
    assert not find_standstills(range(first_seed, first_seed + 150), 160)
