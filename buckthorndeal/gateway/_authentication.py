"""Workspace of a request: who its caller is, and what counts as the caller; no I/O."""

from buckthorndeal.configuration import Route, RouteTable
from buckthorndeal.errors import RequestError, Verdict
from buckthorndeal.forwarding import ForwardedRequest
from buckthorndeal.gateway._messages import Call
from buckthorndeal.gateway._response_check import MISDIRECTED
from buckthorndeal.gateway.dialect import RequestMetadata
from buckthorndeal.metrics import Metrics
from buckthorndeal.workspaces import Workspace

UNAUTHORIZED = 401
# Hosts that have different versions of the configuration have the same one after this.
DISAGREEMENT_RETRY_S = 1.0
# Workspaces with series of their own in the metrics; all others share one.
MAX_LABELLED_WORKSPACES = 64
ANONYMOUS = "(anonymous)"
OTHERS = "(other)"


def identify_caller(
    routes: RouteTable, route: Route, key: str | None
) -> Workspace | None:
    """Return the workspace of a caller, or None for an anonymous one.

    A key that no workspace has is refused on each route, also on one that allows
    anonymous callers: the key may have had home regions, which would not be kept.

    Raises
    ------
    RequestError
        With status 401 if the key is unknown, or missing although the route needs one.
    """
    if not routes.workspaces:
        return None
    if key is None:
        if route.allows_anonymous:
            return None
        raise RequestError("unauthorized", UNAUTHORIZED, "a key is required")
    workspace = routes.workspaces.find_by_key(key)
    if workspace is None:
        raise RequestError("unauthorized", UNAUTHORIZED, "the key is not known")
    return workspace


def identify_forwarded(
    routes: RouteTable, route: Route, forwarded: ForwardedRequest
) -> Workspace | None:
    """Return the workspace of a request that another entry host has authenticated.

    That host may have an older or a newer configuration. A request is refused if this
    one has no such workspace, as its home regions are not known, or if this one
    requires a key of a caller that the other host has accepted as anonymous.

    Raises
    ------
    RequestError
        With status 421 if this host cannot serve the request.
    """
    if forwarded.workspace:
        workspace = routes.workspaces.find_by_name(forwarded.workspace)
        if workspace is not None:
            return workspace
        message = "the workspace is not in the configuration of this host"
    elif not routes.workspaces or route.allows_anonymous:
        return None
    else:
        message = "the configuration of this host requires a key"
    raise RequestError(
        "workspace_unknown",
        MISDIRECTED,
        message,
        retry_after_s=DISAGREEMENT_RETRY_S,
    )


def check_home(call: Call, region: str) -> None:
    """Check that this region may process a request that another host has forwarded.

    That host keeps to the home regions too, those of its own configuration.

    Raises
    ------
    RequestError
        With status 421 if it may not.
    """
    if not call.may_run_in(region):
        raise RequestError(
            "home_elsewhere",
            MISDIRECTED,
            "the request may not be processed in the region of this host",
            retry_after_s=DISAGREEMENT_RETRY_S,
        )


def describe_caller(workspace: Workspace | None, metadata: RequestMetadata) -> str:
    """Return what tells callers apart whose requests are equal otherwise.

    It is the same at all hosts, and for all keys of a workspace. No header contains a
    line break, so an anonymous caller cannot pass for a workspace.
    """
    if workspace is None:
        return metadata.caller
    return f"{metadata.caller}\n{workspace.name}"


class WorkspaceMetrics:
    """Counts requests by workspace, for a limited number of workspaces.

    Those that come first have series of their own until this process ends, also if they
    are removed from the configuration.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the daemon.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._labelled: set[str] = set()
        metrics.describe(
            "workspace_requests", "counter", "Requests by workspace and how they ended."
        )

    def count(
        self, workspace: Workspace | None, outcome: str, error: RequestError | None
    ) -> None:
        """Count a request that has ended.

        Errors other than an unknown or missing key count as refused if the request has
        not run, and as failed otherwise, so that there are few series for each
        workspace.
        """
        if error is not None and error.status != UNAUTHORIZED:
            outcome = "refused" if error.verdict is Verdict.NOT_RUN else "failed"
        label = ANONYMOUS if workspace is None else self._get_label(workspace.name)
        self._metrics.count("workspace_requests", workspace=label, outcome=outcome)

    def _get_label(self, name: str) -> str:
        if name in self._labelled:
            return name
        if len(self._labelled) >= MAX_LABELLED_WORKSPACES:
            return OTHERS
        self._labelled.add(name)
        return name
