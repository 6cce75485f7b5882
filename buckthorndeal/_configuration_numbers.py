"""Bounds of the numbers in a configuration."""

from buckthorndeal.errors import ConfigurationError

# Whole numbers up to here are exact as floating-point numbers, too.
MAX_COUNT = 2**53
# A week; the timers of the operating system take up to 24 days.
MAX_DURATION_S = 604_800.0


def check_counts(name: str, *values: float) -> None:
    """Check that the absolute values of numbers are at most `MAX_COUNT`.

    Raises
    ------
    ConfigurationError
        If one is larger, or not a number; `name` tells where it is.
    """
    # A comparison with NaN is false.
    if not all(abs(value) <= MAX_COUNT for value in values):
        raise ConfigurationError(name, f"a number is not at most {MAX_COUNT}")


def check_durations(name: str, *durations_s: float) -> None:
    """Check that times are at most `MAX_DURATION_S`; see `check_counts`."""
    if not all(abs(duration_s) <= MAX_DURATION_S for duration_s in durations_s):
        raise ConfigurationError(name, f"a time is not at most {MAX_DURATION_S:g} s")
