"""Benchmark measurements and their regression bounds."""

from dataclasses import dataclass
from importlib import resources

import jsonc
import msgspec

__all__ = ["Bound", "Measurement", "Violation", "check_bounds", "load_bounds"]


@dataclass(frozen=True, slots=True)
class Measurement:
    """One measured value.

    Parameters
    ----------
    name : str
        Dotted name, such as ``relay.tokens_per_core_s``.
    value : float
        Measured value.
    unit : str
        Unit of the value; ``ratio`` or ``count`` for a dimensionless one.
    """

    name: str
    value: float
    unit: str


class Bound(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A regression bound of one measurement.

    Parameters
    ----------
    name : str
        Name of the measurement.
    source : str
        Requirement that the bound comes from.
    at_least, at_most : float or None
        Smallest and largest value allowed; None for no limit.
    """

    name: str
    source: str
    at_least: float | None = None
    at_most: float | None = None

    def holds(self, value: float) -> bool:
        """Return whether `value` is within the bound."""
        above = self.at_least is None or value >= self.at_least
        below = self.at_most is None or value <= self.at_most
        return above and below


@dataclass(frozen=True, slots=True)
class Violation:
    """A measurement outside its bound, or a bound without a measurement.

    Parameters
    ----------
    bound : Bound
        The violated bound.
    value : float or None
        Measured value; None if it was not measured.
    """

    bound: Bound
    value: float | None

    def __str__(self) -> str:
        """Return the bound and the measured value on one line."""
        limits = {"at least": self.bound.at_least, "at most": self.bound.at_most}
        allowed = ", ".join(
            f"{label} {limit:g}" for label, limit in limits.items() if limit is not None
        )
        value = "not measured" if self.value is None else f"{self.value:g}"
        return f"{self.bound.name}: {value}; {allowed} ({self.bound.source})"


def load_bounds() -> list[Bound]:
    """Return the bounds in ``bounds.jsonc``, which ships with the package."""
    text = (resources.files("buckthorndeal") / "bounds.jsonc").read_text("utf-8")
    return msgspec.convert(jsonc.loads(text), list[Bound])


def check_bounds(
    measurements: list[Measurement], bounds: list[Bound], prefix: str
) -> list[Violation]:
    """Compare measurements with the bounds of one benchmark.

    Parameters
    ----------
    measurements : list of Measurement
        Measurements of this run.
    bounds : list of Bound
        All bounds.
    prefix : str
        Only bounds whose name starts with this prefix are checked.

    Returns
    -------
    list of Violation
        Violated bounds. A bound without a measurement is violated.
    """
    values = {measurement.name: measurement.value for measurement in measurements}
    return [
        Violation(bound, values.get(bound.name))
        for bound in bounds
        if bound.name.startswith(prefix)
        and (bound.name not in values or not bound.holds(values[bound.name]))
    ]
