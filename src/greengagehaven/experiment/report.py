"""Self-contained HTML report of an experiment's results, with plots."""

import base64
import html
import io
from collections import abc

import matplotlib

from greengagehaven.experiment import environment, outcomes, running, simulation

matplotlib.use("Agg")

from matplotlib import figure  # noqa: E402

STYLE = (
    "body{font:15px sans-serif;max-width:60em;margin:2em auto}"
    "table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.2em .6em}"
    "td{text-align:right}td:first-child{text-align:left}"
)


def render(
    results: abc.Sequence[outcomes.Result],
    differences: abc.Sequence[running.Difference],
    day: environment.Day,
) -> str:
    """Return the report as HTML.

    :param differences: results of policies compared, if any.
    :param day: the simulated day; its troubles are marked in the plot over time.
    """
    first = results[0]
    title = html.escape(f"{first.environment}, {first.day}")
    callers = sum(each.callers for each in results)
    parts = [
        f"<title>{title}</title><style>{STYLE}</style><h1>{title}</h1>",
        f"<p>{len(results)} seeds, {callers} callers.</p>",
        "<h2>Seeds</h2>",
        _table(
            ("seed", "earned", "worst windows", "p50 ms", "p95 ms", "p99 ms", "extra"),
            [
                (
                    each.seed,
                    each.earned,
                    each.worst_windows,
                    *each.tail_ms,
                    each.extra_load,
                )
                for each in results
            ],
        ),
    ]
    if differences:
        parts.append("<h2>Compared, seed by seed</h2>")
        rows = [
            (each.label, each.earned, f"{each.mean:+.4f}", each.low, each.high)
            for each in differences
        ]
        headings = ("policy", "earned", "difference", "low", "high")
        parts.append(_table(headings, rows))
    parts += [
        "<h2>Worth over time</h2>",
        _inline_image(_plot_worth(results, day)),
        "<h2>Latency of sweeps</h2>",
        _inline_image(_plot_latency(results)),
        "<h2>Where worth is lost (first seed)</h2>",
        _table(
            ("cause", "callers", "share of all worth"),
            [(each.cause, each.callers, each.lost) for each in first.losses],
        ),
        "<h2>Kinds and zones (first seed)</h2>",
        _rows_table([*first.kinds, *first.zones]),
    ]
    return "<!doctype html><meta charset=utf-8>" + "\n".join(parts) + "\n"


def _rows_table(rows: abc.Iterable[outcomes.Row]) -> str:
    headings = (
        "",
        "asked",
        "earned",
        "on time",
        "late",
        "partial",
        "refused",
        "failed",
    )
    return _table(
        headings,
        [
            (
                row.key,
                row.asked,
                row.earned,
                row.on_time,
                row.late,
                row.partial,
                row.refused,
                row.failed,
            )
            for row in rows
        ],
    )


def _table(
    headings: abc.Iterable[str], rows: abc.Iterable[abc.Iterable[object]]
) -> str:
    heading_cells = "".join(f"<th>{html.escape(each)}</th>" for each in headings)
    body = "".join(
        "<tr>" + "".join(f"<td>{html.escape(str(cell))}</td>" for cell in row) + "</tr>"
        for row in rows
    )
    return f"<table><tr>{heading_cells}</tr>{body}</table>"


def _plot_worth(
    results: abc.Iterable[outcomes.Result], day: environment.Day
) -> figure.Figure:
    plot = figure.Figure(figsize=(9, 3.2), layout="constrained")
    axes = plot.add_subplot()
    for each in results:
        seconds = [float(row.key) - simulation.WARMUP_S for row in each.windows]
        earned = [row.earned for row in each.windows]
        axes.plot(seconds, earned, linewidth=1, label=f"seed {each.seed}")
    for trouble in day.troubles:
        axes.axvspan(trouble.at, trouble.at + trouble.for_s, alpha=0.12, color="red")
        axes.text(trouble.at, 0.02, trouble.kind, fontsize=8)
    axes.set(ylim=(0, 1.05), xlabel="seconds", ylabel="share of worth earned")
    axes.legend(fontsize=7)
    return plot


def _plot_latency(results: abc.Iterable[outcomes.Result]) -> figure.Figure:
    plot = figure.Figure(figsize=(9, 3.2), layout="constrained")
    axes = plot.add_subplot()
    for each in results:
        latencies = sorted(each.latencies_ms)
        shares = [(rank + 1) / len(latencies) for rank in range(len(latencies))]
        axes.plot(latencies, shares, linewidth=1)
    axes.set(xscale="log", xlabel="ms", ylabel="share answered")
    return plot


def _inline_image(plot: figure.Figure) -> str:
    buffer = io.BytesIO()
    # Without the version of the plotting library, equal results give equal bytes.
    plot.savefig(buffer, format="png", dpi=100, metadata={"Software": None})
    data = base64.b64encode(buffer.getvalue()).decode()
    return f'<img src="data:image/png;base64,{data}">'
