"""Tests of admission control in the router task: overload, queueing and release."""

import collections
import heapq
import itertools
import unittest

import curio
import msgspec

from buckthorndeal.authentication import Identity
from buckthorndeal.entry._messages import Admit, Release, Tick
from buckthorndeal.entry._router import DEFERRED
from buckthorndeal.errors import RequestError, Verdict
from buckthorndeal.registry import LeaveNotice
from buckthorndeal.sections import Workspace
from tests.policy_harness import Host
from tests.support import ClusterCase, answer_with

SERVICE_S = 0.1
SLOTS = 4
ENDPOINTS = ("x", "y")
DEADLINE_S = 1.0
WORKSPACE = Workspace(
    key_hashes=("0" * 64,),
    home_region="r1",
    requests_per_s=1e6,
    burst=100_000,
    concurrency=100_000,
)


class _Overload:
    """Callers of one host whose endpoints serve `SLOTS` requests at a time."""

    def __init__(self):
        self.host = Host()
        self.host.announce(*ENDPOINTS, service="desk", slots=SLOTS)
        self.events = []
        self.order = itertools.count()
        self.free_s = {name: [0.0] * SLOTS for name in ENDPOINTS}
        self.sent_s = {}
        self.attempts = {}
        self.answered = 0
        self.refusals = []

    def schedule(self, time_s, function, *arguments):
        event = (time_s, next(self.order), function, arguments)
        heapq.heappush(self.events, event)

    def run(self, rate_per_s, duration_s):
        start_s = self.host.now_s
        for number in range(int(rate_per_s * duration_s)):
            self.schedule(start_s + number / rate_per_s, self.arrive, str(number))
        for number in range(int((duration_s + DEADLINE_S) / 0.05)):
            self.schedule(start_s + number * 0.05, self.tick, number)
        while self.events:
            self.host.now_s, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
            for ticket_id, error in self.host.state.take_results():
                self.start(ticket_id) if error is None else self.refuse(
                    ticket_id, error
                )

    def tick(self, number):
        if number % 20 == 0:
            for name, slots in self.free_s.items():
                running = sum(time_s > self.host.now_s for time_s in slots)
                self.host.report(name, running=running)
        self.host.state.handle(Tick())

    def arrive(self, ticket_id):
        now_s = self.host.now_s
        self.sent_s[ticket_id] = now_s
        identity = Identity("free", WORKSPACE)
        message = Admit(ticket_id, identity, "desk", now_s + DEADLINE_S)
        try:
            if self.host.state.handle(message) is not DEFERRED:
                self.start(ticket_id)
        except RequestError as error:
            self.refuse(ticket_id, error)

    def start(self, ticket_id):
        deadline_s = self.sent_s[ticket_id] + DEADLINE_S
        attempt = self.host.choose("desk", deadline_s=deadline_s)
        endpoint = attempt[1].decision.endpoint
        if endpoint is None:
            self.refuse(ticket_id, None)
            return
        slots = self.free_s[endpoint.name]
        start_s = max(self.host.now_s, heapq.heappop(slots))
        heapq.heappush(slots, start_s + SERVICE_S)
        sent_s = self.host.now_s
        self.schedule(start_s + SERVICE_S, self.end, ticket_id, attempt, sent_s)

    def end(self, ticket_id, attempt, sent_s):
        now_s = self.host.now_s
        self.host.end(*attempt, total_s=now_s - sent_s)
        self.answered += now_s <= self.sent_s[ticket_id] + DEADLINE_S
        self.host.state.handle(Release(ticket_id))

    def refuse(self, ticket_id, error):
        self.refusals.append((self.host.now_s - self.sent_s[ticket_id], error))
        self.host.state.handle(Release(ticket_id))


