"""Define changes of a map, their prices and limits."""

from dataclasses import dataclass

from comfreyarch_core.costs import (
    Placement,
)

LOADS_OF = {'swap': 2, 'displace': 2, 'drop': 0}


@dataclass(frozen=True, slots=True)
class Limits:
    """Hold what a map must keep to.

    :param experts_a_layer: experts of a layer.
    :param capacity: slots a layer, by rank.
    """

    experts_a_layer: int
    capacity: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Price:
    """Hold what a group's operators weigh.

    :param skew_price: worth of a millisecond of step time saved.
    :param move_price_ms: price of one expert load.
    :param horizon_steps: steps within which it must pay.
    :param most_moves: expert loads in a batch.
    """

    skew_price: float
    move_price_ms: float
    horizon_steps: int
    most_moves: int


@dataclass(frozen=True, slots=True)
class Change:
    """Describe one change of the map.

    ``kind`` is ``swap``, ``move``, ``replica``, ``replace`` (a replica in
    the slot of another's), ``displace`` (the same, the other moving on to
    ``via``) or ``drop``; ``given`` goes from ``source`` to
    ``target``, ``taken`` leaves ``target``.
    """

    kind: str
    given: int
    source: int
    target: int
    taken: int = -1
    via: int = -1

    @property
    def loads(self) -> int:
        """Count the experts that must be loaded.

        :returns: 0 to 2.
        """
        return LOADS_OF.get(self.kind, 1)


@dataclass(frozen=True, slots=True)
class Plan:
    """Hold a planned map with the reasons for it.

    :param gain_ms: predicted step time saved.
    :param price_ms: what the loads cost, in the same terms as
        ``gain_ms * skew_price * horizon_steps``.
    """

    placement: Placement
    changes: tuple[Change, ...]
    before_ms: float
    after_ms: float
    price_ms: float
    worth_ms: float

    @property
    def gain_ms(self) -> float:
        """Give the predicted step time saved.

        :returns: milliseconds.
        """
        return self.before_ms - self.after_ms

    @property
    def loads(self) -> int:
        """Count the experts that must be loaded.

        :returns: over all changes.
        """
        return sum(change.loads for change in self.changes)
