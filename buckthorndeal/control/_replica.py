"""Owner task of the replicated log and of the state machine."""

from collections.abc import Awaitable, Callable, Mapping
from functools import singledispatchmethod
from typing import Union

import msgspec

from buckthorndeal.consensus import (
    CONSENSUS_MESSAGES,
    ConsensusMessage,
    Entry,
    EntryKind,
    MembershipPolicy,
    Output,
    ProposalId,
    Replica,
    ReplicaId,
)
from buckthorndeal.control import _requests as requests
from buckthorndeal.control._messages import ConsensusFrame
from buckthorndeal.control._models import MemberBody
from buckthorndeal.errors import (
    ForbiddenError,
    MembershipChangeError,
    NotLeaderError,
    RequestError,
    Verdict,
)
from buckthorndeal.leases import LeaseDenied, LeaseGranter
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Envelope, create_mailbox
from buckthorndeal.statemachine import (
    Answer,
    ChangeView,
    Command,
    CreateDocument,
    LeaseAnswer,
    ReleaseLease,
    RotateKey,
    StateMachine,
    encode_command,
)

COMPACT_AFTER_ENTRIES = 128
# Parsing takes 0.18 us per character, so a restart parses for less than 0.4 s.
COMPACT_AFTER_CHARS = 2_000_000
REPAIR_INTERVAL_S = 1.0

SendFrame = Callable[[str, ConsensusFrame], Awaitable[None]]


