"""Calls of a coordinator that its HTTP interface is a thin layer over."""

import zlib

from buckthorndeal.configuration import ConfigurationCodec
from buckthorndeal.coordinator._fleet_messages import (
    ChooseEntryHosts,
    ChooseRegistrar,
    HeartbeatReceived,
    LeaveReceived,
)
from buckthorndeal.coordinator._requests import (
    ChangeEvacuation,
    ReadConfiguration,
    RemoveHost,
    StoreConfiguration,
)
from buckthorndeal.errors import NotLeaderError, PeerError, RequestError, Verdict
from buckthorndeal.fleet import (
    Acknowledged,
    ConfigurationContent,
    ConfigurationReply,
    EndpointRecord,
    EntryHost,
    EvacuationReply,
    HostLinks,
    LeaveCluster,
    ProposeConfiguration,
    ProposeEvacuation,
    ReadCommittedConfiguration,
    Unavailable,
)
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Mailbox
from buckthorndeal.statemachine import PutConfiguration
from buckthorndeal.wire import Message

# A caller turns to another coordinator after a second.
CALL_TIMEOUT_S = 0.9
RETRY_AFTER_S = 0.5


class CoordinatorService:
    """Answers endpoints, operators and callers on one coordinator.

    Parameters
    ----------
    codec : ConfigurationCodec
        Reads the operator's configuration.
    links : HostLinks
        Links to the other coordinators.
    fleet : Mailbox
        Mailbox of the fleet task.
    """

    def __init__(
        self, codec: ConfigurationCodec, links: HostLinks, fleet: Mailbox
    ) -> None:
        self._codec = codec
        self._links = links
        self._fleet = fleet
        self._replica: Mailbox | None = None

    def connect(self, replica: Mailbox) -> None:
        """Use the replica from now on."""
        self._replica = replica

    async def report_heartbeat(self, record: EndpointRecord) -> bool:
        """Take a heartbeat; return whether it may be acknowledged."""
        return await self._fleet.ask(HeartbeatReceived(record))

    async def report_leave(self, endpoint: str, incarnation: int | None) -> bool:
        """Take the notice that an endpoint leaves."""
        return await self._fleet.ask(LeaveReceived(endpoint, incarnation))

    async def choose_registrar(self, region: str, failure_domain: str) -> str | None:
        """Return the address for an endpoint's next heartbeats, or None."""
        return await self._fleet.ask(ChooseRegistrar(region, failure_domain))

    async def choose_entry_hosts(
        self, name: str, region: str, failure_domain: str
    ) -> list[EntryHost]:
        """Return the entry hosts that a caller of a host name may use."""
        message = ChooseEntryHosts(name, region, failure_domain)
        return await self._fleet.ask(message)

    async def put_configuration(self, content: bytes) -> int:
        """Validate a configuration and put it in force everywhere.

        Returns
        -------
        int
            Version in force, which may be a higher one.

        Raises
        ------
        ConfigurationError
            If the content is invalid.
        RequestError
            With status 503 if the outcome is not known.
        """
        version = self._codec.decode(content).version
        compressed = zlib.compress(content)
        reply = await self._ask_leader(
            StoreConfiguration(PutConfiguration(version=version, content=compressed)),
            ProposeConfiguration(version, compressed),
        )
        in_force = reply.version
        log_event("configuration_put", version=version, in_force=in_force)
        return in_force

    async def change_evacuation(self, failure_domain: str, active: bool) -> None:
        """Start or end the evacuation of a failure domain.

        Raises
        ------
        RequestError
            With status 503 if the outcome is not known.
        """
        await self._ask_leader(
            ChangeEvacuation(failure_domain, active),
            ProposeEvacuation(failure_domain, active),
        )
        log_event("evacuation_set", failure_domain=failure_domain, active=active)

    async def get_configuration(self) -> bytes | None:
        """Return the newest configuration as the operator wrote it, or None.

        Raises
        ------
        RequestError
            With status 503 if this host cannot be sure which one is the newest.
        """
        reply = await self._ask_leader(
            ReadConfiguration(True), ReadCommittedConfiguration()
        )
        if reply is None or (
            isinstance(reply, ConfigurationContent) and reply.version is None
        ):
            return None
        return zlib.decompress(reply.content)

    async def leave_cluster(self, host: str) -> None:
        """Give the vote of this host back, if the others are enough."""
        try:
            await self._ask_leader(RemoveHost(host), LeaveCluster(host))
        except RequestError as error:
            log_event("vote_kept", reason=str(error))

    async def answer(self, message: Message) -> Message | None:
        """Answer a call of another host; None if it is no call of this kind."""
        local = _LOCAL_CALLS.get(type(message))
        if local is None:
            return None
        try:
            return _REPLIES[type(message)](await self._ask_replica(local(message)))
        except (NotLeaderError, RequestError) as error:
            return Unavailable(str(error))

    async def _ask_leader(self, local: object, remote: Message) -> object:
        """Ask the own replica if it leads, and the leader's host otherwise."""
        try:
            return await self._ask_replica(local)
        except NotLeaderError as error:
            leader = error.leader
        if leader is None or self._links.get(leader) is None:
            raise _create_unavailable("no leader is known")
        try:
            reply = await self._links.call(leader, remote, CALL_TIMEOUT_S)
        except PeerError as error:
            raise _create_unavailable(f"leader {leader}: {error}") from error
        if isinstance(reply, Unavailable):
            raise _create_unavailable(f"leader {leader}: {reply.reason}")
        return reply

    async def _ask_replica(self, message: object) -> object:
        if self._replica is None:
            raise _create_unavailable("the replica has not started")
        return await self._replica.ask(message)


def _create_unavailable(reason: str) -> RequestError:
    return RequestError(
        "unavailable", 503, reason, Verdict.MAY_HAVE_RUN, retry_after_s=RETRY_AFTER_S
    )


def create_content(stored: PutConfiguration | None) -> ConfigurationContent:
    """Return the message that carries a stored configuration, or none."""
    if stored is None:
        return ConfigurationContent(None, b"")
    return ConfigurationContent(stored.version, stored.content)


_LOCAL_CALLS = {
    ProposeConfiguration: lambda message: StoreConfiguration(
        PutConfiguration(version=message.version, content=message.content)
    ),
    ProposeEvacuation: lambda message: ChangeEvacuation(
        message.failure_domain, message.active
    ),
    LeaveCluster: lambda message: RemoveHost(message.host),
    ReadCommittedConfiguration: lambda message: ReadConfiguration(True),
}
_REPLIES = {
    ProposeConfiguration: lambda answer: ConfigurationReply(answer.version),
    ProposeEvacuation: lambda answer: EvacuationReply(),
    LeaveCluster: lambda answer: Acknowledged(),
    ReadCommittedConfiguration: create_content,
}
