"""Tests of the explanation of a decision, without a network and at a gateway."""

import copy
import http.server
import json
import logging
import pickle
import random
import subprocess
import sys
import threading
import unittest
from dataclasses import replace

import curio
import msgspec

from buckthorndeal.configuration import RequestKind
from buckthorndeal.errors import RequestError
from buckthorndeal.explanation import (
    Explanation,
    Outcome,
    fetch_explanation,
    format_explanation,
)
from buckthorndeal.fleet import EndpointState
from buckthorndeal.gateway._drain import Drain
from buckthorndeal.gateway._explanation import explain
from buckthorndeal.gateway._fleet_messages import (
    FleetChanged,
    RegionUpdate,
    SpareCapacity,
)
from buckthorndeal.gateway._latency_limits import MAX_WAIT_SHARE
from buckthorndeal.gateway._messages import Call, Forward, Grant, LoadReport
from buckthorndeal.policy.views import AttemptOutcome
from buckthorndeal.settings import Address
from buckthorndeal.workspaces import Workspace
from tests.dispatcher_harness import ROUTE, DispatcherHarness, create_prompt
from tests.fleet_harness import CALLER_PORT, Fleet, run_fleet
from tests.workspace_harness import ACME, BELL, send, start, wait_for_status

EXPLAINING = "10.1.0.8"
METRICS_PORT = 9003


def create_call(harness, prompt=None, route=ROUTE, **fields):
    now_s = harness.now_s
    return Call(
        "q", route, harness.service, now_s, now_s + route.timeout_s, prompt, **fields
    )


def explain_call(harness, prompt=None, **fields):
    call = create_call(harness, prompt, **fields)
    return explain(harness.dispatcher, call, harness.now_s)


def get_exclusions(explanation):
    return {each.endpoint: each.excluded for each in explanation.endpoints}


def report_region(harness, name="b", service="llm"):
    update = RegionUpdate(name, f"host-{name}", {service: 0.0}, {service: 9})
    harness.dispatcher.update_region(update, harness.now_s)


def freeze(harness):
    """Return the state that decides, without what is remembered of computations."""
    dispatcher = harness.dispatcher
    parts = [
        dispatcher._rng.getstate(),
        dispatcher._remote._wanted,
        dispatcher._remote._moved_s,
        dispatcher._remote._regions,
        dispatcher._budgets,
        dispatcher.admission._services,
        dispatcher.admission._started_s,
        dispatcher.admission.shares,
        dispatcher._passes,
        dispatcher._slot_shares._lingering,
        dispatcher._slot_shares._reduced,
        dispatcher.view._known_services._paces,
        dispatcher._granted,
        dispatcher._ejection,
        dispatcher.relays._sent,
        dispatcher.view.warm_ups,
        dispatcher.view.rate_shares._last_sent_s,
        dispatcher.quota.leases._leases,
        dispatcher.quota._charges,
        dispatcher.quota._waiting,
        dispatcher.crash_guard.quarantine,
        {
            name: (
                load.attempts,
                load.queued,
                load.cache._parts,
                load.cache._tokens,
                load.queued_tokens,
                load.pace,
            )
            for name, load in dispatcher.view.loads.items()
        },
    ]
    return [pickle.dumps(copy.deepcopy(part)) for part in parts]