class ReplicaTask:
    """Runs one replica; other tasks reach it through its mailbox.

    Parameters
    ----------
    replica : Replica
        Replica of the log.
    machine : StateMachine
        Empty state machine.
    granter : LeaseGranter
        Rules for leases while this host leads.
    policy : MembershipPolicy
        Repairs the membership while this host leads.
    initial_texts : mapping of str to str
        Sections for a document without content.
    send : callable
        Sends a frame to another control host; it may get lost.
    notify : callable
        Called when a newer document is in force on this host.
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
        policy: MembershipPolicy,
        initial_texts: Mapping[str, str],
        send: SendFrame,
        notify: Callable[[], Awaitable[None]],
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self.mailbox = create_mailbox()
        self._replica = replica
        self._machine = machine
        self._granter = granter
        self._policy = policy
        self._initial_texts = initial_texts
        self._send = send
        self._notify = notify
        self._clock = clock
        self._wall_clock = wall_clock
        self._pending: dict[int, tuple[ProposalId, Envelope | None]] = {}
        self._published_revision = 0
        self._repair_due_s = clock()
        self._compacted_index = 0
        self._compacted_chars = 0
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Union[CONSENSUS_MESSAGES])  # noqa: UP007

    async def run(self) -> None:
        """Handle messages and timers until cancelled."""
        if self._replica.snapshot is not None:
            self._machine.restore(self._replica.snapshot.data)
            self._note_compacted()
        while True:
            delay_s = self._replica.next_wakeup_s - self._clock()
            envelope = await self.mailbox.receive_within(delay_s)
            if envelope is not None:
                await self._answer(envelope)
            if self._clock() >= self._replica.next_wakeup_s:
                await self._process(self._replica.tick(self._clock()))
            await self._repair_membership()

    async def _answer(self, envelope: Envelope) -> None:
        try:
            await self._handle(envelope.message, envelope)
        except (NotLeaderError, ForbiddenError, RequestError) as error:
            await envelope.fail(error)

    @singledispatchmethod
    async def _handle(self, message: object, envelope: Envelope) -> None:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_handle.register
    async def _(self, message: requests.ConsensusReceived, envelope: Envelope) -> None:
        try:
            decoded: ConsensusMessage = self._decoder.decode(message.data)
        except msgspec.MsgspecError as error:
            log_event("consensus_message_refused", reason=str(error))
            return
        # The link has authenticated the host name; the incarnation is the sender's.
        sender = ReplicaId(message.sender, decoded.source.incarnation)
        await self._process(self._replica.receive(decoded, sender, self._clock()))

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
    async def _(self, message: requests.LeaseAsk, envelope: Envelope) -> None:
        self._require_leader()
        lease = self._machine.get_lease(message.name)
        command = self._granter.request(lease, message.holder, self._clock())
        if isinstance(command, LeaseDenied):
            await envelope.reply(LeaseAnswer(granted=False, lease=lease))
            return
        await self._propose(command, envelope)

    @_handle.register
    async def _(self, message: requests.LeaseEnd, envelope: Envelope) -> None:
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
                host=each.replica.host,
                incarnation=f"{each.replica.incarnation:016x}",
                standing=each.standing,
                silent_s=round(each.silent_s, 3),
            )
            for each in self._replica.list_members(now_s)
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
        """Refuse to check keys against a state that may be out of date."""
        self._require_leader()
        if not self._replica.has_lease(self._clock()):
            raise NotLeaderError(None)
        if not self._machine.document.revision:
            raise RequestError(
                "not_ready", 503, "the document has no content yet", retry_after_s=1.0
            )

    def _require_leader(self) -> None:
        if self._replica.role != "leader":
            leader = self._replica.leader
            raise NotLeaderError(leader.host if leader else None)

    async def _propose(self, command: Command, envelope: Envelope | None) -> None:
        data = encode_command(command)
        proposal, output = self._replica.propose(data, self._clock())
        self._pending[proposal.index] = (proposal, envelope)
        await self._process(output)

    async def _process(self, output: Output) -> None:
        if output.restored_snapshot is not None:
            self._machine.restore(output.restored_snapshot)
            self._note_compacted()
        for entry in output.committed:
            await self._apply(entry)
        for change in output.role_changes:
            await self._note_role(change.role, change.term, change.leader)
        for target, message in output.messages:
            frame = ConsensusFrame(self._encoder.encode(message))
            await self._send(target.host, frame)
        self._compact()
        revision = self._machine.document.revision
        if revision != self._published_revision:
            self._published_revision = revision
            await self._notify()

    async def _apply(self, entry: Entry) -> None:
        data = entry.data if entry.kind == EntryKind.DATA else b""
        answer = self._machine.apply(entry.index, data)
        if isinstance(answer, LeaseAnswer) and answer.granted:
            self._granter.observe(answer.lease.name, self._clock())
        proposal, envelope = self._pending.pop(entry.index, (None, None))
        if envelope is not None:
            await self._reply(entry, proposal, answer, envelope)

    async def _reply(
        self,
        entry: Entry,
        proposal: ProposalId,
        answer: Answer | None,
        envelope: Envelope,
    ) -> None:
        if entry.term == proposal.term:
            await envelope.reply(answer)
        else:
            await envelope.fail(_create_unknown("another leader took over"))

    async def _note_role(self, role: str, term: int, leader: ReplicaId | None) -> None:
        name = leader.host if leader else None
        log_event("control_role", role=role, term=term, leader=name)
        if role == "leader":
            self._granter.start_leading(self._clock())
            await self._create_document()
            return
        self._granter.stop_leading()
        pending, self._pending = self._pending, {}
        for _, envelope in pending.values():
            if envelope is not None:
                await envelope.fail(_create_unknown("the leadership was lost"))

    async def _create_document(self) -> None:
        """Propose the initial document; it counts only for an empty one."""
        if self._machine.document.revision or not self._initial_texts:
            return
        command = CreateDocument(
            time_s=self._wall_clock(), sections=dict(self._initial_texts)
        )
        await self._propose(command, None)

    async def _repair_membership(self) -> None:
        now_s = self._clock()
        if self._replica.role != "leader" or now_s < self._repair_due_s:
            return
        self._repair_due_s = now_s + REPAIR_INTERVAL_S
        change = self._policy.choose_change(self._replica.list_members(now_s))
        if change is None:
            return
        try:
            output = self._replica.propose_membership(change, now_s)
        except (MembershipChangeError, NotLeaderError) as error:
            log_event("membership_change_refused", reason=str(error))
            return
        log_event("membership_change", change=repr(change))
        await self._process(output)

    def _compact(self) -> None:
        machine = self._machine
        entries = machine.applied_index - self._compacted_index
        chars = machine.parsed_chars - self._compacted_chars
        if entries < COMPACT_AFTER_ENTRIES and chars < COMPACT_AFTER_CHARS:
            return
        self._replica.compact(machine.applied_index, machine.snapshot())
        self._note_compacted()

    def _note_compacted(self) -> None:
        self._compacted_index = self._machine.applied_index
        self._compacted_chars = self._machine.parsed_chars


def _create_unknown(reason: str) -> RequestError:
    return RequestError(
        "outcome_unknown",
        503,
        f"{reason}; send the change again with the same change id",
        Verdict.MAY_HAVE_RUN,
        retry_after_s=1.0,
    )