class OverloadTest(unittest.TestCase):
    """Load of three times the capacity."""

    def test_overload_is_refused_early_and_keeps_goodput(self):
        """Guards against overload that makes every request miss its deadline."""
        load = _Overload()
        capacity_per_s = SLOTS * len(ENDPOINTS) / SERVICE_S
        duration_s = 10
        load.run(3 * capacity_per_s, duration_s)
        self.assertGreaterEqual(load.answered, 0.9 * capacity_per_s * duration_s)
        total = load.answered + len(load.refusals)
        self.assertEqual(total, 3 * capacity_per_s * duration_s)
        for waited_s, error in load.refusals:
            # Bound: a quarter of the deadline plus one tick.
            self.assertLessEqual(waited_s, 0.25 * DEADLINE_S + 0.05 + 1e-6)
            self.assertIs(error.verdict, Verdict.NOT_RUN)
            self.assertGreater(error.retry_after_s, 0)
        self.assertEqual(load.host.state.handle(Tick()), False)

    def test_queued_requests_are_admitted_when_the_last_endpoint_has_left(self):
        """Guards against requests that stay queued for endpoints that have left."""
        load = _Overload()
        for number in range(20):
            load.arrive(str(number))
        waiting = 20 - 10 - len(load.refusals)
        self.assertGreater(waiting, 0)
        for name in ENDPOINTS:
            load.host.state.handle(LeaveNotice(name=name, incarnation=1))
        load.host.state.handle(Tick())
        results = load.host.state.take_results()
        self.assertEqual(len(results), waiting)
        self.assertEqual({error for _, error in results}, {None})


class QueueTest(ClusterCase):
    """Queued requests of a host on real sockets."""

    def test_request_of_a_disconnected_caller_is_dropped_from_the_queue(self):
        """Guards against capacity and tickets held for disconnected callers."""
        released = curio.Event()
        served = collections.Counter()

        async def hold(request, responder):
            served[request.path] += 1
            await released.wait()
            await answer_with(b"1")(request, responder)

        async def scenario(cluster):
            await cluster.add_endpoint("e", "desk", hold, slots=1)
            router = cluster.hosts[0].router_mailbox
            # With REQUESTS_PER_SLOT, one slot admits one request.
            first = await curio.spawn(cluster.fetch, "GET", "/services/desk/1")
            while not served:
                await curio.sleep(0.002)
            leaving = await curio.spawn(cluster.fetch, "GET", "/services/desk/2")
            while not await router.ask(Tick()):
                await curio.sleep(0.002)
            staying = await curio.spawn(cluster.fetch, "GET", "/services/desk/3")
            await curio.sleep(0.05)
            await leaving.cancel()
            while cluster.hosts[0].running_requests > 2:
                await curio.sleep(0.002)
            await released.set()
            answers = [await first.join(), await staying.join()]
            while cluster.hosts[0].running_requests:
                await curio.sleep(0.002)
            state = await router.ask(Tick())
            last = await cluster.fetch("GET", "/services/desk/4")
            return [status for status, *_ in (*answers, last)], state

        self.assertEqual(self.run_cluster(scenario), ([200] * 3, False))
        self.assertEqual(served, {"/1": 1, "/3": 1, "/4": 1})

    def test_queued_request_is_refused_within_a_quarter_of_its_deadline(
        self,
    ):
        """Guards against a refusal that is only sent at the deadline."""
        released = curio.Event()

        async def hold(request, responder):
            await released.wait()
            await answer_with(b"1")(request, responder)

        async def scenario(cluster):
            await cluster.add_endpoint("e", "desk", hold, slots=1)
            first = await curio.spawn(cluster.fetch, "GET", "/services/desk/1")
            while not cluster.servers[0].active_requests:
                await curio.sleep(0.002)
            headers = [("buckthorndeal-deadline-ms", "8000")]
            answer = await cluster.fetch("GET", "/services/desk/2", headers=headers)
            still_held = cluster.servers[0].active_requests
            metrics = (await cluster.fetch("GET", "/metrics"))[2]
            refused = b'refusals_total{reason="deadline",service="desk"} 1'
            self.assertIn(refused, metrics)
            self.assertIn(b'queue_length{service="desk"} 0', metrics)
            self.assertIn(b'ejected_endpoints{service="desk"} 0', metrics)
            await released.set()
            await first.join()
            return answer, still_held

        (status, headers, body), still_held = self.run_cluster(scenario)
        error = msgspec.json.decode(body)["error"]
        self.assertEqual((status, error["verdict"]), (503, "not_run"))
        self.assertGreater(error["retry_after_s"], 0)
        self.assertEqual(still_held, 1)
        self.assertIn("retry-after", headers)
