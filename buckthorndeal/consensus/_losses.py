"""Losses that a deployment has to bear, and whether a set of voters bears them."""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True)
class Location:
    """Where a host is.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the host.
    region : str
        Region of that failure domain.
    """

    failure_domain: str
    region: str


@dataclass(frozen=True)
class ToleratedLosses:
    """What may be lost at the same time: hosts, or failure domains, or regions.

    Parameters
    ----------
    hosts : int
        Hosts that may be lost together with their disks.
    failure_domains, regions : int
        Failure domains or regions whose hosts may all be out of contact.
    """

    hosts: int = 1
    failure_domains: int = 0
    regions: int = 0

    @property
    def min_voters(self) -> int:
        """Smallest number of voters that have a majority after the loss of hosts."""
        return 2 * self.hosts + 1


def list_borne_groups(
    voters: Collection[str],
    losses: ToleratedLosses,
    locations: Mapping[str, Location],
) -> frozenset[str]:
    """Return the kinds of groups whose tolerated loss leaves a majority.

    Parameters
    ----------
    voters : collection of str
        Hosts that vote.
    losses : ToleratedLosses
        How many groups of each kind may be lost.
    locations : mapping of str to Location
        Location of each host; one without a location is in no group.

    Returns
    -------
    frozenset of str
        Some of "failure_domains" and "regions".
    """
    known = [locations[host] for host in voters if host in locations]
    largest_losses = {
        "failure_domains": _sum_largest(
            (each.failure_domain for each in known), losses.failure_domains
        ),
        "regions": _sum_largest((each.region for each in known), losses.regions),
    }
    return frozenset(
        kind
        for kind, lost in largest_losses.items()
        if len(voters) - lost > len(voters) // 2
    )


def _sum_largest(groups: Iterable[str], count: int) -> int:
    """Return the number of members of the `count` largest groups."""
    return sum(size for _, size in Counter(groups).most_common(count))
