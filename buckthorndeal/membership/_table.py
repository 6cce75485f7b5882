"""Host records and their merge by incarnation and state."""

import zlib
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from buckthorndeal.charts import load_chart
from buckthorndeal.errors import FrameError
from buckthorndeal.wire import Message

BUCKETS = 32
# Records of hosts that are gone are kept so long, so that old news of them being
# alive is recognised as old.
TOMBSTONE_S = 3_600.0
# With the headers of a datagram and of the largest message this stays below
# wire.MAX_DATAGRAM_BYTES.
MAX_RUMOR_BYTES = 980
# A joining host sends its record together with the digests.
MAX_RECORD_BYTES = 700

EVENTS = {
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
    """What is known of a host.

    Parameters
    ----------
    host, region, failure_domain : str
        Name and place.
    addresses : dict of str to str
        ``address:port`` by purpose; ``membership`` is the one of the datagrams.
    incarnation : int
        Rises when the host starts and when it refutes a suspicion.
    state : str
        State of the host chart.
    """

    host: HostName
    region: HostName
    failure_domain: HostName
    addresses: dict[str, str]
    incarnation: Incarnation
    state: State = "alive"


class HostState(Message, tag="s"):
    """A change of state of a host whose record is known."""

    host: HostName
    incarnation: Incarnation
    state: State


Rumor = HostRecord | HostState


def measure_rumor(rumor: Rumor) -> int:
    """Return the encoded size in bytes.

    Raises
    ------
    FrameError
        If it does not fit into a datagram.
    """
    size = len(msgspec.msgpack.encode(rumor))
    if size > MAX_RECORD_BYTES:
        raise FrameError(f"record of {rumor.host!r} takes {size} bytes")
    return size


def shorten(record: HostRecord) -> HostState:
    """Return the state of `record` without its details."""
    return HostState(record.host, record.incarnation, record.state)


class HostTable:
    """Records of all hosts with digests to compare tables.

    Parameters
    ----------
    own : HostRecord
        Record of this host; merging never changes it.
    """

    def __init__(self, own: HostRecord) -> None:
        self._chart = load_chart("host")
        self.records: dict[str, HostRecord] = {}
        self._gone_since_s: dict[str, float] = {}
        self.digests = [0] * BUCKETS
        self.put(own, 0.0)

    def put(self, record: HostRecord, now_s: float) -> None:
        """Store `record` without a check."""
        self._toggle_digest(self.records.get(record.host))
        self.records[record.host] = record
        self._toggle_digest(record)
        if record.state in PRESENT_STATES:
            self._gone_since_s.pop(record.host, None)
        else:
            self._gone_since_s[record.host] = now_s

    def merge(self, rumor: Rumor, now_s: float) -> HostRecord | None:
        """Return the new record if `rumor` is news, or None."""
        known = self.records.get(rumor.host)
        if known is None:
            return self._store(rumor, now_s) if isinstance(rumor, HostRecord) else None
        if rumor.incarnation < known.incarnation:
            return None
        state = known.state if rumor.incarnation == known.incarnation else "unknown"
        if not self._chart.allows(state, EVENTS[rumor.state]):
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
        """Forget hosts that are gone for longer than `TOMBSTONE_S`."""
        old = [
            host
            for host, since_s in self._gone_since_s.items()
            if now_s - since_s > TOMBSTONE_S
        ]
        for host in old:
            del self._gone_since_s[host]
            del self.records[host]

    def list_gone(self) -> list[HostRecord]:
        """Return the records of hosts that are dead or have left."""
        return [self.records[host] for host in self._gone_since_s]

    def list_bucket(self, buckets: set[int]) -> list[HostRecord]:
        """Return the records of present hosts in `buckets`."""
        return [
            record
            for record in self.records.values()
            if record.state in PRESENT_STATES and get_bucket(record.host) in buckets
        ]

    def _toggle_digest(self, record: HostRecord | None) -> None:
        # Gone hosts are left out, because tables forget them at different times.
        if record is not None and record.state in PRESENT_STATES:
            text = f"{record.host} {record.incarnation} {record.state}"
            self.digests[get_bucket(record.host)] ^= zlib.crc32(text.encode())


def get_bucket(host: str) -> int:
    """Return the digest bucket of a host name."""
    return zlib.crc32(host.encode()) % BUCKETS


class RumorQueue:
    """Rumors that wait to be sent, each a bounded number of times."""

    def __init__(self) -> None:
        self._entries: dict[str, tuple[Rumor, int, int]] = {}

    def add(self, rumor: Rumor) -> None:
        """Queue `rumor` in place of older ones about the same host."""
        self._entries[rumor.host] = (rumor, measure_rumor(rumor), 0)

    def take(self, limit: int, first: Rumor | None = None) -> tuple[Rumor, ...]:
        """Return the rumors for one datagram, least often sent ones first.

        Parameters
        ----------
        limit : int
            Number of transmissions of each rumor.
        first : HostRecord or HostState or None
            Rumor to include in any case; it is not counted.
        """
        if not self._entries:
            return () if first is None else (first,)
        room = MAX_RUMOR_BYTES - (measure_rumor(first) if first else 0)
        taken = [first] if first else []
        entries = sorted(self._entries.values(), key=lambda entry: entry[2])
        for rumor, size, count in entries:
            if size <= room:
                room -= size
                taken.append(rumor)
                self._count(rumor, size, count + 1, limit)
        return tuple(taken)

    def _count(self, rumor: Rumor, size: int, count: int, limit: int) -> None:
        if count >= limit:
            del self._entries[rumor.host]
        else:
            self._entries[rumor.host] = (rumor, size, count)
