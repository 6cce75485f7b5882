"""Policy on the votes of the coordinators, and where they are."""

from collections.abc import Iterable

from buckthorndeal.consensus import (
    ElasticPolicy,
    Location,
    ToleratedLosses,
    create_elastic_policy,
)
from buckthorndeal.fleet import ControlHost
from buckthorndeal.settings import CoordinatorSettings


def create_voting_policy(settings: CoordinatorSettings) -> ElasticPolicy:
    """Return the policy for the losses that the settings tell to bear."""
    tolerance = settings.fault_tolerance
    losses = ToleratedLosses(
        tolerance.hosts, tolerance.failure_domains, tolerance.regions
    )
    return create_elastic_policy(len(settings.seeds), losses)


def record_locations(
    locations: dict[str, Location], hosts: Iterable[ControlHost]
) -> None:
    """Add the locations of coordinators that a heartbeat lists."""
    for each in hosts:
        locations[each.host] = Location(each.failure_domain, each.region)
