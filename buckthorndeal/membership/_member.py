"""The member of one host: probes, suspicion, news and comparison of tables."""

import math
import random
from dataclasses import dataclass

import msgspec

from buckthorndeal.membership._handlers import handle_message
from buckthorndeal.membership._messages import (
    Digest,
    Gossip,
    Outgoing,
    Ping,
    PingRequest,
)
from buckthorndeal.membership._options import MembershipOptions
from buckthorndeal.membership._probing import ProbeSchedule
from buckthorndeal.membership._table import (
    PRESENT_STATES,
    HostRecord,
    HostState,
    HostTable,
    Rumor,
    RumorQueue,
    measure_rumor,
    shorten,
)
from buckthorndeal.wire import Message

PURPOSE = "membership"
HELPERS = 3
INFORMED_LOCAL = 3
INFORMED_REMOTE = 1
LEAVE_INFORMED = 8
# Transmissions of a rumor per binary logarithm of the number of members. With 1,
# the crash of 4 of 30 hosts took more than 3 s to reach everyone in 5 of 100 runs;
# with 2, in none.
RETRANSMIT_FACTOR = 2
# A tick that is so late means that this process stood still; answers may wait
# unread, so that deadlines are moved before anyone is suspected.
STALL_S = 0.1


@dataclass(slots=True)
class Probe:
    """A ping that is not answered yet."""

    target: str
    incarnation: int
    helpers_s: float
    end_s: float
    # For a probe on behalf of another host: its address and sequence number.
    asker: tuple[str, int] | None = None


