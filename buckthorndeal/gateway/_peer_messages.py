"""Messages that other processes send over this host's links, passed on to its tasks."""

from functools import singledispatchmethod

from buckthorndeal.errors import PeerError, Verdict
from buckthorndeal.fleet import (
    Acknowledged,
    ClusterNotice,
    ControlStatus,
    EndpointHeartbeats,
    EntryHostChanges,
    EntryHosts,
    RelayEndpoint,
    RelayLeave,
    check_incarnation,
    check_record,
    select_valid_records,
)
from buckthorndeal.gateway._control_messages import InitialStateReceived, NoticeReceived
from buckthorndeal.gateway._fleet_messages import EndpointLeft, HeartbeatsReceived
from buckthorndeal.gateway._shared_state import convert_shared_state
from buckthorndeal.mailbox import Mailbox
from buckthorndeal.peers import Channel
from buckthorndeal.wire import Message


class PeerMessageHandler:
    """Checks each message and passes it on to the task that it concerns.

    Parameters
    ----------
    dispatch : Mailbox
        Mailbox of the dispatch task, which knows the endpoints.
    control : Mailbox
        Mailbox of the control task, which knows coordinators and entry hosts.
    """

    def __init__(self, dispatch: Mailbox, control: Mailbox) -> None:
        self._dispatch = dispatch
        self._control = control

    async def handle(self, message: Message, channel: Channel) -> Message | None:
        """Pass a message on; return the reply to it, if it needs one.

        Raises
        ------
        PeerError
            If this host does not expect the message.
        """
        return await self._handle(message, channel.host)

    @singledispatchmethod
    async def _handle(self, message: Message, host: str) -> Message | None:
        news = convert_shared_state(message)
        if news is None:
            raise PeerError(f"unexpected {type(message).__name__}", Verdict.NOT_RUN)
        await self._dispatch.send(news)
        return Acknowledged()

    @_handle.register
    async def _(self, message: RelayEndpoint, host: str) -> Message | None:
        check_record(message.record)
        await self._dispatch.ask(HeartbeatsReceived((message.record,)))
        return Acknowledged()

    @_handle.register
    async def _(self, message: RelayLeave, host: str) -> Message | None:
        if message.incarnation is not None:
            check_incarnation(message.incarnation)
        await self._dispatch.ask(EndpointLeft(message.endpoint, message.incarnation))
        return Acknowledged()

    @_handle.register
    async def _(self, message: EndpointHeartbeats, host: str) -> Message | None:
        records = select_valid_records(message.records)
        await self._dispatch.send(
            HeartbeatsReceived(records, message.alive, message.versions)
        )
        if message.ends_initial_state:
            await self._control.send(InitialStateReceived(host))
        return None

    @_handle.register(ClusterNotice)
    @_handle.register(ControlStatus)
    @_handle.register(EntryHosts)
    @_handle.register(EntryHostChanges)
    async def _(self, message: Message, host: str) -> Message | None:
        await self._control.send(NoticeReceived(host, message))
        return None
