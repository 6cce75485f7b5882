"""Test harness for a dispatcher without a network and on a simulated clock."""

import random

from buckthorndeal.configuration import (
    EngineDescription,
    RequestKind,
    Route,
    ServiceDescription,
    WeightedService,
)
from buckthorndeal.fleet import EndpointRecord, EndpointState
from buckthorndeal.gateway._dispatch_options import DispatchOptions
from buckthorndeal.gateway._dispatcher import Dispatcher
from buckthorndeal.gateway._fleet_messages import (
    FleetChanged,
)
from buckthorndeal.gateway._fleet_view import FleetView
from buckthorndeal.gateway._messages import (
    Call,
    Dispatch,
)
from buckthorndeal.gateway._prompts import Prompt, PromptPart
from buckthorndeal.policy.ejection import create_ejection
from buckthorndeal.policy.views import AttemptOutcome

ENGINE = ServiceDescription("llm", "/h", 100, 3.0, 2.9, EngineDescription(64, 300_000))
DESK = ServiceDescription("desk", "/h", 100)
ROUTE = Route(
    "r",
    "x",
    "/",
    RequestKind.STREAM,
    4.0,
    0.8,
    1,
    (WeightedService("llm", 1),),
)


class DispatcherHarness:
    """Dispatcher of one host, by default in region ``a``, on a simulated clock."""

    def __init__(
        self,
        endpoints=3,
        service="llm",
        slots=64,
        host="h1",
        region="a",
        **options,
    ):
        self.now_s = 100.0
        self.region = region
        self.dispatcher = Dispatcher(
            host,
            region,
            FleetView(host),
            DispatchOptions(**options),
            create_ejection(),
            random.Random(1),
        )
        self.view = self.dispatcher.view
        self.view.set_fleet(FleetChanged((host,), 1, frozenset()), self.now_s - 10.0)
        self.view.set_services({"llm": ENGINE, "desk": DESK})
        self.sequence = 0
        self.attempt_id = 0
        self.names = [f"e{number}" for number in range(endpoints)]
        self.service = service
        self.slots = slots
        self.send_heartbeats()
        # The startup phase is over.
        self.dispatcher.admission._started_s = 0.0

    def send_heartbeats(self, names=None, **fields):
        self.sequence += 1
        for name in names if names is not None else self.names:
            values = {
                "endpoint": name,
                "incarnation": 1,
                "sequence": self.sequence,
                "service": self.service,
                "region": self.region,
                "failure_domain": f"{self.region}-1",
                "address": f"10.0.0.{name[1:]}:80",
                "slots": self.slots,
                "state": EndpointState.READY,
                **fields,
            }
            self.view.record_heartbeat(EndpointRecord(**values), self.now_s)

    def submit(
        self,
        prompt=None,
        route=ROUTE,
        hops=(),
        content=None,
        request_id=None,
        call_fields=None,
        **fields,
    ):
        self.attempt_id += 1
        service = self.service
        call = Call(
            request_id or f"q{self.attempt_id}",
            route,
            service,
            self.now_s,
            self.now_s + route.timeout_s,
            prompt,
            hops=hops,
            content=content,
            **(call_fields or {}),
        )
        return self.dispatcher.submit(
            Dispatch(self.attempt_id, call, **fields), self.now_s
        )

    def finish(self, attempt_id, outcome=AttemptOutcome.SUCCEEDED, closed=False):
        self.dispatcher.finish_attempt(attempt_id, outcome, self.now_s, closed)


def create_prompt(prefix, number, tokens=1000):
    parts = (
        PromptPart("root", 2500),
        PromptPart(f"text{prefix}", 3800),
        PromptPart(f"own{number}", tokens),
    )
    return Prompt("m", 6300 + tokens, 50, parts)
