"""Follower side of replication: appending entries and installing snapshots."""

from dataclasses import dataclass, field

from buckthorndeal.consensus._messages import (
    Append,
    AppendReply,
    InstallSnapshot,
    InstallSnapshotReply,
)
from buckthorndeal.consensus._records import Entry, ReplicaId, Snapshot
from buckthorndeal.consensus._state import ReplicaState
from buckthorndeal.errors import StoreError


@dataclass
class IncomingSnapshot:
    """Partially received snapshot.

    Chunks from different leaders are never combined, because replicas may encode
    the same state in different bytes.
    """

    source: ReplicaId
    index: int
    term: int
    total_bytes: int
    data: bytearray = field(default_factory=bytearray)


def handle_append(state: ReplicaState, request: Append, now_s: float) -> None:
    """Append the entries if the log matches at `prev_index`, sync and reply."""
    if request.term < state.term:
        _refuse_stale_leader(state, request)
        return
    state.adopt_term(request.term, now_s)
    state.record_leader_contact(request.source, now_s)
    if request.prev_index > state.commit_index:
        if state.log.get_term(request.prev_index) != request.prev_term:
            _refuse_append(state, request, _find_conflict_hint(state, request))
            return
    last_index = request.prev_index + len(request.entries)
    _store_entries(state, request.entries)
    # Entries up to the commit index match the log of every later leader.
    match_index = max(last_index, state.commit_index)
    state.advance_commit(min(request.commit_index, match_index))
    state.send(
        AppendReply,
        request.source,
        round=request.round,
        success=True,
        match_index=match_index,
        durable=state.store.durable,
    )


def _refuse_stale_leader(
    state: ReplicaState, request: Append | InstallSnapshot
) -> None:
    """Reply to the leader of an earlier term with the current term.

    The round is not echoed: the source may also lead the current term, where it
    numbers its rounds from one again.
    """
    state.send(
        AppendReply,
        request.source,
        round=0,
        success=False,
        match_index=0,
        durable=state.store.durable,
    )


def _refuse_append(state: ReplicaState, request: Append, hint: int) -> None:
    state.send(
        AppendReply,
        request.source,
        round=request.round,
        success=False,
        match_index=hint,
        refused_index=request.prev_index,
        durable=state.store.durable,
    )


def _find_conflict_hint(state: ReplicaState, request: Append) -> int:
    """Return the last index at which the log may match the leader's.

    All entries of the conflicting term are skipped together, so the number of
    refusals depends on the number of terms and not on the number of entries.
    """
    index = min(request.prev_index, state.log.last_index)
    if index < request.prev_index:
        return index
    term = state.log.get_term(index)
    while index > state.commit_index and state.log.get_term(index) == term:
        index -= 1
    return index


def _store_entries(state: ReplicaState, entries: tuple[Entry, ...]) -> None:
    for position, entry in enumerate(entries):
        if entry.index <= state.commit_index:
            continue
        term = state.log.get_term(entry.index)
        if term == entry.term:
            continue
        if term is not None:
            state.log.truncate(entry.index)
        state.log.append(list(entries[position:]))
        state.update_role_from_membership()
        return


def handle_install_snapshot(
    state: ReplicaState, request: InstallSnapshot, now_s: float
) -> None:
    """Store a chunk; install the snapshot when its last chunk has arrived."""
    if request.term < state.term:
        _refuse_stale_leader(state, request)
        return
    state.adopt_term(request.term, now_s)
    state.record_leader_contact(request.source, now_s)
    if request.index <= state.commit_index:
        state.incoming_snapshot = None
        _acknowledge_snapshot(state, request)
        return
    incoming = _ensure_incoming_snapshot(state, request)
    if request.offset == len(incoming.data):
        incoming.data += request.data
    if len(incoming.data) < incoming.total_bytes:
        state.send(
            InstallSnapshotReply,
            request.source,
            round=request.round,
            index=request.index,
            received_bytes=len(incoming.data),
            durable=state.store.durable,
        )
        return
    state.incoming_snapshot = None
    _install(state, request, bytes(incoming.data))
    _acknowledge_snapshot(state, request)


def _ensure_incoming_snapshot(
    state: ReplicaState, request: InstallSnapshot
) -> IncomingSnapshot:
    key = (
        request.source,
        request.index,
        request.snapshot_term,
        request.total_bytes,
    )
    incoming = state.incoming_snapshot
    if incoming is None or key != (
        incoming.source,
        incoming.index,
        incoming.term,
        incoming.total_bytes,
    ):
        state.incoming_snapshot = IncomingSnapshot(*key)
    return state.incoming_snapshot


def _install(state: ReplicaState, request: InstallSnapshot, data: bytes) -> None:
    if len(data) != request.total_bytes:
        raise StoreError(
            f"snapshot at index {request.index} has {len(data)} bytes, "
            f"expected {request.total_bytes}"
        )
    snapshot = Snapshot(request.index, request.snapshot_term, request.membership, data)
    state.log.replace_snapshot(snapshot)
    state.commit_index = snapshot.index
    state.output.committed.clear()
    state.output.restored_snapshot = data
    state.update_role_from_membership()


def _acknowledge_snapshot(state: ReplicaState, request: InstallSnapshot) -> None:
    state.send(
        AppendReply,
        request.source,
        round=request.round,
        success=True,
        match_index=state.commit_index,
        durable=state.store.durable,
    )
