"""Counters, gauges and latency summaries in the Prometheus text format."""

from hdrh.histogram import HdrHistogram

__all__ = ["CONTENT_TYPE", "Metrics", "create_metrics"]

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "buckthorndeal_"
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.95, 0.99, 0.999)
# Label values come from the document and from announcements. The cap bounds the
# memory if either names very many.
MAX_SERIES = 2_000

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Figures of one daemon."""

    def __init__(self) -> None:
        self._help: dict[str, tuple[str, str]] = {}
        self._values: dict[str, dict[Labels, float]] = {}
        self._latencies: dict[str, dict[Labels, HdrHistogram]] = {}
        self._sums: dict[tuple[str, Labels], float] = {}

    def describe(self, name: str, kind: str, text: str) -> None:
        """Set the type and the help text of a metric."""
        self._help[name] = (kind, text)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add `amount` to a counter."""
        series = self._values.setdefault(name, {})
        key = tuple(sorted(labels.items()))
        if key in series or len(series) < MAX_SERIES:
            series[key] = series.get(key, 0) + amount

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        series = self._values.setdefault(name, {})
        key = tuple(sorted(labels.items()))
        if key in series or len(series) < MAX_SERIES:
            series[key] = value

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a latency."""
        series = self._latencies.setdefault(name, {})
        key = tuple(sorted(labels.items()))
        if key not in series:
            if len(series) >= MAX_SERIES:
                return
            series[key] = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        series[key].record_value(min(MAX_LATENCY_US, max(1, int(seconds * 1e6))))
        self._sums[name, key] = self._sums.get((name, key), 0.0) + seconds

    def get_value(self, name: str, **labels: str) -> float:
        """Return a counter or gauge; zero if it was never set."""
        return self._values.get(name, {}).get(tuple(sorted(labels.items())), 0)

    def render(self) -> str:
        """Return every figure in the text format."""
        lines: list[str] = []
        for name, series in sorted(self._values.items()):
            self._render_head(lines, name, "counter")
            for labels, value in sorted(series.items()):
                lines.append(f"{PREFIX}{name}{_format_labels(labels)} {value:g}")
        for name, histograms in sorted(self._latencies.items()):
            self._render_head(lines, name, "summary")
            for labels, histogram in sorted(histograms.items()):
                self._render_summary(lines, name, labels, histogram)
        return "\n".join(lines) + "\n"

    def _render_head(self, lines: list[str], name: str, default_kind: str) -> None:
        kind, text = self._help.get(name, (default_kind, ""))
        if text:
            lines.append(f"# HELP {PREFIX}{name} {text}")
        lines.append(f"# TYPE {PREFIX}{name} {kind}")

    def _render_summary(
        self, lines: list[str], name: str, labels: Labels, histogram: HdrHistogram
    ) -> None:
        for quantile in QUANTILES:
            value = histogram.get_value_at_percentile(quantile * 100) / 1e6
            text = _format_labels((*labels, ("quantile", str(quantile))))
            lines.append(f"{PREFIX}{name}{text} {value:g}")
        text = _format_labels(labels)
        lines.append(f"{PREFIX}{name}_sum{text} {self._sums[name, labels]:g}")
        lines.append(f"{PREFIX}{name}_count{text} {histogram.get_total_count()}")


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    pairs = (f'{name}="{_escape_label(value)}"' for name, value in labels)
    return "{" + ",".join(pairs) + "}"


def _escape_label(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def create_metrics() -> Metrics:
    """Return an empty set of figures."""
    return Metrics()
