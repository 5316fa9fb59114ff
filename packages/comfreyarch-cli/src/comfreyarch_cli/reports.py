"""Gather and merge what the service-level report shows."""

import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from comfreyarch_cli.access import NodePage, list_instances, read_pages
from comfreyarch_core.burn import (
    PERIOD_S,
    Bucket,
    Burn,
    burns,
    merge,
    predict_exhaustion_s,
)
from comfreyarch_core.checking import check
from comfreyarch_core.configset import ConfigSet
from comfreyarch_daemon.metrics import HIGHEST_MS, LOWEST_MS, SIGNIFICANT_DIGITS
from comfreyarch_daemon.publishing import read_current_config
from comfreyarch_daemon.store import StoreClient, StoreError

DEFAULT_TARGET = 0.95
PERCENTILES = (50, 95, 99)
WAIT_PREFIX = 'wait/'


@dataclass(frozen=True, slots=True)
class Waits:
    """Hold how long a team waited, in milliseconds."""

    count: int
    p50: float
    p95: float
    p99: float


@dataclass(frozen=True, slots=True)
class Line:
    """Hold the report on one team at one group.

    :param exhausted_s: seconds until the budget is used up, None if never.
    """

    group: str
    team: str
    target: float
    burns: tuple[Burn, ...]
    exhausted_s: float | None
    waits: Waits | None


@dataclass(frozen=True, slots=True)
class Summary:
    """Hold a whole report.

    :param missing: entries that did not answer.
    """

    at: float
    lines: tuple[Line, ...]
    groups: dict[str, dict[str, Any]]
    missing: tuple[str, ...]
    histograms: dict[str, HdrHistogram] = field(default_factory=dict)


def gather(store: StoreClient) -> Summary:
    """Read all nodes' parts and merge them.

    :returns: the report.
    """
    instances = list_instances(store)
    entries = [one for one in instances if one.role == 'entry']
    sidecars = [one for one in instances if one.role == 'sidecar']
    pages = list(read_pages(entries, '/report'))
    groups = {
        one.page['group']: one.page
        for one in read_pages(sidecars, '/report')
        if one.page
    }
    missing = tuple(one.instance.node for one in pages if one.page is None)
    waits = merge_waits(pages)
    lines = tuple(make_lines(pages, waits, load_config(store)))
    return Summary(time.time(), lines, groups, missing, waits)


def load_config(store: StoreClient) -> ConfigSet:
    """Read the configuration in force.

    :returns: an empty set where the store is silent.
    """
    try:
        return check(read_current_config(store).raw).config
    except StoreError:
        return ConfigSet()


def merge_waits(pages: Iterable[NodePage]) -> dict[str, HdrHistogram]:
    """Merge the wait histograms of all entries.

    :returns: histograms by ``group/team``, milliseconds.
    """
    merged: dict[str, HdrHistogram] = {}
    for one in pages:
        waits = (one.page or {}).get('waits', {})
        for name, encoded in waits.items():
            if not name.startswith(WAIT_PREFIX):
                continue
            key = name.removeprefix(WAIT_PREFIX)
            if key not in merged:
                merged[key] = HdrHistogram(
                    LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS
                )
            merged[key].decode_and_add(encoded)
    return merged


def make_lines(
    pages: Iterable[NodePage],
    waits: dict[str, HdrHistogram],
    config: ConfigSet,
) -> Iterable[Line]:
    """Yield the report's lines, worst burn first."""
    parts: dict[str, list[dict[str, list[int]]]] = {}
    for node_page in pages:
        tallies = (node_page.page or {}).get('tallies', {})
        for key, tally in tallies.items():
            parts.setdefault(key, []).append(tally)
    targets = {
        config.pool_of(objective.group): objective.target
        for objective in config.objectives.values()
    }
    lines = [
        make_line(name, merge(tallies), waits.get(name), targets)
        for name, tallies in parts.items()
    ]
    return sorted(lines, key=lambda line: line.burns[0].rate, reverse=True)


def make_line(
    name: str,
    buckets: dict[int, Bucket],
    histogram: HdrHistogram | None,
    targets: dict[str, float],
) -> Line:
    """Work out one line.

    :param name: ``group/team``.
    """
    group, _, team = name.partition('/')
    target = targets.get(group, DEFAULT_TARGET)
    found = burns(buckets, target, time.time())
    longest = found[-1]
    spent = longest.rate * longest.window_s / PERIOD_S
    return Line(
        group,
        team,
        target,
        tuple(found),
        predict_exhaustion_s(found[0].rate, spent),
        None if histogram is None else read_waits(histogram),
    )


def read_waits(histogram: HdrHistogram) -> Waits:
    """Read a histogram's percentiles.

    :returns: milliseconds.
    """
    p50, p95, p99 = (
        histogram.get_value_at_percentile(share) for share in PERCENTILES
    )
    return Waits(histogram.get_total_count(), p50, p95, p99)
