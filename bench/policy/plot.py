#!/usr/bin/env python3
"""Draws the replay's CSV files as SVG, with the standard library only.

    plot.py surge.csv depth.csv OUTPUT_FOLDER
"""

import csv
import pathlib
import sys

WIDTH, HEIGHT, MARGIN = 520, 300, 50
COLORS = ["#1b6ca8", "#2a9d5c", "#c9801a", "#8a4fbf", "#b33939"]


def line_chart(title, x_label, y_label, series, y_top):
    """Returns an SVG; `series` maps a name to (points, dashed)."""
    xs = sorted({x for points, _ in series.values() for x, _ in points})

    def place(x, y):
        across = (x - xs[0]) / (xs[-1] - xs[0])
        up = min(y / y_top, 1.0)
        return (
            MARGIN + across * (WIDTH - 2 * MARGIN),
            HEIGHT - MARGIN - up * (HEIGHT - 2 * MARGIN),
        )

    total = HEIGHT + 16 * len(series)
    out = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
        f'height="{total}" font-family="sans-serif" font-size="11">',
        f'<rect width="{WIDTH}" height="{total}" fill="white"/>',
        f'<text x="{MARGIN}" y="20" font-size="13">{title}</text>',
        f'<text x="{WIDTH / 2}" y="{HEIGHT - 12}">{x_label}</text>',
        f'<text x="8" y="{MARGIN - 12}">{y_label}</text>',
    ]
    for tick in range(5):
        y = y_top * tick / 4
        left, height = place(xs[0], y)
        out.append(
            f'<line x1="{left}" y1="{height}" x2="{WIDTH - MARGIN}" '
            f'y2="{height}" stroke="#ddd"/>'
            f'<text x="14" y="{height + 4}">{y:.4g}</text>'
        )
    for x in xs:
        across, bottom = place(x, 0)
        out.append(f'<text x="{across - 6}" y="{bottom + 16}">{x:g}</text>')
    for index, (name, (points, dashed)) in enumerate(series.items()):
        color = COLORS[index // 2 % len(COLORS)]
        dash = ' stroke-dasharray="5 4"' if dashed else ""
        path = " ".join("%.1f,%.1f" % place(x, y) for x, y in points)
        legend = HEIGHT + 16 * index
        out.append(
            f'<polyline points="{path}" fill="none" stroke="{color}" '
            f'stroke-width="2"{dash}/>'
            f'<line x1="{MARGIN}" y1="{legend}" x2="{MARGIN + 30}" '
            f'y2="{legend}" stroke="{color}" stroke-width="2"{dash}/>'
            f'<text x="{MARGIN + 38}" y="{legend + 4}">{name}</text>'
        )
    out.append("</svg>")
    return "\n".join(out) + "\n"


def served_by_class(rows):
    """Returns the series of each trace: share served by load."""
    charts = {}
    for row in rows:
        dashed = row["decisions"] == "naive"
        name = f'{row["class"]} (rank {row["rank"]}, {row["decisions"]})'
        series = charts.setdefault(row["trace"], {})
        points, _ = series.setdefault(name, ([], dashed))
        points.append((float(row["load"]), float(row["served"])))
    return {
        trace: dict(sorted(series.items())) for trace, series in charts.items()
    }


def tries_by_depth(rows):
    """Returns the calls per needed call by depth of the chain."""
    series = {}
    for row in rows:
        dashed = row["decisions"] == "naive"
        points, _ = series.setdefault(row["decisions"], ([], dashed))
        points.append((float(row["depth"]), float(row["tries_per_call"])))
    return series


def main():
    surge, depth, folder = sys.argv[1:]
    target = pathlib.Path(folder)
    with open(surge, newline="", encoding="utf-8") as file:
        for trace, series in served_by_class(csv.DictReader(file)).items():
            chart = line_chart(
                f"{trace}: share served in the surge",
                "times the capacity",
                "share",
                series,
                1.0,
            )
            (target / f"policy_{trace}.svg").write_text(chart, "utf-8")
    with open(depth, newline="", encoding="utf-8") as file:
        series = tries_by_depth(csv.DictReader(file))
        top = max(y for points, _ in series.values() for _, y in points)
        chart = line_chart(
            "Calls per needed call, last service at 3 times its capacity",
            "depth of the chain",
            "calls",
            series,
            top * 1.1,
        )
        (target / "policy_depth.svg").write_text(chart, "utf-8")


main()
