"""Self-contained HTML page that reports service levels, with plots as inline SVG."""

import collections.abc
import html
import pathlib
import time

from bilberrystack.cli import status_tables
from bilberrystack.core import burn
from bilberrystack.core import declarations

PLOT_WIDTH_PX = 640
PLOT_HEIGHT_PX = 120

# Burn rate at the top of a plot; higher rates are clipped. A rate of 1 meets the target.
MAX_PLOTTED_BURN_RATE = 4.0

_STYLE = (
    "body{font:14px sans-serif;margin:2em;max-width:700px}table{border-collapse:collapse}"
    "td,th{padding:.2em .8em;text-align:left;border-bottom:1px solid #ccc}"
    ".burning{color:#b00020;font-weight:bold}svg{background:#f6f6f6;display:block}"
)


def write(file: str, report: burn.BurnReport) -> None:
    """Write the page to a file.

    Args:
      file: Path of the file.
      report: The burn report.
    Raises:
      OSError: The file can't be written.
    """
    pathlib.Path(file).write_text(render(report))


def render(report: burn.BurnReport) -> str:
    """Render the page as HTML."""
    parts = [
        "<!doctype html><html lang='en'><meta charset='utf-8'><title>Service levels</title>",
        f"<style>{_STYLE}</style><h1>Service levels</h1>",
        f"<p>{_format_minute(report.minute)}, "
        f"{report.answered} of {report.instances} instances.</p>",
        _objectives_table(report),
    ]
    for objective_burn in report.burns:
        parts.append(f"<h2>{html.escape(objective_burn.objective.value)}</h2>")
        parts.append("<p>Burn rate by minute, from the memory of the instances.</p>")
        parts.append(
            render_plot(_burn_rates(objective_burn.objective, report.minutes, report.targets), 1)
        )
        parts.append("<p>Burn rate by hour, from the summary in the store.</p>")
        if report.hours is None:
            parts.append("<p>The store did not answer.</p>")
        else:
            parts.append(
                render_plot(_burn_rates(objective_burn.objective, report.hours, report.targets), 60)
            )
    return "\n".join([*parts, "</html>"])


def render_plot(rates: collections.abc.Sequence[tuple[int, float]], step_minutes: int) -> str:
    """Render burn rates over time as a bar chart with a line at the target rate of 1.

    Args:
      rates: Pairs of a start time in minutes since the epoch and a burn rate, in ascending order.
      step_minutes: Length of the period that a rate covers, in minutes.
    Returns:
      SVG element and caption as HTML.
    """
    if not rates:
        return "<p>No data.</p>"
    first_minute = rates[0][0]
    bar_count = (rates[-1][0] - first_minute) // step_minutes + 1
    bar_width = PLOT_WIDTH_PX / bar_count
    target_y = PLOT_HEIGHT_PX * (1 - 1 / MAX_PLOTTED_BURN_RATE)
    bars = [
        _render_bar((minute - first_minute) // step_minutes * bar_width, bar_width, rate)
        for minute, rate in rates
    ]
    return (
        f"<svg viewBox='0 0 {PLOT_WIDTH_PX} {PLOT_HEIGHT_PX}' "
        f"width='{PLOT_WIDTH_PX}' height='{PLOT_HEIGHT_PX}' role='img'>"
        f"{''.join(bars)}"
        f"<line x1='0' x2='{PLOT_WIDTH_PX}' "
        f"y1='{target_y:.1f}' y2='{target_y:.1f}' stroke='#666'/></svg>"
        f"<p>{_format_minute(first_minute)} to {_format_minute(rates[-1][0])}; "
        "the line is the target.</p>"
    )


def _render_bar(x: float, bar_width: float, rate: float) -> str:
    height = PLOT_HEIGHT_PX * min(rate, MAX_PLOTTED_BURN_RATE) / MAX_PLOTTED_BURN_RATE
    colour = "#b00020" if rate > 1 else "#3a6ea5"
    return (
        f"<rect x='{x:.2f}' y='{PLOT_HEIGHT_PX - height:.1f}' "
        f"width='{max(bar_width - 0.5, 0.5):.2f}' "
        f"height='{height:.1f}' fill='{colour}'/>"
    )


def _burn_rates(
    objective: burn.Objective,
    minutes: collections.abc.Iterable[burn.MinuteCounts],
    targets: declarations.Targets,
) -> list[tuple[int, float]]:
    return [
        (counts.minute, burn.evaluate_window(objective, counts, targets).rate) for counts in minutes
    ]


def _objectives_table(report: burn.BurnReport) -> str:
    rows = [
        "<tr><th>objective<th>target"
        f"<th>{report.short_minutes} min<th>burn<th>{report.long_minutes} min<th>burn<th>state</tr>"
    ]
    for objective_burn in report.burns:
        cells = [html.escape(objective_burn.objective.value)]
        cells.append(status_tables.value_text(objective_burn.objective, objective_burn.target))
        for window in (objective_burn.short, objective_burn.long):
            cells.append(status_tables.value_text(objective_burn.objective, window.value))
            cells.append(status_tables.rate_text(window.rate))
        state = "<span class='burning'>burning</span>" if objective_burn.is_alerting else "ok"
        rows.append("<tr>" + "".join(f"<td>{cell}" for cell in (*cells, state)) + "</tr>")
    return f"<table>{''.join(rows)}</table>"


def _format_minute(minute: int) -> str:
    return time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime(minute * 60))
