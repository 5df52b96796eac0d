"""Results of benchmarks: JSON files, tables and line fits."""

import platform
from pathlib import Path

import orjson

FOLDER = Path(__file__).parent / "results"


def save_result(name, result):
    """Write ``result`` as ``bench/results/NAME.json``."""
    FOLDER.mkdir(exist_ok=True)
    document = {"python": platform.python_version(), **result}
    data = orjson.dumps(document, option=orjson.OPT_INDENT_2)
    (FOLDER / f"{name}.json").write_bytes(data + b"\n")


def load_result(name):
    """Return the result saved under ``name``."""
    return orjson.loads((FOLDER / f"{name}.json").read_bytes())


def format_table(columns, rows):
    """Return rows as a text table.

    :param columns: names of the columns.
    :param rows: dictionaries by column name.
    """
    lines = [[str(name) for name in columns]]
    for row in rows:
        lines.append([_format_cell(row.get(name, "")) for name in columns])
    widths = [max(len(line[column]) for line in lines) for column in range(len(columns))]
    texts = []
    for line in lines:
        cells = [cell.rjust(width) for cell, width in zip(line, widths, strict=True)]
        texts.append("  ".join(cells))
    return "\n".join(texts)


def _format_cell(value):
    if isinstance(value, float):
        return f"{value:.3g}" if abs(value) < 1000 else f"{value:.0f}"
    return str(value)


def fit_line(points):
    """Return ``(base, slope)`` of a least-squares line through ``(x, y)`` points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if spread == 0:
        return mean_y, 0.0
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - slope * mean_x, slope
