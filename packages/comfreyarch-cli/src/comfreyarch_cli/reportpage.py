"""Render the report as one self-contained HTML page with plots."""

import re
import time
from html import escape

from pygal import Bar, Config, Line
from pygal.style import Style

from comfreyarch_cli.reports import ReportLine, Summary

S_PER_HOUR = 3600
# Parts of a rendered plot that the page does not need.
UNWANTED_MARKUP = re.compile('<!--.*?-->|<script.*?</script>', re.DOTALL)
# Percentiles at which waits are plotted.
WAIT_PERCENTILES = (1, 5, 10, 25, 50, 75, 90, 95, 99)
PAGE_STYLE = """
body{font:15px/1.45 system-ui,sans-serif;margin:2rem auto;max-width:62rem;
color:#1c2733;background:#fff;padding:0 1rem}
h1{font-size:1.5rem;margin-bottom:.2rem}h2{font-size:1.1rem;margin-top:2rem}
table{border-collapse:collapse;width:100%}
th,td{text-align:left;padding:.35rem .6rem;border-bottom:1px solid #dde4ea}
td.n,th.n{text-align:right;font-variant-numeric:tabular-nums}
.bad{color:#a3180f;font-weight:600}p.note{color:#55636f}
figure{margin:1rem 0}svg{width:100%;height:auto}
"""


def render_report(summary: Summary) -> str:
    """Render the whole page.

    :returns: HTML.
    """
    at = time.strftime('%Y-%m-%d %H:%M:%S UTC', time.gmtime(summary.at))
    parts = [
        '<!doctype html><html lang="en"><meta charset="utf-8">',
        f'<title>comfreyarch report</title><style>{PAGE_STYLE}</style>',
        f'<h1>Service levels</h1><p class="note">{at}</p>',
        render_missing(summary),
        render_burns(summary),
        '<h2>Waits by team</h2>',
        plot_waits(summary),
        '<h2>Step time by rank</h2>',
        *(
            plot_step_times(name, page['times_ms'])
            for name, page in groups_with_times(summary)
        ),
        '</html>',
    ]
    return '\n'.join(parts)


def render_missing(summary: Summary) -> str:
    """Render a note on entries that did not answer, if there are any."""
    if not summary.missing:
        return ''
    names = escape(', '.join(summary.missing))
    return (
        f'<p class="bad">No answer from {names}: the report is incomplete.</p>'
    )


def groups_with_times(
    summary: Summary,
) -> list[tuple[str, dict[str, list[float]]]]:
    """Return the groups that reported rank times, with their pages."""
    return [
        (name, page)
        for name, page in summary.groups.items()
        if page.get('times_ms')
    ]


def render_burns(summary: Summary) -> str:
    """Render the table of burns and waits."""
    head = (
        '<h2>Error budget burn</h2><p class="note">A rate of 1 spends the '
        '30-day budget in exactly 30 days.</p><table><tr><th>group<th>team'
        '<th class="n">5 min<th class="n">1 h<th class="n">6 h'
        '<th class="n">used up in<th class="n">wait p50<th class="n">p95'
        '<th class="n">p99</tr>'
    )
    rows = ''.join(render_burn_row(line) for line in summary.lines)
    return f'{head}{rows}</table>'


def render_burn_row(line: ReportLine) -> str:
    """Render one row of the table of burns and waits."""
    cells = ''.join(
        f'<td class="n{" bad" if burn.rate > 1 else ""}">{burn.rate:.2f}'
        for burn in line.burns
    )
    exhaustion = format_hours(line.exhausted_s)
    waits = '<td class="n">–' * 3
    if line.waits is not None:
        values = (line.waits.p50, line.waits.p95, line.waits.p99)
        waits = ''.join(f'<td class="n">{wait_ms:.0f} ms' for wait_ms in values)
    name = f'<td>{escape(line.group)}<td>{escape(line.team)}'
    return f'<tr>{name}{cells}<td class="n">{exhaustion}{waits}</tr>'


def format_hours(seconds: float | None) -> str:
    """Format the time until the error budget is used up.

    :returns: hours, or ``never`` for None.
    """
    if seconds is None:
        return 'never'
    return f'{seconds / S_PER_HOUR:.0f} h'


def make_chart_config(title: str) -> Config:
    """Configure a plot without scripts or external resources."""
    config = Config()
    config.title = title
    config.js = []
    config.height = 320
    config.legend_at_bottom = True
    config.style = Style(
        background='#fff',
        plot_background='#fff',
        font_family='system-ui,sans-serif',
    )
    return config


def plot_waits(summary: Summary) -> str:
    """Plot the percentiles of each team's wait."""
    if not summary.histograms:
        return '<p class="note">No answers yet.</p>'
    chart = Line(make_chart_config('Wait in ms, by share of answers'))
    chart.x_labels = [f'{percentile} %' for percentile in WAIT_PERCENTILES]
    for name, histogram in sorted(summary.histograms.items()):
        values = [
            histogram.get_value_at_percentile(percentile)
            for percentile in WAIT_PERCENTILES
        ]
        chart.add(name, values)
    return f'<figure>{render_svg(chart)}</figure>'


def plot_step_times(group: str, times_ms: list[float]) -> str:
    """Plot the predicted step time of each rank."""
    chart = Bar(make_chart_config(f'{group}: predicted step time in ms'))
    chart.x_labels = [str(rank) for rank in range(len(times_ms))]
    chart.add('step time', [round(time_ms, 2) for time_ms in times_ms])
    return f'<figure>{render_svg(chart)}</figure>'


def render_svg(chart: Bar | Line) -> str:
    """Render a plot for embedding, without comments and scripts.

    :returns: an SVG element.
    """
    svg: str = chart.render(is_unicode=True)
    return UNWANTED_MARKUP.sub('', svg[svg.index('<svg') :])
