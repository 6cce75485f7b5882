"""The member of one host: probes, suspicions, gossip and anti-entropy."""

import math
import random

import msgspec

from buckthorndeal.membership._corrections import CorrectionLimit
from buckthorndeal.membership._handlers import handle_message
from buckthorndeal.membership._messages import (
    Digest,
    Gossip,
    Outgoing,
    Ping,
    PingRequest,
)
from buckthorndeal.membership._options import MembershipOptions
from buckthorndeal.membership._probing import Probe, ProbeSchedule
from buckthorndeal.membership._table import (
    PRESENT_STATES,
    HostRecord,
    HostState,
    HostTable,
    Rumor,
    RumorQueue,
    get_state,
    measure_rumor,
)
from buckthorndeal.wire import Message

# Key of the address of this protocol in `HostRecord.addresses`.
PURPOSE = "membership"
HELPER_COUNT = 3
LOCAL_FANOUT = 3
REMOTE_FANOUT = 1
LEAVE_FANOUT = 8
# Transmissions of a rumor per binary logarithm of the number of members. With 1,
# the crash of 4 of 30 hosts took more than 3 s to reach everyone in 5 of 100 runs;
# with 2, in none.
RETRANSMIT_FACTOR = 2
# A tick that is later than this means that the process was stalled. Acknowledgements
# may be waiting unread, so deadlines are extended before a host is suspected.
STALL_THRESHOLD_S = 0.1


