"""Structured logs: JSON lines, rate-limited and written without blocking.

Lines go through `absl.logging` to a handler that writes to standard output. Routine
lines, such as those of answered requests, other lines of requests, and those of the
host each have a rate limit of their own: routine lines never displace the line of a
failure, and callers whose requests fail never displace what the host does about them.
Dropped lines are counted, and the counts are logged.
"""

import collections
import logging as stdlib_logging
import os
import stat
import time
from collections.abc import Callable

import msgspec
from absl import logging

__all__ = [
    "JsonFormatter",
    "LineBudget",
    "LineWriter",
    "configure_logging",
    "count_dropped_lines",
    "log_decision",
    "log_event",
    "log_routine",
]

EXTRA_FIELD = "buckthorndeal_fields"
ROUTINE_FIELD = "buckthorndeal_routine"
DROPPED_LINES_EVENT = "log_lines_left_out"
STDOUT = 1

ROUTINE_LINES_PER_S = 150.0
# Lines of single requests, such as those of refused ones, and lines of the host beyond
# the budget that is its own.
REQUEST_LINES_PER_S = 200.0
HOST_LINES_PER_S = 100.0
REQUEST_ID_FIELD = "request_id"
BURST_S = 3.0
DROPPED_LINES_INTERVAL_S = 5.0
# Buffered while the reader is slow; further lines are dropped.
MAX_BUFFERED_BYTES = 262_144
# Ids and names from outside may be as long as a head.
MAX_FIELD_CHARACTERS = 1_024

_ENCODER = msgspec.json.Encoder(enc_hook=str)


