"""Spill credits, with which a region lends spare capacity for a short time.

To spill a request is to send it to another region; each spilled request uses a credit.
"""

from collections.abc import Mapping

from buckthorndeal.policy._borrowing import Borrower
from buckthorndeal.policy._credit_messages import (
    GRANT_LIFETIME_S,
    CreditGrant,
    CreditRequest,
    RegionSummary,
)
from buckthorndeal.policy._lending import Lender, split_fairly

__all__ = [
    "Borrower",
    "CreditGrant",
    "CreditRequest",
    "Lender",
    "RegionSummary",
    "create_borrower",
    "create_lender",
    "split_fairly",
]

# Share of the spare capacity that is not lent but reserved for the region's own
# callers that arrive within the lifetime of a grant.
HEADROOM_SHARE = 0.3


def create_lender(
    region: str,
    headroom_share: float = HEADROOM_SHARE,
    lifetime_s: float = GRANT_LIFETIME_S,
) -> Lender:
    """Create the lending side of a region.

    Parameters
    ----------
    region : str
        The region that lends.
    headroom_share : float, optional
        Share of the spare capacity that is never lent.
    lifetime_s : float, optional
        Validity of a grant in seconds.

    Returns
    -------
    Lender
        The lending side, with no credits granted.
    """
    return Lender(region, headroom_share, lifetime_s)


def create_borrower(
    region: str,
    link_delays_s: Mapping[str, float] | None = None,
    default_delay_s: float = 0.0,
) -> Borrower:
    """Create the borrowing side of a region.

    Parameters
    ----------
    region : str
        The region that borrows.
    link_delays_s : mapping of str to float, optional
        One-way delay in seconds of the link to each region.
    default_delay_s : float, optional
        Delay of the links to other regions.

    Returns
    -------
    Borrower
        The borrowing side, with no credits.
    """
    return Borrower(region, link_delays_s or {}, default_delay_s)
