"""Signed headers of requests forwarded between entry hosts, and the hop rules."""

import hashlib
import hmac
from dataclasses import dataclass

from buckthorndeal.errors import AuthenticationError, RequestError

__all__ = [
    "ForwardedRequest",
    "ReplayGuard",
    "check_next_hop",
    "is_forwarded",
    "sign_request",
    "verify_request",
]

MAC_HEADER = "buckthorndeal-mac"
# A request passes at most the host that the caller chose, the first host of
# another region and that region's claim owner.
MAX_HOPS = 3
# Hosts' wall clocks have to agree within this, as for datagrams.
REPLAY_WINDOW_S = 30.0
SIGNED_HEADERS = (
    "buckthorndeal-origin",
    "buckthorndeal-hops",
    "buckthorndeal-crossed",
    "buckthorndeal-deadline-ms",
    "buckthorndeal-request-id",
    "buckthorndeal-sent-ms",
    "buckthorndeal-workspace",
    "content-type",
    "idempotency-key",
)


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """What an entry host tells the next one about a request.

    Parameters
    ----------
    origin : str
        Host that the caller chose.
    hops : tuple of str
        Hosts passed, including the sender.
    crossed : bool
        Whether the request has left the region of `origin`.
    deadline_ms : int
        Time left when the request was sent.
    request_id : str
        Id that the answer must carry; unique for each attempt.
    sent_ms : int
        Wall clock of the sender in milliseconds since the epoch.
    workspace : str
        Workspace that the origin authenticated.
    """

    origin: str
    hops: tuple[str, ...]
    crossed: bool
    deadline_ms: int
    request_id: str
    sent_ms: int
    workspace: str
    content_type: str = ""
    idempotency_key: str = ""


def is_forwarded(headers: dict[str, str]) -> bool:
    """Return whether headers claim to come from another entry host."""
    return MAC_HEADER in headers


def sign_request(
    request: ForwardedRequest, method: str, target: str, body: bytes, key: bytes
) -> list[tuple[str, str]]:
    """Return the headers that carry `request` and its MAC."""
    values = (
        request.origin,
        ",".join(request.hops),
        "1" if request.crossed else "0",
        str(request.deadline_ms),
        request.request_id,
        str(request.sent_ms),
        request.workspace,
        request.content_type,
        request.idempotency_key,
    )
    headers = dict(zip(SIGNED_HEADERS, values, strict=True))
    mac = _compute_mac(headers, method, target, body, key)
    sent = [(name, value) for name, value in headers.items() if value]
    return [*sent, (MAC_HEADER, mac)]


def verify_request(
    headers: dict[str, str],
    method: str,
    target: str,
    body: bytes,
    keys: tuple[bytes, ...],
) -> ForwardedRequest:
    """Check the MAC and return what the sender told; the body is not decoded.

    Parameters
    ----------
    headers : dict of str to str
        Values by lower-case name.
    keys : tuple of bytes
        Keys in use; more than one during a rotation.

    Raises
    ------
    AuthenticationError
        If no key yields the MAC.
    """
    given = headers.get(MAC_HEADER, "").encode("latin-1")
    for key in keys:
        expected = _compute_mac(headers, method, target, body, key).encode()
        if hmac.compare_digest(given, expected):
            return _parse_headers(headers)
    raise AuthenticationError("the forwarded request does not carry a valid MAC")


class ReplayGuard:
    """Refuses a forwarded request that arrives a second time, or too late."""

    def __init__(self) -> None:
        self._seen: dict[str, float] = {}

    def check(self, request: ForwardedRequest, wall_s: float) -> None:
        """Accept `request` once.

        Parameters
        ----------
        request : ForwardedRequest
            Request whose MAC is valid.
        wall_s : float
            Wall clock in seconds since the epoch.

        Raises
        ------
        AuthenticationError
            If the request was seen before, or if the clocks of the two hosts
            differ by more than `REPLAY_WINDOW_S`.
        """
        if abs(wall_s - request.sent_ms / 1000) > REPLAY_WINDOW_S:
            raise AuthenticationError(
                f"the forwarded request was not sent within {REPLAY_WINDOW_S:g} s"
            )
        self._forget(wall_s)
        if request.request_id in self._seen:
            raise AuthenticationError("the forwarded request is replayed")
        self._seen[request.request_id] = wall_s

    def _forget(self, wall_s: float) -> None:
        # A request that is received early stays valid for twice the window.
        oldest_s = wall_s - 2 * REPLAY_WINDOW_S
        for request_id, seen_s in list(self._seen.items()):
            if seen_s >= oldest_s:
                return
            del self._seen[request_id]


def check_next_hop(
    hops: tuple[str, ...], crossed: bool, own_region: str, host: str, region: str
) -> None:
    """Refuse a hop that could start a loop or a second region change.

    Parameters
    ----------
    hops : tuple of str
        Hosts passed, including the one that is about to send.
    crossed : bool
        Whether the request has left its first region.
    own_region, region : str
        Regions of the sender and of the next host.
    host : str
        Next host.

    Raises
    ------
    RequestError
        With verdict ``NOT_RUN``.
    """
    if host in hops:
        reason = f"host {host} has already passed this request on"
    elif len(hops) >= MAX_HOPS:
        reason = "the request has passed too many hosts"
    elif crossed and region != own_region:
        reason = "the request has already moved to another region"
    else:
        return
    raise RequestError("no_next_hop", 503, reason, retry_after_s=1.0)


def _parse_headers(headers: dict[str, str]) -> ForwardedRequest:
    deadline = headers.get("buckthorndeal-deadline-ms", "")
    sent = headers.get("buckthorndeal-sent-ms", "")
    if not (deadline.isdecimal() and sent.isdecimal()):
        raise AuthenticationError("a forwarded time is not a number")
    return ForwardedRequest(
        headers.get("buckthorndeal-origin", ""),
        tuple(headers.get("buckthorndeal-hops", "").split(",")),
        headers.get("buckthorndeal-crossed") == "1",
        int(deadline),
        headers.get("buckthorndeal-request-id", ""),
        int(sent),
        headers.get("buckthorndeal-workspace", ""),
        headers.get("content-type", ""),
        headers.get("idempotency-key", ""),
    )


def _compute_mac(
    headers: dict[str, str], method: str, target: str, body: bytes, key: bytes
) -> str:
    parts = [method, target, *(headers.get(name, "") for name in SIGNED_HEADERS)]
    mac = hmac.new(key, digestmod=hashlib.sha256)
    for part in (*(part.encode("latin-1") for part in parts), body):
        # The digest of each part keeps text from moving between neighbours.
        mac.update(hashlib.sha256(part).digest())
    return mac.hexdigest()
