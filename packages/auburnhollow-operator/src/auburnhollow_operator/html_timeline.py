"""Renders the events of nodes as a self-contained HTML page with an SVG timeline."""

from html import escape

from .formatting import format_time

WIDTH_PX = 1200
LEFT_MARGIN_PX = 140
ROW_HEIGHT_PX = 34
TOP_MARGIN_PX = 40
MARK_RADIUS_PX = 5
COLOURS = (
    "#4477aa",
    "#ee6677",
    "#228833",
    "#ccbb44",
    "#66ccee",
    "#aa3377",
    "#bbbbbb",
    "#222255",
    "#dd7711",
    "#117755",
)

PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>auburnhollow timeline</title>
<style>body{{font:14px sans-serif;margin:20px}}text{{font-size:12px}}
td,th{{padding:2px 10px;text-align:left;font-size:12px}}.key span{{margin-right:16px}}</style>
</head><body><h1>Timeline</h1><p>{span}</p><p class="key">{key}</p>
<svg width="{width}" height="{height}" role="img">{shapes}</svg>
<table><tr><th>at (UTC)</th><th>process</th><th>event</th><th>details</th></tr>{rows}</table>
</body></html>
"""


def timeline_page(events):
    """Return an HTML page with a row for each process and a mark for each event.

    :param events: dictionaries as returned by the nodes, oldest first.
    """
    processes = sorted({event["process"] for event in events})
    kinds = sorted({event["kind"] for event in events})
    colours = {kind: COLOURS[index % len(COLOURS)] for index, kind in enumerate(kinds)}
    first_ms = events[0]["at_ms"] if events else 0
    last_ms = events[-1]["at_ms"] if events else 0
    return PAGE.format(
        span=f"{format_time(first_ms)} to {format_time(last_ms)}" if events else "no events",
        key="".join(_key(kind, colours[kind]) for kind in kinds),
        width=WIDTH_PX,
        height=TOP_MARGIN_PX + ROW_HEIGHT_PX * max(1, len(processes)),
        shapes=_shapes(events, processes, colours, first_ms, max(1, last_ms - first_ms)),
        rows="".join(_row(event) for event in events),
    )


def _key(kind, colour):
    return f'<span><b style="color:{colour}">&#9679;</b> {escape(kind)}</span>'


def _shapes(events, processes, colours, first_ms, span_ms):
    shapes = []
    row_y = {}
    for index, process in enumerate(processes):
        y = TOP_MARGIN_PX + ROW_HEIGHT_PX * index
        row_y[process] = y
        shapes.append(f'<text x="4" y="{y + 4}">{escape(process)}</text>')
        line = f'<line x1="{LEFT_MARGIN_PX}" x2="{WIDTH_PX - 20}" y1="{y}" y2="{y}" stroke="#ddd"/>'
        shapes.append(line)
    for event in events:
        x = LEFT_MARGIN_PX + (event["at_ms"] - first_ms) / span_ms * (
            WIDTH_PX - LEFT_MARGIN_PX - 30
        )
        title = f"{format_time(event['at_ms'])} {event['kind']} {event['details']}"
        shapes.append(
            f'<circle cx="{x:.1f}" cy="{row_y[event["process"]]}" r="{MARK_RADIUS_PX}" '
            f'fill="{colours[event["kind"]]}"><title>{escape(title)}</title></circle>'
        )
    return "".join(shapes)


def _row(event):
    details = " ".join(f"{name}={value}" for name, value in event["details"].items())
    cells = (format_time(event["at_ms"]), event["process"], event["kind"], details)
    return "<tr>" + "".join(f"<td>{escape(str(cell))}</td>" for cell in cells) + "</tr>"
