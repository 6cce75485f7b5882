"""Software versions that began streams, by the request that began each; no I/O."""

import hashlib
from collections.abc import Iterable

import msgspec

# Longer than any stream, which its callers take up again before its deadline.
RETENTION_S = 60.0
MAX_ORIGINS = 20_000
DIGEST_BYTES = 8


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """Software version of the endpoint that sent the first event of a stream.

    Parameters
    ----------
    stream : str
        Digest of the id of the request that brought the first event.
    service, version : str
        Service and version of the endpoint.
    """

    stream: str
    service: str
    version: str


def digest_stream(request_id: str) -> str:
    """Return the name of the stream that a request has begun."""
    return hashlib.blake2b(request_id.encode(), digest_size=DIGEST_BYTES).hexdigest()


class OriginTable:
    """Origins of the streams that have begun of late."""

    def __init__(self) -> None:
        # In the order in which they were learned.
        self._origins: dict[str, tuple[StreamOrigin, float]] = {}

    def record(self, origin: StreamOrigin, now_s: float) -> bool:
        """Record an origin; return whether it is the first one of its stream.

        The first one holds.
        """
        if origin.stream in self._origins:
            return False
        if len(self._origins) >= MAX_ORIGINS:
            del self._origins[next(iter(self._origins))]
        self._origins[origin.stream] = (origin, now_s)
        return True

    def merge(self, origins: Iterable[StreamOrigin], now_s: float) -> None:
        """Record the origins that another host has sent."""
        for origin in origins:
            self.record(origin, now_s)

    def find(self, stream: str) -> StreamOrigin | None:
        """Return the origin of a stream, or None."""
        known = self._origins.get(stream)
        return known[0] if known is not None else None

    def expire(self, now_s: float) -> None:
        """Forget streams that are over."""
        while self._origins:
            stream, (_, learned_s) = next(iter(self._origins.items()))
            if now_s - learned_s < RETENTION_S:
                return
            del self._origins[stream]


def create_origin_table() -> OriginTable:
    """Return a table without origins."""
    return OriginTable()
