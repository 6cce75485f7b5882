"""Task that runs the consensus replica and the state machine of a control host."""

from collections.abc import Awaitable, Callable, Mapping
from functools import singledispatchmethod

from buckthorndeal.consensus import (
    FixedSizePolicy,
    Replica,
)
from buckthorndeal.control import _requests as requests
from buckthorndeal.control._models import MemberBody
from buckthorndeal.errors import (
    ForbiddenError,
    NotLeaderError,
    RequestError,
)
from buckthorndeal.leases import LeaseDenied, LeaseGranter
from buckthorndeal.mailbox import Envelope
from buckthorndeal.replication import BaseReplicaTask, SendFrame
from buckthorndeal.statemachine import (
    Answer,
    ChangeView,
    CreateDocument,
    LeaseAnswer,
    ReleaseLease,
    RotateKey,
    StateMachine,
)


class ReplicaTask(BaseReplicaTask):
    """Replicates document, leases and ledger views; see `BaseReplicaTask`.

    Parameters
    ----------
    replica : Replica
        Replica of the consensus log.
    machine : StateMachine
        Empty state machine.
    granter : LeaseGranter
        Decides on lease requests while this host is the leader.
    policy : FixedSizePolicy
        Chooses membership changes while this host is the leader.
    initial_texts : mapping of str to str
        Text of each section that an empty document is created with.
    send : callable
        Coroutine function that sends a frame to another control host; the frame may
        get lost.
    notify : callable
        Coroutine function called when this host has applied a newer document.
    clock : callable
        Returns monotonic seconds.
    wall_clock : callable
        Returns seconds since the Unix epoch.
    """

    def __init__(
        self,
        replica: Replica,
        machine: StateMachine,
        granter: LeaseGranter,
        policy: FixedSizePolicy,
        initial_texts: Mapping[str, str],
        send: SendFrame,
        notify: Callable[[], Awaitable[None]],
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        super().__init__(replica, machine, policy, send, clock)
        self._granter = granter
        self._initial_texts = initial_texts
        self._notify = notify
        self._wall_clock = wall_clock
        self._published_revision = 0

    @singledispatchmethod
    async def _handle(self, message: object, envelope: Envelope) -> None:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_handle.register
    async def _(self, message: requests.ChangeRequest, envelope: Envelope) -> None:
        self._require_confirmed()
        team = self._machine.document.find_team(message.key_hash)
        if team is None:
            raise ForbiddenError("the key is not valid")
        command = self._machine.create_change(
            team,
            message.section,
            message.base_revision,
            message.change_id,
            message.text,
            self._wall_clock(),
        )
        answer = self._machine.find_answer(command.change_id, command.digest)
        if answer is not None:
            await envelope.reply(answer)
            return
        await self._propose(command, envelope)

    @_handle.register
    async def _(self, message: requests.RotationRequest, envelope: Envelope) -> None:
        self._require_confirmed()
        command = RotateKey(
            change_id=message.change_id,
            time_s=self._wall_clock(),
            old_hash=message.old_hash,
            new_hash=message.new_hash,
        )
        if not self._machine.accepts_rotation(command):
            raise ForbiddenError("the key is not valid")
        await self._propose(command, envelope)

    @_handle.register
    async def _(self, message: requests.AcquireLease, envelope: Envelope) -> None:
        self._require_leader()
        lease = self._machine.get_lease(message.name)
        command = self._granter.handle_request(lease, message.holder, self._clock())
        if isinstance(command, LeaseDenied):
            await envelope.reply(LeaseAnswer(granted=False, lease=lease))
            return
        await self._propose(command, envelope)

    @_handle.register
    async def _(self, message: requests.RelinquishLease, envelope: Envelope) -> None:
        command = ReleaseLease(
            name=message.name, holder=message.holder, fencing=message.fencing
        )
        await self._propose(command, envelope)

    @_handle.register
    async def _(self, message: ChangeView, envelope: Envelope) -> None:
        await self._propose(message, envelope)

    @_handle.register
    async def _(self, message: requests.ReadState, envelope: Envelope) -> None:
        now_s = self._clock()
        leader = self._replica.leader
        confirmed = self._replica.has_lease(now_s)
        if message.confirmed:
            self._require_confirmed()
        members = [
            MemberBody(
                host=member.replica.host,
                incarnation=f"{member.replica.incarnation:016x}",
                standing=member.standing,
                silent_s=round(member.silent_s, 3),
            )
            for member in self._replica.list_members(now_s)
        ]
        await envelope.reply(
            requests.ControlState(
                role=self._replica.role,
                leader=leader.host if leader else None,
                term=self._replica.term,
                is_confirmed=confirmed,
                document=self._machine.document,
                leases=self._machine.leases,
                views=self._machine.views,
                members=members,
            )
        )

    @_handle.register
    async def _(self, message: requests.ReadHistory, envelope: Envelope) -> None:
        await envelope.reply(self._machine.list_history(message.section, message.limit))

    @_handle.register
    async def _(self, message: requests.ReadChanges, envelope: Envelope) -> None:
        entries = self._machine.list_changes_after(message.revision)
        await envelope.reply(requests.ChangeList(self._machine.document, entries))

    def _require_confirmed(self) -> None:
        """Raise unless this host is a leader with a valid lease and a document.

        Keys must not be checked against a state that may be out of date.
        """
        self._require_leader()
        if not self._replica.has_lease(self._clock()):
            raise NotLeaderError(None)
        if not self._machine.document.revision:
            raise RequestError(
                "not_ready", 503, "the document has no content yet", retry_after_s=1.0
            )

    async def _publish(self) -> None:
        revision = self._machine.document.revision
        if revision != self._published_revision:
            self._published_revision = revision
            await self._notify()

    def _observe(self, answer: Answer | None) -> None:
        if isinstance(answer, LeaseAnswer) and answer.granted:
            self._granter.record_applied(answer.lease.name, self._clock())

    async def _handle_role_change(self, role: str, term: int) -> None:
        if role == "leader":
            self._granter.start_leading(self._clock())
            await self._propose_initial_document()
        else:
            self._granter.stop_leading()

    async def _propose_initial_document(self) -> None:
        """Propose the initial document, which is applied only to an empty one."""
        if self._machine.document.revision or not self._initial_texts:
            return
        command = CreateDocument(
            time_s=self._wall_clock(), sections=dict(self._initial_texts)
        )
        await self._propose(command, None)
