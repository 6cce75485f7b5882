"""A router task's state on an injected clock, without sockets."""

import itertools
import random

from buckthorndeal._entry_document import create_document_view
from buckthorndeal._entry_messages import ChooseRoute, EndAttempt, HostSeen
from buckthorndeal._entry_policy import create_policy
from buckthorndeal._entry_router import RouterState
from buckthorndeal.directory import HostRecord, create_directory
from buckthorndeal.registry import Announcement, Heartbeat
from buckthorndeal.sections import parse_section
from buckthorndeal.views import AttemptOutcome, AttemptResult, RouteRequest
from tests.support import PLATFORM

VIEW = create_document_view(
    parse_section("platform", PLATFORM),
    parse_section("accounts", '{"workspaces": {}}'),
    parse_section("support", "{}"),
)
# Endpoints announced this long ago have no slow start any more.
START_S = 100.0


class Host:
    """The router state of one host of region ``r1``."""

    def __init__(self, name="e1", hosts=("e1",), seed=1):
        self.now_s = 0.0
        rng = random.Random(seed)
        self.policy = create_policy("r1", rng)
        self.state = RouterState(
            name, "r1", create_directory([], rng), self.policy, lambda: self.now_s
        )
        self.ids = (f"{name}-{number}" for number in itertools.count())
        for host in hosts:
            record = HostRecord(host, "r1", "127.0.0.1", 1)
            self.state.handle(HostSeen(record))

    def announce(self, *names, service="llm", slots=8):
        for name in names:
            message = Announcement(
                name=name,
                incarnation=1,
                service=service,
                region="r1",
                failure_domain="r1-1",
                address="127.0.0.1",
                port=1,
                models=("m",) if service == "llm" else (),
                slots=slots,
            )
            self.state.handle(message)
        self.now_s = START_S
        self.report(*names)

    def report(self, *names, **fields):
        for name in names:
            self.state.handle(Heartbeat(name=name, incarnation=1, **fields))

    def choose(self, service="llm", **fields):
        """Return the attempt id and the route of a request."""
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
        endpoint = route.decision.endpoint
        result = AttemptResult(endpoint.name, 1, endpoint.service, outcome, total_s)
        self.state.handle(EndAttempt(attempt_id, result))
