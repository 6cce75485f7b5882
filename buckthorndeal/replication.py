"""Base class of the tasks that run a Raft replica and its state machine."""

import abc
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Union

import msgspec

from buckthorndeal.consensus import (
    CONSENSUS_MESSAGES,
    ConsensusFrame,
    ConsensusMessage,
    ElasticPolicy,
    Entry,
    EntryKind,
    FixedSizePolicy,
    Output,
    ProposalId,
    Replica,
    ReplicaId,
)
from buckthorndeal.errors import (
    DECODING_ERRORS,
    ForbiddenError,
    MembershipChangeError,
    NotLeaderError,
    RequestError,
    Verdict,
)
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Envelope, create_mailbox
from buckthorndeal.statemachine import Answer, Command, StateMachine, encode_command

__all__ = ["BaseReplicaTask", "ConsensusReceived", "SendFrame"]

COMPACT_AFTER_ENTRIES = 128
# Parsing takes 0.18 us per character, so the replay after a restart spends
# less than 0.4 s on it.
COMPACT_AFTER_CHARS = 2_000_000
REPAIR_INTERVAL_S = 1.0

SendFrame = Callable[[str, ConsensusFrame], Awaitable[None]]


@dataclass(frozen=True)
class ConsensusReceived:
    """An encoded consensus message that was received from the host `sender`."""

    data: bytes
    sender: str


class BaseReplicaTask(abc.ABC):
    """Runs one replica; other tasks communicate with it through its mailbox.

    Parameters
    ----------
    replica : Replica
        Replica of the log.
    machine : StateMachine
        Empty state machine.
    policy : FixedSizePolicy or ElasticPolicy
        Chooses membership changes while this host is the leader.
    send : callable
        Sends a frame to another replica's host; the frame may be lost.
    clock : callable
        Returns the monotonic time in seconds.
    repair_interval_s : float
        Time between two checks of the membership.
    """

    def __init__(
        self,
        replica: Replica,
        machine: StateMachine,
        policy: FixedSizePolicy | ElasticPolicy,
        send: SendFrame,
        clock: Callable[[], float],
        repair_interval_s: float = REPAIR_INTERVAL_S,
    ) -> None:
        self.mailbox = create_mailbox()
        self._replica = replica
        self._machine = machine
        self._policy = policy
        self._send = send
        self._clock = clock
        self._repair_interval_s = repair_interval_s
        # Proposals by log index, with the envelope to reply to.
        self._pending: dict[int, tuple[ProposalId, Envelope | None]] = {}
        self._repair_due_s = clock()
        self._compacted_index = 0
        self._compacted_chars = 0
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Union[CONSENSUS_MESSAGES])  # noqa: UP007

    async def run(self) -> None:
        """Handle messages and timers until cancelled."""
        if self._replica.snapshot is not None:
            self._machine.restore(self._replica.snapshot.data)
            self._record_compaction()
        while True:
            delay_s = self._replica.next_wakeup_s - self._clock()
            envelope = await self.mailbox.receive_within(delay_s)
            if envelope is not None:
                await self._handle_envelope(envelope)
            if self._clock() >= self._replica.next_wakeup_s:
                await self._process(self._replica.tick(self._clock()))
            await self._repair_membership()

    @abc.abstractmethod
    async def _handle(self, message: object, envelope: Envelope) -> None:
        """Handle a message of another task and reply to it."""

    @abc.abstractmethod
    async def _handle_role_change(self, role: str, term: int) -> None:
        """Handle a change of this replica's role."""

    @abc.abstractmethod
    async def _publish(self) -> None:
        """Notify other tasks of changes, after each step of the replica."""

    @abc.abstractmethod
    def _observe(self, answer: Answer | None) -> None:
        """Inspect the answer of an applied command."""

    async def _handle_envelope(self, envelope: Envelope) -> None:
        message = envelope.message
        try:
            if isinstance(message, ConsensusReceived):
                await self._receive(message)
            else:
                await self._handle(message, envelope)
        except (NotLeaderError, ForbiddenError, RequestError) as error:
            await envelope.fail(error)

    async def _receive(self, message: ConsensusReceived) -> None:
        try:
            decoded: ConsensusMessage = self._decoder.decode(message.data)
        except DECODING_ERRORS as error:
            log_event("consensus_message_refused", reason=str(error))
            return
        # The link has authenticated the host name; the incarnation is the one that the
        # sender claims.
        sender = ReplicaId(message.sender, decoded.source.incarnation)
        await self._process(self._replica.receive(decoded, sender, self._clock()))

    def _require_leader(self) -> None:
        if self._replica.role != "leader":
            leader = self._replica.leader
            raise NotLeaderError(leader.host if leader else None)

    async def _propose(self, command: Command, envelope: Envelope | None) -> None:
        try:
            data = encode_command(command)
        except (OverflowError, ValueError) as error:
            raise RequestError("bad_request", 400, str(error)) from error
        proposal, output = self._replica.propose(data, self._clock())
        self._pending[proposal.index] = (proposal, envelope)
        await self._process(output)

    async def _process(self, output: Output) -> None:
        if output.restored_snapshot is not None:
            self._machine.restore(output.restored_snapshot)
            self._record_compaction()
        for entry in output.committed:
            await self._apply(entry)
        for change in output.role_changes:
            await self._change_role(change.role, change.term, change.leader)
        for target, message in output.messages:
            frame = ConsensusFrame(self._encoder.encode(message))
            await self._send(target.host, frame)
        self._compact()
        await self._publish()

    async def _apply(self, entry: Entry) -> None:
        data = entry.data if entry.kind == EntryKind.DATA else b""
        answer = self._machine.apply(entry.index, data)
        self._observe(answer)
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
            await envelope.fail(_create_outcome_unknown("another leader took over"))

    async def _change_role(
        self, role: str, term: int, leader: ReplicaId | None
    ) -> None:
        leader_host = leader.host if leader else None
        log_event("control_role", role=role, term=term, leader=leader_host)
        if role != "leader":
            pending, self._pending = self._pending, {}
            for _, envelope in pending.values():
                if envelope is not None:
                    await envelope.fail(
                        _create_outcome_unknown("the leadership was lost")
                    )
        await self._handle_role_change(role, term)

    async def _repair_membership(self) -> None:
        now_s = self._clock()
        if self._replica.role != "leader" or now_s < self._repair_due_s:
            return
        self._repair_due_s = now_s + self._repair_interval_s
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
        if not self._is_compaction_due():
            return
        self._replica.compact(machine.applied_index, machine.snapshot())
        self._record_compaction()

    def _is_compaction_due(self) -> bool:
        entries = self._machine.applied_index - self._compacted_index
        chars = self._machine.parsed_chars - self._compacted_chars
        return entries >= COMPACT_AFTER_ENTRIES or chars >= COMPACT_AFTER_CHARS

    def _record_compaction(self) -> None:
        self._compacted_index = self._machine.applied_index
        self._compacted_chars = self._machine.parsed_chars


def _create_outcome_unknown(reason: str) -> RequestError:
    return RequestError(
        "outcome_unknown",
        503,
        f"{reason}; send the change again with the same change id",
        Verdict.MAY_HAVE_RUN,
        retry_after_s=1.0,
    )