class Membership:
    """The member of one host.

    Parameters
    ----------
    own : HostRecord
        Record of this host. Its incarnation is the wall clock at the start in
        milliseconds, so that a restarted host replaces its former record.
    seeds : tuple of str
        ``address:port`` of hosts to contact first.
    rng : random.Random
        Source of all random choices.
    now_s : float
        Monotonic time in seconds.
    options : MembershipOptions
        Times.
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
        self._queue = RumorQueue()
        self._queue.add(own)
        self._seeds = tuple(s for s in seeds if s != own.addresses[PURPOSE])
        self._sequence = rng.randrange(1 << 30)
        self.probes: dict[int, Probe] = {}
        self._suspicion_ends_s: dict[str, float] = {}
        self._verified_s: dict[str, float] = {}
        self._changes: list[HostRecord] = []
        self._out: list[Outgoing] = []
        self._next_probe_s = now_s + rng.random() * options.period_s
        self._next_sync_s = now_s
        self._push_due_s: float | None = None
        self._last_push_s = now_s - options.push_s
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
            due_s = min(due_s, probe.helpers_s, probe.end_s)
        return min([due_s, *self._suspicion_ends_s.values()])

    def get_record(self, host: str) -> HostRecord | None:
        """Return the record of `host`, or None."""
        return self.table.records.get(host)

    def list_records(self, states: tuple[str, ...] = ("alive",)) -> list[HostRecord]:
        """Return the records in `states`, this host's included.

        Work is only given to hosts that are alive: not to those that drain, and
        not to those that are suspected.
        """
        return [r for r in self.table.records.values() if r.state in states]

    def take_changes(self) -> list[HostRecord]:
        """Return the records changed since the last call, oldest first."""
        changes, self._changes = self._changes, []
        return changes

    def preload(self, records: list[HostRecord], now_s: float) -> None:
        """Store records without spreading them, as after a restart."""
        for record in records:
            if self.table.merge(record, now_s) is not None:
                self._schedule.insert(record.host)
                self._joining = False

    def drain(self, now_s: float) -> list[Outgoing]:
        """Announce that this host drains."""
        self._renew("draining", self.own.incarnation + 1, now_s)
        return self._take_out()

    def leave(self, now_s: float) -> list[Outgoing]:
        """Announce that this host leaves; it sends nothing afterwards."""
        self._renew("left", self.own.incarnation, now_s)
        informed = self._schedule.choose_informed(LEAVE_INFORMED, INFORMED_REMOTE)
        addresses = {record.addresses[PURPOSE] for record in informed}
        for address in addresses.union(self._seeds):
            self.reply(address, Gossip(self.take_rumors(shorten(self.own))))
        return self._take_out()

    def receive(
        self, message: Message, sender: str, source: str, now_s: float
    ) -> list[Outgoing]:
        """Handle a datagram.

        Parameters
        ----------
        message : Message
            One of `MEMBERSHIP_MESSAGES`.
        sender : str
            Authenticated name of the sender.
        source : str
            ``address:port`` that it came from.
        now_s : float
            Monotonic time in seconds.
        """
        if sender == self.own_host or self.own.state == "left":
            return []
        for rumor in getattr(message, "rumors", ()):
            self.hear(rumor, source, now_s)
        self._correct_sender(sender, source, now_s)
        handle_message(message, self, source, now_s)
        return self._take_out()

    def tick(self, now_s: float) -> list[Outgoing]:
        """Do what is due."""
        if self.own.state == "left":
            return []
        late_s = now_s - self.next_due_s
        if late_s > STALL_S:
            self._postpone(late_s)
        self._advance_probes(now_s)
        self._end_suspicions(now_s)
        if now_s >= self._next_probe_s:
            self._next_probe_s = now_s + self._options.period_s
            self.start_probe(self._schedule.choose(), now_s)
        if now_s >= self._next_sync_s:
            self._start_sync(now_s)
        if self._push_due_s is not None and now_s >= self._push_due_s:
            self._push(now_s)
        return self._take_out()

    def _postpone(self, late_s: float) -> None:
        for probe in self.probes.values():
            probe.helpers_s += late_s
            probe.end_s += late_s
        for host in self._suspicion_ends_s:
            self._suspicion_ends_s[host] += late_s

    def _take_out(self) -> list[Outgoing]:
        out, self._out = self._out, []
        return out

    def reply(self, address: str, message: Message) -> None:
        """Queue a message for an address."""
        self._out.append(Outgoing(address, message))

    def _send(self, record: HostRecord, message: Message) -> None:
        self.reply(record.addresses[PURPOSE], message)

    def take_rumors(self, first: Rumor | None = None) -> tuple[Rumor, ...]:
        """Return the rumors for the next datagram."""
        size = len(self.table.records)
        limit = math.ceil(RETRANSMIT_FACTOR * math.log2(size + 1))
        return self._queue.take(limit, first)

    # Records

    def _renew(self, state: str, incarnation: int, now_s: float) -> None:
        record = msgspec.structs.replace(self.own, state=state, incarnation=incarnation)
        self.table.put(record, now_s)
        self._spread(record, now_s)

    def hear(self, rumor: Rumor, source: str, now_s: float) -> None:
        """Handle a rumor that came from `source`."""
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
        self._note(record, rumor, now_s)

    def _note(self, record: HostRecord, rumor: Rumor, now_s: float) -> None:
        if record.state == "suspect":
            end_s = now_s + self._options.suspicion_s
            self._suspicion_ends_s[record.host] = end_s
        else:
            self._suspicion_ends_s.pop(record.host, None)
        self._joining = False
        self._spread(rumor, now_s)
        self._changes.append(record)

    def _spread(self, rumor: Rumor, now_s: float) -> None:
        self._queue.add(rumor)
        if self._push_due_s is None:
            self._push_due_s = max(now_s, self._last_push_s + self._options.push_s)

    def _refute(self, rumor: Rumor, now_s: float) -> None:
        own = self.own
        is_same = rumor.incarnation == own.incarnation and rumor.state == own.state
        if rumor.incarnation < own.incarnation or is_same:
            return
        if rumor.incarnation > own.incarnation or rumor.state not in (
            "alive",
            "draining",
        ):
            self._renew(own.state, rumor.incarnation + 1, now_s)

    def _correct_rumor(self, rumor: Rumor, source: str, now_s: float) -> None:
        """Settle a contradiction about a host that is gone by this table.

        A host that is dead here and alive elsewhere is asked itself. Telling the
        others that it is dead would take hosts out of use after a partition.
        """
        known = self.table.records.get(rumor.host)
        if known is None or known.state in PRESENT_STATES:
            return
        if rumor.state in PRESENT_STATES and self._may_verify(rumor.host, now_s):
            if known.state == "left":
                self.reply(source, Gossip((shorten(known),)))
            else:
                self.start_probe(known, now_s)

    def _correct_sender(self, sender: str, source: str, now_s: float) -> None:
        known = self.table.records.get(sender)
        if known is None or known.state in ("alive", "draining"):
            return
        if self._may_verify(sender, now_s):
            self.reply(source, Gossip((shorten(known),)))

    def _may_verify(self, host: str, now_s: float) -> bool:
        last_s = self._verified_s.get(host, -math.inf)
        if now_s - last_s < self._options.verify_s:
            return False
        self._verified_s[host] = now_s
        return True

    def _forget_corrections(self, now_s: float) -> None:
        oldest_s = now_s - self._options.verify_s
        self._verified_s = {
            host: at_s for host, at_s in self._verified_s.items() if at_s > oldest_s
        }

    # Probes

    def start_probe(
        self,
        target: HostRecord | None,
        now_s: float,
        asker: tuple[str, int] | None = None,
    ) -> None:
        """Ping `target`, for `asker` (address and sequence) if given."""
        if target is None:
            return
        options = self._options
        is_local = target.region == self.own.region
        wait_s = options.local_timeout_s if is_local else options.remote_timeout_s
        helpers_s = math.inf if asker else now_s + wait_s
        end_s = now_s + wait_s + options.indirect_timeout_s
        self._sequence += 1
        self.probes[self._sequence] = Probe(
            target.host, target.incarnation, helpers_s, end_s, asker
        )
        doubt = None if target.state in ("alive", "draining") else shorten(target)
        ping = Ping(self._sequence, target.host, self.take_rumors(doubt))
        self._send(target, ping)

    def _advance_probes(self, now_s: float) -> None:
        for sequence, probe in list(self.probes.items()):
            target = self.table.records.get(probe.target)
            if now_s >= probe.end_s:
                del self.probes[sequence]
                if probe.asker is None and target is not None:
                    self._suspect(target, probe.incarnation, now_s)
            elif now_s >= probe.helpers_s:
                probe.helpers_s = math.inf
                self._ask_helpers(sequence, target)

    def _ask_helpers(self, sequence: int, target: HostRecord | None) -> None:
        if target is None or target.state not in PRESENT_STATES:
            return
        for helper in self._schedule.choose_helpers(target, HELPERS):
            request = PingRequest(sequence, target.host, self.take_rumors())
            self._send(helper, request)

    def _suspect(self, target: HostRecord, incarnation: int, now_s: float) -> None:
        rumor = HostState(target.host, incarnation, "suspect")
        if target.incarnation == incarnation and target.state in ("alive", "draining"):
            self.hear(rumor, "", now_s)
            self._send(target, Gossip((rumor,)))
            # Racks, domains and links to a region fail as a whole.
            for related in self._schedule.choose_related(target):
                self.start_probe(related, now_s)

    def _end_suspicions(self, now_s: float) -> None:
        for host, end_s in list(self._suspicion_ends_s.items()):
            if now_s >= end_s:
                incarnation = self.table.records[host].incarnation
                self.hear(HostState(host, incarnation, "dead"), "", now_s)

    def _push(self, now_s: float) -> None:
        self._push_due_s = None
        self._last_push_s = now_s
        targets = self._schedule.choose_informed(INFORMED_LOCAL, INFORMED_REMOTE)
        for record in targets:
            rumors = self.take_rumors()
            if rumors:
                self._send(record, Gossip(rumors))

    # Comparison of tables

    def _start_sync(self, now_s: float) -> None:
        delay_s = self._options.period_s if self._joining else self._options.sync_s
        self._next_sync_s = now_s + delay_s * self._rng.uniform(0.8, 1.2)
        self.table.drop_tombstones(now_s)
        self._forget_corrections(now_s)
        own = self.own if self._joining else shorten(self.own)
        digest = Digest(tuple(self.table.digests), (own,))
        for address in self._choose_sync_addresses():
            self.reply(address, digest)

    def _choose_sync_addresses(self) -> list[str]:
        if self._joining:
            return list(self._seeds)
        gone = [r for r in self.table.list_gone() if r.state == "dead"]
        addresses = [record.addresses[PURPOSE] for record in gone] + list(self._seeds)
        if addresses and self._rng.random() < 0.5:
            return [self._rng.choice(addresses)]
        record = self._schedule.choose_any(self._schedule.choose_informed(1, 1))
        return [] if record is None else [record.addresses[PURPOSE]]