class ReadOnlyTest(unittest.TestCase):
    """An explanation tells the next decision and changes none."""

    def check(self, harness, decide, **fields):
        """Compare with a decision; nothing that decides may change before it."""
        before = freeze(harness)
        explanation = explain_call(harness, **fields)
        for _ in range(3):
            explain_call(harness, **fields)
        self.assertEqual(freeze(harness), before)
        decision = decide()
        outcome = explanation.outcome
        if decision is None:
            self.assertEqual(outcome.kind, "wait")
        elif isinstance(decision, Grant):
            self.assertEqual(outcome.kind, "endpoint")
            self.assertEqual(outcome.target, decision.record.endpoint)
            self.assertEqual(outcome.predicted_s, decision.predicted_s)
        elif isinstance(decision, Forward):
            self.assertEqual(outcome.kind, "forward")
            self.assertEqual(
                (outcome.target, outcome.region), (decision.host, decision.region)
            )
        else:
            self.assertEqual(outcome.kind, "refusal")
            self.assertEqual(outcome.reason, decision.reason.value)
            self.assertEqual(outcome.status, decision.reason.status)
            self.assertEqual(outcome.retry_after_s, decision.retry_after_s)
            cause = decision.cause.value if decision.cause is not None else None
            self.assertEqual(outcome.cause, cause)
        return explanation

    def test_requests_until_refusals(self):
        """Guards against units, slots, draws or places in a queue that are taken."""
        kinds = set()
        for service in ("llm", "desk"):
            kinds |= self.fill(DispatcherHarness(service=service, slots=4))
        self.assertEqual(kinds, {"endpoint", "wait", "refusal"})

    def fill(self, harness):
        """Send requests beyond the capacity; return the kinds of outcome."""
        kinds = set()
        for number in range(40):
            prompt = None
            if harness.service == "llm":
                prompt = create_prompt(number % 3, number)
            explanation = self.check(
                harness, lambda p=prompt: harness.submit(p), prompt=prompt
            )
            kinds.add(explanation.outcome.kind)
            if number % 4 == 3:
                harness.now_s += 0.05
                harness.send_heartbeats()
        return kinds

    def test_other_regions(self):
        """Guards against another region than that of the decision."""
        harness = DispatcherHarness(slots=1)
        report_region(harness)
        kinds = set()
        for number in range(12):
            prompt = create_prompt(number, number)
            explanation = self.check(
                harness, lambda p=prompt: harness.submit(p), prompt=prompt
            )
            kinds.add(explanation.outcome.kind)
        self.assertIn("forward", kinds)
        self.assertEqual([each.region for each in explanation.regions], ["b"])

    def test_regions_that_lend(self):
        """Guards against wishes towards lenders that an explanation records."""
        harness = DispatcherHarness(endpoints=1, slots=2)
        harness.submit(create_prompt(0, 0))
        report = LoadReport(1, 0, 2, slowdown=1.0)
        harness.dispatcher.record_response_start(1, report, harness.now_s)
        lent = {"llm": SpareCapacity(9, 90_000)}
        update = RegionUpdate("b", "host-b", {"llm": 0.0}, {"llm": 9}, lent=lent)
        harness.dispatcher.update_region(update, harness.now_s)
        for number in range(1, 6):
            prompt = create_prompt(number, number)
            explanation = self.check(
                harness, lambda p=prompt: harness.submit(p), prompt=prompt
            )
        self.assertTrue(harness.dispatcher._remote._wanted)
        self.assertEqual(explanation.regions[0].lent_requests, 9)

    def test_queue(self):
        """Guards against a place in the queue that an explanation takes."""
        harness = DispatcherHarness(endpoints=1, service="desk", slots=15)
        while isinstance(harness.submit(), Grant):
            pass
        for attempt_id in range(1, 19):
            harness.finish(attempt_id)
        while isinstance(harness.submit(), Grant):
            pass
        explanation = self.check(harness, harness.submit)
        self.assertEqual(explanation.outcome.kind, "wait")
        self.assertGreater(explanation.waiting, 0)

    def test_longest_wait(self):
        """Guards against a limit of the wait other than that of the admission."""
        for workspace in (None, Workspace("acme")):
            harness = DispatcherHarness(endpoints=1, service="desk", slots=6)
            fields = {"workspace": workspace}
            while isinstance(harness.submit(call_fields=fields), Grant):
                pass
            explanation = explain_call(harness, **fields)
            objective_s = ROUTE.latency_objective_s
            max_wait_s = explanation.max_wait_s
            if workspace is None:
                self.assertEqual(max_wait_s, MAX_WAIT_SHARE * objective_s)
                continue
            queue = harness.dispatcher.admission.get("desk").queue
            (waiting,) = queue.list_by_rank(harness.now_s)
            self.assertEqual(max_wait_s, waiting.due_s - harness.now_s)
            harness.dispatcher.admission._started_s = harness.now_s
            startup_s = harness.dispatcher.admission.compute_startup_left_s(
                harness.now_s
            )
            self.assertGreater(startup_s, max_wait_s)
            starting = explain_call(harness, **fields)
            self.assertEqual(starting.max_wait_s, startup_s)

    def test_cold_endpoint(self):
        """Guards against a turn for a cold endpoint that an explanation uses up."""
        harness = DispatcherHarness(endpoints=1, service="llm")
        harness.now_s += 5
        harness.send_heartbeats(cold_s=3.0)
        first = self.check(harness, harness.submit)
        self.assertEqual(first.outcome.kind, "endpoint")
        second = self.check(harness, harness.submit)
        self.assertEqual(get_exclusions(second), {"e0": "cold"})

    def test_probe_of_an_ejected_endpoint(self):
        """Guards against a probe that an explanation uses up."""
        harness = DispatcherHarness(endpoints=2, service="desk", slots=8)
        eject(harness, "e0")
        self.assertEqual(get_exclusions(explain_call(harness))["e0"], "ejected")
        harness.now_s += 3
        harness.send_heartbeats()
        route = replace(ROUTE, kind=RequestKind.IDEMPOTENT)
        self.assertEqual(get_exclusions(explain_call(harness))["e0"], "ejected")
        explanation = self.check(
            harness, lambda: harness.submit(route=route), route=route
        )
        self.assertEqual(get_exclusions(explanation), {"e0": None, "e1": None})

    def test_quota(self):
        """Guards against units that an explanation takes, and against a wrong wait."""
        workspace = Workspace("acme", ("k-acme",), rate_per_s=10.0, burst=5.0)
        harness = DispatcherHarness(service="desk")
        clock_s = 100.0
        harness.dispatcher.quota.clock = lambda: clock_s
        harness.dispatcher.quota.set_workspaces([workspace])
        fields = {"workspace": workspace}
        kinds = []
        for number in range(12):
            if number == 8:
                harness.dispatcher.quota.leases.record_failure(clock_s)
            explanation = self.check(
                harness, lambda: harness.submit(call_fields=fields), **fields
            )
            kinds.append((explanation.outcome.kind, explanation.outcome.reason))
            self.assertEqual(explanation.quota.units, 1)
        self.assertIn(("wait", "units of its quota"), kinds)
        self.assertEqual(kinds[-1], ("refusal", "quota_exceeded"))
        self.assertNotIn("k-acme", format_explanation(explanation))
        self.assertIn("acme", format_explanation(explanation))

    def test_quota_that_has_ended(self):
        """Guards against a wait for units that the newest configuration has ended."""
        workspace = Workspace("acme", ("k-acme",), rate_per_s=10.0, burst=5.0)
        harness = DispatcherHarness(service="desk")
        harness.dispatcher.quota.set_workspaces([replace(workspace, rate_per_s=0.0)])
        fields = {"workspace": workspace}
        explanation = self.check(
            harness, lambda: harness.submit(call_fields=fields), **fields
        )
        self.assertEqual(explanation.outcome.kind, "endpoint")
        self.assertIsNone(explanation.quota)

    def test_causes_of_overload(self):
        """Guards against observations of the load that an explanation records.

        These are contention, near misses, credit of late requests, sizes and shares.
        """
        causes = ("backlog", "deadline", "queue")
        for slowdown in (None, 1.0):
            seen = self.overload(DispatcherHarness(endpoints=2, slots=8), slowdown)
            self.assertGreaterEqual(seen, {"endpoint", "wait", *causes})

    def overload(self, harness, slowdown):
        """Mix workspaces, priorities and sizes; return outcomes and causes."""
        seen = set()
        workspaces = [Workspace("acme"), Workspace("bell")]
        routes = [replace(ROUTE, priority=priority) for priority in (0, 2)]
        rng = random.Random(1)
        for number in range(150):
            fields = {"workspace": workspaces[number % 5 == 0]}
            route = routes[rng.random() < 0.7]
            route = replace(route, timeout_s=rng.choice((0.5, 4.0, 9.0)))
            prompt = create_prompt(number, number, rng.choice((100, 5000, 60_000)))
            explanation = self.check(
                harness,
                lambda p=prompt, r=route, f=fields: harness.submit(p, r, call_fields=f),
                prompt=prompt,
                route=route,
                **fields,
            )
            outcome = explanation.outcome
            seen.add(outcome.cause or outcome.kind)
            if outcome.cause is not None:
                self.assertIn(f"({outcome.cause})", format_explanation(explanation))
            harness.now_s += 0.02
            for attempt_id in list(harness.dispatcher._granted)[: number % 2]:
                report = LoadReport(1, 0, 8, slowdown=slowdown)
                harness.dispatcher.record_response_start(
                    attempt_id, report, harness.now_s
                )
                harness.finish(attempt_id)
            if number % 5 == 4:
                harness.send_heartbeats()
                harness.dispatcher.decide_waiting(harness.now_s)
        return seen

    def test_host_that_has_just_started(self):
        """Guards against a startup phase that an explanation begins."""
        harness = DispatcherHarness(endpoints=0, service="desk")
        harness.dispatcher.admission._started_s = None
        explanation = explain_call(harness)
        self.assertEqual(explanation.outcome.kind, "wait")
        self.assertIsNone(harness.dispatcher.admission._started_s)


