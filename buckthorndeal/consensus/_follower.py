"""Following a leader: appended entries and installed snapshots."""

from dataclasses import dataclass, field

from buckthorndeal.consensus._core import Core
from buckthorndeal.consensus._messages import (
    Append,
    AppendReply,
    InstallSnapshot,
    InstallSnapshotReply,
)
from buckthorndeal.consensus._records import Entry, ReplicaId, Snapshot
from buckthorndeal.errors import StoreError


@dataclass
class IncomingSnapshot:
    """Chunks of one snapshot received so far from one leader.

    Replicas may encode the same state differently, so chunks of two leaders are
    never mixed.
    """

    source: ReplicaId
    index: int
    term: int
    total_bytes: int
    data: bytearray = field(default_factory=bytearray)


def handle_append(core: Core, request: Append, now_s: float) -> None:
    """Store the entries if they continue this log, and answer after the sync."""
    if request.term < core.term:
        _refuse_leader(core, request)
        return
    core.adopt_term(request.term, now_s)
    core.hear_leader(request.source, now_s)
    if request.prev_index > core.commit_index:
        if core.log.get_term(request.prev_index) != request.prev_term:
            _refuse(core, request, _find_hint(core, request))
            return
    last_index = request.prev_index + len(request.entries)
    _store_entries(core, request.entries)
    # What was committed before agrees with every later leader.
    match_index = max(last_index, core.commit_index)
    core.advance_commit(min(request.commit_index, match_index))
    core.send(
        AppendReply,
        request.source,
        round=request.round,
        success=True,
        match_index=match_index,
        durable=core.store.durable,
    )


def _refuse_leader(core: Core, request: Append | InstallSnapshot) -> None:
    """Tell the leader of an earlier term the current one.

    The round is not echoed: the source may lead the current term as well and
    count rounds from one again.
    """
    core.send(
        AppendReply,
        request.source,
        round=0,
        success=False,
        match_index=0,
        durable=core.store.durable,
    )


def _refuse(core: Core, request: Append, hint: int) -> None:
    core.send(
        AppendReply,
        request.source,
        round=request.round,
        success=False,
        match_index=hint,
        refused_index=request.prev_index,
        durable=core.store.durable,
    )


def _find_hint(core: Core, request: Append) -> int:
    """Return the last index that may agree with the leader's log.

    Entries of the conflicting term are skipped at once, so the number of
    refusals grows with the terms and not with the entries.
    """
    index = min(request.prev_index, core.log.last_index)
    if index < request.prev_index:
        return index
    term = core.log.get_term(index)
    while index > core.commit_index and core.log.get_term(index) == term:
        index -= 1
    return index


def _store_entries(core: Core, entries: tuple[Entry, ...]) -> None:
    for position, entry in enumerate(entries):
        if entry.index <= core.commit_index:
            continue
        term = core.log.get_term(entry.index)
        if term == entry.term:
            continue
        if term is not None:
            core.log.truncate(entry.index)
        core.log.append(list(entries[position:]))
        core.follow_membership()
        return


def handle_install_snapshot(core: Core, request: InstallSnapshot, now_s: float) -> None:
    """Collect a chunk; after the last one the snapshot replaces the state."""
    if request.term < core.term:
        _refuse_leader(core, request)
        return
    core.adopt_term(request.term, now_s)
    core.hear_leader(request.source, now_s)
    if request.index <= core.commit_index:
        core.incoming = None
        _acknowledge_snapshot(core, request)
        return
    incoming = _select_incoming(core, request)
    if request.offset == len(incoming.data):
        incoming.data += request.data
    if len(incoming.data) < incoming.total_bytes:
        core.send(
            InstallSnapshotReply,
            request.source,
            round=request.round,
            index=request.index,
            received_bytes=len(incoming.data),
            durable=core.store.durable,
        )
        return
    core.incoming = None
    _install(core, request, bytes(incoming.data))
    _acknowledge_snapshot(core, request)


def _select_incoming(core: Core, request: InstallSnapshot) -> IncomingSnapshot:
    key = (
        request.source,
        request.index,
        request.snapshot_term,
        request.total_bytes,
    )
    incoming = core.incoming
    if incoming is None or key != (
        incoming.source,
        incoming.index,
        incoming.term,
        incoming.total_bytes,
    ):
        core.incoming = IncomingSnapshot(*key)
    return core.incoming


def _install(core: Core, request: InstallSnapshot, data: bytes) -> None:
    if len(data) != request.total_bytes:
        raise StoreError(f"snapshot at {request.index} has the wrong length")
    snapshot = Snapshot(request.index, request.snapshot_term, request.membership, data)
    core.log.replace_snapshot(snapshot)
    core.commit_index = snapshot.index
    core.output.committed.clear()
    core.output.restored_snapshot = data
    core.follow_membership()


def _acknowledge_snapshot(core: Core, request: InstallSnapshot) -> None:
    core.send(
        AppendReply,
        request.source,
        round=request.round,
        success=True,
        match_index=core.commit_index,
        durable=core.store.durable,
    )
