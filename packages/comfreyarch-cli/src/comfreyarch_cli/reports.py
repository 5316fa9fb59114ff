"""Collect and merge the data of the service-level report."""

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

# Service-level target of groups without an objective.
DEFAULT_TARGET = 0.95
PERCENTILES = (50, 95, 99)
WAIT_PREFIX = 'wait/'


@dataclass(frozen=True, slots=True)
class Waits:
    """Hold the number and percentiles of a team's waits in milliseconds."""

    count: int
    p50: float
    p95: float
    p99: float


@dataclass(frozen=True, slots=True)
class ReportLine:
    """Hold the report on one team of callers at one group.

    :param target: share of requests that must meet the objective.
    :param exhausted_s: seconds until the error budget is used up, None if
        never.
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

    :param at: Unix time of the report.
    :param groups: the sidecars' report pages by group.
    :param missing: entries that did not answer.
    :param histograms: waits in milliseconds by ``group/team``.
    """

    at: float
    lines: tuple[ReportLine, ...]
    groups: dict[str, dict[str, Any]]
    missing: tuple[str, ...]
    histograms: dict[str, HdrHistogram] = field(default_factory=dict)


def collect_summary(store: StoreClient) -> Summary:
    """Read the report pages of all nodes and merge them.

    :returns: the report.
    """
    instances = list_instances(store)
    entries = [instance for instance in instances if instance.role == 'entry']
    sidecars = [
        instance for instance in instances if instance.role == 'sidecar'
    ]
    pages = list(read_pages(entries, '/report'))
    groups = {
        node_page.page['group']: node_page.page
        for node_page in read_pages(sidecars, '/report')
        if node_page.page
    }
    missing = tuple(
        node_page.instance.node for node_page in pages if node_page.page is None
    )
    waits = merge_waits(pages)
    lines = tuple(make_lines(pages, waits, load_config(store)))
    return Summary(time.time(), lines, groups, missing, waits)


def load_config(store: StoreClient) -> ConfigSet:
    """Read the configuration in force.

    :returns: the configuration, or an empty one if the store cannot be read.
    """
    try:
        return check(read_current_config(store).raw).config
    except StoreError:
        return ConfigSet()


def merge_waits(pages: Iterable[NodePage]) -> dict[str, HdrHistogram]:
    """Merge the wait histograms of all entries.

    :returns: histograms in milliseconds by ``group/team``.
    """
    merged: dict[str, HdrHistogram] = {}
    for node_page in pages:
        waits = (node_page.page or {}).get('waits', {})
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
) -> Iterable[ReportLine]:
    """Compute the report's lines, highest burn rate first."""
    tallies_by_name: dict[str, list[dict[str, list[int]]]] = {}
    for node_page in pages:
        tallies = (node_page.page or {}).get('tallies', {})
        for key, tally in tallies.items():
            tallies_by_name.setdefault(key, []).append(tally)
    targets = {
        config.pool_of(objective.group): objective.target
        for objective in config.objectives.values()
    }
    lines = [
        make_line(name, merge(tallies), waits.get(name), targets)
        for name, tallies in tallies_by_name.items()
    ]
    return sorted(lines, key=lambda line: line.burns[0].rate, reverse=True)


def make_line(
    name: str,
    buckets: dict[int, Bucket],
    histogram: HdrHistogram | None,
    targets: dict[str, float],
) -> ReportLine:
    """Compute one line.

    :param name: ``group/team``.
    :param targets: service-level targets by group.
    """
    group, _, team = name.partition('/')
    target = targets.get(group, DEFAULT_TARGET)
    burn_rates = burns(buckets, target, time.time())
    longest = burn_rates[-1]
    spent_share = longest.rate * longest.window_s / PERIOD_S
    return ReportLine(
        group,
        team,
        target,
        tuple(burn_rates),
        predict_exhaustion_s(burn_rates[0].rate, spent_share),
        None if histogram is None else read_waits(histogram),
    )


def read_waits(histogram: HdrHistogram) -> Waits:
    """Read the percentiles of a wait histogram.

    :returns: the waits in milliseconds.
    """
    p50, p95, p99 = (
        histogram.get_value_at_percentile(percentile)
        for percentile in PERCENTILES
    )
    return Waits(histogram.get_total_count(), p50, p95, p99)
