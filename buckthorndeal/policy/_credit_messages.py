"""Messages between the lender and the borrower of spill credits."""

from dataclasses import dataclass

__all__ = ["GRANT_LIFETIME_S", "CreditGrant", "CreditRequest", "RegionSummary"]

GRANT_LIFETIME_S = 3.0


@dataclass(frozen=True, slots=True)
class CreditRequest:
    """A borrower's request for credits of another region.

    Parameters
    ----------
    region : str
        Region that is to lend.
    borrower : str
        Region that wants to borrow.
    wanted : int
        Number of credits; zero gives back those that the borrower holds.
    """

    region: str
    borrower: str
    wanted: int


@dataclass(frozen=True, slots=True)
class CreditGrant:
    """Credits that replace those of the region's earlier grant.

    Parameters
    ----------
    region : str
        Region that lends.
    borrower : str
        Region that borrows.
    number : int
        Increases with each grant, so that a delayed older grant is recognized.
    credits : int
        Requests that the borrower may send within the lifetime.
    lifetime_s : float
        Validity in seconds from receipt, as hosts do not share a clock.
    """

    region: str
    borrower: str
    number: int
    credits: int
    lifetime_s: float


@dataclass(frozen=True, slots=True)
class RegionSummary:
    """Load of a region as announced to the other regions.

    Parameters
    ----------
    region : str
        Region that sends the summary.
    wait_s : float
        Queueing delay of its own callers in seconds.
    spare : int
        Requests of other regions that it could serve now.
    """

    region: str
    wait_s: float
    spare: int
