"""Comparison of the tables of two members (anti-entropy)."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from buckthorndeal.membership._messages import Entries, Gossip
from buckthorndeal.membership._table import (
    MAX_GOSSIP_BYTES,
    HostRecord,
    HostState,
    HostTable,
    Rumor,
    get_bucket,
    get_state,
    measure_rumor,
)

MAX_FETCHED_HOSTS = 14


@dataclass
class SyncActions:
    """What to do after a comparison.

    Parameters
    ----------
    rumors : list of HostState
        Entries to apply as rumors.
    records_to_send : list of HostRecord
        Records that the other member lacks or has in an older incarnation.
    hosts_to_fetch : list of tuple of str
        Hosts whose records to request, one tuple per message.
    """

    rumors: list[HostState] = field(default_factory=list)
    records_to_send: list[HostRecord] = field(default_factory=list)
    hosts_to_fetch: list[tuple[str, ...]] = field(default_factory=list)


def compare_entries(table: HostTable, entries: Entries) -> SyncActions:
    """Compare the `entries` of another member with `table`."""
    actions = SyncActions()
    hosts_to_fetch = []
    theirs = {entry.host for entry in entries.entries}
    for entry in entries.entries:
        known = table.records.get(entry.host)
        if known is None or known.incarnation < entry.incarnation:
            hosts_to_fetch.append(entry.host)
        elif known.incarnation > entry.incarnation:
            actions.records_to_send.append(known)
        else:
            actions.rumors.append(entry)
    mine = table.list_in_buckets(set(entries.buckets))
    actions.records_to_send += [record for record in mine if record.host not in theirs]
    for start in range(0, len(hosts_to_fetch), MAX_FETCHED_HOSTS):
        chunk = hosts_to_fetch[start : start + MAX_FETCHED_HOSTS]
        actions.hosts_to_fetch.append(tuple(chunk))
    return actions


def pack_entries(table: HostTable, buckets: Iterable[int]) -> list[Entries]:
    """Pack the entries of `buckets` into messages of at most one datagram each.

    All hosts of a bucket go into one message, because the receiver takes a host that
    is missing from its bucket to be missing from the table. A bucket that does not
    fit into a datagram is left out.
    """
    packed: list[Entries] = []
    chosen: list[int] = []
    entries: list[HostState] = []
    remaining_bytes = MAX_GOSSIP_BYTES
    states_by_bucket = _group_by_bucket(table, set(buckets))
    for bucket in buckets:
        states = states_by_bucket.get(bucket, [])
        size = 2 + sum(measure_rumor(state) for state in states)
        if size > remaining_bytes and chosen:
            packed.append(Entries(tuple(chosen), tuple(entries)))
            chosen, entries, remaining_bytes = [], [], MAX_GOSSIP_BYTES
        if size > MAX_GOSSIP_BYTES:
            continue
        chosen.append(bucket)
        entries += states
        remaining_bytes -= size
    if chosen:
        packed.append(Entries(tuple(chosen), tuple(entries)))
    return packed


def _group_by_bucket(table: HostTable, buckets: set[int]) -> dict[int, list[HostState]]:
    states_by_bucket: dict[int, list[HostState]] = {}
    for record in table.list_in_buckets(buckets):
        states_by_bucket.setdefault(get_bucket(record.host), []).append(
            get_state(record)
        )
    return states_by_bucket


def pack_rumors(rumors: list[Rumor]) -> list[Gossip]:
    """Pack `rumors` into messages of at most one datagram each."""
    packed: list[Gossip] = []
    chosen: list[Rumor] = []
    remaining_bytes = MAX_GOSSIP_BYTES
    for rumor in rumors:
        size = measure_rumor(rumor)
        if size > remaining_bytes:
            packed.append(Gossip(tuple(chosen)))
            chosen, remaining_bytes = [], MAX_GOSSIP_BYTES
        chosen.append(rumor)
        remaining_bytes -= size
    if chosen:
        packed.append(Gossip(tuple(chosen)))
    return packed