def eject(harness, name):
    other = [each for each in harness.names if each != name]
    while not harness.dispatcher._ejection.count_ejected(harness.service):
        decision = harness.submit()
        failed = decision.record.endpoint not in other
        outcome = AttemptOutcome.BROKEN if failed else AttemptOutcome.SUCCEEDED
        harness.finish(harness.attempt_id, outcome)
        harness.now_s += 0.05


class ExclusionTest(unittest.TestCase):
    """Each reason for which an endpoint or a region gets nothing is shown."""

    def assert_excluded(self, harness, reason, name="e0", **fields):
        explanation = explain_call(harness, **fields)
        self.assertEqual(get_exclusions(explanation)[name], reason)
        self.assertIn(f"excluded: {reason}", format_explanation(explanation))
        if explanation.outcome.kind == "endpoint":
            self.assertNotEqual(explanation.outcome.target, name)

    def test_conditions(self):
        harness = DispatcherHarness(endpoints=6, service="desk", slots=2)
        harness.send_heartbeats(["e0"], state=EndpointState.DRAINING)
        harness.send_heartbeats(["e1"], failure_domain="a-2")
        fleet = FleetChanged(("h1",), 1, frozenset(["a-2"]))
        harness.view.set_fleet(fleet, harness.now_s)
        loads = harness.view.loads
        record = loads["e2"].entry.record
        harness.view.record_pause(record, 9.0, harness.now_s)
        limited = loads["e3"].entry.record
        harness.view.rate_shares.record_named(limited, 1.0, harness.now_s)
        loads["e4"].entry.last_heartbeat_s = harness.now_s - 5
        names = ("leaving", "evacuated", "paused", "rate_limited", "silent")
        for number, reason in enumerate(names):
            self.assert_excluded(harness, reason, f"e{number}")
        explanation = explain_call(harness)
        self.assertEqual(explanation.outcome.target, "e5")
        self.assertIn("rate limit 1/s", format_explanation(explanation))

    def test_room(self):
        harness = DispatcherHarness(endpoints=1, service="desk", slots=1)
        while isinstance(harness.submit(), Grant):
            pass
        self.assert_excluded(harness, "no_room")

    def test_connections(self):
        harness = DispatcherHarness(endpoints=1, service="desk", slots=500)
        hosts = tuple(f"h{number}" for number in range(1, 50))
        harness.view.set_fleet(FleetChanged(hosts, 49, frozenset()), harness.now_s)
        for _ in range(2):
            self.assertIsInstance(harness.submit(), Grant)
        self.assert_excluded(harness, "no_connection")

    def test_share_of_slots(self):
        harness = DispatcherHarness(endpoints=1, service="desk", slots=3)
        record = harness.view.loads["e0"].entry.record
        harness.view.rate_shares.record_named(record, None, harness.now_s, 2.0)
        while isinstance(harness.submit(), Grant):
            pass
        self.assert_excluded(harness, "no_share")

    def test_regions(self):
        harness = DispatcherHarness(service="desk")
        report_region(harness, "b", "desk")
        report_region(harness, "c", "other")
        report_region(harness, "d", "desk")
        route = replace(ROUTE, home_regions=frozenset("abc"))
        explanation = explain_call(harness, route=route)
        shown = {each.region: each.excluded for each in explanation.regions}
        self.assertEqual(shown, {"b": None, "c": "not_served", "d": "no_home"})
        harness.now_s += 9
        explanation = explain_call(harness, route=route)
        self.assertEqual(explanation.regions[0].excluded, "old_report")

    def test_home_regions(self):
        """Guards against an explanation that leaves out one of the two bounds."""
        harness = DispatcherHarness(service="desk")
        report_region(harness, "b", "desk")
        route = replace(ROUTE, home_regions=frozenset("bc"))
        workspace = Workspace("acme", home_regions=frozenset("ab"))
        explanation = explain_call(harness, route=route, workspace=workspace)
        self.assertEqual(explanation.home_regions, ("b",))
        outcome = explanation.outcome
        self.assertEqual((outcome.kind, outcome.region), ("forward", "b"))
        self.assertEqual(outcome.reason, "home")
        workspace = Workspace("acme", home_regions=frozenset("a"))
        explanation = explain_call(harness, route=route, workspace=workspace)
        self.assertEqual(explanation.home_regions, ())
        self.assertEqual(explanation.outcome.reason, "home_unreachable")
        self.assertIn("Retry-After about", format_explanation(explanation))


