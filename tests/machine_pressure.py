"""Time that tasks of the machine waited for a processor, memory or the disk.

A test that fails on one machine only may have failed because its processes did not
run. The kernel counts that for the whole machine (pressure stall information).
"""

from dataclasses import dataclass

PRESSURE_FILES = (
    ("cpu", "/proc/pressure/cpu"),
    ("io", "/proc/pressure/io"),
    ("memory", "/proc/pressure/memory"),
)


@dataclass(frozen=True)
class Pressure:
    """Time in which at least one task waited, since the machine started.

    Parameters
    ----------
    waited_s : dict of str to float
        Seconds by resource; without those that the kernel does not count.
    """

    waited_s: dict[str, float]


def read_pressure(files=PRESSURE_FILES) -> Pressure:
    """Return the pressure of the machine up to now."""
    waited_s = {}
    for resource, path in files:
        try:
            with open(path, encoding="ascii") as file:
                waited_s[resource] = parse_pressure(file.read())
        except OSError:
            continue
    return Pressure(waited_s)


def parse_pressure(text: str) -> float:
    """Return the seconds of the line ``some`` of a pressure file.

    Raises
    ------
    ValueError
        If the text has no such line.
    """
    for line in text.splitlines():
        kind, *fields = line.split()
        if kind == "some":
            return int(dict(each.split("=") for each in fields)["total"]) / 1e6
    raise ValueError(f"no line 'some' in {text!r}")


def format_pressure(before: Pressure, after: Pressure) -> str:
    """Return the waits between two readings, such as ``cpu 0.2 s, io 3.5 s waited``."""
    waits = [
        f"{resource} {after.waited_s[resource] - seconds:.1f} s"
        for resource, seconds in sorted(before.waited_s.items())
        if resource in after.waited_s
    ]
    return f"{', '.join(waits)} waited" if waits else "waits not counted"
