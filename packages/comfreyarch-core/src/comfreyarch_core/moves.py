"""Define changes to an expert map, their limits and their price."""

from dataclasses import dataclass

from comfreyarch_core.costs import (
    Placement,
)

# Experts that ranks must load for a change of each kind; 1 if not listed.
LOADS_BY_KIND = {'swap': 2, 'displace': 2, 'drop': 0}


@dataclass(frozen=True, slots=True)
class Limits:
    """Define the slot limits that every map must respect.

    :param experts_per_layer: number of experts in a layer.
    :param capacity: slots in each layer, by rank.
    """

    experts_per_layer: int
    capacity: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Price:
    """Define how a group's operators price step time against moves.

    :param skew_price: worth of each millisecond of step time saved.
    :param move_price_ms: price of loading one expert into a rank, in the unit
        of ``Plan.worth_ms``.
    :param horizon_steps: steps within which a change must pay off.
    :param max_moves: maximum number of experts loaded in a batch.
    """

    skew_price: float
    move_price_ms: float
    horizon_steps: int
    max_moves: int


@dataclass(frozen=True, slots=True)
class Change:
    """Represent one change to the map.

    The kinds are:

    ``move``: ``expert`` leaves ``source`` for a free slot of ``target``.
    ``swap``: ``expert`` and ``evicted`` exchange their ranks.
    ``replica``: ``target`` gets a further copy of ``expert``.
    ``replace``: a copy of ``expert`` takes the slot of a replica,
    ``evicted``, on ``target``.
    ``displace``: the same, but ``evicted`` moves to the rank ``via``.
    ``drop``: ``source`` drops its replica of ``expert``.
    """

    kind: str
    expert: int
    source: int
    target: int
    evicted: int = -1
    via: int = -1

    @property
    def loads(self) -> int:
        """Return the number of experts that ranks must load for the change.

        :returns: 0 to 2.
        """
        return LOADS_BY_KIND.get(self.kind, 1)


@dataclass(frozen=True, slots=True)
class Plan:
    """Hold a planned map and the figures that justify it.

    :param before_ms: predicted step time of the present map.
    :param after_ms: predicted step time of the planned map.
    :param price_ms: price of loading the experts, in the same unit as
        ``worth_ms``. The plan pays if its worth exceeds its price.
    :param worth_ms: worth of the step time saved:
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
        """Return the predicted step time saved.

        :returns: milliseconds.
        """
        return self.before_ms - self.after_ms

    @property
    def loads(self) -> int:
        """Return the number of experts that ranks must load for the plan.

        :returns: 0 or more.
        """
        return sum(change.loads for change in self.changes)
