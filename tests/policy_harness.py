"""Harness that runs the state of a router task on an injected clock."""

import itertools
import random

from buckthorndeal.directory import HostRecord, create_directory
from buckthorndeal.entry._document import create_document_view
from buckthorndeal.entry._messages import ChooseRoute, EndAttempt, HostUpdate
from buckthorndeal.entry._policy import create_policy
from buckthorndeal.entry._router import RouterState
from buckthorndeal.policy.views import AttemptOutcome, AttemptResult, RouteRequest
from buckthorndeal.registry import Announcement, Heartbeat
from buckthorndeal.sections import parse_section
from tests.support import PLATFORM

VIEW = create_document_view(
    parse_section("platform", PLATFORM),
    parse_section("accounts", '{"workspaces": {}}'),
    parse_section("support", "{}"),
)
# Time after the announcements at which slow start has ended.
START_S = 100.0


class Host:
    """Router state of one entry host.

    Parameters
    ----------
    hosts : sequence of (str, str)
        Names and regions of all hosts, this one included.
    """

    def __init__(self, name="e1", hosts=(("e1", "r1"),), seed=1, region="r1"):
        self.name = name
        self.region = region
        self.now_s = 0.0
        rng = random.Random(seed)
        self.policy = create_policy(region, rng)
        self.state = RouterState(
            name, region, create_directory([], rng), self.policy, lambda: self.now_s
        )
        self.ids = (f"{name}-{number}" for number in itertools.count())
        for host, host_region in hosts:
            record = HostRecord(host, host_region, "127.0.0.1", 1)
            self.state.handle(HostUpdate(record))

    def announce(self, *names, service="llm", slots=8):
        """Announce endpoints and send their first load report at `START_S`."""
        for name in names:
            message = Announcement(
                name=name,
                incarnation=1,
                service=service,
                region=self.region,
                failure_domain=f"{self.region}-1",
                address="127.0.0.1",
                port=1,
                models=("m",) if service == "llm" else (),
                slots=slots,
            )
            self.state.handle(message)
        self.now_s = START_S
        self.report(*names)

    def report(self, *names, **fields):
        """Send load reports of endpoints."""
        for name in names:
            self.state.handle(Heartbeat(name=name, incarnation=1, **fields))

    def choose(self, service="llm", **fields):
        """Choose a route; return the attempt's id and the route."""
        request = RouteRequest(
            "id",
            "free",
            service,
            "m" if service == "llm" else None,
            fields.pop("deadline_s", self.now_s + 10),
            "r1",
            **fields,
        )
        attempt_id = next(self.ids)
        route = self.state.handle(ChooseRoute(attempt_id, request, VIEW))
        return attempt_id, route

    def end(self, attempt_id, route, outcome=AttemptOutcome.SUCCEEDED, total_s=0.1):
        """End an attempt with a result."""
        endpoint = route.decision.endpoint
        result = AttemptResult(endpoint.name, 1, endpoint.service, outcome, total_s)
        self.state.handle(EndAttempt(attempt_id, result))
