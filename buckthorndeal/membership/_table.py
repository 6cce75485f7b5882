"""Table of host records, merged by incarnation and state, and the rumor queue."""

import zlib
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from buckthorndeal.charts import load_chart
from buckthorndeal.errors import FrameError
from buckthorndeal.wire import Message

BUCKET_COUNT = 32
# Tombstones are the records of hosts that are dead or have left. They are kept for
# this time, so that a late rumor that such a host is alive is recognised as stale.
TOMBSTONE_S = 3_600.0
# Size of all rumors in one datagram. Together with the headers of the datagram and
# of the largest message it stays below wire.MAX_DATAGRAM_BYTES.
MAX_GOSSIP_BYTES = 980
# A joining host sends its record in the same datagram as the digests.
MAX_RECORD_BYTES = 700

EVENT_BY_STATE = {
    "alive": "announce",
    "draining": "drain",
    "suspect": "suspect",
    "dead": "die",
    "left": "leave",
}
PRESENT_STATES = frozenset({"alive", "draining", "suspect"})

State = Literal["alive", "draining", "suspect", "dead", "left"]
HostName = Annotated[str, Meta(min_length=1, max_length=63)]
Incarnation = Annotated[int, Meta(ge=0)]


class HostRecord(Message, tag="h"):
    """Location, addresses and state of a host.

    Parameters
    ----------
    host, region, failure_domain : str
        Name of the host, and where it is.
    addresses : dict of str to str
        ``address:port`` by purpose; ``membership`` receives the datagrams of this
        protocol.
    incarnation : int
        Increases when the host starts and when it refutes a suspicion.
    state : str
        State in the ``host`` state chart.
    """

    host: HostName
    region: HostName
    failure_domain: HostName
    addresses: dict[str, str]
    incarnation: Incarnation
    state: State = "alive"


class HostState(Message, tag="s"):
    """Incarnation and state of a host, without the rest of its record."""

    host: HostName
    incarnation: Incarnation
    state: State


Rumor = HostRecord | HostState


def measure_rumor(rumor: Rumor) -> int:
    """Return the encoded size of `rumor` in bytes.

    Raises
    ------
    FrameError
        If the size exceeds `MAX_RECORD_BYTES`.
    """
    size = len(msgspec.msgpack.encode(rumor))
    if size > MAX_RECORD_BYTES:
        raise FrameError(
            f"record of host {rumor.host!r} takes {size} bytes, "
            f"more than {MAX_RECORD_BYTES}"
        )
    return size


def get_state(record: HostRecord) -> HostState:
    """Return the incarnation and state of `record` without the rest."""
    return HostState(record.host, record.incarnation, record.state)


class HostTable:
    """Records of all known hosts, and digests to compare tables with.

    Parameters
    ----------
    own : HostRecord
        Record of this host; merging does not change it.
    """

    def __init__(self, own: HostRecord) -> None:
        self._chart = load_chart("host")
        self.records: dict[str, HostRecord] = {}
        self._tombstoned_at_s: dict[str, float] = {}
        # XOR of the CRC-32 checksums of the present hosts in each bucket.
        self.digests = [0] * BUCKET_COUNT
        self.put(own, 0.0)

    def put(self, record: HostRecord, now_s: float) -> None:
        """Store `record` without comparing it with the known one."""
        self._xor_digest(self.records.get(record.host))
        self.records[record.host] = record
        self._xor_digest(record)
        if record.state in PRESENT_STATES:
            self._tombstoned_at_s.pop(record.host, None)
        else:
            self._tombstoned_at_s[record.host] = now_s

    def merge(self, rumor: Rumor, now_s: float) -> HostRecord | None:
        """Apply `rumor`; return the new record, or None if nothing changes."""
        known = self.records.get(rumor.host)
        if known is None:
            return self._store(rumor, now_s) if isinstance(rumor, HostRecord) else None
        if rumor.incarnation < known.incarnation:
            return None
        state = known.state if rumor.incarnation == known.incarnation else "unknown"
        if not self._chart.allows(state, EVENT_BY_STATE[rumor.state]):
            return None
        if isinstance(rumor, HostState):
            rumor = msgspec.structs.replace(
                known, incarnation=rumor.incarnation, state=rumor.state
            )
        return self._store(rumor, now_s)

    def _store(self, record: HostRecord, now_s: float) -> HostRecord:
        self.put(record, now_s)
        return record

    def drop_tombstones(self, now_s: float) -> None:
        """Remove the tombstones that are older than `TOMBSTONE_S`."""
        expired = [
            host
            for host, since_s in self._tombstoned_at_s.items()
            if now_s - since_s > TOMBSTONE_S
        ]
        for host in expired:
            del self._tombstoned_at_s[host]
            del self.records[host]

    def list_tombstones(self) -> list[HostRecord]:
        """Return the records of hosts that are dead or have left."""
        return [self.records[host] for host in self._tombstoned_at_s]

    def list_in_buckets(self, buckets: set[int]) -> list[HostRecord]:
        """Return the records of the present hosts in `buckets`."""
        return [
            record
            for record in self.records.values()
            if record.state in PRESENT_STATES and get_bucket(record.host) in buckets
        ]

    def _xor_digest(self, record: HostRecord | None) -> None:
        # Tombstones are left out, because hosts remove them at different times.
        if record is not None and record.state in PRESENT_STATES:
            text = f"{record.host} {record.incarnation} {record.state}"
            self.digests[get_bucket(record.host)] ^= zlib.crc32(text.encode())


def get_bucket(host: str) -> int:
    """Return the digest bucket of a host name."""
    return zlib.crc32(host.encode()) % BUCKET_COUNT


class RumorQueue:
    """Rumors to be sent, each a limited number of times."""

    def __init__(self) -> None:
        self._entries: dict[str, tuple[Rumor, int, int]] = {}

    def add(self, rumor: Rumor) -> None:
        """Queue `rumor` instead of an earlier one about the same host."""
        self._entries[rumor.host] = (rumor, measure_rumor(rumor), 0)

    def take(self, limit: int, first: Rumor | None = None) -> tuple[Rumor, ...]:
        """Return the rumors for one datagram, the least often sent ones first.

        Parameters
        ----------
        limit : int
            Number of times that each rumor is sent.
        first : HostRecord or HostState or None
            Rumor to include in any case; this transmission is not counted.
        """
        if not self._entries:
            return () if first is None else (first,)
        remaining_bytes = MAX_GOSSIP_BYTES - (measure_rumor(first) if first else 0)
        chosen = [first] if first else []
        entries = sorted(self._entries.values(), key=lambda entry: entry[2])
        for rumor, size, transmissions in entries:
            if size <= remaining_bytes:
                remaining_bytes -= size
                chosen.append(rumor)
                self._set_transmissions(rumor, size, transmissions + 1, limit)
        return tuple(chosen)

    def _set_transmissions(
        self, rumor: Rumor, size: int, transmissions: int, limit: int
    ) -> None:
        if transmissions >= limit:
            del self._entries[rumor.host]
        else:
            self._entries[rumor.host] = (rumor, size, transmissions)
