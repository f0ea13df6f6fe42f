"""A self-contained HTML page of the service levels, with plots as inline SVG."""

import collections.abc
import html
import pathlib
import time

from bilberrystack.cli import status_tables
from bilberrystack.core import burn
from bilberrystack.core import declarations

WIDTH = 640
HEIGHT = 120

# Rates above this are drawn at the top of a plot; 1 is the target.
MAX_BURN_RATE = 4.0

_STYLE = (
    "body{font:14px sans-serif;margin:2em;max-width:700px}table{border-collapse:collapse}"
    "td,th{padding:.2em .8em;text-align:left;border-bottom:1px solid #ccc}"
    ".burning{color:#b00020;font-weight:bold}svg{background:#f6f6f6;display:block}"
)


def write(file: str, found: burn.BurnReport) -> None:
    """Writes the page. Raises OSError."""
    pathlib.Path(file).write_text(render(found))


def render(found: burn.BurnReport) -> str:
    """Returns the page."""
    parts = [
        "<!doctype html><html lang='en'><meta charset='utf-8'><title>Service levels</title>",
        f"<style>{_STYLE}</style><h1>Service levels</h1>",
        f"<p>{_instant(found.minute)}, {found.answered} of {found.instances} instances.</p>",
        _table(found),
    ]
    for one in found.burns:
        parts.append(f"<h2>{html.escape(one.objective.value)}</h2>")
        parts.append("<p>Burn rate by minute, from the memory of the instances.</p>")
        parts.append(plot(_rates(one.objective, found.minutes, found.targets), 1))
        parts.append("<p>Burn rate by hour, from the summary in the store.</p>")
        if found.hours is None:
            parts.append("<p>The store did not answer.</p>")
        else:
            parts.append(plot(_rates(one.objective, found.hours, found.targets), 60))
    return "\n".join([*parts, "</html>"])


def plot(rates: collections.abc.Sequence[tuple[int, float]], step: int) -> str:
    """Returns a bar for each rate over time, with a line at the rate 1.

    Args:
      rates: Instants in minutes since the epoch, ascending, and burn rates.
      step: Minutes that a rate covers.
    Returns:
      An SVG element.
    """
    if not rates:
        return "<p>No data.</p>"
    first = rates[0][0]
    count = (rates[-1][0] - first) // step + 1
    width = WIDTH / count
    line = HEIGHT * (1 - 1 / MAX_BURN_RATE)
    bars = [_bar((minute - first) // step * width, width, rate) for minute, rate in rates]
    return (
        f"<svg viewBox='0 0 {WIDTH} {HEIGHT}' width='{WIDTH}' height='{HEIGHT}' role='img'>"
        f"{''.join(bars)}"
        f"<line x1='0' x2='{WIDTH}' y1='{line:.1f}' y2='{line:.1f}' stroke='#666'/></svg>"
        f"<p>{_instant(first)} to {_instant(rates[-1][0])}; the line is the target.</p>"
    )


def _bar(left: float, width: float, rate: float) -> str:
    height = HEIGHT * min(rate, MAX_BURN_RATE) / MAX_BURN_RATE
    colour = "#b00020" if rate > 1 else "#3a6ea5"
    return (
        f"<rect x='{left:.2f}' y='{HEIGHT - height:.1f}' width='{max(width - 0.5, 0.5):.2f}' "
        f"height='{height:.1f}' fill='{colour}'/>"
    )


def _rates(
    objective: burn.Objective,
    minutes: collections.abc.Iterable[burn.MinuteCounts],
    targets: declarations.Targets,
) -> list[tuple[int, float]]:
    return [(one.minute, burn.evaluate_window(objective, one, targets).rate) for one in minutes]


def _table(found: burn.BurnReport) -> str:
    rows = [
        "<tr><th>objective<th>target"
        f"<th>{found.short_minutes} min<th>burn<th>{found.long_minutes} min<th>burn<th>state</tr>"
    ]
    for one in found.burns:
        cells = [html.escape(one.objective.value)]
        cells.append(status_tables.value_text(one.objective, one.target))
        for window in (one.short, one.long):
            cells.append(status_tables.value_text(one.objective, window.value))
            cells.append(status_tables.rate_text(window.rate))
        state = "<span class='burning'>burning</span>" if one.is_alerting else "ok"
        rows.append("<tr>" + "".join(f"<td>{cell}" for cell in (*cells, state)) + "</tr>")
    return f"<table>{''.join(rows)}</table>"


def _instant(minute: int) -> str:
    return time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime(minute * 60))
