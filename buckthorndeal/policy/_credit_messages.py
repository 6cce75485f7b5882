"""Messages between the lending and the borrowing side of spill credits."""

from dataclasses import dataclass

__all__ = ["CreditGrant", "CreditRequest", "RegionSummary"]


@dataclass(frozen=True, slots=True)
class CreditRequest:
    """A borrower asks `region` for credits; zero returns those it has."""

    region: str
    borrower: str
    wanted: int


@dataclass(frozen=True, slots=True)
class CreditGrant:
    """Credits that replace those of the earlier grant.

    Parameters
    ----------
    number : int
        Rises with each grant, so that a late one is recognized.
    credits : int
        Requests that the borrower may send within the lifetime.
    lifetime_s : float
        Validity from receipt; hosts do not share a clock.
    """

    region: str
    borrower: str
    number: int
    credits: int
    lifetime_s: float


@dataclass(frozen=True, slots=True)
class RegionSummary:
    """What a region tells the others of itself.

    Parameters
    ----------
    wait_s : float
        Queueing delay of its own callers in seconds.
    spare : int
        Requests that it could take on now.
    """

    region: str
    wait_s: float
    spare: int
