"""Pauses that endpoints have asked this host for; no I/O."""

# Bounds what a malformed or excessive request for a pause can do.
MAX_PAUSE_S = 300.0


class EndpointPauses:
    """End of the pause of each endpoint that wants no requests for a time.

    A pause ends with the incarnation that has asked for it. It says nothing about the
    health of the endpoint, so it is no ejection and concerns this host only.
    """

    def __init__(self) -> None:
        self._ends_s: dict[tuple[str, int], float] = {}

    def record(
        self, endpoint: str, incarnation: int, pause_s: float, now_s: float
    ) -> None:
        """Start a pause of `pause_s` seconds; an earlier one that is longer holds."""
        key = (endpoint, incarnation)
        end_s = now_s + min(pause_s, MAX_PAUSE_S)
        self._ends_s[key] = max(end_s, self._ends_s.get(key, end_s))

    def get_remaining_s(self, endpoint: str, incarnation: int, now_s: float) -> float:
        """Return the rest of the pause of an endpoint in seconds; 0 without one."""
        end_s = self._ends_s.get((endpoint, incarnation), now_s)
        return max(0.0, end_s - now_s)

    def expire(self, now_s: float) -> None:
        """Forget the pauses that are over."""
        over = [key for key, end_s in self._ends_s.items() if end_s <= now_s]
        for key in over:
            del self._ends_s[key]
