"""Dispatch of peer messages to owner tasks, and calls to other control hosts."""

from collections.abc import Callable, Mapping
from functools import singledispatchmethod

from buckthorndeal.control import _messages as messages
from buckthorndeal.control import _requests as requests
from buckthorndeal.control._placement import ReportReceived
from buckthorndeal.control._subscriptions import RevisionReported, Subscription
from buckthorndeal.errors import NotLeaderError, PeerError, Verdict
from buckthorndeal.ledger import LedgerView, get_replica_host
from buckthorndeal.mailbox import Mailbox
from buckthorndeal.peers import Channel, PeerLink
from buckthorndeal.replication import ConsensusReceived
from buckthorndeal.statemachine import (
    ChangeView,
    LeaseAnswer,
    LeaseState,
    ViewAnswer,
)
from buckthorndeal.wire import Message

CALL_TIMEOUT_S = 2.0


class PeerDispatcher:
    """Dispatches messages of peers to owner tasks and calls other control hosts.

    Parameters
    ----------
    links : mapping of str to PeerLink
        Links to the other control hosts, by host name.
    describe : callable
        Returns the `ReplicaDescription` of this host.
    """

    def __init__(
        self,
        links: Mapping[str, PeerLink],
        describe: Callable[[], messages.ReplicaDescription],
    ) -> None:
        self._links = links
        self._describe = describe
        self._replica: Mailbox | None = None
        self._subscriptions: Mailbox | None = None
        self._placement: Mailbox | None = None

    def set_mailboxes(
        self, replica: Mailbox, subscriptions: Mailbox, placement: Mailbox
    ) -> None:
        """Set the owner tasks that receive messages; until then calls are refused."""
        self._replica = replica
        self._subscriptions = subscriptions
        self._placement = placement

    async def send_frame(self, host: str, frame: messages.ConsensusFrame) -> None:
        """Send a consensus message; it may get lost, and the replica retries."""
        link = self._links.get(host)
        if link is None or not link.connected:
            return
        try:
            await link.send(frame)
        except PeerError:
            return

    async def acquire_lease(self, name: str, holder: str) -> LeaseAnswer:
        """Acquire or renew a lease at the leader; see `_requests.AcquireLease`."""
        leader = await self._find_leader_link()
        if leader is None:
            return await self._replica.ask(requests.AcquireLease(name, holder))
        message = messages.LeaseRequest(name, holder)
        return _parse_lease_reply(name, await leader.call(message, CALL_TIMEOUT_S))

    async def release_lease(self, name: str, holder: str, fencing: int) -> None:
        """Release a lease at the leader."""
        leader = await self._find_leader_link()
        if leader is None:
            await self._replica.ask(requests.RelinquishLease(name, holder, fencing))
            return
        message = messages.LeaseRelease(name, holder, fencing)
        await leader.call(message, CALL_TIMEOUT_S)

    async def _find_leader_link(self) -> PeerLink | None:
        """Return the link to the leader, or None if this host is the leader.

        Raises
        ------
        NotLeaderError
            If no leader is known.
        """
        state: requests.ControlState = await self._replica.ask(requests.ReadState())
        if state.role == "leader":
            return None
        if state.leader not in self._links:
            raise NotLeaderError(state.leader)
        return self._links[state.leader]

    async def handle(self, message: Message, channel: Channel) -> Message | None:
        """Handle a message of a peer and return the reply, if it has one.

        Raises
        ------
        PeerError
            If the replica has not started or the message is not expected.
        """
        if self._replica is None and not isinstance(message, messages.DescribeReplica):
            raise PeerError("the replica has not started", Verdict.NOT_RUN)
        try:
            return await self._handle(message, channel)
        except NotLeaderError as error:
            return messages.LeaderHint(error.leader)

    @singledispatchmethod
    async def _handle(self, message: Message, channel: Channel) -> Message | None:
        raise PeerError(f"unexpected message {type(message).__name__}", Verdict.NOT_RUN)

    @_handle.register
    async def _(
        self, message: messages.DescribeReplica, channel: Channel
    ) -> Message | None:
        return self._describe()

    @_handle.register
    async def _(
        self, message: messages.ConsensusFrame, channel: Channel
    ) -> Message | None:
        if channel.host in self._links:
            received = ConsensusReceived(message.data, channel.host)
            await self._replica.send(received)
        return None

    @_handle.register
    async def _(self, message: messages.Subscribe, channel: Channel) -> Message | None:
        return await self._subscriptions.ask(Subscription(channel, message.revision))

    @_handle.register
    async def _(self, message: messages.InForce, channel: Channel) -> Message | None:
        await self._subscriptions.send(RevisionReported(channel, message.revision))
        return None

    @_handle.register
    async def _(
        self, message: messages.PlacementReport, channel: Channel
    ) -> Message | None:
        await self._placement.send(ReportReceived(channel.host, message))
        return None

    @_handle.register
    async def _(self, message: messages.GetView, channel: Channel) -> Message | None:
        state: requests.ControlState = await self._replica.ask(requests.ReadState())
        view = state.views.get(message.region, LedgerView())
        return messages.ViewReply(state.is_confirmed, view)

    @_handle.register
    async def _(self, message: messages.ChangeView, channel: Channel) -> Message | None:
        if get_replica_host(message.requester) != channel.host:
            reason = f"{message.requester} is not a replica of {channel.host}"
            raise PeerError(reason, Verdict.NOT_RUN)
        command = ChangeView(
            region=message.region,
            base=message.base,
            requester=message.requester,
            view=message.view,
        )
        answer: ViewAnswer = await self._replica.ask(command)
        return messages.ViewReply(answer.accepted, answer.view)

    @_handle.register
    async def _(
        self, message: messages.LeaseRequest, channel: Channel
    ) -> Message | None:
        answer = await self._replica.ask(
            requests.AcquireLease(message.name, message.holder)
        )
        return _create_lease_reply(answer)

    @_handle.register
    async def _(
        self, message: messages.LeaseRelease, channel: Channel
    ) -> Message | None:
        answer = await self._replica.ask(
            requests.RelinquishLease(message.name, message.holder, message.fencing)
        )
        return _create_lease_reply(answer)


def _create_lease_reply(answer: LeaseAnswer) -> messages.LeaseReply:
    lease = answer.lease
    return messages.LeaseReply(
        answer.granted, lease.holder, lease.fencing, lease.duration_s
    )


def _parse_lease_reply(name: str, reply: Message) -> LeaseAnswer:
    if isinstance(reply, messages.LeaderHint):
        raise NotLeaderError(reply.leader)
    if not isinstance(reply, messages.LeaseReply):
        raise PeerError(
            f"unexpected reply {type(reply).__name__}", Verdict.MAY_HAVE_RUN
        )
    lease = LeaseState(
        name=name,
        holder=reply.holder,
        fencing=reply.fencing,
        duration_s=reply.duration_s,
        version=0,
    )
    return LeaseAnswer(granted=reply.granted, lease=lease)
