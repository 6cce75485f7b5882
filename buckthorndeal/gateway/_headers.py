"""Removal of headers that must not be forwarded."""

HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# Used between entry hosts only; dropped from the requests of callers.
FORWARDING_HEADERS = frozenset(
    (
        "buckthorndeal-crossed",
        "buckthorndeal-deadline-ms",
        "buckthorndeal-hops",
        "buckthorndeal-mac",
        "buckthorndeal-origin",
        "buckthorndeal-request-id",
        "buckthorndeal-sent-ms",
        "buckthorndeal-service",
        "buckthorndeal-verdict",
        "buckthorndeal-version",
        "buckthorndeal-workspace",
    )
)


def remove_hop_by_hop(headers: dict[str, str]) -> dict[str, str]:
    """Return the end-to-end headers, without those used between entry hosts."""
    connection_options = {
        name.strip().lower() for name in headers.get("connection", "").split(",")
    }
    dropped = HOP_BY_HOP_HEADERS | FORWARDING_HEADERS | connection_options
    return {name: value for name, value in headers.items() if name not in dropped}
