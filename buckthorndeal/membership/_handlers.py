"""Handlers of the message types; they run after a message's rumors are applied."""

import functools
from typing import Protocol

from buckthorndeal.membership._messages import (
    Ack,
    Digest,
    Entries,
    Fetch,
    Ping,
    PingRequest,
)
from buckthorndeal.membership._probing import Probe
from buckthorndeal.membership._sync import compare_entries, pack_entries, pack_rumors
from buckthorndeal.membership._table import BUCKET_COUNT, HostRecord, HostTable, Rumor
from buckthorndeal.wire import Message


class MemberInterface(Protocol):
    """Attributes and methods of a member that the handlers use."""

    own_host: str
    table: HostTable
    probes: dict[int, Probe]

    def queue_message(self, address: str, message: Message) -> None:
        """Queue `message` for the member at `address`."""

    def take_rumors(self) -> tuple[Rumor, ...]:
        """Return the rumors to piggyback on the next message."""

    def apply_rumor(self, rumor: Rumor, source: str, now_s: float) -> None:
        """Merge a rumor from the address `source` into the table."""

    def start_probe(
        self,
        target: HostRecord | None,
        now_s: float,
        requester: tuple[str, int] | None = None,
    ) -> None:
        """Ping `target`, on behalf of `requester` (address, sequence) if given."""


@functools.singledispatch
def handle_message(
    message: object, member: MemberInterface, source: str, now_s: float
) -> None:
    """Handle `message` from the address `source`; other types are ignored."""


@handle_message.register(Ping)
def _(message: Ping, member: MemberInterface, source: str, now_s: float) -> None:
    if message.target == member.own_host:
        member.queue_message(source, Ack(message.sequence, member.take_rumors()))


@handle_message.register(PingRequest)
def _(message: PingRequest, member: MemberInterface, source: str, now_s: float) -> None:
    target = member.table.records.get(message.target)
    member.start_probe(target, now_s, requester=(source, message.sequence))


@handle_message.register(Ack)
def _(message: Ack, member: MemberInterface, source: str, now_s: float) -> None:
    probe = member.probes.pop(message.sequence, None)
    if probe is not None and probe.requester is not None:
        address, sequence = probe.requester
        member.queue_message(address, Ack(sequence, member.take_rumors()))


@handle_message.register(Digest)
def _(message: Digest, member: MemberInterface, source: str, now_s: float) -> None:
    if len(message.digests) != BUCKET_COUNT:
        return
    pairs = zip(message.digests, member.table.digests, strict=True)
    buckets = [i for i, (theirs, mine) in enumerate(pairs) if theirs != mine]
    for entries in pack_entries(member.table, buckets):
        member.queue_message(source, entries)


@handle_message.register(Entries)
def _(message: Entries, member: MemberInterface, source: str, now_s: float) -> None:
    actions = compare_entries(member.table, message)
    for rumor in actions.rumors:
        member.apply_rumor(rumor, source, now_s)
    for gossip in pack_rumors(actions.records_to_send):
        member.queue_message(source, gossip)
    for hosts in actions.hosts_to_fetch:
        member.queue_message(source, Fetch(hosts))


@handle_message.register(Fetch)
def _(message: Fetch, member: MemberInterface, source: str, now_s: float) -> None:
    found = [member.table.records.get(host) for host in message.hosts]
    for gossip in pack_rumors([record for record in found if record is not None]):
        member.queue_message(source, gossip)
