"""Descriptors that the sockets of a process use, within their limit."""

import errno
import os
import resource
import sys
import time
import weakref

from curio.io import Socket

from buckthorndeal.logs import log_event

# Kept for files, standard streams, listening sockets and the event loop.
KEPT_DESCRIPTORS = 32
LOG_INTERVAL_S = 1.0


class Descriptors:
    """Counts the open sockets of a transport.

    A socket that is dropped without being closed no longer counts once it is collected.

    Parameters
    ----------
    limit : int or None
        Descriptors that the process may use, if that is less than the limit that the
        system has set for it.
    """

    def __init__(self, limit: int | None = None) -> None:
        self._limit = limit
        self._sockets: weakref.WeakSet[Socket] = weakref.WeakSet()
        self._logged_s: float | None = None
        self.shortages = 0

    @property
    def limit(self) -> int:
        """Descriptors that sockets may use, at this moment."""
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if limit == resource.RLIM_INFINITY:
            limit = sys.maxsize
        if self._limit is not None:
            limit = min(limit, self._limit)
        return max(0, limit - KEPT_DESCRIPTORS)

    @property
    def open_count(self) -> int:
        """Number of open sockets."""
        return len(self._sockets)

    def add(self, sock: Socket) -> None:
        """Count a socket."""
        self._sockets.add(sock)

    def remove(self, sock: Socket) -> None:
        """Stop counting a socket, which has been closed."""
        self._sockets.discard(sock)

    def has_free(self, share: float = 0.0, returning: int = 0) -> bool:
        """Return whether more than a share of the descriptors is free.

        `returning` descriptors, which are given back soon, count as free.

        If not, the shortage is counted, and logged at most once a second.
        """
        limit = self.limit
        if limit - self.open_count + returning > share * limit:
            return True
        self.shortages += 1
        now_s = time.monotonic()
        if self._logged_s is None or now_s - self._logged_s >= LOG_INTERVAL_S:
            self._logged_s = now_s
            log_event(
                "descriptors_short",
                open=self.open_count,
                limit=limit,
                kept=round(share * limit),
                shortages=self.shortages,
            )
        return False

    def check(self) -> None:
        """Raise OSError if there is no descriptor for another socket."""
        if not self.has_free():
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