async def start_explained(fleet):
    """Start a deployment; return a pool to the metrics address of a gateway."""
    await start(fleet, {**ACME, "rate_per_s": 50.0, "burst": 20.0}, BELL)
    listen = Address(address=EXPLAINING, port=METRICS_PORT)
    await fleet.start_gateway(EXPLAINING, metrics_listen=listen)
    await wait_for_status(fleet, EXPLAINING, "k-acme", 200)
    return fleet.create_pool(EXPLAINING, METRICS_PORT)


class GatewayTest(unittest.TestCase):
    """The metrics address of a gateway explains decisions."""

    def test_explanation_and_refusals(self):
        """Guards against requests, log lines or keys that an explanation leaves."""

        async def test():
            async with Fleet() as fleet:
                pool = await start_explained(fleet)
                endpoint = fleet.endpoints["e0"]
                sent = len(endpoint.requests)
                given = {"host": "x.example", "path": "/stream/1", "workspace": "bell"}
                with self.assertNoLogs("absl", logging.DEBUG):
                    explanation = await fetch_explanation(pool, given)
                self.assertEqual(explanation.outcome.target, "e0")
                self.assertIsNone(explanation.quota)
                self.assertEqual(explanation.route, "stream")
                # It may wait for units here, as a request of this workspace would.
                given["workspace"] = "acme"
                limited = await fetch_explanation(pool, given)
                self.assertEqual(limited.quota.rate_per_s, 50.0)
                self.assertIn("quota ", format_explanation(limited))
                text = format_explanation(explanation)
                for part in ("endpoint e0", "bell", "candidate"):
                    self.assertIn(part, text)
                status, _, body = await pool.fetch(
                    "GET", "/explain?host=x.example&path=/stream/&workspace=acme", []
                )
                self.assertEqual(status, 200)
                self.assertNotIn(b"k-acme", body)
                given["path"] = "/nothing/"
                unknown = await fetch_explanation(pool, given)
                self.assertEqual(unknown.outcome.reason, "not_found")
                self.assertEqual(unknown.outcome.status, 404)
                given = {"host": "x.example", "path": "/stream/"}
                anonymous = await fetch_explanation(pool, given)
                self.assertEqual(anonymous.outcome.status, 401)
                given["path"] = "/open/"
                opened = await fetch_explanation(pool, given)
                self.assertEqual(opened.outcome.target, "e0")
                self.assertEqual(len(endpoint.requests), sent)
                self.assertEqual(await send(fleet, EXPLAINING, "k-acme"), 200)

        run_fleet(test)

    def test_draining_host(self):
        """Guards against an explanation that leaves out the drain of the host."""

        async def test():
            async with Fleet() as fleet:
                pool = await start_explained(fleet)
                context = fleet.gateways[EXPLAINING]._context
                now_s = context.clock()
                context.drain = Drain(now_s + 60.0, random.Random(1))
                given = {"host": "x.example", "path": "/stream/", "workspace": "bell"}
                served = await fetch_explanation(pool, given)
                self.assertEqual(
                    (served.outcome.kind, served.draining), ("endpoint", True)
                )
                context.drain.refuses_streams = True
                before = pickle.dumps((context.drain, context.durations))
                refused = await fetch_explanation(pool, given)
                self.assertEqual(refused.outcome.reason, "draining")
                self.assertGreater(refused.outcome.retry_after_s, 0)
                self.assertIn("it drains", format_explanation(refused))
                after = pickle.dumps((context.drain, context.durations))
                self.assertEqual(before, after)

        run_fleet(test)

    def test_bad_parameters(self):
        """Guards against an answer for another request than the operator meant."""

        async def test():
            async with Fleet() as fleet:
                pool = await start_explained(fleet)
                good = {"host": "x.example", "path": "/open/"}
                for change in (
                    {"host": ""},
                    {"workspace": "k-acme"},
                    {"workspace": ""},
                    {"tokens": "-1"},
                    {"tokens": "1e3"},
                    {"tokens": "9" * 30},
                    {"key": "k-acme"},
                    {"service": "other"},
                ):
                    with self.assertRaises(RequestError) as raised:
                        await fetch_explanation(pool, {**good, **change})
                    self.assertEqual(raised.exception.status, 400, change)
                    self.assertNotIn("k-acme", raised.exception.message)
                twice = "/explain?host=a&host=b&path=/"
                for method, target, expected in (
                    ("GET", "/explain", 400),
                    ("GET", twice, 400),
                    ("POST", "/explain?host=a&path=/", 405),
                    ("GET", "/metrics", 200),
                ):
                    status, _, body = await pool.fetch(method, target, [])
                    self.assertEqual(status, expected, target)
                    if status != 200:
                        self.assertIn("error", json.loads(body))
                prompt = {"tokens": "500", "prefix": "p", "prefix_tokens": "400"}
                explanation = await fetch_explanation(pool, {**good, **prompt})
                self.assertEqual(explanation.outcome.target, "e0")
                with self.assertRaises(RequestError):
                    caller = fleet.create_pool(EXPLAINING, CALLER_PORT)
                    await curio.timeout_after(5, fetch_explanation, caller, good)

        run_fleet(test)


