"""Acknowledgement of drains and leaves, which other coordinators have to keep too."""

from buckthorndeal.coordinator._departures import Departures
from buckthorndeal.coordinator._entry_table import EntryTable
from buckthorndeal.coordinator._relay import (
    RelayPlan,
    relay_departure,
    relay_to_entry_hosts,
)
from buckthorndeal.errors import PeerError, Verdict
from buckthorndeal.fleet import EndpointRecord, HostLinks, RelayEndpoint, RelayLeave
from buckthorndeal.mailbox import Envelope
from buckthorndeal.peers import Channel
from buckthorndeal.supervision import spawn_job


class DepartureRelay:
    """Relays drains and leaves, and acknowledges what a majority of the voters has.

    Parameters
    ----------
    own_host : str
        Name of this host.
    links : HostLinks
        Links to the other coordinators.
    entries : EntryTable
        Entry hosts.
    departures : Departures
        Drains and leaves that are known here.
    """

    def __init__(
        self,
        own_host: str,
        links: HostLinks,
        entries: EntryTable,
        departures: Departures,
    ) -> None:
        self._own_host = own_host
        self._links = links
        self._entries = entries
        self._departures = departures
        self.voters: tuple[str, ...] = ()

    async def relay_record(self, record: EndpointRecord, envelope: Envelope) -> None:
        """Relay a drain or leave to the entry hosts of the endpoint's region."""
        await self._relay(RelayEndpoint(record), record.region, envelope)

    async def relay_leave(self, leave: RelayLeave, envelope: Envelope) -> None:
        """Relay a leave of an incarnation that is unknown here to all entry hosts."""
        await self._relay(leave, None, envelope)

    async def confirm(self, envelope: Envelope) -> None:
        """Reply to another coordinator once what it has relayed is on disk."""
        await spawn_job(self._confirm, envelope, on_failure=envelope.fail_unexpectedly)

    async def pass_on(self, leave: RelayLeave) -> None:
        """Relay a leave of another coordinator to the entry hosts."""
        await spawn_job(relay_to_entry_hosts, leave, self._list_entry_channels(None))

    async def _confirm(self, envelope: Envelope) -> None:
        if await self._departures.wait_saved():
            await envelope.reply()
            return
        reason = "the departure is not on disk"
        await envelope.fail(PeerError(reason, Verdict.MAY_HAVE_RUN))

    async def _relay(
        self,
        message: RelayEndpoint | RelayLeave,
        region: str | None,
        envelope: Envelope,
    ) -> None:
        voters = self.voters
        if not voters:
            # Nobody could confirm that the other coordinators know of it.
            await envelope.reply(False)
            return
        votes = self._own_host in voters
        plan = RelayPlan(
            message=message,
            entry_channels=self._list_entry_channels(region),
            other_voters=[voter for voter in voters if voter != self._own_host],
            votes=votes,
            required=len(voters) // 2 + 1 if votes else len(voters),
        )
        await spawn_job(
            relay_departure,
            plan,
            self._links,
            self._departures,
            envelope,
            on_failure=envelope.fail_unexpectedly,
        )

    def _list_entry_channels(self, region: str | None) -> list[Channel]:
        """Return the connections to the entry hosts of a region, None for all."""
        return [
            entry.channel
            for entry in self._entries
            if region in (None, entry.host.region) and entry.channel.connected
        ]
