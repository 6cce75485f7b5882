"""Unplanned ends of endpoints, told apart from connections that break; no I/O."""

from dataclasses import dataclass, field

from buckthorndeal.fleet import EndpointRecord
from buckthorndeal.gateway._granted_attempt import GrantedAttempt
from buckthorndeal.quarantine import (
    EndpointEnd,
    Suspect,
    digest_request_id,
    is_request_key,
    list_keys,
)

# Time for all connections to an endpoint that has ended to break.
PROBE_DELAY_S = 0.1
PROBE_TIMEOUT_S = 1.0

# An attempt that ran for less may have lost this endpoint and the one before it to the
# same cause.
MIN_RUN_S = 0.01

EndpointKey = tuple[str, int]


@dataclass(slots=True)
class _BrokenEndpoint:
    """Endpoint that has closed connections during requests.

    Parameters
    ----------
    first_s : float
        Clock reading at the first of them.
    suspects : dict of str to Suspect
        Keys of the requests that it had just begun to answer.
    held : list of GrantedAttempt
        Attempts whose complete response ended with the connection: answers, unless the
        endpoint has ended.
    probed_s : float or None
        Clock reading when a probe was started.
    """

    record: EndpointRecord
    first_s: float
    suspects: dict[str, Suspect] = field(default_factory=dict)
    held: list[GrantedAttempt] = field(default_factory=list)
    probed_s: float | None = None


class EndpointEnds:
    """Finds out which endpoints have ended, and what they had just begun to answer.

    An endpoint has ended if it has closed connections during requests and accepts no
    other one. It has not if a connection was reset on the way, or if its response to
    one request was broken.
    """

    def __init__(self) -> None:
        self._broken: dict[EndpointKey, _BrokenEndpoint] = {}

    @property
    def is_open(self) -> bool:
        """Whether it is open for any endpoint if it has ended."""
        return bool(self._broken)

    def list_suspects(self) -> set[str]:
        """Return the keys that are suspect if the broken endpoints have ended."""
        return {key for broken in self._broken.values() for key in broken.suspects}

    def record_break(self, attempt: GrantedAttempt, now_s: float) -> None:
        """Record that the endpoint closed the connection before the response ended."""
        broken = self._get(attempt.record, now_s)
        if not attempt.has_run_long(now_s):
            broken.suspects.update(_list_suspects(attempt, now_s))

    def record_open_end(self, attempt: GrantedAttempt, now_s: float) -> None:
        """Record a complete response that ended with its connection."""
        self._get(attempt.record, now_s).held.append(attempt)

    def record_response(self, attempt: GrantedAttempt) -> list[GrantedAttempt]:
        """Record a response; return the attempts that are known to be answered by it.

        One to a request that was sent after a break shows that the endpoint goes on.
        """
        key = _get_key(attempt.record)
        broken = self._broken.get(key)
        if broken is None or attempt.granted_s <= broken.first_s:
            return []
        del self._broken[key]
        return broken.held

    def record_connect_failure(
        self, record: EndpointRecord, now_s: float
    ) -> EndpointEnd | None:
        """Record that a connection was not accepted; return the end that this shows."""
        broken = self._broken.get(_get_key(record))
        if broken is None or now_s - broken.first_s < PROBE_DELAY_S:
            return None
        return self._end(broken, now_s)

    def take_probes(self, now_s: float) -> list[EndpointRecord]:
        """Return the endpoints to which a connection should be opened now."""
        due = []
        for key, broken in list(self._broken.items()):
            if broken.probed_s is None and now_s - broken.first_s >= PROBE_DELAY_S:
                broken.probed_s = now_s
                due.append(broken.record)
            elif broken.probed_s is not None:
                # The result of the probe was lost.
                if now_s - broken.probed_s > 2 * PROBE_TIMEOUT_S:
                    del self._broken[key]
        return due

    def record_probe(
        self, record: EndpointRecord, accepted: bool, now_s: float
    ) -> tuple[EndpointEnd | None, list[GrantedAttempt]]:
        """Record the result of a probe.

        Returns
        -------
        end : EndpointEnd or None
            End of the endpoint, if it has ended.
        answered : list of GrantedAttempt
            Attempts that are known to be answered otherwise.
        """
        broken = self._broken.get(_get_key(record))
        if broken is None:
            return None, []
        if not accepted:
            return self._end(broken, now_s), []
        del self._broken[_get_key(record)]
        return None, broken.held

    def _get(self, record: EndpointRecord, now_s: float) -> _BrokenEndpoint:
        return self._broken.setdefault(_get_key(record), _BrokenEndpoint(record, now_s))

    def _end(self, broken: _BrokenEndpoint, now_s: float) -> EndpointEnd:
        key = _get_key(broken.record)
        del self._broken[key]
        for attempt in broken.held:
            if not attempt.has_run_long(broken.first_s):
                broken.suspects.update(_list_suspects(attempt, broken.first_s))
        suspects = tuple(broken.suspects.values())
        return EndpointEnd(*key, suspects, now_s - broken.first_s)


def _get_key(record: EndpointRecord) -> EndpointKey:
    return record.endpoint, record.incarnation


def _list_suspects(attempt: GrantedAttempt, ended_s: float) -> dict[str, Suspect]:
    """Return the suspects of one attempt by key."""
    request_id = attempt.call.request_id
    attempt_of = ""
    if request_id and ended_s - attempt.granted_s >= MIN_RUN_S:
        attempt_of = digest_request_id(request_id)
    return {
        key: Suspect(key, depth, attempt_of if is_request_key(key) else "")
        for depth, key in enumerate(list_keys(attempt.call))
    }
