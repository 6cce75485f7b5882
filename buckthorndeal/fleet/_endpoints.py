"""Table of endpoints built from heartbeats that may be late, repeated or reordered."""

from dataclasses import dataclass, field

import msgspec

from buckthorndeal.fleet._endpoint_record import EndpointRecord, EndpointState

# Keeps a late heartbeat from restoring an endpoint that has left.
TOMBSTONE_S = 60.0
# Longer intervals between two checks for silent endpoints count as this long. The
# process was stopped in between, or received no heartbeats at all, and those of some
# endpoints may be waiting unread.
MAX_CHECK_INTERVAL_S = 2.0
# Endpoints that are known at once, with those that have left. Their ids are chosen by
# whoever sends heartbeats.
MAX_ENDPOINTS = 4_096


@dataclass(slots=True)
class EndpointEntry:
    """An endpoint with the state of its last heartbeat.

    Parameters
    ----------
    record : EndpointRecord
        Merged record.
    last_heartbeat_s : float
        Clock reading at the last heartbeat.
    cold_until_s : float
        Clock reading until which the endpoint is cold.
    leaves_at_s : float or None
        Clock reading at which the endpoint leaves, if known.
    unread_s : float
        Seconds since the last heartbeat in which a newer one could not be read.
    recorded_s : float
        Clock reading at the heartbeat that the record describes; later ones were told
        by the endpoint's name.
    """

    record: EndpointRecord
    last_heartbeat_s: float
    cold_until_s: float
    leaves_at_s: float | None
    unread_s: float = 0.0
    recorded_s: float = field(init=False)

    def __post_init__(self) -> None:
        self.recorded_s = self.last_heartbeat_s

    @property
    def cold_told_s(self) -> float:
        """Clock reading at the last heartbeat that told whether the endpoint is cold.

        Coordinators of earlier builds name an endpoint that is cold once more, as if
        its record still held.
        """
        return self.recorded_s if self.record.cold_s > 0 else self.last_heartbeat_s

    def record_heartbeat(self, now_s: float) -> None:
        """Record when the last heartbeat has arrived."""
        self.last_heartbeat_s = now_s
        self.unread_s = 0.0

    def keep_later_heartbeat(self, known: "EndpointEntry") -> None:
        """Take over when a heartbeat has arrived, if that was later than this one."""
        if known.last_heartbeat_s > self.last_heartbeat_s:
            self.last_heartbeat_s = known.last_heartbeat_s
            self.unread_s = known.unread_s

    def get_silence_s(self, now_s: float) -> float:
        """Return for how long no heartbeat has arrived that could have been read."""
        return now_s - self.last_heartbeat_s - self.unread_s

    def get_cold_s(self, now_s: float) -> float:
        """Return for how long the endpoint is cold, as far as is known."""
        return max(0.0, self.cold_until_s - now_s)

    def describe(self, now_s: float) -> EndpointRecord:
        """Return the record with its age and what remains of its times."""
        leaves_in_s = None
        if self.leaves_at_s is not None:
            leaves_in_s = max(0.0, self.leaves_at_s - now_s)
        return msgspec.structs.replace(
            self.record,
            cold_s=self.get_cold_s(now_s),
            leaves_in_s=leaves_in_s,
            age_s=max(0.0, now_s - self.last_heartbeat_s),
        )


