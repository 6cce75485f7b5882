"""Counters, gauges and latency summaries in the Prometheus text format."""

from collections.abc import Mapping

from hdrh.histogram import HdrHistogram

from buckthorndeal.http_server import Handler, Request, Responder

__all__ = [
    "CONTENT_TYPE",
    "LatencyRecorder",
    "Metrics",
    "create_metrics",
    "serve_metrics",
]

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "buckthorndeal_"
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
MAX_PENDING_VALUES = 1024
QUANTILES = (0.5, 0.95, 0.99, 0.999)
# Maximum number of series of each metric. Label values come from the document and from
# announcements; the limit bounds the memory if these contain very many values.
MAX_SERIES = 2_000

Labels = tuple[tuple[str, str], ...]


class LatencyRecorder:
    """Latencies of one series. On hot paths it is looked up once and reused.

    Recording a value in the histogram takes 10 times as long as counting it in a
    dictionary, so latencies are counted in steps of a tenth of a millisecond and
    moved to the histogram in bulk.
    """

    def __init__(self) -> None:
        self.sum_s = 0.0
        self._histogram: HdrHistogram | None = None
        self._pending_counts: dict[int, int] = {}

    def record(self, seconds: float) -> None:
        """Record a latency in seconds."""
        self.sum_s += seconds
        tenths_ms = int(seconds * 1e4)
        self._pending_counts[tenths_ms] = self._pending_counts.get(tenths_ms, 0) + 1
        if len(self._pending_counts) >= MAX_PENDING_VALUES:
            self._move_pending()

    def read_histogram(self) -> HdrHistogram:
        """Return the histogram of all latencies, in microseconds."""
        self._move_pending()
        return self._histogram

    def _move_pending(self) -> None:
        if self._histogram is None:
            self._histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        for tenths_ms, count in self._pending_counts.items():
            value_us = min(MAX_LATENCY_US, max(1, tenths_ms * 100))
            self._histogram.record_value(value_us, count)
        self._pending_counts.clear()


class Metrics:
    """Metrics of one daemon."""

    def __init__(self) -> None:
        self._help: dict[str, tuple[str, str]] = {}
        self._values: dict[str, dict[Labels, float]] = {}
        self._latencies: dict[str, dict[Labels, LatencyRecorder]] = {}

    def describe(self, name: str, kind: str, text: str) -> None:
        """Set the type and the help text of a metric."""
        self._help[name] = (kind, text)

    def describe_gauges(self, texts: Mapping[str, str]) -> None:
        """Set the help texts of several gauges by name."""
        for name, text in texts.items():
            self.describe(name, "gauge", text)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add `amount` to a counter."""
        series = self._values.setdefault(name, {})
        key = tuple(sorted(labels.items()))
        if key in series or len(series) < MAX_SERIES:
            series[key] = series.get(key, 0) + amount

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set the value of a gauge."""
        series = self._values.setdefault(name, {})
        key = tuple(sorted(labels.items()))
        if key in series or len(series) < MAX_SERIES:
            series[key] = value

    def clear(self, name: str) -> None:
        """Remove the series of a gauge, whose labels may not exist any more."""
        self._values.pop(name, None)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a latency in seconds."""
        self.get_recorder(name, **labels).record(seconds)

    def get_recorder(self, name: str, **labels: str) -> LatencyRecorder:
        """Return the recorder of a series.

        Recorders of series beyond `MAX_SERIES` are not rendered.
        """
        series = self._latencies.setdefault(name, {})
        key = tuple(sorted(labels.items()))
        if key in series:
            return series[key]
        recorder = LatencyRecorder()
        if len(series) < MAX_SERIES:
            series[key] = recorder
        return recorder

    def get_value(self, name: str, **labels: str) -> float:
        """Return the value of a counter or gauge; zero if it was never set."""
        return self._values.get(name, {}).get(tuple(sorted(labels.items())), 0)

    def render(self) -> str:
        """Return all metrics in the text format."""
        lines: list[str] = []
        for name, series in sorted(self._values.items()):
            self._render_header(lines, name, "counter")
            for labels, value in sorted(series.items()):
                lines.append(f"{PREFIX}{name}{_format_labels(labels)} {value:g}")
        for name, recorders in sorted(self._latencies.items()):
            self._render_header(lines, name, "summary")
            for labels in sorted(recorders):
                self._render_summary(lines, name, labels, recorders[labels])
        return "\n".join(lines) + "\n"

    def _render_header(self, lines: list[str], name: str, default_kind: str) -> None:
        kind, text = self._help.get(name, (default_kind, ""))
        if text:
            lines.append(f"# HELP {PREFIX}{name} {text}")
        lines.append(f"# TYPE {PREFIX}{name} {kind}")

    def _render_summary(
        self, lines: list[str], name: str, labels: Labels, recorder: LatencyRecorder
    ) -> None:
        histogram = recorder.read_histogram()
        for quantile in QUANTILES:
            value = histogram.get_value_at_percentile(quantile * 100) / 1e6
            text = _format_labels((*labels, ("quantile", str(quantile))))
            lines.append(f"{PREFIX}{name}{text} {value:g}")
        text = _format_labels(labels)
        lines.append(f"{PREFIX}{name}_sum{text} {recorder.sum_s:g}")
        lines.append(f"{PREFIX}{name}_count{text} {histogram.get_total_count()}")


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    pairs = (f'{name}="{_escape_label(value)}"' for name, value in labels)
    return "{" + ",".join(pairs) + "}"


def _escape_label(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def create_metrics() -> Metrics:
    """Return an empty set of metrics."""
    return Metrics()


def serve_metrics(metrics: Metrics) -> Handler:
    """Return an HTTP handler that responds with the metrics on every path."""

    async def handle(request: Request, responder: Responder) -> None:
        del request
        await responder.respond(200, metrics.render().encode(), CONTENT_TYPE)

    return handle
