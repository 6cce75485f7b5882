"""Which heartbeats are news, and the log line of those that are."""

from buckthorndeal.fleet import EndpointRecord
from buckthorndeal.logs import log_event


def is_news(before: EndpointRecord, after: EndpointRecord) -> bool:
    """Return whether entry hosts must be told of a newer heartbeat."""
    return _describe(before) != _describe(after)


def _describe(record: EndpointRecord) -> tuple:
    return (
        record.incarnation,
        record.service,
        record.address,
        record.slots,
        record.state,
        record.cold_s > 0,
        record.leaves_in_s is not None,
    )


def log_change(record: EndpointRecord, known: EndpointRecord | None) -> None:
    """Log a heartbeat that changes what is known of an endpoint."""
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
    )
