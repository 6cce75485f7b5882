"""Messages between the tasks of the entry host, and the data of one call."""

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
    """The sections in force; replaced as a whole."""

    revision: int
    platform: PlatformSection
    accounts: AccountsSection
    support: SupportSection
    authenticator: Authenticator


@dataclass(frozen=True, slots=True)
class GetDocument:
    """Asks the document task for the `DocumentView` in force."""


@dataclass(frozen=True, slots=True)
class PutDocument:
    """Tells the document task of a newer `DocumentView`."""

    view: DocumentView


@dataclass(frozen=True, slots=True)
class ChooseRoute:
    """Asks the router task for a `Route`; counts the attempt until it ends.

    Parameters
    ----------
    is_retry : bool
        Whether the request has had an attempt before; a retry is taken from the
        budget.
    may_hedge : bool
        Whether a second attempt may run beside this one.
    """

    attempt_id: str
    request: RouteRequest
    document: DocumentView
    is_retry: bool = False
    may_hedge: bool = False


@dataclass(frozen=True, slots=True)
class FindOwner:
    """Asks the router task for the host that takes a region's bookings.

    Without `host` this is any host of the region.
    """

    region: str
    host: str | None


@dataclass(frozen=True, slots=True)
class IsTargetLive:
    """Asks the router task whether the target of an attempt is still there."""

    attempt_id: str
    host: str | None


@dataclass(frozen=True, slots=True)
class EndAttempt:
    """Tells the router task that an attempt ended; an unknown id is ignored."""

    attempt_id: str
    result: AttemptResult | None = None


@dataclass(frozen=True, slots=True)
class Admit:
    """Asks the router task to admit a request; raises RequestError if refused.

    The answer comes when the request may run, so an asker may wait in the queue. It
    is a `Route` if the request goes to another region instead, and else None.

    Parameters
    ----------
    forwarded : bool
        Whether another host has counted the request already.
    borrower : str
        Host of another region that pays with a credit for the request.
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
    """Ends the admission of a request; an unknown id is ignored."""

    ticket_id: str


@dataclass(frozen=True, slots=True)
class ListEndpoints:
    """Asks the router task for every endpoint that has not left."""


@dataclass(frozen=True, slots=True)
class TakeUnservedCounts:
    """Asks for the requests that found no copy since the last call, by model."""


@dataclass(frozen=True, slots=True)
class ListHosts:
    """Asks the router task for a `DirectoryAnswer` without the hosts in `drained`."""

    region: str
    drained: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ListRegionHosts:
    """Asks the router task for every host of a region, by name."""

    region: str


@dataclass(frozen=True, slots=True)
class HostUpdate:
    """Tells the router task of an entry host and its state."""

    record: HostRecord


@dataclass(frozen=True, slots=True)
class Tick:
    """Tells the router task to expire what is silent or late.

    The answer says whether requests wait in a queue. `document` gives the shares of
    the capacity that may be lent.
    """

    document: DocumentView | None = None


@dataclass(frozen=True, slots=True)
class GetGauges:
    """Asks the router task for its `PolicyFigures`."""


@dataclass(frozen=True, slots=True)
class RouterGauges:
    """Gauges of the router task.

    Parameters
    ----------
    waiting, ejected : dict of str to int
        Waiting requests and ejected endpoints of each service.
    """

    waiting: dict[str, int]
    ejected: dict[str, int]


@dataclass(frozen=True, slots=True)
class Route:
    """A decision, with the host to forward to if the region is another one.

    Parameters
    ----------
    hedge_after_s : float or None
        When to start a second attempt beside this one; None for never.
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
        Path and query towards the caller's entry host.
    endpoint_target : str
        Path and query towards an endpoint.
    fields : dict or None
        Decoded body of a model request.
    prefix_hashes, prompt_tokens
        Hashes of the prompt's prefixes and the estimate of its length.
    hops : tuple of str
        Hosts passed before this one.
    route : Route or None
        Route of the first attempt, if admission has chosen it.
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
    """State of one request in the request chart.

    Parameters
    ----------
    chart : Chart
        Chart that gives the verdict of each state.
    state : str
        Current state.
    hedge : Progress or None
        State of a second attempt that runs beside the first one.
    """

    chart: Chart = field(default_factory=lambda: load_chart("request"))
    state: str = "received"
    hedge: "Progress | None" = None

    def advance(self, event: str) -> None:
        """Move to the next state."""
        self.state = self.chart.advance(self.state, event)

    def advance_if_allowed(self, event: str) -> None:
        """Move to the next state if the event is allowed here."""
        if self.chart.allows(self.state, event):
            self.advance(event)

    @property
    def verdict(self) -> Verdict:
        """Verdict of a failure in the current state."""
        verdict = self.chart.get_verdict(self.state)
        if verdict is Verdict.NOT_RUN and self.hedge is not None:
            return self.hedge.verdict
        return verdict


@dataclass(frozen=True, slots=True)
class EndpointResponse:
    """A whole answer of an endpoint."""

    status: int
    content_type: str
    body: bytes
