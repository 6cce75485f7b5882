"""Merges the log lines of several hosts into the timeline of one request."""

import re
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

__all__ = ["TraceLine", "format_trace", "read_lines", "select_trace"]

# State changes of a host up to this long before its first line about the request are
# included, because they may explain how the request ended.
CONTEXT_S = 3.0
HIDDEN_FIELDS = frozenset(("time", "level", "host", "event", "request_id"))
ROUTINE_EVENTS = frozenset(("dispatch_decision", "request_ended", "attempt_failed"))


@dataclass(frozen=True)
class TraceLine:
    """One parsed log line.

    Parameters
    ----------
    time_s : float
        Seconds since midnight on the clock of the host, or seconds on the common clock
        of a benchmark.
    host : str
        Host that wrote the line.
    event : str
        Name of the event.
    fields : dict
        All fields of the line.
    """

    time_s: float
    host: str
    event: str
    fields: dict


def read_lines(lines: Iterable[str]) -> list[TraceLine]:
    """Parse JSON log lines; other lines are skipped.

    A line may have a prefix with a time in seconds and the host's name, as benchmarks
    print it. In this case that time is used, because its clock is the same for all
    hosts.
    """
    parsed = []
    for line in lines:
        match = re.match(r"\s*(?:(-?\d+\.\d+)\s+\S+\s+)?(\{.*\})\s*$", line)
        if match is None:
            continue
        try:
            fields = msgspec.json.decode(match.group(2))
        except msgspec.DecodeError:
            continue
        if not isinstance(fields, dict) or "event" not in fields:
            continue
        bench_time = match.group(1)
        time_s = (
            float(bench_time) if bench_time else _parse_time(fields.get("time", ""))
        )
        host = str(fields.get("host", ""))
        parsed.append(TraceLine(time_s, host, str(fields["event"]), fields))
    return parsed


def select_trace(lines: Iterable[TraceLine], request_id: str) -> list[TraceLine]:
    """Return the lines of a request and the state changes on its hosts meanwhile.

    State changes of a host are included from `CONTEXT_S` before its first line about
    the request until its last one.

    Parameters
    ----------
    lines : iterable of TraceLine
        Lines of all hosts.
    request_id : str
        Id of the request.

    Returns
    -------
    list of TraceLine
        Selected lines, sorted by time.
    """
    lines = sorted(lines, key=lambda line: line.time_s)
    request_lines = [
        line for line in lines if line.fields.get("request_id") == request_id
    ]
    spans = {}
    for line in request_lines:
        first_s, _ = spans.get(line.host, (line.time_s - CONTEXT_S, line.time_s))
        spans[line.host] = (first_s, line.time_s)
    selected = []
    for line in lines:
        first_s, last_s = spans.get(line.host, (0.0, -1.0))
        is_of_request = line.fields.get("request_id") == request_id
        is_state_change = (
            line.event not in ROUTINE_EVENTS and "request_id" not in line.fields
        )
        if is_of_request or (is_state_change and first_s <= line.time_s <= last_s):
            selected.append(line)
    return selected


def format_trace(lines: list[TraceLine], request_id: str) -> list[str]:
    """Format the lines of a trace; those of the request start with ``>``."""
    texts = []
    for line in lines:
        mark = ">" if line.fields.get("request_id") == request_id else " "
        details = " ".join(
            f"{name}={_format_value(value)}"
            for name, value in line.fields.items()
            if name not in HIDDEN_FIELDS and value is not None
        )
        texts.append(f"{mark} {line.time_s:.3f} {line.host} {line.event} {details}")
    return texts


def _format_value(value: object) -> str:
    return value if isinstance(value, str) else msgspec.json.encode(value).decode()


def _parse_time(text: str) -> float:
    """Return the seconds since midnight of a time such as 2026-01-02T03:04:05.678Z."""
    match = re.search(r"T(\d+):(\d+):([\d.]+)", text)
    if match is None:
        return 0.0
    hours, minutes, seconds = match.groups()
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)
