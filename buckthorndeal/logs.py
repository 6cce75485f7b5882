"""Structured logs: JSON lines, bounded in volume and never blocking.

Lines go through `absl.logging` to a handler that writes to standard output. Each
kind of line has a budget; routine lines, such as a request that was answered, have
one of their own, so that they never displace the line of a failure. What is left
out is counted and told.
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
LEFT_OUT_EVENT = "log_lines_left_out"
STDOUT = 1

ROUTINE_LINES_PER_S = 150.0
OTHER_LINES_PER_S = 300.0
BURST_S = 3.0
LEFT_OUT_INTERVAL_S = 5.0
# Held while the reader is slow; more is dropped.
MAX_BUFFERED_BYTES = 262_144

_ENCODER = msgspec.json.Encoder(enc_hook=str)


class JsonFormatter(stdlib_logging.Formatter):
    """Formats one record as one line of JSON.

    Parameters
    ----------
    host : str
        Host named in each line.
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
            **fields,
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return _ENCODER.encode(line).decode()


class LineBudget:
    """Lines that one kind may write: a rate with a burst.

    Parameters
    ----------
    lines_per_s : float
        Rate.
    """

    def __init__(self, lines_per_s: float) -> None:
        self._lines_per_s = lines_per_s
        self._left = lines_per_s * BURST_S
        self._updated_s = 0.0

    def take(self, now_s: float) -> bool:
        """Take one line; return False if the budget is used up."""
        gained = max(0.0, now_s - self._updated_s) * self._lines_per_s
        self._left = min(self._lines_per_s * BURST_S, self._left + gained)
        self._updated_s = now_s
        if self._left < 1:
            return False
        self._left -= 1
        return True


class LineWriter:
    """Writes lines to a file descriptor without waiting for its reader.

    Parameters
    ----------
    fd : int
        Descriptor in non-blocking mode.
    """

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._buffer = bytearray()

    def write(self, line: bytes) -> bool:
        """Write a line, or keep it for later; return False if it is dropped."""
        self.flush()
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            return False
        self._buffer += line
        self.flush()
        return True

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._buffer:
            try:
                written = os.write(self._fd, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, so there is nowhere to report it.
                self._buffer.clear()
                return
            del self._buffer[:written]


class BoundedHandler(stdlib_logging.Handler):
    """Writes records within their budgets and counts the others.

    Parameters
    ----------
    writer : LineWriter
        Where the lines go.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self, writer: LineWriter, clock: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        self._writer = writer
        self._clock = clock
        self._routine = LineBudget(ROUTINE_LINES_PER_S)
        self._other = LineBudget(OTHER_LINES_PER_S)
        self._left_out: collections.Counter[str] = collections.Counter()
        self._told_s = clock()
        self.left_out = 0

    def emit(self, record: stdlib_logging.LogRecord) -> None:
        """Write a record, or count it as left out."""
        now_s = self._clock()
        routine = getattr(record, ROUTINE_FIELD, False)
        budget = self._routine if routine else self._other
        if not budget.take(now_s) or not self._write(record):
            self._left_out[record.getMessage()] += 1
            self.left_out += 1
        if self._left_out and now_s - self._told_s >= LEFT_OUT_INTERVAL_S:
            self._tell(now_s)

    def _write(self, record: stdlib_logging.LogRecord) -> bool:
        return self._writer.write((self.format(record) + "\n").encode())

    def _tell(self, now_s: float) -> None:
        self._told_s = now_s
        counts, self._left_out = dict(self._left_out), collections.Counter()
        record = stdlib_logging.LogRecord(
            "absl", stdlib_logging.WARNING, "", 0, LEFT_OUT_EVENT, (), None
        )
        setattr(record, EXTRA_FIELD, {"counts": counts})
        if not self._write(record):
            self._left_out.update(counts)


def configure_logging(host: str, fd: int = STDOUT) -> None:
    """Write JSON lines to a descriptor, standard output by default."""
    handler = BoundedHandler(LineWriter(_open_nonblocking(fd)))
    handler.setFormatter(JsonFormatter(host))
    root = stdlib_logging.getLogger()
    for other in list(root.handlers):
        root.removeHandler(other)
    root.addHandler(handler)
    # Curio warns when an operation ends just after its timeout, which is normal.
    stdlib_logging.getLogger("curio.time").setLevel(stdlib_logging.ERROR)
    root.setLevel(stdlib_logging.INFO)
    logging.get_absl_logger().setLevel(stdlib_logging.INFO)


def count_dropped_lines() -> int:
    """Return the lines that this process has left out of its log so far."""
    handlers = stdlib_logging.getLogger().handlers
    return sum(
        handler.left_out for handler in handlers if isinstance(handler, BoundedHandler)
    )


def _open_nonblocking(fd: int) -> int:
    """Return a descriptor of the same file whose writes don't wait.

    The mode belongs to the open file, which other processes may share, so a pipe or
    a terminal is opened once more where the system allows it. A regular file never
    waits for a reader, and a second offset into it would overwrite what others write.
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
    """Log an event with named fields."""
    logging.get_absl_logger().info(event, extra={EXTRA_FIELD: fields})


def log_routine(event: str, **fields: object) -> None:
    """Log an event of ordinary traffic, which gives way under load."""
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
        Request or order that the decision belongs to.
    chosen : str or None
        Endpoint, host or region chosen; None for a refusal.
    scores : dict of str to float
        Score of each candidate in seconds; lower is better.
    reason : str
        Why the candidate was chosen.
    **fields : object
        Further fields; never request bodies, prompts or query strings.
    """
    log_routine(
        f"{kind}_decision",
        request_id=request_id,
        chosen=chosen,
        scores={name: round(score, 4) for name, score in scores.items()},
        reason=reason,
        **fields,
    )
