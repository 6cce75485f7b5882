"""End-to-end headers of requests and answers."""

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
# Between entry hosts only; a caller that sends them does not get them through.
FORWARDING_HEADERS = frozenset(
    (
        "buckthorndeal-crossed",
        "buckthorndeal-hops",
        "buckthorndeal-mac",
        "buckthorndeal-origin",
        "buckthorndeal-sent-ms",
        "buckthorndeal-verdict",
        "buckthorndeal-workspace",
    )
)


def remove_hop_by_hop(headers: dict[str, str]) -> dict[str, str]:
    """Return the headers that concern more than one connection."""
    named = {name.strip().lower() for name in headers.get("connection", "").split(",")}
    dropped = HOP_BY_HOP_HEADERS | FORWARDING_HEADERS | named
    return {name: value for name, value in headers.items() if name not in dropped}
