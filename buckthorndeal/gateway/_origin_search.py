"""Search at the coordinators for the origin of a stream that began elsewhere."""

from collections.abc import Callable
from dataclasses import replace

from buckthorndeal.fleet import FindOrigin, HostLinks
from buckthorndeal.gateway._coordinator_calls import ask_for_origin
from buckthorndeal.gateway._coordinator_reach import CoordinatorReach
from buckthorndeal.mailbox import Envelope


class OriginSearcher:
    """Asks the coordinators for origins.

    Parameters
    ----------
    links : HostLinks
        Links to the coordinators.
    reach : CoordinatorReach
        Coordinators that have told this host all that they know; only read here.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self, links: HostLinks, reach: CoordinatorReach, clock: Callable[[], float]
    ) -> None:
        self._links = links
        self._reach = reach
        self._clock = clock

    async def search(
        self, query: FindOrigin, nearest_first: list[str], envelope: Envelope
    ) -> None:
        """Ask the connected coordinators; reply with an `OriginSearch`."""
        replies = await ask_for_origin(self._links, nearest_first, query)
        known = len(self._links.hosts)
        search = self._reach.conclude(replies, known)
        is_settled = self._reach.is_settled(self._clock())
        await envelope.reply(replace(search, is_settled=is_settled))
