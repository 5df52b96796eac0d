"""The time line as a self-contained HTML picture."""

from html import escape

from .texts import at_text

WIDTH = 1200
LEFT = 140
ROW = 34
TOP = 40
RADIUS = 5
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
<html lang="en"><head><meta charset="utf-8"><title>auburnhollow time line</title>
<style>body{{font:14px sans-serif;margin:20px}}text{{font-size:12px}}
td,th{{padding:2px 10px;text-align:left;font-size:12px}}.key span{{margin-right:16px}}</style>
</head><body><h1>Time line</h1><p>{span}</p><p class="key">{key}</p>
<svg width="{width}" height="{height}" role="img">{shapes}</svg>
<table><tr><th>at (UTC)</th><th>process</th><th>event</th><th>details</th></tr>{rows}</table>
</body></html>
"""


def timeline_page(events):
    """Return an HTML page with one row a process and one mark an event.

    :param events: dictionaries as the nodes give them, oldest first.
    """
    processes = sorted({event["process"] for event in events})
    kinds = sorted({event["kind"] for event in events})
    colours = {kind: COLOURS[place % len(COLOURS)] for place, kind in enumerate(kinds)}
    first_ms = events[0]["at_ms"] if events else 0
    last_ms = events[-1]["at_ms"] if events else 0
    return PAGE.format(
        span=f"{at_text(first_ms)} to {at_text(last_ms)}" if events else "no events",
        key="".join(_key(kind, colours[kind]) for kind in kinds),
        width=WIDTH,
        height=TOP + ROW * max(1, len(processes)),
        shapes=_shapes(events, processes, colours, first_ms, max(1, last_ms - first_ms)),
        rows="".join(_row(event) for event in events),
    )


def _key(kind, colour):
    return f'<span><b style="color:{colour}">&#9679;</b> {escape(kind)}</span>'


def _shapes(events, processes, colours, first_ms, span_ms):
    shapes = []
    heights = {}
    for place, process in enumerate(processes):
        height = TOP + ROW * place
        heights[process] = height
        shapes.append(f'<text x="4" y="{height + 4}">{escape(process)}</text>')
        line = f'<line x1="{LEFT}" x2="{WIDTH - 20}" y1="{height}" y2="{height}" stroke="#ddd"/>'
        shapes.append(line)
    for event in events:
        place = LEFT + (event["at_ms"] - first_ms) / span_ms * (WIDTH - LEFT - 30)
        title = f"{at_text(event['at_ms'])} {event['kind']} {event['details']}"
        shapes.append(
            f'<circle cx="{place:.1f}" cy="{heights[event["process"]]}" r="{RADIUS}" '
            f'fill="{colours[event["kind"]]}"><title>{escape(title)}</title></circle>'
        )
    return "".join(shapes)


def _row(event):
    details = " ".join(f"{name}={value}" for name, value in event["details"].items())
    cells = (at_text(event["at_ms"]), event["process"], event["kind"], details)
    return "<tr>" + "".join(f"<td>{escape(str(cell))}</td>" for cell in cells) + "</tr>"