class JsonFormatter(stdlib_logging.Formatter):
    """Formats a log record as one line of JSON.

    Parameters
    ----------
    host : str
        Name of the host, added to each line.
    """

    def __init__(self, host: str) -> None:
        super().__init__()
        self._host = host

    def format(self, record: stdlib_logging.LogRecord) -> str:
        """Return `record` as a JSON object without line breaks."""
        fields = getattr(record, EXTRA_FIELD, {})
        line = {
            "time": time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
            + f".{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "host": self._host,
            "event": record.getMessage(),
            **{name: _shorten(value) for name, value in fields.items()},
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return _ENCODER.encode(line).decode()


def _shorten(value: object) -> object:
    if not isinstance(value, str) or len(value) <= MAX_FIELD_CHARACTERS:
        return value
    return f"{value[:MAX_FIELD_CHARACTERS]}... ({len(value)} characters)"


class LineBudget:
    """Token bucket that limits the rate of one kind of lines.

    Parameters
    ----------
    lines_per_s : float
        Mean rate; `BURST_S` seconds of it can be used at once.
    """

    def __init__(self, lines_per_s: float) -> None:
        self._lines_per_s = lines_per_s
        self._remaining = lines_per_s * BURST_S
        self._updated_at_s = 0.0

    def take(self, now_s: float) -> bool:
        """Use the budget for one line; return False if it is exhausted."""
        gained = max(0.0, now_s - self._updated_at_s) * self._lines_per_s
        self._remaining = min(self._lines_per_s * BURST_S, self._remaining + gained)
        self._updated_at_s = now_s
        if self._remaining < 1:
            return False
        self._remaining -= 1
        return True


class LineWriter:
    """Writes lines to a file descriptor without waiting for its reader.

    Parameters
    ----------
    fd : int
        File descriptor in non-blocking mode.
    """

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._buffer = bytearray()

    def write(self, line: bytes) -> bool:
        """Write or buffer a line; return False if it is dropped."""
        self.flush()
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            return False
        self._buffer += line
        self.flush()
        return True

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self._buffer:
            try:
                written = os.write(self._fd, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so there is nowhere to report the error.
                self._buffer.clear()
                return
            del self._buffer[:written]


class BoundedHandler(stdlib_logging.Handler):
    """Writes log records within their budgets, and counts those it drops.

    Parameters
    ----------
    writer : LineWriter
        Writer of the lines.
    clock : callable, optional
        Returns the monotonic time in seconds.
    """

    def __init__(
        self, writer: LineWriter, clock: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        self._writer = writer
        self._clock = clock
        self._routine_budget = LineBudget(ROUTINE_LINES_PER_S)
        self._request_budget = LineBudget(REQUEST_LINES_PER_S)
        self._host_budget = LineBudget(HOST_LINES_PER_S)
        self._unreported_counts: collections.Counter[str] = collections.Counter()
        self._reported_at_s = clock()
        self.dropped_count = 0

    def emit(self, record: stdlib_logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        now_s = self._clock()
        if not self._take_budget(record, now_s) or not self._write(record):
            self._unreported_counts[record.getMessage()] += 1
            self.dropped_count += 1
        if (
            self._unreported_counts
            and now_s - self._reported_at_s >= DROPPED_LINES_INTERVAL_S
        ):
            self._report_dropped_lines(now_s)

    def _take_budget(self, record: stdlib_logging.LogRecord, now_s: float) -> bool:
        """Return whether a line is within its budget; the host may use two."""
        if getattr(record, ROUTINE_FIELD, False):
            return self._routine_budget.take(now_s)
        is_of_host = REQUEST_ID_FIELD not in getattr(record, EXTRA_FIELD, {})
        if is_of_host and self._host_budget.take(now_s):
            return True
        return self._request_budget.take(now_s)

    def _write(self, record: stdlib_logging.LogRecord) -> bool:
        return self._writer.write((self.format(record) + "\n").encode())

    def _report_dropped_lines(self, now_s: float) -> None:
        self._reported_at_s = now_s
        counts, self._unreported_counts = (
            dict(self._unreported_counts),
            collections.Counter(),
        )
        record = stdlib_logging.LogRecord(
            "absl", stdlib_logging.WARNING, "", 0, DROPPED_LINES_EVENT, (), None
        )
        setattr(record, EXTRA_FIELD, {"counts": counts})
        if not self._write(record):
            self._unreported_counts.update(counts)


def configure_logging(host: str, fd: int = STDOUT) -> None:
    """Log JSON lines to a file descriptor, by default standard output."""
    handler = BoundedHandler(LineWriter(_open_nonblocking(fd)))
    handler.setFormatter(JsonFormatter(host))
    root = stdlib_logging.getLogger()
    for other in list(root.handlers):
        root.removeHandler(other)
    root.addHandler(handler)
    # Curio warns when an operation ends just after its timeout, which is normal here.
    stdlib_logging.getLogger("curio.time").setLevel(stdlib_logging.ERROR)
    root.setLevel(stdlib_logging.INFO)
    logging.get_absl_logger().setLevel(stdlib_logging.INFO)


def count_dropped_lines() -> int:
    """Return the number of log lines that this process has dropped so far."""
    handlers = stdlib_logging.getLogger().handlers
    return sum(
        handler.dropped_count
        for handler in handlers
        if isinstance(handler, BoundedHandler)
    )


def _open_nonblocking(fd: int) -> int:
    """Return a descriptor of the same file whose writes don't block.

    The non-blocking mode belongs to the open file description, which other processes
    may share. So a pipe or a terminal is opened a second time where the system allows
    it. Writes to a regular file never wait for a reader, and a second description
    with an offset of its own would overwrite the lines of other processes.
    """
    mode = os.fstat(fd).st_mode
    if stat.S_ISREG(mode):
        return fd
    try:
        return os.open(f"/proc/self/fd/{fd}", os.O_WRONLY | os.O_APPEND | os.O_NONBLOCK)
    except OSError:
        os.set_blocking(fd, False)
        return fd


def log_event(event: str, **fields: object) -> None:
    """Log an event with the given fields."""
    logging.get_absl_logger().info(event, extra={EXTRA_FIELD: fields})


def log_routine(event: str, **fields: object) -> None:
    """Log an event of normal traffic, whose lines are dropped first under load."""
    logging.get_absl_logger().info(
        event, extra={EXTRA_FIELD: fields, ROUTINE_FIELD: True}
    )


def log_decision(
    kind: str,
    request_id: str,
    chosen: str | None,
    scores: dict[str, float],
    reason: str,
    **fields: object,
) -> None:
    """Log one routing or placement decision.

    Parameters
    ----------
    kind : str
        ``route`` or ``placement``.
    request_id : str
        Id of the request or placement order that the decision is about.
    chosen : str or None
        Chosen endpoint, host or region; None for a refusal.
    scores : dict of str to float
        Score of each candidate in seconds; lower is better.
    reason : str
        Why the candidate was chosen.
    **fields : object
        Additional fields; must not contain request bodies, prompts or query strings.
    """
    log_routine(
        f"{kind}_decision",
        request_id=request_id,
        chosen=chosen,
        scores={name: round(score, 4) for name, score in scores.items()},
        reason=reason,
        **fields,
    )