class Membership:
    """The member of one host.

    Parameters
    ----------
    own : HostRecord
        Record of this host. Its incarnation is the wall-clock time of the start in
        milliseconds, so that the record of a restarted host replaces the old one.
    seeds : tuple of str
        ``address:port`` of hosts to contact first.
    rng : random.Random
        Source of randomness.
    now_s : float
        Monotonic time in seconds.
    options : MembershipOptions
        Intervals and timeouts.
    """

    def __init__(
        self,
        own: HostRecord,
        seeds: tuple[str, ...],
        rng: random.Random,
        now_s: float,
        options: MembershipOptions,
    ) -> None:
        measure_rumor(own)
        self._options = options
        self.own_host = own.host
        self._rng = rng
        self.table = HostTable(own)
        self._schedule = ProbeSchedule(self.table, own.host, rng)
        self._rumor_queue = RumorQueue()
        self._rumor_queue.add(own)
        self._seeds = tuple(s for s in seeds if s != own.addresses[PURPOSE])
        self._sequence = rng.randrange(1 << 30)
        self.probes: dict[int, Probe] = {}
        self._suspicion_deadlines_s: dict[str, float] = {}
        self._correction_limit = CorrectionLimit(options.min_correction_interval_s)
        self._changes: list[HostRecord] = []
        self._outgoing: list[Outgoing] = []
        self._next_probe_s = now_s + rng.random() * options.probe_interval_s
        self._next_sync_s = now_s
        self._push_due_s: float | None = None
        self._last_push_s = now_s - options.min_push_interval_s
        self._joining = bool(self._seeds)

    @property
    def own(self) -> HostRecord:
        """Record of this host."""
        return self.table.records[self.own_host]

    @property
    def next_due_s(self) -> float:
        """Monotonic time at which `tick` has to be called next."""
        due_s = min(self._next_probe_s, self._next_sync_s)
        if self._push_due_s is not None:
            due_s = min(due_s, self._push_due_s)
        for probe in self.probes.values():
            due_s = min(due_s, probe.helpers_due_s, probe.deadline_s)
        return min([due_s, *self._suspicion_deadlines_s.values()])

    def get_record(self, host: str) -> HostRecord | None:
        """Return the record of `host`, or None."""
        return self.table.records.get(host)

    def list_records(self, states: tuple[str, ...] = ("alive",)) -> list[HostRecord]:
        """Return the records in `states`, including that of this host.

        Requests are sent only to hosts that are alive, not to draining or
        suspected ones.
        """
        return [r for r in self.table.records.values() if r.state in states]

    def take_changes(self) -> list[HostRecord]:
        """Return the records changed since the last call, oldest first."""
        changes, self._changes = self._changes, []
        return changes

    def preload(self, records: list[HostRecord], now_s: float) -> None:
        """Store records without gossiping about them, as after a restart."""
        for record in records:
            if self.table.merge(record, now_s) is not None:
                self._schedule.insert(record.host)
                self._joining = False

    def drain(self, now_s: float) -> list[Outgoing]:
        """Announce that this host is draining."""
        self._update_own("draining", self.own.incarnation + 1, now_s)
        return self._take_outgoing()

    def leave(self, now_s: float) -> list[Outgoing]:
        """Announce that this host leaves; after this it sends nothing more."""
        self._update_own("left", self.own.incarnation, now_s)
        targets = self._schedule.choose_gossip_targets(LEAVE_FANOUT, REMOTE_FANOUT)
        addresses = {record.addresses[PURPOSE] for record in targets}
        for address in addresses.union(self._seeds):
            self.queue_message(address, Gossip(self.take_rumors(get_state(self.own))))
        return self._take_outgoing()

    def receive(
        self, message: Message, sender: str, source: str, now_s: float
    ) -> list[Outgoing]:
        """Handle a datagram and return the messages to send.

        Parameters
        ----------
        message : Message
            One of `MEMBERSHIP_MESSAGES`.
        sender : str
            Authenticated name of the sender.
        source : str
            ``address:port`` of the sender.
        now_s : float
            Monotonic time in seconds.
        """
        if sender == self.own_host or self.own.state == "left":
            return []
        for rumor in getattr(message, "rumors", ()):
            self.apply_rumor(rumor, source, now_s)
        self._correct_sender(sender, source, now_s)
        handle_message(message, self, source, now_s)
        return self._take_outgoing()

    def tick(self, now_s: float) -> list[Outgoing]:
        """Run the timers that are due and return the messages to send."""
        if self.own.state == "left":
            return []
        late_s = now_s - self.next_due_s
        if late_s > STALL_THRESHOLD_S:
            self._extend_deadlines(late_s)
        self._advance_probes(now_s)
        self._expire_suspicions(now_s)
        if now_s >= self._next_probe_s:
            self._next_probe_s = now_s + self._options.probe_interval_s
            self.start_probe(self._schedule.choose_target(), now_s)
        if now_s >= self._next_sync_s:
            self._start_sync(now_s)
        if self._push_due_s is not None and now_s >= self._push_due_s:
            self._push_rumors(now_s)
        return self._take_outgoing()

    def _extend_deadlines(self, late_s: float) -> None:
        for probe in self.probes.values():
            probe.helpers_due_s += late_s
            probe.deadline_s += late_s
        for host in self._suspicion_deadlines_s:
            self._suspicion_deadlines_s[host] += late_s

    def _take_outgoing(self) -> list[Outgoing]:
        out, self._outgoing = self._outgoing, []
        return out

    def queue_message(self, address: str, message: Message) -> None:
        """Queue `message` for the member at `address`."""
        self._outgoing.append(Outgoing(address, message))

    def _send_to(self, record: HostRecord, message: Message) -> None:
        self.queue_message(record.addresses[PURPOSE], message)

    def take_rumors(self, first: Rumor | None = None) -> tuple[Rumor, ...]:
        """Return the rumors to piggyback on the next message."""
        size = len(self.table.records)
        limit = math.ceil(RETRANSMIT_FACTOR * math.log2(size + 1))
        return self._rumor_queue.take(limit, first)

    # Records

    def _update_own(self, state: str, incarnation: int, now_s: float) -> None:
        record = msgspec.structs.replace(self.own, state=state, incarnation=incarnation)
        self.table.put(record, now_s)
        self._queue_rumor(record, now_s)

    def apply_rumor(self, rumor: Rumor, source: str, now_s: float) -> None:
        """Merge a rumor from the address `source` into the table."""
        if rumor.host == self.own_host:
            self._refute(rumor, now_s)
            return
        is_new = rumor.host not in self.table.records
        record = self.table.merge(rumor, now_s)
        if record is None:
            self._correct_rumor(rumor, source, now_s)
            return
        if is_new:
            self._schedule.insert(record.host)
        self._record_change(record, rumor, now_s)

    def _record_change(self, record: HostRecord, rumor: Rumor, now_s: float) -> None:
        if record.state == "suspect":
            deadline_s = now_s + self._options.suspicion_timeout_s
            self._suspicion_deadlines_s[record.host] = deadline_s
        else:
            self._suspicion_deadlines_s.pop(record.host, None)
        self._joining = False
        self._queue_rumor(rumor, now_s)
        self._changes.append(record)

    def _queue_rumor(self, rumor: Rumor, now_s: float) -> None:
        self._rumor_queue.add(rumor)
        if self._push_due_s is None:
            self._push_due_s = max(
                now_s, self._last_push_s + self._options.min_push_interval_s
            )

    def _refute(self, rumor: Rumor, now_s: float) -> None:
        """Refute a wrong rumor about this host with a higher incarnation."""
        own = self.own
        is_same = rumor.incarnation == own.incarnation and rumor.state == own.state
        if rumor.incarnation < own.incarnation or is_same:
            return
        if rumor.incarnation > own.incarnation or rumor.state not in (
            "alive",
            "draining",
        ):
            self._update_own(own.state, rumor.incarnation + 1, now_s)

    def _correct_rumor(self, rumor: Rumor, source: str, now_s: float) -> None:
        """Answer a rumor that a host is present if it is dead or has left here.

        If the host has left, the source is told so. If it is dead here, it is probed,
        so that it refutes its death; gossiping that it is dead would take hosts out
        of use after a partition.
        """
        known = self.table.records.get(rumor.host)
        if known is None or known.state in PRESENT_STATES:
            return
        if rumor.state in PRESENT_STATES and self._correction_limit.allow(
            rumor.host, now_s
        ):
            if known.state == "left":
                self.queue_message(source, Gossip((get_state(known),)))
            else:
                self.start_probe(known, now_s)

    def _correct_sender(self, sender: str, source: str, now_s: float) -> None:
        """Tell a sender its state if it is not alive here, so that it can refute it."""
        known = self.table.records.get(sender)
        if known is None or known.state in ("alive", "draining"):
            return
        if self._correction_limit.allow(sender, now_s):
            self.queue_message(source, Gossip((get_state(known),)))

    # Probes

    def start_probe(
        self,
        target: HostRecord | None,
        now_s: float,
        requester: tuple[str, int] | None = None,
    ) -> None:
        """Ping `target`, on behalf of `requester` (address, sequence) if given."""
        if target is None:
            return
        options = self._options
        is_local = target.region == self.own.region
        wait_s = (
            options.local_ack_timeout_s if is_local else options.remote_ack_timeout_s
        )
        helpers_due_s = math.inf if requester else now_s + wait_s
        deadline_s = now_s + wait_s + options.indirect_ack_timeout_s
        self._sequence += 1
        self.probes[self._sequence] = Probe(
            target.host, target.incarnation, helpers_due_s, deadline_s, requester
        )
        disputed = None if target.state in ("alive", "draining") else get_state(target)
        ping = Ping(self._sequence, target.host, self.take_rumors(disputed))
        self._send_to(target, ping)

    def _advance_probes(self, now_s: float) -> None:
        for sequence, probe in list(self.probes.items()):
            target = self.table.records.get(probe.target)
            if now_s >= probe.deadline_s:
                del self.probes[sequence]
                if probe.requester is None and target is not None:
                    self._suspect(target, probe.incarnation, now_s)
            elif now_s >= probe.helpers_due_s:
                probe.helpers_due_s = math.inf
                self._ask_helpers(sequence, target)

    def _ask_helpers(self, sequence: int, target: HostRecord | None) -> None:
        if target is None or target.state not in PRESENT_STATES:
            return
        for helper in self._schedule.choose_helpers(target, HELPER_COUNT):
            request = PingRequest(sequence, target.host, self.take_rumors())
            self._send_to(helper, request)

    def _suspect(self, target: HostRecord, incarnation: int, now_s: float) -> None:
        rumor = HostState(target.host, incarnation, "suspect")
        if target.incarnation == incarnation and target.state in ("alive", "draining"):
            self.apply_rumor(rumor, "", now_s)
            self._send_to(target, Gossip((rumor,)))
            # Failure domains and links to a region fail as a whole, so hosts that
            # may have failed too are probed at once.
            for related in self._schedule.choose_related_hosts(target):
                self.start_probe(related, now_s)

    def _expire_suspicions(self, now_s: float) -> None:
        for host, deadline_s in list(self._suspicion_deadlines_s.items()):
            if now_s >= deadline_s:
                incarnation = self.table.records[host].incarnation
                self.apply_rumor(HostState(host, incarnation, "dead"), "", now_s)

    def _push_rumors(self, now_s: float) -> None:
        self._push_due_s = None
        self._last_push_s = now_s
        targets = self._schedule.choose_gossip_targets(LOCAL_FANOUT, REMOTE_FANOUT)
        for record in targets:
            rumors = self.take_rumors()
            if rumors:
                self._send_to(record, Gossip(rumors))

    # Anti-entropy

    def _start_sync(self, now_s: float) -> None:
        delay_s = (
            self._options.probe_interval_s
            if self._joining
            else self._options.sync_interval_s
        )
        self._next_sync_s = now_s + delay_s * self._rng.uniform(0.8, 1.2)
        self.table.drop_tombstones(now_s)
        self._correction_limit.expire(now_s)
        own = self.own if self._joining else get_state(self.own)
        digest = Digest(tuple(self.table.digests), (own,))
        for address in self._choose_sync_addresses():
            self.queue_message(address, digest)

    def _choose_sync_addresses(self) -> list[str]:
        if self._joining:
            return list(self._seeds)
        dead = [r for r in self.table.list_tombstones() if r.state == "dead"]
        addresses = [record.addresses[PURPOSE] for record in dead] + list(self._seeds)
        if addresses and self._rng.random() < 0.5:
            return [self._rng.choice(addresses)]
        record = self._schedule.choose_random(
            self._schedule.choose_gossip_targets(1, 1)
        )
        return [] if record is None else [record.addresses[PURPOSE]]
