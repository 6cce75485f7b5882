"""Messages between the tasks of the entry host, and the data of one call.

These classes stay within the process; none of them is sent over the network.
"""

from dataclasses import dataclass, field, replace
from typing import Any

from buckthorndeal.authentication import Authenticator, Identity
from buckthorndeal.charts import Chart, load_chart
from buckthorndeal.directory import HostRecord
from buckthorndeal.errors import Verdict
from buckthorndeal.policy.views import AttemptResult, Decision, RouteRequest
from buckthorndeal.sections import (
    AccountsSection,
    PlatformSection,
    Service,
    SupportSection,
)

# Code of the refusal of a request from another region without a credit.
NO_CREDIT = "no_credit"


@dataclass(frozen=True, slots=True)
class DocumentView:
    """Active sections of the configuration document; replaced as a whole."""

    revision: int
    platform: PlatformSection
    accounts: AccountsSection
    support: SupportSection
    authenticator: Authenticator


@dataclass(frozen=True, slots=True)
class GetDocument:
    """Asks the document task for the active `DocumentView`."""


@dataclass(frozen=True, slots=True)
class PutDocument:
    """Tells the document task to activate a newer `DocumentView`."""

    view: DocumentView


@dataclass(frozen=True, slots=True)
class ChooseRoute:
    """Asks the router task for a `Route`.

    The router task counts the attempt as running until `EndAttempt`.

    Parameters
    ----------
    is_retry : bool
        Whether the request had an attempt before; a retry is charged to the retry
        budget.
    may_hedge : bool
        Whether a second attempt may run in parallel.
    """

    attempt_id: str
    request: RouteRequest
    document: DocumentView
    is_retry: bool = False
    may_hedge: bool = False


@dataclass(frozen=True, slots=True)
class FindOwner:
    """Asks the router task for the host that runs a region's non-idempotent calls.

    Parameters
    ----------
    host : str or None
        The only acceptable host; None accepts any host of the region.
    """

    region: str
    host: str | None


@dataclass(frozen=True, slots=True)
class IsTargetLive:
    """Asks the router task whether the target of an attempt is still alive.

    Parameters
    ----------
    host : str or None
        Entry host that the attempt was forwarded to; None for an endpoint.
    """

    attempt_id: str
    host: str | None


@dataclass(frozen=True, slots=True)
class EndAttempt:
    """Tells the router task that an attempt has ended; an unknown id is ignored."""

    attempt_id: str
    result: AttemptResult | None = None


@dataclass(frozen=True, slots=True)
class Admit:
    """Asks the router task to admit a request; raises RequestError if refused.

    The reply is delayed while the request is queued. It is a `Route` if the request
    is sent to another region instead, and None if it may run here.

    Parameters
    ----------
    forwarded : bool
        Whether another host has already counted the request against the limits.
    borrower : str
        Host of another region that spends a spill credit on the request, or "".
    route_request : ChooseRoute or None
        Message that asks for a route, if the request may leave the region.
    """

    ticket_id: str
    identity: Identity
    service: str
    deadline_s: float
    forwarded: bool = False
    borrower: str = ""
    route_request: ChooseRoute | None = None


@dataclass(frozen=True, slots=True)
class Release:
    """Tells the router task that an admitted or queued request has ended.

    An unknown id is ignored.
    """

    ticket_id: str


@dataclass(frozen=True, slots=True)
class ListEndpoints:
    """Asks the router task for every endpoint that has not left."""


@dataclass(frozen=True, slots=True)
class TakeUnservedCounts:
    """Asks the router task for the unserved requests since the last call, by model.

    A request is unserved if its region had no endpoint of its service; endpoints
    refused by operators do not count.
    """


@dataclass(frozen=True, slots=True)
class ListHosts:
    """Asks the router task for a `DirectoryAnswer` without the hosts in `drained`."""

    region: str
    drained: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ListRegionHosts:
    """Asks the router task for every host of a region, ordered by name."""

    region: str


@dataclass(frozen=True, slots=True)
class HostUpdate:
    """Tells a task that the record of an entry host has changed."""

    record: HostRecord


