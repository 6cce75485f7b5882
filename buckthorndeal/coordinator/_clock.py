"""Clock of a coordinator."""

import time


def read_clock() -> float:
    """Return the seconds of a monotonic clock that includes suspended time.

    A leader whose host resumes from suspension must notice that its lease has expired.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
