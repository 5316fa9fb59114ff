"""Define the named objects that operators publish."""

import msgspec


class Named(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Be the base of every configuration object."""


class ModelGroup(Named, frozen=True):
    """Describe a group of ranks that serve one model in lock-step.

    Prices are in milliseconds of step time: ``skew_price`` multiplies the
    time saved a step, ``move_price_ms`` is charged once for each expert
    moved. ``horizon_steps`` is how long a move may take to pay off. A step
    is predicted to take ``base_ms``, and ``token_ms`` a token of the rank's
    experts and ``request_ms`` a running request more.
    """

    model: str
    ranks: int
    expert_map: str
    slots: int = 8
    resumable: bool = True
    skew_price: float = 1
    move_price_ms: float = 200
    horizon_steps: int = 2000
    moves_a_batch: int = 8
    expert_bytes: int = 50_000_000
    batch_bytes_a_s: int = 1_000_000_000
    decide_s: float = 30
    base_ms: float = 15
    token_ms: float = 0.05
    request_ms: float = 0.5


class ExpertMap(Named, frozen=True):
    """Place the experts of a group: ``placement[rank]`` lists its experts.

    Experts are numbered over all ``layers``, so ``experts`` is a multiple
    of it. ``spare_slots`` is how many further experts of a layer each rank
    can hold.
    """

    experts: int
    placement: list[list[int]]
    layers: int = 1
    spare_slots: int = 0


class ServiceGroup(Named, frozen=True):
    """Describe plain services that share one set of routes."""

    slots: int = 8


class Upstream(Named, frozen=True):
    """Describe one upstream instance; ``rank`` counts in a model group."""

    group: str
    availability_zone: str
    rank: int = 0


class Team(Named, frozen=True):
    """Describe a team of callers; only the hash of its token is kept.

    ``rate`` is requests a second, ``concurrency`` open requests, both over
    all entries; ``weight`` is the share under load.
    """

    token_sha256: str
    rate: float = 100
    concurrency: int = 100
    weight: float = 1


class Route(Named, frozen=True):
    """Route paths below ``prefix`` to a service group.

    A route that is not ``idempotent`` needs an Idempotency-Key and runs
    at most once a key.
    """

    group: str
    prefix: str
    idempotent: bool = True


class Objective(Named, frozen=True):
    """State a service level: ``target`` of answers within ``within_s``."""

    group: str
    target: float = 0.95
    within_s: float = 0.95


class Stop(Named, frozen=True):
    """Order the planned stop of an upstream or an entry, by its name."""

    upstream: str = ''
    entry: str = ''


class Quarantined(Named, frozen=True):
    """Keep a request digest from running: it crashed its upstreams."""

    crashes: int = 2
    node: str = ''


KINDS: dict[str, type[Named]] = {
    'model_groups': ModelGroup,
    'expert_maps': ExpertMap,
    'service_groups': ServiceGroup,
    'upstreams': Upstream,
    'teams': Team,
    'routes': Route,
    'objectives': Objective,
    'stops': Stop,
    'quarantines': Quarantined,
}
