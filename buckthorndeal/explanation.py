"""Explanation of where a gateway would send a request now, and its readable form."""

from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec

from buckthorndeal.errors import DECODING_ERRORS, RequestError, Verdict
from buckthorndeal.http_client import HttpPool

__all__ = [
    "EXPLANATION_PATH",
    "EndpointStatus",
    "Explanation",
    "Outcome",
    "QuotaStatus",
    "RegionReport",
    "fetch_explanation",
    "format_explanation",
]

EXPLANATION_PATH = "/explain"


@dataclass(frozen=True, slots=True)
class Outcome:
    """What would become of the request.

    Parameters
    ----------
    kind : str
        ``endpoint``, ``forward``, ``wait`` or ``refusal``.
    target : str or None
        The endpoint, or the entry host that would get the request.
    region : str or None
        Region of that entry host.
    reason : str or None
        Why it is refused, waits or leaves the region.
    predicted_s : float or None
        Predicted time until the response starts.
    status : int or None
        HTTP status of a refusal.
    retry_after_s : float or None
        Seconds after which a refused caller may return; each refusal draws its own.
    cause : str or None
        What was lacking, if the reason is an overload.
    """

    kind: str
    target: str | None = None
    region: str | None = None
    reason: str | None = None
    predicted_s: float | None = None
    status: int | None = None
    retry_after_s: float | None = None
    cause: str | None = None


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """An endpoint of the service, and whether it may get the request.

    Parameters
    ----------
    endpoint, failure_domain, condition : str
        The endpoint, where it runs, and its condition.
    excluded : str or None
        Why it cannot get the request; None if it can.
    predicted_s : float or None
        Predicted time until the response starts; None if it is no candidate.
    cost_s : float or None
        Cost by which candidates are compared, in seconds.
    own, others : float
        Requests of this host and of other hosts.
    slots : int
        Requests that it runs at once.
    rate_limit_per_s, rejections_per_s : float or None
        Limits that it has named, for all hosts together.
    """

    endpoint: str
    failure_domain: str
    condition: str
    excluded: str | None
    predicted_s: float | None
    cost_s: float | None
    own: int
    others: float
    slots: int
    rate_limit_per_s: float | None = None
    rejections_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class RegionReport:
    """What another region has last reported of the service.

    Parameters
    ----------
    region, host : str
        The region, and the entry host through which it is reached.
    excluded : str or None
        Why the request cannot go there; None if it can.
    age_s : float
        Age of the report in seconds.
    wait_s : float or None
        Expected wait at the service.
    free_slots, sent : int
        Free slots, and requests of this host since the report.
    lent_requests : int or None
        Requests that it lends to this host.
    """

    region: str
    host: str
    excluded: str | None
    age_s: float
    wait_s: float | None
    free_slots: int
    sent: int
    lent_requests: int | None = None


@dataclass(frozen=True, slots=True)
class QuotaStatus:
    """Quota of the workspace, in its units.

    Parameters
    ----------
    unit : str
        What is counted.
    units : int
        Units of this request.
    held : float
        Units that this host holds.
    demand_per_s, granted_per_s : float
        Recent demand and grants on this host.
    rate_per_s : float
        Quota over all hosts.
    """

    unit: str
    units: int
    held: float
    demand_per_s: float
    granted_per_s: float
    rate_per_s: float


@dataclass(frozen=True, slots=True)
class Explanation:
    """Where a request would go, and why.

    Parameters
    ----------
    host, region : str
        The gateway that explains.
    outcome : Outcome
        What would become of the request.
    route, service, workspace : str or None
        What the request belongs to.
    home_regions : tuple of str or None
        Regions that may process the request; None for all.
    budget_s, max_wait_s : float or None
        Longest predicted time at which it is sent, and longest wait for room.
    path_lost, draining : bool
        Whether this host reaches no endpoint, and whether it drains.
    waiting : int
        Requests of the service that wait for room.
    """

    host: str
    region: str
    outcome: Outcome
    route: str | None = None
    service: str | None = None
    workspace: str | None = None
    home_regions: tuple[str, ...] | None = None
    budget_s: float | None = None
    max_wait_s: float | None = None
    path_lost: bool = False
    draining: bool = False
    waiting: int = 0
    quota: QuotaStatus | None = None
    endpoints: tuple[EndpointStatus, ...] = ()
    regions: tuple[RegionReport, ...] = ()