class EndpointTable:
    """Newest incarnation and heartbeat of each endpoint, by id.

    Parameters
    ----------
    max_endpoints : int
        Number of endpoints beyond which no further one is added.
    """

    def __init__(self, max_endpoints: int = MAX_ENDPOINTS) -> None:
        self._max_endpoints = max_endpoints
        self._entries: dict[str, EndpointEntry] = {}
        self._address_owners: dict[str, str] = {}
        self._checked_s: float | None = None

    def get(self, endpoint: str) -> EndpointEntry | None:
        """Return an endpoint, which may have left, or None if it is unknown."""
        return self._entries.get(endpoint)

    def has_room(self, endpoint: str) -> bool:
        """Return whether an endpoint is known or can be added."""
        return endpoint in self._entries or len(self._entries) < self._max_endpoints

    def list_active(self) -> list[EndpointEntry]:
        """Return the endpoints that have not left."""
        return [
            entry
            for entry in self._entries.values()
            if entry.record.state is not EndpointState.LEFT
        ]

    def list_all(self) -> list[EndpointEntry]:
        """Return all endpoints, including those that have left."""
        return list(self._entries.values())

    def update(self, record: EndpointRecord, now_s: float) -> EndpointRecord | None:
        """Merge a heartbeat.

        Parameters
        ----------
        record : EndpointRecord
            The heartbeat.
        now_s : float
            Clock reading.

        Returns
        -------
        EndpointRecord or None
            The merged record, or None if the heartbeat is stale or there is no room.
        """
        if not self.has_room(record.endpoint):
            return None
        known = self._entries.get(record.endpoint)
        if known is not None:
            merged = _merge(known.record, record)
            if merged is None:
                return None
            record = merged
        if not self._claim_address(record):
            return None
        if known is not None and known.record.address != record.address:
            self._release_address(known.record)
        leaves_at_s = None
        if record.leaves_in_s is not None:
            leaves_at_s = now_s + record.leaves_in_s
        heard_s = now_s - max(0.0, record.age_s)
        record = msgspec.structs.replace(record, age_s=0.0)
        entry = EndpointEntry(record, heard_s, now_s + record.cold_s, leaves_at_s)
        if known is not None and known.record.incarnation == record.incarnation:
            entry.keep_later_heartbeat(known)
        self._entries[record.endpoint] = entry
        return record

    def touch(self, endpoint: str, now_s: float) -> bool:
        """Refresh the last heartbeat of an endpoint; return False if it is unknown."""
        entry = self._entries.get(endpoint)
        if entry is None:
            return False
        entry.record_heartbeat(now_s)
        return True

    def mark_left(self, endpoint: str, incarnation: int | None, now_s: float) -> bool:
        """Mark an endpoint as left; return False if it is unknown or has restarted."""
        entry = self._entries.get(endpoint)
        if entry is None:
            return False
        record = entry.record
        if incarnation is not None and incarnation < record.incarnation:
            return False
        entry.record = msgspec.structs.replace(record, state=EndpointState.LEFT)
        entry.record_heartbeat(now_s)
        self._release_address(record)
        return True

    def mark_draining(self, endpoint: str, incarnation: int) -> EndpointRecord | None:
        """Mark an endpoint as draining, because it has said so outside its heartbeats.

        Parameters
        ----------
        endpoint : str
            Id of the endpoint.
        incarnation : int
            The incarnation that drains; another one is left as it is.

        Returns
        -------
        EndpointRecord or None
            The changed record; None if this was known or concerns another incarnation.
        """
        entry = self._entries.get(endpoint)
        if entry is None or entry.record.incarnation != incarnation:
            return None
        if entry.record.state is not EndpointState.READY:
            return None
        entry.record = msgspec.structs.replace(
            entry.record, state=EndpointState.DRAINING
        )
        return entry.record

    def expire(self, silence_s: float, now_s: float) -> list[EndpointRecord]:
        """Remove endpoints without heartbeats for `silence_s` seconds and return them.

        Endpoints that have left are removed after `TOMBSTONE_S` and not returned.
        """
        self._record_unread_time(now_s)
        expired = []
        for endpoint, entry in list(self._entries.items()):
            left = entry.record.state is EndpointState.LEFT
            if entry.get_silence_s(now_s) < (TOMBSTONE_S if left else silence_s):
                continue
            del self._entries[endpoint]
            self._release_address(entry.record)
            if not left:
                expired.append(entry.record)
        return expired

    def _record_unread_time(self, now_s: float) -> None:
        interval_s = 0.0 if self._checked_s is None else now_s - self._checked_s
        self._checked_s = now_s
        late_s = interval_s - MAX_CHECK_INTERVAL_S
        if late_s <= 0:
            return
        for entry in self._entries.values():
            silence_s = entry.get_silence_s(now_s)
            entry.unread_s += min(late_s, max(0.0, silence_s))

    def _claim_address(self, record: EndpointRecord) -> bool:
        """Assign an address to the newest incarnation that reported it.

        The previous owner is marked as left. Returns False if a newer incarnation of
        another endpoint owns the address.
        """
        owner = self._address_owners.get(record.address)
        if record.state is EndpointState.LEFT:
            self._release_address(record)
            return True
        if owner is not None and owner != record.endpoint:
            other = self._entries[owner]
            if other.record.incarnation > record.incarnation:
                return False
            other.record = msgspec.structs.replace(
                other.record, state=EndpointState.LEFT
            )
        self._address_owners[record.address] = record.endpoint
        return True

    def _release_address(self, record: EndpointRecord) -> None:
        if self._address_owners.get(record.address) == record.endpoint:
            del self._address_owners[record.address]


def _merge(known: EndpointRecord, new: EndpointRecord) -> EndpointRecord | None:
    """Return the record after applying `new`, or None if `new` is stale."""
    if new.incarnation != known.incarnation:
        return new if new.incarnation > known.incarnation else None
    if known.state is EndpointState.LEFT:
        return None
    if new.state is EndpointState.LEFT:
        return new
    if new.sequence < known.sequence:
        # An incarnation that drains is never ready again, so a late drain holds.
        if new.state is EndpointState.DRAINING and known.state is EndpointState.READY:
            return msgspec.structs.replace(known, state=EndpointState.DRAINING)
        return None
    if known.state is EndpointState.DRAINING:
        return msgspec.structs.replace(new, state=EndpointState.DRAINING)
    return new


def create_endpoint_table() -> EndpointTable:
    """Return an empty table."""
    return EndpointTable()
