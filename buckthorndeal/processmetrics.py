"""Metrics of the process itself: memory, event loop lag and dropped log lines."""

import os
import time
from collections.abc import Callable

import curio

from buckthorndeal.logs import count_dropped_lines
from buckthorndeal.metrics import Metrics
from buckthorndeal.supervision import get_failure_counts
from buckthorndeal.transport import Transport

__all__ = ["read_resident_bytes", "watch_process"]

INTERVAL_S = 1.0
STATM_FILE = "/proc/self/statm"
RESIDENT_FIELD = 1


def read_resident_bytes() -> int:
    """Return the resident memory of this process, or 0 where it is not available."""
    try:
        with open(STATM_FILE, encoding="ascii") as file:
            pages = int(file.read().split()[RESIDENT_FIELD])
    except OSError:
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")


async def watch_process(
    metrics: Metrics,
    clock: Callable[[], float] = time.monotonic,
    transport: Transport | None = None,
) -> None:
    """Record the process metrics once a second until cancelled.

    Parameters
    ----------
    metrics : Metrics
        Metrics to record in.
    clock : callable, optional
        Returns the monotonic time in seconds.
    transport : Transport, optional
        Transport whose counters are recorded too.
    """
    metrics.describe("memory_bytes", "gauge", "Resident memory.")
    metrics.describe(
        "log_lines_left_out", "counter", "Log lines over their budget or not read."
    )
    metrics.describe(
        "task_failures", "counter", "Unexpected errors of background tasks."
    )
    metrics.describe(
        "accepts_failed", "counter", "Connections or attempts that `accept` gave up."
    )
    metrics.describe(
        "datagram_reads_failed", "counter", "Errors while datagrams were read."
    )
    metrics.describe(
        "descriptor_shortages", "counter", "Uses refused to keep descriptors free."
    )
    metrics.describe("message_bytes_held", "gauge", "Bytes held for messages.")
    metrics.describe("message_bytes_peak", "gauge", "Most bytes held for messages.")
    metrics.describe("message_bytes_capacity", "gauge", "Limit of the bytes held.")
    metrics.describe(
        "messages_refused_for_memory", "counter", "Messages that did not fit."
    )
    metrics.describe(
        "messages_cut_for_memory", "counter", "Incomplete messages that made room."
    )
    metrics.describe(
        "connection_places", "gauge", "Connections of others that the memory allows."
    )
    metrics.describe(
        "connections_refused", "counter", "Connections beyond the places of a port."
    )
    metrics.describe(
        "connections_closed_for_others",
        "counter",
        "Idle or unread connections that were closed.",
    )
    metrics.describe(
        "wide_receive_windows", "gauge", "Large bodies with wide receive buffers."
    )
    metrics.describe(
        "wide_receive_windows_missed",
        "counter",
        "Reads of large bodies that found no wide receive buffers.",
    )
    metrics.describe("sockets_open", "gauge", "Open sockets of connections.")
    metrics.describe("loop_lag_seconds", "summary", "Time by which timers are late.")
    while True:
        due_s = clock() + INTERVAL_S
        await curio.sleep(INTERVAL_S)
        metrics.observe("loop_lag_seconds", max(0.0, clock() - due_s))
        metrics.set_gauge("memory_bytes", read_resident_bytes())
        metrics.set_gauge("log_lines_left_out", count_dropped_lines())
        for task, count in get_failure_counts().items():
            metrics.set_gauge("task_failures", count, task=task)
        if transport is not None:
            for name, value in transport.read_counters().items():
                metrics.set_gauge(name, value)
