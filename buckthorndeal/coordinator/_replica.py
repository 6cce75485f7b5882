"""Task that owns the replica of the configuration and the evacuations."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from functools import singledispatchmethod

from buckthorndeal._configuration_content import decompress_content
from buckthorndeal.consensus import (
    ElasticPolicy,
    EntryKind,
    Location,
    ProposalId,
    Replica,
    VoteKept,
)
from buckthorndeal.coordinator._requests import (
    ChangeEvacuation,
    ClusterState,
    ReadConfiguration,
    ReadPosition,
    RemoveHost,
    StoreConfiguration,
)
from buckthorndeal.errors import (
    MembershipChangeError,
    NotLeaderError,
    RequestError,
    Verdict,
)
from buckthorndeal.limitreports import create_limit_report
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Envelope
from buckthorndeal.metrics import Metrics
from buckthorndeal.replication import BaseReplicaTask, SendFrame
from buckthorndeal.statemachine import (
    Answer,
    ConfigurationAnswer,
    SetEvacuation,
    StateMachine,
    decode_command,
)

# A replaced host counts as failed until it votes, so membership is repaired often.
REPAIR_INTERVAL_S = 0.25
# Failure domains that may be evacuated at once. Each is kept on disk, and sent to all
# entry hosts, until its evacuation ends.
MAX_EVACUATIONS = 1_024

Publish = Callable[[ClusterState], Awaitable[None]]


@dataclass(frozen=True)
class _Order:
    """Start or end of an evacuation that was proposed at a log index."""

    index: int
    active: bool


class ReplicaTask(BaseReplicaTask):
    """Runs the replica; `BaseReplicaTask` describes the other parameters.

    Parameters
    ----------
    publish : callable
        Coroutine function called with each new `ClusterState`.
    metrics : Metrics
        Metrics of the coordinator.
    locations : mapping of str to Location
        Locations of the coordinators that are known at each moment.
    """

    def __init__(
        self,
        replica: Replica,
        machine: StateMachine,
        policy: ElasticPolicy,
        send: SendFrame,
        publish: Publish,
        clock: Callable[[], float],
        metrics: Metrics,
        locations: Mapping[str, Location],
    ) -> None:
        super().__init__(replica, machine, policy, send, clock, REPAIR_INTERVAL_S)
        self._locations = locations
        self._publish_state = publish
        self._metrics = metrics
        self._published: ClusterState | None = None
        # Last order on each failure domain while this replica leads, the oldest first.
        self._orders: dict[str, _Order] = {}
        self._refusals = create_limit_report(
            metrics,
            "evacuations_refused",
            "evacuation_refused",
            "Orders to evacuate a failure domain beyond the limit.",
            clock,
        )
        self._snapshot_state: tuple[int | None, frozenset[str]] | None = None

    @singledispatchmethod
    async def _handle(self, message: object, envelope: Envelope) -> None:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_handle.register
    async def _(self, message: StoreConfiguration, envelope: Envelope) -> None:
        self._require_leader()
        stored = self._machine.configuration
        if self._has_lease() and stored is not None:
            if stored.version >= message.command.version:
                answer = ConfigurationAnswer(version=stored.version, changed=False)
                await envelope.reply(answer)
                return
        await self._propose(message.command, envelope)

    @_handle.register
    async def _(self, message: ChangeEvacuation, envelope: Envelope) -> None:
        self._require_leader()
        self._check_current(message)
        self._check_room(message)
        command = SetEvacuation(
            failure_domain=message.failure_domain, active=message.active
        )
        self._record_order(message)
        await self._propose(command, envelope)

    @_handle.register
    async def _(self, message: ReadPosition, envelope: Envelope) -> None:
        self._require_leader()
        await envelope.reply(ProposalId(self._replica.term, self._replica.last_index))

    @_handle.register
    async def _(self, message: ReadConfiguration, envelope: Envelope) -> None:
        if message.linearizable:
            self._require_leader()
            if not self._has_lease():
                raise NotLeaderError(None)
        await envelope.reply(self._machine.configuration)

    @_handle.register
    async def _(self, message: RemoveHost, envelope: Envelope) -> None:
        self._require_leader()
        kept = await self._remove_voter(message.host)
        self._report_departure(message.host, kept)
        await envelope.reply(kept is None)

    async def _remove_voter(self, host: str) -> VoteKept | None:
        """Remove a voter whose host stops; return why it keeps its vote, if it does."""
        voters = len(self._replica.membership.voters)
        # A leader that shuts down keeps its vote; the other voters elect a new leader.
        if host == self._replica.identity.host:
            return VoteKept("leads", voters)
        now_s = self._clock()
        members = self._replica.list_members(now_s)
        change = self._policy.choose_removal(host, members, self._locations)
        if isinstance(change, VoteKept):
            return change
        try:
            await self._process(self._replica.propose_membership(change, now_s))
        except MembershipChangeError as error:
            log_event("membership_change_refused", reason=str(error))
            return VoteKept("membership_changes", voters)
        return None

    def _report_departure(self, host: str, kept: VoteKept | None) -> None:
        reason = kept.reason if kept is not None else ""
        self._metrics.count("host_departures", vote_kept=reason or "no")
        log_event(
            "host_leaves",
            peer=host,
            removed=kept is None,
            reason=reason,
            voters=len(self._replica.membership.voters),
            planned=self._policy.planned_voters,
        )

    def find_reason_to_vote(self) -> VoteKept | None:
        """Return why this host must not ask to be removed as it stops, or None.

        A leader of an older build would remove it all the same.
        """
        voters = [each.host for each in self._replica.membership.voters]
        own = self._replica.identity.host
        if own not in voters:
            return None
        return self._policy.find_reason_to_vote(own, voters, self._locations)

    def _check_current(self, order: ChangeEvacuation) -> None:
        """Raise `RequestError` if the opposite order may have been given since."""
        after = order.after
        if after is None:
            return
        last = self._orders.get(order.failure_domain)
        undoes = last is not None and last.active != order.active
        if after.term == self._replica.term and not (
            undoes and last.index > after.index
        ):
            return
        log_event(
            "order_outdated",
            failure_domain=order.failure_domain,
            active=order.active,
            after=after.index,
            last=last.index if last else None,
        )
        reason = f"another order on {order.failure_domain} may be newer"
        raise RequestError("order_outdated", 503, reason, Verdict.NOT_RUN)

    def _check_room(self, order: ChangeEvacuation) -> None:
        """Raise `RequestError` if too many failure domains would be evacuated."""
        if not order.active or order.failure_domain in self._machine.evacuated:
            return
        evacuated = self._machine.evacuated | self._find_pending_evacuations()
        if order.failure_domain in evacuated or len(evacuated) < MAX_EVACUATIONS:
            return
        self._refusals.record(
            failure_domain=order.failure_domain, evacuated=len(evacuated)
        )
        reason = f"{len(evacuated)} failure domains are evacuated"
        raise RequestError("too_many_evacuations", 503, reason, Verdict.NOT_RUN)

    def _record_order(self, order: ChangeEvacuation) -> None:
        """Remember the last order on a failure domain; the oldest is forgotten."""
        self._orders.pop(order.failure_domain, None)
        if len(self._orders) >= MAX_EVACUATIONS:
            del self._orders[next(iter(self._orders))]
        position = self._replica.last_index + 1
        self._orders[order.failure_domain] = _Order(position, order.active)

    def _is_compaction_due(self) -> bool:
        """Return whether the log should be compacted into a snapshot.

        Besides the usual limits, every change of the configuration or the evacuations
        makes it due: a restarted host acts on its snapshot until a leader is elected,
        so the snapshot must not hold an older state.
        """
        state = (self._get_version(), self._machine.evacuated)
        if state != self._snapshot_state:
            self._snapshot_state = state
            return True
        return super()._is_compaction_due()

    def read_content(self) -> bytes:
        """Return the configuration as the operator wrote it; empty if there is none.

        Raises
        ------
        ConfigurationError
            If what is stored cannot be read.
        """
        stored = self._machine.configuration
        return decompress_content(stored.content) if stored else b""

    def get_leadership(self) -> tuple[int | None, str | None]:
        """Return the term in which this replica surely leads, and the known leader.

        The term is None unless this replica holds the lease of the leader, so that no
        other one leads.
        """
        leader = self._replica.leader
        term = self._replica.term if self._has_lease() else None
        return term, leader.host if leader else None

    def _get_version(self) -> int | None:
        stored = self._machine.configuration
        return stored.version if stored else None

    def _has_lease(self) -> bool:
        return self._replica.has_lease(self._clock())

    def _observe(self, answer: Answer | None) -> None:
        del answer

    async def _handle_role_change(self, role: str, term: int) -> None:
        if role != "leader":
            self._orders.clear()
        self._metrics.set_gauge("term", term)
        self._metrics.set_gauge("leads", role == "leader")

    async def _publish(self) -> None:
        state = self._describe_state()
        if state != self._published:
            self._published = state
            self._metrics.set_gauge("configuration_version", state.version or 0)
            self._metrics.set_gauge("voters", len(state.voters))
            self._metrics.set_gauge("voters_planned", self._policy.planned_voters)
            await self._publish_state(state)

    def _find_pending_evacuations(self) -> frozenset[str]:
        """Return the evacuations that start in uncommitted entries.

        The leader may have acknowledged them, although this replica does not know of
        the commit, and does not learn of it after a restart before there is a leader.
        Until an end is committed, an evacuation holds. The index of such an entry is
        not published: another leader may replace the entry, and reach that index later.
        """
        pending = set()
        for entry in self._replica.list_uncommitted():
            if entry.kind is not EntryKind.DATA:
                continue
            command = decode_command(entry.data)
            if isinstance(command, SetEvacuation) and command.active:
                pending.add(command.failure_domain)
        return frozenset(pending)

    def _describe_state(self) -> ClusterState:
        machine = self._machine
        leader = self._replica.leader
        membership = self._replica.membership
        return ClusterState(
            machine.applied_index,
            self._get_version(),
            machine.evacuated,
            leader.host if leader else None,
            tuple(each.host for each in membership.voters),
            tuple(each.host for each in membership.members),
            self._find_pending_evacuations(),
        )
