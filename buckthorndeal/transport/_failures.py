"""Counts and log lines of errors of sockets that go on."""

import collections
import errno
import time

from buckthorndeal.logs import log_event

LOG_INTERVAL_S = 1.0


class FailureLog:
    """Counts errors of one kind, and logs those of each port at most once a second.

    Parameters
    ----------
    event : str
        Event in the log.
    """

    def __init__(self, event: str) -> None:
        self._event = event
        self.count = 0
        self._unlogged: collections.Counter[int] = collections.Counter()
        self._logged_s: dict[int, float] = {}

    def record(self, port: int, error: OSError, **fields: object) -> None:
        """Record an error on a port; `fields` are added to its log line."""
        self.count += 1
        self._unlogged[port] += 1
        now_s = time.monotonic()
        logged_s = self._logged_s.get(port)
        if logged_s is not None and now_s - logged_s < LOG_INTERVAL_S:
            return
        self._logged_s[port] = now_s
        log_event(
            self._event,
            port=port,
            error=errno.errorcode.get(error.errno, str(error.errno)),
            failures=self._unlogged.pop(port),
            **fields,
        )
