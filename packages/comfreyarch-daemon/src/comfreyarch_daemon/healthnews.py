"""Tell entries of the engines' health, from the sidecars beside them."""

from dataclasses import astuple, dataclass
from typing import Any

from comfreyarch_core.enginehealth import EngineHealth

HELLO = 'hello'
HEALTH = 'health'
# An entry asks all sidecars so often to be told; they forget it later.
HELLO_S = 2.0
FORGET_S = 7.0
# Health that did not change is told so often.
REPEAT_S = 1.0


@dataclass(frozen=True, slots=True)
class HealthNews:
    """Tell the health of the engine at an address."""

    engine: str
    health: EngineHealth


def write_hello(node: str) -> list[Any]:
    """Write an entry's wish to be told.

    :returns: a message.
    """
    return [HELLO, node]


def write_health(news: HealthNews) -> list[Any]:
    """Write health.

    :returns: a message.
    """
    return [HEALTH, news.engine, *astuple(news.health)]


def read_health(message: list[Any]) -> HealthNews:
    """Read health.

    :returns: the news.
    :raises TypeError: where fields are missing.
    """
    return HealthNews(str(message[1]), EngineHealth(*message[2:]))