class _CannedGateway(http.server.BaseHTTPRequestHandler):
    """Responds with an explanation that names the target, or with an error."""

    def do_GET(self):
        outcome = Outcome("refusal", reason=self.path, status=503, retry_after_s=1.5)
        body = msgspec.json.encode(Explanation("g", "a", outcome))
        status = 200
        if "workspace=nobody" in self.path:
            status, body = 400, b'{"error": "no workspace has this name"}'
        elif "host=old" in self.path:
            body = b"# HELP a gateway of an older build\n"
        self.send_response(status)
        self.send_header("content-length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        pass


class CommandTest(unittest.TestCase):
    """The command passes its flags on and prints the outcome."""

    def run_command(self, *arguments):
        command = [sys.executable, "-m", "buckthorndeal.command_explain", *arguments]
        return subprocess.run(
            command, capture_output=True, text=True, timeout=60, check=False
        )

    def test_flags_and_errors(self):
        """Guards against lost parameters, and a traceback in place of a message."""
        server = http.server.HTTPServer(("127.0.0.1", 0), _CannedGateway)
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        gateway = f"--gateway=127.0.0.1:{server.server_port}"
        try:
            given = self.run_command(
                gateway, "--host=x.example", "--path=/a/", "--tokens=5"
            )
            unknown = self.run_command(gateway, "--host=x", "--workspace=nobody")
            old = self.run_command(gateway, "--host=old")
        finally:
            server.shutdown()
            thread.join()
            server.server_close()
        self.assertEqual(given.returncode, 0, given.stderr)
        target = "/explain?host=x.example&path=%2Fa%2F&tokens=5"
        expected = f"refused with 503: {target}, Retry-After about 1.500 s"
        self.assertIn(expected, given.stdout)
        self.assertEqual((unknown.returncode, unknown.stdout), (1, ""))
        self.assertEqual(unknown.stderr, "no workspace has this name\n")
        self.assertEqual((old.returncode, old.stdout), (1, ""))
        self.assertIn("metrics address", old.stderr)
        closed = self.run_command(gateway, "--host=x")
        self.assertEqual((closed.returncode, closed.stdout), (1, ""))
        self.assertNotIn("Traceback", closed.stderr)
        self.assertEqual(self.run_command("--gateway=here", "--host=x").returncode, 1)


if __name__ == "__main__":
    unittest.main()
