"""Operations of a coordinator behind its HTTP API."""

import curio

from buckthorndeal._configuration_content import SharedContent, compress_content
from buckthorndeal.configuration import (
    ConfigurationCodec,
    ConfigurationError,
    check_nesting,
)
from buckthorndeal.consensus import ProposalId
from buckthorndeal.coordinator._fleet_messages import (
    ChooseEntryHosts,
    ChooseRegistrar,
    HeartbeatReceived,
    LeaveReceived,
)
from buckthorndeal.coordinator._requests import (
    ChangeEvacuation,
    ReadConfiguration,
    ReadPosition,
    RemoveHost,
    StoreConfiguration,
)
from buckthorndeal.errors import (
    NotLeaderError,
    PeerError,
    PeerFailureError,
    RequestError,
    Verdict,
)
from buckthorndeal.fleet import (
    Acknowledged,
    ConfigurationContent,
    ConfigurationReply,
    EndpointRecord,
    EntryHost,
    EvacuationReply,
    HostLinks,
    InvalidRecordError,
    LeaveCluster,
    LogPosition,
    ProposeConfiguration,
    ProposeEvacuation,
    ReadCommittedConfiguration,
    ReadLogPosition,
    Unavailable,
    check_incarnation,
    check_name,
    check_record,
)
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Mailbox
from buckthorndeal.statemachine import PutConfiguration
from buckthorndeal.wire import Message

# A caller tries another coordinator after one second.
CALL_TIMEOUT_S = 0.9
RETRY_AFTER_S = 0.5


class CoordinatorService:
    """Operations that endpoints, operators and callers request of a coordinator.

    Parameters
    ----------
    codec : ConfigurationCodec
        Decodes and validates the operator's configuration.
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
        self._content = SharedContent()

    def attach_replica(self, replica: Mailbox) -> None:
        """Set the mailbox of the replica; until then, operations that need it fail."""
        self._replica = replica

    async def report_heartbeat(self, record: EndpointRecord) -> bool:
        """Merge an endpoint's heartbeat.

        Parameters
        ----------
        record : EndpointRecord
            Content of the heartbeat.

        Returns
        -------
        bool
            Whether the heartbeat may be acknowledged.

        Raises
        ------
        InvalidRecordError
            If a value is one that no endpoint can have.
        """
        check_record(record)
        return await self._fleet.ask(HeartbeatReceived(record))

    async def report_leave(self, endpoint: str, incarnation: int | None) -> bool:
        """Mark an endpoint as left.

        Parameters
        ----------
        endpoint : str
            Id of the endpoint.
        incarnation : int or None
            Incarnation that leaves; None for any.

        Returns
        -------
        bool
            Whether the notice may be acknowledged.

        Raises
        ------
        InvalidRecordError
            If no endpoint can have the id, or the incarnation is out of bounds.
        """
        check_name(endpoint)
        if incarnation is not None:
            check_incarnation(incarnation)
        return await self._fleet.ask(LeaveReceived(endpoint, incarnation))

    async def choose_registrar(self, region: str, failure_domain: str) -> str | None:
        """Choose the coordinator that should receive an endpoint's heartbeats.

        Parameters
        ----------
        region, failure_domain : str
            Location of the endpoint.

        Returns
        -------
        str or None
            API address of the coordinator; None if the endpoint should keep to this
            host.
        """
        return await self._fleet.ask(ChooseRegistrar(region, failure_domain))

    async def choose_entry_hosts(
        self, name: str, region: str, failure_domain: str
    ) -> list[EntryHost]:
        """Choose the entry hosts that a caller should use.

        Parameters
        ----------
        name : str
            Host name that the caller wants to reach; empty if unknown.
        region, failure_domain : str
            Location of the caller; empty if unknown.

        Returns
        -------
        list of EntryHost
            Entry hosts among which the caller may choose freely; empty if none is
            known.
        """
        message = ChooseEntryHosts(name, region, failure_domain)
        return await self._fleet.ask(message)

    async def put_configuration(self, content: bytes) -> int:
        """Validate a configuration and store it in the replicated log.

        Parameters
        ----------
        content : bytes
            Configuration as the operator wrote it.

        Returns
        -------
        int
            Version in force afterwards, which is higher than that of `content` if a
            higher one was stored before.

        Raises
        ------
        ConfigurationError
            If the content is invalid.
        RequestError
            With status 503 if the outcome is unknown.
        """
        version = self._codec.decode(content).version
        check_nesting(content)
        compressed = compress_content(content)
        reply = await self._ask_leader(
            StoreConfiguration(PutConfiguration(version=version, content=compressed)),
            ProposeConfiguration(version, compressed),
        )
        in_force = reply.version
        log_event("configuration_put", version=version, in_force=in_force)
        return in_force

    async def change_evacuation(self, failure_domain: str, active: bool) -> None:
        """Start or end the evacuation of a failure domain.

        Parameters
        ----------
        failure_domain : str
            Failure domain to change.
        active : bool
            Whether the failure domain is evacuated from now on.

        Raises
        ------
        RequestError
            With status 400 if no failure domain can have the name, and 503 if too many
            are evacuated or the outcome is unknown.
        """
        try:
            check_name(failure_domain)
        except InvalidRecordError as error:
            raise RequestError("bad_request", 400, str(error)) from error
        try:
            await self._ask_replica(ChangeEvacuation(failure_domain, active))
        except NotLeaderError as error:
            await self._order_at_leader(error.leader, failure_domain, active)
        log_event("evacuation_set", failure_domain=failure_domain, active=active)

    async def _order_at_leader(
        self, leader: str | None, failure_domain: str, active: bool
    ) -> None:
        """Order the leader to change an evacuation, unless the call is held up.

        Orders have no number. One that arrives after the operator has given up, and has
        given the opposite one through another host, must not undo that.
        """
        deadline_s = await curio.clock() + CALL_TIMEOUT_S
        position = await self._read_leader_position(leader)
        order = ProposeEvacuation(failure_domain, active, *position)
        timeout_s = max(0.0, deadline_s - await curio.clock())
        await self._call_leader(leader, order, timeout_s)

    async def _read_leader_position(
        self, leader: str | None
    ) -> tuple[int | None, int | None]:
        """Return the leader's term and the end of its log.

        Both are None for a leader of a build before this call, which checks no order.
        """
        try:
            position = await self._call_leader(
                leader, ReadLogPosition(), CALL_TIMEOUT_S
            )
        except RequestError as error:
            if isinstance(error.__cause__, PeerFailureError):
                return None, None
            raise
        if not isinstance(position, LogPosition):
            raise _create_unavailable(f"leader {leader} named no position")
        return position.term, position.index

    async def get_configuration(self) -> bytes | None:
        """Return the latest configuration as the operator wrote it, or None.

        Raises
        ------
        RequestError
            With status 503 if no leader can confirm which version is the latest.
        """
        reply = await self._ask_leader(
            ReadConfiguration(True), ReadCommittedConfiguration()
        )
        if reply is None or (
            isinstance(reply, ConfigurationContent) and reply.version is None
        ):
            return None
        try:
            return self._content.decompress(reply.content)
        except ConfigurationError as error:
            raise RequestError("unavailable", 503, str(error)) from error

    async def leave_cluster(self, host: str) -> None:
        """Remove a host from the voters, unless the others would be too few.

        A failure is only logged; the host then keeps its vote.

        Parameters
        ----------
        host : str
            Host to remove.
        """
        try:
            await self._ask_leader(RemoveHost(host), LeaveCluster(host))
        except RequestError as error:
            log_event("vote_kept", reason=str(error))

    async def handle_call(self, message: Message) -> Message | None:
        """Handle a call from another host that is addressed to the leader.

        Parameters
        ----------
        message : Message
            Any message from another host.

        Returns
        -------
        Message or None
            Reply; None if the message is not a call to the leader.
        """
        create_request = _LOCAL_REQUEST_FACTORIES.get(type(message))
        if create_request is None:
            return None
        try:
            return _REPLY_FACTORIES[type(message)](
                await self._ask_replica(create_request(message))
            )
        except (NotLeaderError, RequestError) as error:
            return Unavailable(str(error))

    async def _ask_leader(self, local: object, remote: Message) -> object:
        """Ask the local replica if it leads, otherwise call the leader's host."""
        try:
            return await self._ask_replica(local)
        except NotLeaderError as error:
            return await self._call_leader(error.leader, remote, CALL_TIMEOUT_S)

    async def _call_leader(
        self, leader: str | None, message: Message, timeout_s: float
    ) -> Message:
        if leader is None or self._links.get(leader) is None:
            raise _create_unavailable("no reachable leader is known")
        try:
            reply = await self._links.call(leader, message, timeout_s)
        except PeerError as error:
            raise _create_unavailable(
                f"the call to leader {leader} failed: {error}"
            ) from error
        if isinstance(reply, Unavailable):
            raise _create_unavailable(f"leader {leader} is unavailable: {reply.reason}")
        return reply

    async def _ask_replica(self, message: object) -> object:
        if self._replica is None:
            raise _create_unavailable("the replica has not started")
        return await self._replica.ask(message)


