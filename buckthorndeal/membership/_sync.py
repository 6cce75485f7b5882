"""Comparison of two membership tables."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from buckthorndeal.membership._messages import Entries, Gossip
from buckthorndeal.membership._table import (
    MAX_RUMOR_BYTES,
    HostRecord,
    HostState,
    HostTable,
    Rumor,
    get_bucket,
    measure_rumor,
    shorten,
)

FETCHED_PER_MESSAGE = 14


@dataclass
class Difference:
    """What follows from a comparison.

    Parameters
    ----------
    heard : list of HostState
        Entries to treat as rumors.
    offered : list of HostRecord
        Records that the other side lacks.
    wanted : list of tuple of str
        Hosts to fetch, one tuple per message.
    """

    heard: list[HostState] = field(default_factory=list)
    offered: list[HostRecord] = field(default_factory=list)
    wanted: list[tuple[str, ...]] = field(default_factory=list)


def compare_entries(table: HostTable, entries: Entries) -> Difference:
    """Compare the other side's `entries` with `table`."""
    difference = Difference()
    wanted = []
    theirs = {entry.host for entry in entries.entries}
    for entry in entries.entries:
        known = table.records.get(entry.host)
        if known is None or known.incarnation < entry.incarnation:
            wanted.append(entry.host)
        elif known.incarnation > entry.incarnation:
            difference.offered.append(known)
        else:
            difference.heard.append(entry)
    mine = table.list_bucket(set(entries.buckets))
    difference.offered += [record for record in mine if record.host not in theirs]
    for start in range(0, len(wanted), FETCHED_PER_MESSAGE):
        chunk = wanted[start : start + FETCHED_PER_MESSAGE]
        difference.wanted.append(tuple(chunk))
    return difference


def pack_entries(table: HostTable, buckets: Iterable[int]) -> list[Entries]:
    """Return the entries of `buckets` in as few datagrams as possible.

    The hosts of a bucket stay together, because a host that is missing from a
    datagram is taken to be missing from the table.
    """
    packed: list[Entries] = []
    chosen: list[int] = []
    entries: list[HostState] = []
    room = MAX_RUMOR_BYTES
    grouped = _group_by_bucket(table, set(buckets))
    for bucket in buckets:
        states = grouped.get(bucket, [])
        size = 2 + sum(measure_rumor(state) for state in states)
        if size > room and chosen:
            packed.append(Entries(tuple(chosen), tuple(entries)))
            chosen, entries, room = [], [], MAX_RUMOR_BYTES
        if size > MAX_RUMOR_BYTES:
            continue
        chosen.append(bucket)
        entries += states
        room -= size
    if chosen:
        packed.append(Entries(tuple(chosen), tuple(entries)))
    return packed


def _group_by_bucket(table: HostTable, buckets: set[int]) -> dict[int, list[HostState]]:
    grouped: dict[int, list[HostState]] = {}
    for record in table.list_bucket(buckets):
        grouped.setdefault(get_bucket(record.host), []).append(shorten(record))
    return grouped


def pack_rumors(rumors: list[Rumor]) -> list[Gossip]:
    """Return `rumors` in as few datagrams as possible."""
    packed: list[Gossip] = []
    chosen: list[Rumor] = []
    room = MAX_RUMOR_BYTES
    for rumor in rumors:
        size = measure_rumor(rumor)
        if size > room:
            packed.append(Gossip(tuple(chosen)))
            chosen, room = [], MAX_RUMOR_BYTES
        chosen.append(rumor)
        room -= size
    if chosen:
        packed.append(Gossip(tuple(chosen)))
    return packed
