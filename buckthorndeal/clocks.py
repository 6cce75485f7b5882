"""Clock for leases."""

import time


def read_lease_clock() -> float:
    """Return the seconds of a monotonic clock that includes suspended time.

    A host that resumes from suspension must notice that its leases have expired.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
