"""Authentication and hop limits of requests forwarded between entry hosts."""

import hashlib
import hmac
import re
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
# The longest path of a request consists of the host that the caller chose, the first
# host of another region and that region's claim owner.
MAX_HOPS = 3
# Maximum difference of the hosts' wall clocks in seconds; the same as for datagrams.
REPLAY_WINDOW_S = 30.0
_MILLISECONDS = re.compile(r"[0-9]{1,15}")
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
    """Metadata that an entry host sends to the next one with a request.

    Parameters
    ----------
    origin : str
        Host that the caller chose.
    hops : tuple of str
        Hosts that the request has passed, including the sender.
    crossed : bool
        Whether the request has left the region of `origin`.
    deadline_ms : int
        Time until the deadline in milliseconds when the request was sent.
    request_id : str
        Id that the response must contain; unique for each attempt.
    sent_ms : int
        Wall-clock time of sending in milliseconds since the epoch.
    workspace : str
        Workspace that the origin authenticated.
    content_type : str, optional
        Content type of the body; empty if there is none.
    idempotency_key : str, optional
        Idempotency key that the caller sent; empty if there is none.
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
    """Return whether the headers claim to come from another entry host."""
    return MAC_HEADER in headers


def sign_request(
    request: ForwardedRequest, method: str, target: str, body: bytes, key: bytes
) -> list[tuple[str, str]]:
    """Return the headers that contain `request` and its MAC."""
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
    """Check the MAC and return the sender's metadata; the body is not decoded.

    Parameters
    ----------
    headers : dict of str to str
        Values by lower-case name.
    keys : tuple of bytes
        Keys in use; more than one during a key rotation.

    Raises
    ------
    AuthenticationError
        If the MAC matches none of the keys.
    """
    received_mac = headers.get(MAC_HEADER, "").encode("latin-1")
    for key in keys:
        expected_mac = _compute_mac(headers, method, target, body, key).encode()
        if hmac.compare_digest(received_mac, expected_mac):
            return _parse_headers(headers)
    raise AuthenticationError("the forwarded request does not carry a valid MAC")


class ReplayGuard:
    """Rejects a forwarded request that arrives twice or too long after sending."""

    def __init__(self) -> None:
        self._received_at_s: dict[str, float] = {}

    def check(self, request: ForwardedRequest, wall_s: float) -> None:
        """Accept `request` the first time only.

        Parameters
        ----------
        request : ForwardedRequest
            Request whose MAC is valid.
        wall_s : float
            Wall-clock time in seconds since the epoch.

        Raises
        ------
        AuthenticationError
            If the request was received before, or if its time of sending differs
            from `wall_s` by more than `REPLAY_WINDOW_S`.
        """
        if abs(wall_s - request.sent_ms / 1000) > REPLAY_WINDOW_S:
            raise AuthenticationError(
                f"the forwarded request was not sent within {REPLAY_WINDOW_S:g} s"
            )
        self._remove_expired(wall_s)
        if request.request_id in self._received_at_s:
            raise AuthenticationError(
                f"the forwarded request {request.request_id!r} is replayed"
            )
        self._received_at_s[request.request_id] = wall_s

    def _remove_expired(self, wall_s: float) -> None:
        # A request whose sender's clock is ahead is valid for up to twice the window.
        cutoff_s = wall_s - 2 * REPLAY_WINDOW_S
        for request_id, received_s in list(self._received_at_s.items()):
            if received_s >= cutoff_s:
                return
            del self._received_at_s[request_id]


def check_next_hop(
    hops: tuple[str, ...], crossed: bool, own_region: str, host: str, region: str
) -> None:
    """Refuse a next host that would cause a loop or a second change of region.

    Parameters
    ----------
    hops : tuple of str
        Hosts that the request has passed, including the sender.
    crossed : bool
        Whether the request has left the region of its first host.
    own_region, region : str
        Regions of the sender and of the next host.
    host : str
        Name of the next host.

    Raises
    ------
    RequestError
        With verdict ``NOT_RUN`` if the request must not be sent to `host`.
    """
    if host in hops:
        reason = f"host {host} has already forwarded this request"
    elif len(hops) >= MAX_HOPS:
        reason = f"the request has already passed {len(hops)} hosts"
    elif crossed and region != own_region:
        reason = f"the request has already left its region and may not go to {region}"
    else:
        return
    raise RequestError("no_next_hop", 503, reason, retry_after_s=1.0)


def _parse_headers(headers: dict[str, str]) -> ForwardedRequest:
    deadline = headers.get("buckthorndeal-deadline-ms", "")
    sent = headers.get("buckthorndeal-sent-ms", "")
    if not (_MILLISECONDS.fullmatch(deadline) and _MILLISECONDS.fullmatch(sent)):
        raise AuthenticationError(
            f"deadline {deadline[:40]!r} or sending time {sent[:40]!r} is not a number"
        )
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
        # Hashing each part separately keeps its bounds unambiguous in the MAC.
        mac.update(hashlib.sha256(part).digest())
    return mac.hexdigest()