@dataclass(frozen=True, slots=True)
class Tick:
    """Tells the router task to expire silent endpoints and late requests.

    The reply tells whether requests are queued.

    Parameters
    ----------
    document : DocumentView or None
        Sections with the share of the capacity that may be lent; None skips the
        exchange of spill credits.
    """

    document: DocumentView | None = None


@dataclass(frozen=True, slots=True)
class GetGauges:
    """Asks the router task for its `RouterGauges`."""


@dataclass(frozen=True, slots=True)
class RouterGauges:
    """Values that the router task contributes to the metrics.

    Parameters
    ----------
    waiting, ejected : dict of str to int
        Queued requests and ejected endpoints of each service.
    """

    waiting: dict[str, int]
    ejected: dict[str, int]


@dataclass(frozen=True, slots=True)
class Route:
    """Routing decision of an attempt.

    Parameters
    ----------
    decision : Decision
        The chosen endpoint or region, or the reason why there is none.
    host : HostRecord or None
        Entry host that the call is forwarded to; None for an endpoint.
    hedge_after_s : float or None
        Delay in seconds before a second, parallel attempt; None for none.
    """

    decision: Decision
    host: HostRecord | None = None
    hedge_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Call:
    """A caller's request, parsed and authenticated.

    Parameters
    ----------
    request_id : str
        Id that the caller sees.
    target : str
        Path and query of the request to an entry host.
    endpoint_target : str
        Path and query of the request to an endpoint.
    deadline_s : float
        Deadline on the monotonic clock of this host.
    fields : dict or None
        Decoded body of a model request; None for a plain service.
    prefix_hashes, prompt_tokens
        Hashes of the prompt's prefixes, and its estimated length.
    resume_from : int
        Index of the first token to stream.
    origin : str
        Entry host that the caller chose; "" for this one.
    hops : tuple of str
        Entry hosts that the call passed before this one, oldest first.
    crossed : bool
        Whether the call has left the region of `origin`.
    route : Route or None
        Route of the first attempt, if admission has already chosen it.
    """

    request_id: str
    identity: Identity
    service_name: str
    service: Service
    model: str | None
    method: str
    target: str
    endpoint_target: str
    body: bytes
    content_type: str
    deadline_s: float
    document: DocumentView
    idempotent: bool = True
    idempotency_key: str = ""
    fields: dict[str, Any] | None = None
    prefix_hashes: tuple[int, ...] = ()
    prompt_tokens: int = 0
    stream: bool = False
    resume_from: int = 0
    origin: str = ""
    hops: tuple[str, ...] = ()
    crossed: bool = False
    route: "Route | None" = None

    def replace_body(self, body: bytes) -> "Call":
        """Return the same call with another body."""
        return replace(self, body=body)


@dataclass(slots=True)
class Progress:
    """State of one request in the ``request`` state chart.

    Parameters
    ----------
    chart : Chart
        State chart with a verdict for each state.
    state : str
        Current state.
    hedge : Progress or None
        State of a second attempt that runs in parallel with the first one.
    """

    chart: Chart = field(default_factory=lambda: load_chart("request"))
    state: str = "received"
    hedge: "Progress | None" = None

    def advance(self, event: str) -> None:
        """Move to the next state.

        Raises
        ------
        ChartError
            If the event is not allowed in the current state.
        """
        self.state = self.chart.advance(self.state, event)

    def advance_if_allowed(self, event: str) -> None:
        """Move to the next state if the event is allowed in the current one."""
        if self.chart.allows(self.state, event):
            self.advance(event)

    @property
    def verdict(self) -> Verdict:
        """Verdict for the caller if the request fails in the current state."""
        verdict = self.chart.get_verdict(self.state)
        if verdict is Verdict.NOT_RUN and self.hedge is not None:
            return self.hedge.verdict
        return verdict


@dataclass(frozen=True, slots=True, weakref_slot=True)
class EndpointResponse:
    """Complete response of an endpoint."""

    status: int
    content_type: str
    body: bytes
