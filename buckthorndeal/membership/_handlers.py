"""What a member does with each type of message, apart from its rumors."""

import functools
from typing import Any, Protocol

from buckthorndeal.membership._messages import (
    Ack,
    Digest,
    Entries,
    Fetch,
    Ping,
    PingRequest,
)
from buckthorndeal.membership._sync import compare_entries, pack_entries, pack_rumors
from buckthorndeal.membership._table import BUCKETS, HostRecord, HostTable, Rumor
from buckthorndeal.wire import Message


class MemberState(Protocol):
    """The calls of a member that the handlers use."""

    own_host: str
    table: HostTable
    probes: dict[int, Any]

    def reply(self, address: str, message: Message) -> None:
        """Queue a message to an address."""

    def take_rumors(self) -> tuple[Rumor, ...]:
        """Return the rumors to send with the next message."""

    def hear(self, rumor: Rumor, source: str, now_s: float) -> None:
        """Merge a rumor into the table."""

    def start_probe(
        self,
        target: HostRecord | None,
        now_s: float,
        asker: tuple[str, int] | None = None,
    ) -> None:
        """Send a ping to a host, for another host if `asker` is given."""


@functools.singledispatch
def handle_message(
    message: object, member: MemberState, source: str, now_s: float
) -> None:
    """Handle `message` from the address `source`."""


@handle_message.register(Ping)
def _(message: Ping, member: MemberState, source: str, now_s: float) -> None:
    if message.target == member.own_host:
        member.reply(source, Ack(message.sequence, member.take_rumors()))


@handle_message.register(PingRequest)
def _(message: PingRequest, member: MemberState, source: str, now_s: float) -> None:
    target = member.table.records.get(message.target)
    member.start_probe(target, now_s, asker=(source, message.sequence))


@handle_message.register(Ack)
def _(message: Ack, member: MemberState, source: str, now_s: float) -> None:
    probe = member.probes.pop(message.sequence, None)
    if probe is not None and probe.asker is not None:
        address, sequence = probe.asker
        member.reply(address, Ack(sequence, member.take_rumors()))


@handle_message.register(Digest)
def _(message: Digest, member: MemberState, source: str, now_s: float) -> None:
    if len(message.digests) != BUCKETS:
        return
    pairs = zip(message.digests, member.table.digests, strict=True)
    buckets = [i for i, (theirs, mine) in enumerate(pairs) if theirs != mine]
    for entries in pack_entries(member.table, buckets):
        member.reply(source, entries)


@handle_message.register(Entries)
def _(message: Entries, member: MemberState, source: str, now_s: float) -> None:
    difference = compare_entries(member.table, message)
    for rumor in difference.heard:
        member.hear(rumor, source, now_s)
    for gossip in pack_rumors(difference.offered):
        member.reply(source, gossip)
    for hosts in difference.wanted:
        member.reply(source, Fetch(hosts))


@handle_message.register(Fetch)
def _(message: Fetch, member: MemberState, source: str, now_s: float) -> None:
    found = [member.table.records.get(host) for host in message.hosts]
    for gossip in pack_rumors([record for record in found if record is not None]):
        member.reply(source, gossip)
