"""Streams that have begun at endpoints whose version was not certain; no I/O."""

from dataclasses import dataclass

from buckthorndeal.fleet import EndpointRecord, StreamOrigin

MAX_STREAMS = 20_000
# Most that passes from when an endpoint sends a heartbeat until it arrives here.
RELAY_DELAY_S = 1.0


@dataclass(frozen=True, slots=True)
class UnconfirmedStream:
    """Stream whose first event an endpoint has sent while its heartbeats were missing.

    Parameters
    ----------
    record : EndpointRecord
        Endpoint, as its last heartbeat had described it.
    stream : str
        Digest of the request that began the stream.
    begun_s, deadline_s : float
        Clock readings at the first event and at the deadline.
    """

    record: EndpointRecord
    stream: str
    begun_s: float
    deadline_s: float

    @property
    def origin(self) -> StreamOrigin:
        """Origin of the stream if the endpoint has not started again."""
        return StreamOrigin(self.stream, self.record.service, self.record.version)


class UnconfirmedStreams:
    """Waits for a heartbeat that tells which incarnation has begun a stream."""

    def __init__(self) -> None:
        self._by_endpoint: dict[str, list[UnconfirmedStream]] = {}
        self._count = 0

    def add(self, stream: UnconfirmedStream) -> None:
        """Add a stream, unless there are too many."""
        if self._count >= MAX_STREAMS:
            return
        self._count += 1
        self._by_endpoint.setdefault(stream.record.endpoint, []).append(stream)

    def confirm(self, record: EndpointRecord, now_s: float) -> list[UnconfirmedStream]:
        """Return the streams of which a heartbeat tells the version.

        It is of the same incarnation, and was sent after the first event.
        """
        waiting = self._by_endpoint.pop(record.endpoint, [])
        if not waiting:
            return []
        self._count -= len(waiting)
        heard_s = now_s - record.age_s
        confirmed = []
        for each in waiting:
            if each.record.incarnation != record.incarnation:
                continue
            if heard_s - each.begun_s >= RELAY_DELAY_S:
                confirmed.append(each)
            else:
                self.add(each)
        return confirmed

    def expire(self, now_s: float) -> None:
        """Forget the streams whose deadline has passed."""
        for endpoint, waiting in list(self._by_endpoint.items()):
            kept = [each for each in waiting if each.deadline_s > now_s]
            self._count -= len(waiting) - len(kept)
            if kept:
                self._by_endpoint[endpoint] = kept
            else:
                del self._by_endpoint[endpoint]


def create_unconfirmed_streams() -> UnconfirmedStreams:
    """Return an empty set of streams."""
    return UnconfirmedStreams()
