"""Detection and logging of heartbeats that change an endpoint's record."""

import msgspec

from buckthorndeal.fleet import EndpointEntry, EndpointRecord
from buckthorndeal.logs import log_event

# Heartbeats tell the end of one cold time, or of one notice to leave, with this error
# at most, as they arrive with different delays.
END_ERROR_S = 0.25


def is_state_change(before: EndpointRecord, after: EndpointRecord) -> bool:
    """Return whether a newer heartbeat says more than what runs down by itself.

    Sequence numbers and ages change with every heartbeat and are not compared, nor are
    remaining times, but for whether there is one.
    """
    return _drop_progress(before) != _drop_progress(after)


def has_remaining_time(record: EndpointRecord) -> bool:
    """Return whether a record names a time that runs down and may begin anew.

    Each receiver counts it down from what it has heard itself, so that no other record
    stands for it.
    """
    return record.cold_s > 0 or record.leaves_in_s is not None


def is_logged_change(before: EndpointEntry, after: EndpointEntry) -> bool:
    """Return whether a newer heartbeat changes a state, or when a time runs out."""
    if is_state_change(before.record, after.record):
        return True
    return any(
        abs(later_s - earlier_s) > END_ERROR_S
        for earlier_s, later_s in zip(
            _list_ends(before), _list_ends(after), strict=True
        )
    )


def _drop_progress(record: EndpointRecord) -> EndpointRecord:
    return msgspec.structs.replace(
        record,
        sequence=0,
        cold_s=float(record.cold_s > 0),
        leaves_in_s=None if record.leaves_in_s is None else 0.0,
        age_s=0.0,
    )


def _list_ends(entry: EndpointEntry) -> tuple[float, ...]:
    """Return the clock readings at which the times of a record have run out."""
    cold_until_s = entry.cold_until_s if entry.record.cold_s > 0 else 0.0
    return cold_until_s, entry.leaves_at_s or 0.0


def log_endpoint_change(record: EndpointRecord, known: EndpointRecord | None) -> None:
    """Log a changed endpoint record.

    Parameters
    ----------
    record : EndpointRecord
        Record after the change.
    known : EndpointRecord or None
        Record before the change; None for a new endpoint.
    """
    log_event(
        "endpoint_changed",
        endpoint=record.endpoint,
        incarnation=record.incarnation,
        sequence=record.sequence,
        service=record.service,
        address=record.address,
        state=record.state.name,
        before=known.state.name if known else None,
        cold_s=record.cold_s,
        leaves_in_s=record.leaves_in_s,
        version=record.version,
    )
