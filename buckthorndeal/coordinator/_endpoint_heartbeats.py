"""Heartbeats of endpoints between their arrival and the entry hosts; no I/O."""

from dataclasses import dataclass

from buckthorndeal.coordinator._endpoint_changes import (
    has_remaining_time,
    is_logged_change,
    is_state_change,
    log_endpoint_change,
)
from buckthorndeal.coordinator._heartbeat_batch import HeartbeatBatch
from buckthorndeal.fleet import EndpointHeartbeats, EndpointRecord, EndpointTable


@dataclass(frozen=True, slots=True)
class MergedHeartbeat:
    """Result of a heartbeat that is not out of date.

    Parameters
    ----------
    record : EndpointRecord
        Merged record.
    is_change : bool
        Whether it says more than what runs down by itself.
    """

    record: EndpointRecord
    is_change: bool


def merge_heartbeat(
    record: EndpointRecord,
    endpoints: EndpointTable,
    batch: HeartbeatBatch,
    now_s: float,
) -> MergedHeartbeat | None:
    """Merge a heartbeat into the table, and add what entry hosts need to the batch.

    Parameters
    ----------
    record : EndpointRecord
        The heartbeat.
    endpoints : EndpointTable
        Endpoints known to this coordinator.
    batch : HeartbeatBatch
        What is to be sent to the entry hosts.
    now_s : float
        Clock reading.

    Returns
    -------
    MergedHeartbeat or None
        None if the heartbeat is out of date, or if there is no room.
    """
    known = endpoints.get(record.endpoint)
    merged = endpoints.update(record, now_s)
    if merged is None:
        return None
    is_change = known is None or is_state_change(known.record, merged)
    if known is None or is_logged_change(known, endpoints.get(record.endpoint)):
        log_endpoint_change(merged, known.record if known else None)
    if is_change or has_remaining_time(merged):
        batch.record_change(merged)
    else:
        batch.record_refresh(merged)
    return MergedHeartbeat(merged, is_change)


def create_initial_heartbeats(
    endpoints: EndpointTable, region: str, now_s: float
) -> EndpointHeartbeats:
    """Return what an entry host of a region is sent when it connects."""
    records = tuple(
        each.describe(now_s)
        for each in endpoints.list_all()
        if each.record.region == region
    )
    return EndpointHeartbeats(records, ends_initial_state=True)
