"""Collect the counters, gauges and latency histograms of a node."""

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

# Range and precision of the histograms.
LOWEST_MS = 1
HIGHEST_MS = 600_000
SIGNIFICANT_DIGITS = 2
MS_PER_S = 1000
PERCENT = 100
# Quantiles of the histograms on the metrics page.
QUANTILES = (0.5, 0.9, 0.99, 1.0)


class Metrics:
    """Hold the counters, gauges and histograms of one node.

    Histograms keep the whole distribution, so others can merge them.
    """

    __slots__ = ('counters', 'gauges', 'histograms', 'registry')

    def __init__(self) -> None:
        """Start without metrics; each is created when first used."""
        self.registry = CollectorRegistry()
        self.counters: dict[str, Counter] = {}
        self.gauges: dict[str, Gauge] = {}
        self.histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter.

        :param name: metric name without the ``comfreyarch_`` prefix.
        :param labels: label values; each call must use the same label names.
        """
        counter = self.counters.get(name)
        if counter is None:
            counter = Counter(
                f'comfreyarch_{name}',
                name.replace('_', ' '),
                tuple(labels),
                registry=self.registry,
            )
            self.counters[name] = counter
        (counter.labels(**labels) if labels else counter).inc(amount)

    def gauge(self, name: str, level: float, **labels: str) -> None:
        """Set a gauge.

        :param name: metric name without the ``comfreyarch_`` prefix.
        :param labels: label values; each call must use the same label names.
        """
        gauge = self.gauges.get(name)
        if gauge is None:
            gauge = Gauge(
                f'comfreyarch_{name}',
                name.replace('_', ' '),
                tuple(labels),
                registry=self.registry,
            )
            self.gauges[name] = gauge
        (gauge.labels(**labels) if labels else gauge).set(level)

    def drop_gauge(self, name: str, **labels: str) -> None:
        """Remove a gauge with labels whose subject is gone."""
        gauge = self.gauges.get(name)
        if gauge is not None:
            gauge.remove(*labels.values())

    def record(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram, which holds milliseconds."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)
            self.histograms[name] = histogram
        histogram.record_value(max(LOWEST_MS, round(seconds * MS_PER_S)))

    def encode_histograms(self) -> dict[str, str]:
        """Encode the histograms for merging with those of other nodes.

        :returns: base64-encoded histograms by name.
        """
        return {
            name: histogram.encode().decode()
            for name, histogram in self.histograms.items()
        }

    def text(self) -> bytes:
        """Render all metrics in the Prometheus text format.

        :returns: the encoded page.
        """
        summaries = '\n'.join(
            line
            for name, histogram in sorted(self.histograms.items())
            for line in render_summary(f'comfreyarch_{name}_ms', histogram)
        )
        page = bytes(generate_latest(self.registry))
        return b'%b%b\n' % (page, summaries.encode()) if summaries else page


def render_summary(name: str, histogram: HdrHistogram) -> list[str]:
    """Render a histogram as a Prometheus summary.

    :returns: lines with the quantiles in milliseconds and the count.
    """
    lines = [f'# TYPE {name} summary']
    for quantile in QUANTILES:
        level = histogram.get_value_at_percentile(quantile * PERCENT)
        lines.append(f'{name}{{quantile="{quantile}"}} {level}')
    lines.append(f'{name}_count {histogram.get_total_count()}')
    return lines