def _create_unavailable(reason: str) -> RequestError:
    return RequestError(
        "unavailable", 503, reason, Verdict.MAY_HAVE_RUN, retry_after_s=RETRY_AFTER_S
    )


def create_configuration_content(
    stored: PutConfiguration | None,
) -> ConfigurationContent:
    """Return the message for a stored configuration, empty if there is none."""
    if stored is None:
        return ConfigurationContent(None, b"")
    return ConfigurationContent(stored.version, stored.content)


def _read_position(message: ProposeEvacuation) -> ProposalId | None:
    if message.term is None or message.index is None:
        return None
    return ProposalId(message.term, message.index)


_LOCAL_REQUEST_FACTORIES = {
    ProposeConfiguration: lambda message: StoreConfiguration(
        PutConfiguration(version=message.version, content=message.content)
    ),
    ProposeEvacuation: lambda message: ChangeEvacuation(
        message.failure_domain, message.active, _read_position(message)
    ),
    ReadLogPosition: lambda message: ReadPosition(),
    LeaveCluster: lambda message: RemoveHost(message.host),
    ReadCommittedConfiguration: lambda message: ReadConfiguration(True),
}
_REPLY_FACTORIES = {
    ProposeConfiguration: lambda answer: ConfigurationReply(answer.version),
    ProposeEvacuation: lambda answer: EvacuationReply(),
    ReadLogPosition: lambda answer: LogPosition(answer.term, answer.index),
    LeaveCluster: lambda answer: Acknowledged(),
    ReadCommittedConfiguration: create_configuration_content,
}
