"""Resumable streams that callers may take up again, and their origins; no I/O."""

from collections.abc import Collection
from dataclasses import dataclass

from buckthorndeal.fleet import StreamOrigin

MAX_OPEN_STREAMS = 20_000


@dataclass(frozen=True, slots=True)
class _OpenStream:
    origin: StreamOrigin
    deadline_s: float


class OpenStreams:
    """Streams that have brought events through this host and are not complete.

    A stream that breaks stays open until its deadline, as its caller may take it up
    until then.
    """

    def __init__(self) -> None:
        self._streams: dict[str, _OpenStream] = {}

    def __len__(self) -> int:
        return len(self._streams)

    def open(self, origin: StreamOrigin, deadline_s: float) -> None:
        """Add a stream; beyond the limit, the one that was added first is dropped."""
        is_known = origin.stream in self._streams
        if not is_known and len(self._streams) >= MAX_OPEN_STREAMS:
            del self._streams[next(iter(self._streams))]
        self._streams[origin.stream] = _OpenStream(origin, deadline_s)

    def close(self, stream: str) -> None:
        """Remove a stream that is complete."""
        self._streams.pop(stream, None)

    def list_origins(
        self, services: Collection[str], now_s: float
    ) -> list[StreamOrigin]:
        """Return the origins of the streams of some services."""
        return [
            each.origin
            for each in self._streams.values()
            if each.origin.service in services and each.deadline_s > now_s
        ]

    def list_services(self) -> set[str]:
        """Return the services that have begun the streams."""
        return {each.origin.service for each in self._streams.values()}

    def expire(self, now_s: float) -> None:
        """Remove the streams whose deadline has passed."""
        over = [
            name for name, each in self._streams.items() if each.deadline_s <= now_s
        ]
        for name in over:
            del self._streams[name]


def create_open_streams() -> OpenStreams:
    """Return an empty set of streams."""
    return OpenStreams()
