"""The named configuration objects that operators publish."""

import msgspec


class ConfigObject(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of all configuration objects."""


class ModelGroup(ConfigObject, frozen=True):
    """Describe a group of ranks that serve one model in lock-step.

    Each rank runs up to ``slots`` requests at once. A stream that breaks may
    continue in another attempt if the group is ``resumable``.

    A map change is weighed in milliseconds of step time: ``skew_price``
    multiplies the time saved per step, and each moved expert costs
    ``move_price_ms`` once. A move must pay off within ``horizon_steps``. The
    predicted step time is ``base_ms``, plus ``token_ms`` for each token of
    the rank's experts, plus ``request_ms`` for each running request.

    A map change is considered every ``decide_s``. It moves at most
    ``moves_a_batch`` experts, and no more than ``batch_bytes_a_s`` allows to
    copy until the next one, at ``expert_bytes`` per expert.
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


class ExpertMap(ConfigObject, frozen=True):
    """Assign a group's experts to ranks: ``placement[rank]`` lists them.

    Experts are numbered over all ``layers``, so ``experts`` is a multiple of
    ``layers``. Each rank can hold ``spare_slots`` more experts of each layer.
    """

    experts: int
    placement: list[list[int]]
    layers: int = 1
    spare_slots: int = 0


class ServiceGroup(ConfigObject, frozen=True):
    """Describe a group of services without a model that share routes.

    Each upstream runs up to ``slots`` requests at once.
    """

    slots: int = 8


class Upstream(ConfigObject, frozen=True):
    """Describe one upstream instance; ``rank`` is its rank in a model group."""

    group: str
    availability_zone: str
    rank: int = 0


class Team(ConfigObject, frozen=True):
    """Describe a team of callers; only the hash of its token is stored.

    ``rate`` limits requests per second and ``concurrency`` open requests, both
    over all entries; ``weight`` is the team's share under load.
    """

    token_sha256: str
    rate: float = 100
    concurrency: int = 100
    weight: float = 1


class Route(ConfigObject, frozen=True):
    """Route paths below ``prefix`` to a service group.

    A request to a route that is not ``idempotent`` needs an Idempotency-Key
    and runs at most once for each key.
    """

    group: str
    prefix: str
    idempotent: bool = True


class Objective(ConfigObject, frozen=True):
    """Set a service level objective of a group.

    The share ``target`` of the answers must arrive within ``within_s``.
    """

    group: str
    target: float = 0.95
    within_s: float = 0.95


class Stop(ConfigObject, frozen=True):
    """Order a planned stop of either an upstream or an entry, by name."""

    upstream: str = ''
    entry: str = ''


class Evacuation(ConfigObject, frozen=True):
    """Evacuate an availability zone: its upstreams get no new request."""

    availability_zone: str


class Quarantined(ConfigObject, frozen=True):
    """Quarantine a request that crashed its upstreams; the name is its digest.

    ``crashes`` is its crash count and ``node`` the node that reported it.
    """

    crashes: int = 2
    node: str = ''


KINDS: dict[str, type[ConfigObject]] = {
    'model_groups': ModelGroup,
    'expert_maps': ExpertMap,
    'service_groups': ServiceGroup,
    'upstreams': Upstream,
    'teams': Team,
    'routes': Route,
    'objectives': Objective,
    'stops': Stop,
    'evacuations': Evacuation,
    'quarantines': Quarantined,
}
