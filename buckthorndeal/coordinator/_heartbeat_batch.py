"""Heartbeats of endpoints that wait to be sent to the entry hosts of their regions."""

import msgspec

from buckthorndeal.fleet import EndpointHeartbeats, EndpointRecord

# Endpoints whose record still holds are listed less often: their heartbeats say
# nothing new, and each list goes to all entry hosts of a region.
REFRESH_INTERVAL_S = 0.5
# Keeps the frame of a message small, however long the names in the records are.
MAX_RECORDS = 256


class HeartbeatBatch:
    """Heartbeats since the last call of `take`.

    Parameters
    ----------
    now_s : float
        Clock reading.
    """

    def __init__(self, now_s: float) -> None:
        # Records that have changed, and the regions of endpoints whose last record
        # still holds.
        self._changed: dict[str, EndpointRecord] = {}
        self._refreshed: dict[str, str] = {}
        self._refresh_due_s = now_s

    def record_change(self, record: EndpointRecord) -> None:
        """Add a record that has changed."""
        self._changed[record.endpoint] = record

    def record_refresh(self, record: EndpointRecord) -> None:
        """Add an endpoint whose last record still holds."""
        self._refreshed[record.endpoint] = record.region

    def drop_change(self, endpoint: str) -> None:
        """Leave out the changed record of an endpoint."""
        self._changed.pop(endpoint, None)

    def take(self, now_s: float) -> dict[str, EndpointHeartbeats]:
        """Return what is to be sent to the entry hosts of each region.

        Heartbeats that say nothing new wait for the next refresh.
        """
        changed, self._changed = self._changed, {}
        refreshed: dict[str, str] = {}
        if now_s >= self._refresh_due_s:
            self._refresh_due_s = now_s + REFRESH_INTERVAL_S
            refreshed, self._refreshed = self._refreshed, {}
        regions = {*refreshed.values(), *(each.region for each in changed.values())}
        messages = {}
        for region in regions:
            records = tuple(each for each in changed.values() if each.region == region)
            names = tuple(
                name
                for name, endpoint_region in refreshed.items()
                if endpoint_region == region and name not in changed
            )
            messages[region] = EndpointHeartbeats(records, names)
        return messages


def split_heartbeats(message: EndpointHeartbeats) -> list[EndpointHeartbeats]:
    """Return messages with few records each that say the same, in order."""
    records = message.records
    if len(records) <= MAX_RECORDS:
        return [message]
    starts = range(0, len(records), MAX_RECORDS)
    parts = [records[start : start + MAX_RECORDS] for start in starts]
    last = msgspec.structs.replace(message, records=parts[-1])
    return [*map(EndpointHeartbeats, parts[:-1]), last]
