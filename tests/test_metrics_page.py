"""Test the metrics and readiness pages."""

from comfreyarch_daemon.metrics import Metrics
from comfreyarch_daemon.monitoringpages import MetricsPage, ReadinessPage


def get(page, path='/metrics'):
    """Request a page.

    :returns: status line and decoded body.
    """
    statuses = []
    body = page({'PATH_INFO': path}, lambda status, _: statuses.append(status))
    return statuses[0], b''.join(body).decode()


def test_counters_and_histograms():
    metrics = Metrics()
    metrics.count('requests', outcome='answered')
    for number in range(1, 101):
        metrics.record('request', number / 1000)
    status, page = get(MetricsPage(metrics))
    assert status.startswith('200')
    assert 'comfreyarch_requests_total{outcome="answered"} 1.0' in page
    assert '# TYPE comfreyarch_request_ms summary' in page
    assert 'comfreyarch_request_ms{quantile="0.5"} 50' in page
    assert 'comfreyarch_request_ms_count 100' in page


def test_a_page_without_histograms():
    assert 'summary' not in get(MetricsPage(Metrics()))[1]


def test_readiness():
    assert get(ReadinessPage('/r', lambda: True), '/r')[0].startswith('200')
    assert get(ReadinessPage('/r', lambda: False), '/r')[0].startswith('503')
    assert get(ReadinessPage('/r', lambda: True), '/x')[0].startswith('404')
