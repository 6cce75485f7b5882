"""Minimal admission: request rate and concurrency of each workspace.

The `admission` module takes its place in the router task.
"""

from dataclasses import dataclass

from buckthorndeal.authentication import Identity
from buckthorndeal.errors import RequestError

CONCURRENCY_RETRY_S = 1.0


@dataclass(slots=True)
class _Usage:
    tokens: float
    filled_s: float
    running: int = 0


class WorkspaceLimits:
    """Token bucket and concurrency of each workspace."""

    def __init__(self) -> None:
        self._usages: dict[str, _Usage] = {}
        self._tickets: dict[str, str] = {}

    def admit(self, ticket_id: str, identity: Identity, now_s: float) -> None:
        workspace = identity.workspace
        usage = self._usages.setdefault(
            identity.name, _Usage(float(workspace.burst), now_s)
        )
        usage.tokens = min(
            workspace.burst,
            usage.tokens + (now_s - usage.filled_s) * workspace.requests_per_s,
        )
        usage.filled_s = now_s
        if usage.running >= workspace.concurrency:
            raise _create_refusal("concurrency", CONCURRENCY_RETRY_S)
        if usage.tokens < 1:
            wait_s = (1 - usage.tokens) / workspace.requests_per_s
            raise _create_refusal("request rate", wait_s)
        usage.tokens -= 1
        usage.running += 1
        self._tickets[ticket_id] = identity.name

    def release(self, ticket_id: str) -> None:
        name = self._tickets.pop(ticket_id, None)
        if name is not None:
            self._usages[name].running -= 1


def _create_refusal(limit: str, retry_after_s: float) -> RequestError:
    return RequestError(
        "workspace_limit",
        429,
        f"the workspace has reached its {limit} limit",
        retry_after_s=round(retry_after_s, 3),
    )