async def fetch_explanation(pool: HttpPool, parameters: dict[str, str]) -> Explanation:
    """Ask a gateway at its metrics address where a request would go.

    Raises
    ------
    RequestError
        If the gateway does not respond, or does not accept the parameters.
    """
    target = f"{EXPLANATION_PATH}?{urlencode(parameters)}"
    status, _, body = await pool.fetch("GET", target, [])
    try:
        if status != 200:
            error = msgspec.json.decode(body)["error"]
            raise RequestError("not_explained", status, str(error))
        return msgspec.json.decode(body, type=Explanation)
    except (*DECODING_ERRORS, KeyError, TypeError) as error:
        message = "the response is no explanation; is this the metrics address?"
        raise RequestError("not_explained", status, message, Verdict.NOT_RUN) from error


def format_explanation(explanation: Explanation) -> str:
    """Return an explanation as text, the outcome first."""
    lines = [
        f"outcome    {_format_outcome(explanation.outcome)}",
        f"gateway    {explanation.host}, region {explanation.region}",
    ]
    if explanation.draining:
        lines.append("           it drains")
    if explanation.path_lost:
        lines.append("           it reaches no endpoint of its region")
    if explanation.route is None:
        return "\n".join(lines) + "\n"
    lines += [
        f"route      {explanation.route}, service {explanation.service}",
        f"workspace  {explanation.workspace or 'none'}",
    ]
    if explanation.home_regions is not None:
        homes = ", ".join(explanation.home_regions) or "none in common"
        lines.append(f"home       {homes}")
    if explanation.budget_s is not None:
        lines.append(
            f"limits     sent if predicted within {_format_s(explanation.budget_s)}, "
            f"waits for room up to {_format_s(explanation.max_wait_s)}; "
            f"{explanation.waiting} waiting"
        )
    quota = explanation.quota
    if quota is not None:
        lines.append(
            f"quota      {quota.units} {quota.unit} of {quota.held:.1f} held here; "
            f"demand {quota.demand_per_s:.1f}/s, granted {quota.granted_per_s:.1f}/s, "
            f"{quota.rate_per_s:g}/s over all hosts"
        )
    lines.append(f"endpoints  {len(explanation.endpoints) or 'none known'}")
    for endpoint in explanation.endpoints:
        lines.append(f"  {endpoint.endpoint}  {_format_endpoint(endpoint)}")
    lines.append(f"regions    {len(explanation.regions) or 'no reports'}")
    for region in explanation.regions:
        lines.append(f"  {region.region}  {_format_region(region)}")
    return "\n".join(lines) + "\n"


def _format_outcome(outcome: Outcome) -> str:
    if outcome.kind == "refusal":
        text = f"refused with {outcome.status}: {outcome.reason}"
        if outcome.cause is not None:
            text += f" ({outcome.cause})"
        if outcome.retry_after_s is not None:
            text += f", Retry-After about {_format_s(outcome.retry_after_s)}"
        return text
    if outcome.kind == "wait":
        return f"waits for {outcome.reason}"
    where = f"endpoint {outcome.target}"
    if outcome.kind == "forward":
        where = f"entry host {outcome.target} in region {outcome.region}"
    if outcome.reason is not None:
        where += f" ({outcome.reason})"
    return f"{where}, predicted {_format_s(outcome.predicted_s)}"


def _format_endpoint(endpoint: EndpointStatus) -> str:
    parts = [f"excluded: {endpoint.excluded}" if endpoint.excluded else "candidate"]
    if endpoint.predicted_s is not None:
        parts.append(f"predicted {_format_s(endpoint.predicted_s)}")
        parts.append(f"cost {_format_s(endpoint.cost_s)}")
    parts.append(
        f"{endpoint.own} + {endpoint.others:.1f} requests on {endpoint.slots} slots"
    )
    parts.append(f"{endpoint.condition} in {endpoint.failure_domain}")
    if endpoint.rate_limit_per_s is not None:
        parts.append(f"rate limit {endpoint.rate_limit_per_s:g}/s")
    if endpoint.rejections_per_s is not None:
        parts.append(f"bears {endpoint.rejections_per_s:g} rejections/s")
    return ", ".join(parts)


def _format_region(region: RegionReport) -> str:
    parts = [f"excluded: {region.excluded}" if region.excluded else "candidate"]
    if region.wait_s is not None:
        parts.append(f"wait {_format_s(region.wait_s)}")
        parts.append(f"{region.free_slots} free slots, {region.sent} sent since")
    if region.lent_requests is not None:
        parts.append(f"lends {region.lent_requests} requests")
    parts.append(f"through {region.host}, reported {_format_s(region.age_s)} ago")
    return ", ".join(parts)


def _format_s(seconds: float | None) -> str:
    return "-" if seconds is None else f"{seconds:.3f} s"
