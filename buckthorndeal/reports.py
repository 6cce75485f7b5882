"""Reports of benchmark runs: text table, JSON and plots."""

import pathlib
from collections.abc import Sequence

import msgspec

from buckthorndeal.bench import Measurement

__all__ = ["format_measurements", "format_table", "plot_bars", "write_json"]


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return an aligned text table; floats have 4 significant digits."""
    cells = [list(header), *([_format_cell(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    lines.insert(1, "  ".join("-" * width for width in widths))
    return "\n".join(line.rstrip() for line in lines)


def format_measurements(measurements: Sequence[Measurement]) -> str:
    """Return a text table of measurements."""
    rows = [(item.name, item.value, item.unit) for item in measurements]
    return format_table(("measurement", "value", "unit"), rows)


def write_json(path: pathlib.Path, value: object) -> None:
    """Write `value` as indented JSON, creating the directory if needed."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(value), indent=2))


def plot_bars(
    path: pathlib.Path,
    title: str,
    unit: str,
    groups: Sequence[str],
    series: dict[str, Sequence[float]],
) -> None:
    """Write a grouped bar chart as a PNG file.

    Parameters
    ----------
    path : pathlib.Path
        File to write.
    title, unit : str
        Title and label of the vertical axis.
    groups : sequence of str
        Labels on the horizontal axis.
    series : dict of str to sequence of float
        Values of each series by its label, one for each group.

    Raises
    ------
    ImportError
        If matplotlib is not installed; ``make bench`` installs it.
    """
    # Imported here because matplotlib is installed for the benchmarks only.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(10, 5))
    width = 0.8 / max(1, len(series))
    for number, (label, values) in enumerate(series.items()):
        positions = [index + number * width for index in range(len(groups))]
        axes.bar(positions, values, width, label=label)
    axes.set_xticks(range(len(groups)), groups, rotation=20, ha="right")
    axes.set_ylabel(unit)
    axes.set_title(title)
    axes.legend()
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path)
    pyplot.close(figure)


def _format_cell(cell: object) -> str:
    return f"{cell:.4g}" if isinstance(cell, float) else str(cell)
