"""Define the health messages between sidecars and entries."""

from dataclasses import astuple, dataclass
from typing import Any

from comfreyarch_core.enginehealth import EngineHealth

# Tag of the messages by which entries subscribe to health reports.
HELLO = 'hello'
# Tag of health reports.
HEALTH = 'health'
# Interval at which an entry subscribes to the reports of all sidecars.
HELLO_INTERVAL_S = 2.0
# Time after which a sidecar drops a subscription that was not renewed.
SUBSCRIPTION_TIMEOUT_S = 7.0
# Interval for sending unchanged health.
REPEAT_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class HealthReport:
    """Hold the health of one engine.

    :param engine: address of the engine.
    """

    engine: str
    health: EngineHealth


def encode_hello(node: str) -> list[Any]:
    """Encode an entry's subscription to health reports.

    :returns: the message.
    """
    return [HELLO, node]


def encode_health(report: HealthReport) -> list[Any]:
    """Encode a health report.

    :returns: the message.
    """
    return [HEALTH, report.engine, *astuple(report.health)]


def decode_health(message: list[Any]) -> HealthReport:
    """Decode a health report.

    :returns: the report.
    :raises TypeError: if fields of the health are missing or surplus.
    """
    return HealthReport(str(message[1]), EngineHealth(*message[2:]))
