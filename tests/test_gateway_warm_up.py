"""Tests of requests to cold endpoints, around the loss of all coordinators."""

import json
import time
import unittest
from unittest import mock

import curio

from buckthorndeal.gateway import _fleet_view
from buckthorndeal.gateway._cold_checks import MAX_CHECKS
from buckthorndeal.gateway._warm_ups import MAX_ASKING_HOSTS
from tests.fleet_harness import (
    HANG_TIMEOUT_S,
    HEALTH_PATH,
    Fleet,
    create_configuration,
    run_fleet,
)
from tests.warm_up_play import COLD_OVERAGE, COLD_PER_S, MAX_PER_S, count_most

COORDINATOR = "10.1.0.1"
DOMAIN = "a-1"
GATEWAYS = tuple(f"10.1.0.{number}" for number in range(10, 18))
# Connections that requests at a former incarnation keep.
HELD = 8
LATE_GATEWAY = "10.1.0.18"
COLD_S = 4.0
# Longer than any play, also on a busy machine.
COLD_START_S = 20.0
# Time after which all hosts agree on who shares the endpoints.
SETTLED_S = 3.0
# Time in which the last heartbeat before it reaches all hosts.
QUIET_S = 2.0
# Time in which no heartbeat comes after an evacuation.
QUESTION_S = 2.0
ENDPOINT = "buckthorndeal-endpoint"
COLD_MS = "buckthorndeal-cold-ms"


def create_cold_configuration():
    configuration = json.loads(create_configuration(1, max_attempts=1))
    for service in configuration["services"]:
        service["cold_start_s"] = COLD_START_S
        service["cold_rate_per_s"] = COLD_PER_S
    return json.dumps(configuration).encode()


async def call_until(stopped, fleet, host):
    """Send requests to a host until an event is set."""
    number = 0
    while not stopped.is_set():
        number += 1
        headers = [("buckthorndeal-call-id", f"{host}-{number}")]
        await fleet.send_request(host, "/idempotent/x", headers)
        await curio.sleep(0.1)


def play_arrivals(disturb):
    """Return the arrivals at an endpoint, in seconds.

    Parameters
    ----------
    disturb : coroutine function
        Called with the fleet, the endpoint and the list of arrivals while all hosts
        send; what it has removed from the list is not returned.
    """
    arrivals_s = []

    async def respond(endpoint, request, responder):
        arrivals_s.append(time.monotonic())
        await endpoint.respond(request, responder)

    async def test():
        async with Fleet() as fleet:
            await fleet.start_coordinators()
            await fleet.put_configuration(COORDINATOR, create_cold_configuration())
            for host in GATEWAYS:
                await fleet.start_gateway(host)
            endpoint = await fleet.start_endpoint("e1", "a-1", respond)
            for host in GATEWAYS:
                await fleet.wait_until_ready(host)
            await curio.sleep(SETTLED_S)
            stopped = curio.Event()
            callers = [
                await curio.spawn(call_until, stopped, fleet, host) for host in GATEWAYS
            ]
            await disturb(fleet, endpoint, arrivals_s)
            await stopped.set()
            for caller in callers:
                await caller.join()

    run_fleet(test)
    return arrivals_s


class ColdEndpointTest(unittest.TestCase):
    """A cold endpoint gets few requests, whatever hosts know of each other."""

    def play(self, stop_coordinators):
        """Return the arrivals at an endpoint while it is cold, in seconds."""

        async def disturb(fleet, endpoint, arrivals_s):
            endpoint.state["cold_s"] = COLD_S
            await endpoint.send_heartbeat()
            await curio.sleep(0.5)
            arrivals_s.clear()
            if stop_coordinators:
                for host in list(fleet.coordinators):
                    await fleet.stop_coordinator(host)
            await curio.sleep(2.5)

        return play_arrivals(disturb)

    def test_hosts_that_lose_all_coordinators_do_not_all_warm_an_endpoint(self):
        """Guards against hosts that take themselves for the only ones (FAILBACK)."""
        arrivals_s = self.play(stop_coordinators=True)
        self.assertLessEqual(count_most(arrivals_s), MAX_PER_S)
        self.assertGreater(len(arrivals_s), 0.5 * COLD_PER_S)

    def test_one_host_warms_an_endpoint_while_coordinators_run(self):
        arrivals_s = self.play(stop_coordinators=False)
        self.assertLessEqual(count_most(arrivals_s), COLD_OVERAGE * COLD_PER_S + 1)
        self.assertGreater(len(arrivals_s), 0.5 * COLD_PER_S)

    def test_endpoint_that_becomes_cold_once_more_is_not_flooded(self):
        """Guards against a second cold time that hosts never hear of (FAILBACK)."""

        async def disturb(fleet, endpoint, arrivals_s):
            await endpoint.become_cold(COLD_S)
            await curio.sleep(0.5)
            arrivals_s.clear()
            await curio.sleep(0.5)
            # The news has as long as the first cold time to reach all hosts.
            await endpoint.become_cold(COLD_S)
            await curio.sleep(COLD_S - 0.2)

        arrivals_s = play_arrivals(disturb)
        self.assertLessEqual(count_most(arrivals_s), MAX_PER_S)
        self.assertGreater(len(arrivals_s), 0.5 * COLD_PER_S)

    def test_domain_that_is_taken_back_is_not_flooded_before_its_heartbeats(self):
        """Guards against endpoints that became cold while no heartbeat arrived."""

        async def disturb(fleet, endpoint, arrivals_s):
            await fleet.send_evacuation(COORDINATOR, "PUT", DOMAIN)
            await endpoint.fall_silent()
            await curio.sleep(QUIET_S)
            arrivals_s.clear()
            await fleet.send_evacuation(COORDINATOR, "DELETE", DOMAIN)
            await curio.sleep(2.0)

        arrivals_s = play_arrivals(disturb)
        self.assertLessEqual(count_most(arrivals_s), MAX_PER_S)
        self.assertGreater(len(arrivals_s), 0.5 * COLD_PER_S)

    def test_endpoint_that_restarts_before_its_heartbeat_is_not_flooded(self):
        """Guards against an endpoint back under its id that counts as warm."""

        async def disturb(fleet, endpoint, arrivals_s):
            await endpoint.crash(0.5, silent_s=2.0)
            arrivals_s.clear()
            await curio.sleep(1.8)

        arrivals_s = play_arrivals(disturb)
        self.assertLessEqual(count_most(arrivals_s), MAX_PER_S)
        self.assertGreater(len(arrivals_s), 0.5 * COLD_PER_S)

    def test_host_that_starts_after_an_evacuation_does_not_flood_an_endpoint(self):
        """Guards against a host that has never known the domain as evacuated."""

        async def disturb(fleet, endpoint, arrivals_s):
            await fleet.send_evacuation(COORDINATOR, "PUT", DOMAIN)
            await endpoint.fall_silent()
            await curio.sleep(QUIET_S)
            await fleet.send_evacuation(COORDINATOR, "DELETE", DOMAIN)
            arrivals_s.clear()
            await fleet.start_gateway(LATE_GATEWAY)
            stopped = curio.Event()
            caller = await curio.spawn(call_until, stopped, fleet, LATE_GATEWAY)
            await curio.sleep(COLD_S - 0.5)
            await stopped.set()
            await caller.join()

        arrivals_s = play_arrivals(disturb)
        self.assertLessEqual(count_most(arrivals_s), MAX_PER_S)
        self.assertGreater(len(arrivals_s), 0.5 * COLD_PER_S)


class FormerConnectionsTest(unittest.TestCase):
    """Requests at an incarnation that is gone hold up none at the next one."""

    def test_requests_do_not_wait_for_connections_of_a_former_incarnation(self):
        """Guards against requests that wait there and reach it at once (FAILBACK)."""
        arrivals_s, early = [], []
        released = curio.Event()

        async def respond(endpoint, request, responder):
            if request.path.endswith("/held"):
                await released.wait()
            else:
                arrivals_s.append(time.monotonic())
            await endpoint.respond(request, responder)

        async def test():
            async with Fleet() as fleet:
                await fleet.start_coordinators()
                configuration = json.loads(create_cold_configuration())
                configuration["services"][0]["max_connections"] = HELD + 2
                content = json.dumps(configuration).encode()
                await fleet.put_configuration(COORDINATOR, content)
                host = GATEWAYS[0]
                await fleet.start_gateway(host)
                endpoint = await fleet.start_endpoint("e1", "a-1", respond, slots=64)
                await fleet.wait_until_ready(host)
                await curio.sleep(SETTLED_S)
                for number in range(HELD):
                    headers = [("buckthorndeal-call-id", f"held-{number}")]
                    held = (host, "/idempotent/held", headers)
                    await curio.spawn(fleet.send_request, *held, daemon=True)
                await curio.sleep(0.5)
                endpoint.incarnation, endpoint.sequence = 2, 0
                await endpoint.become_cold(COLD_S)
                await curio.sleep(0.5)
                stopped = curio.Event()
                callers = [
                    await curio.spawn(call_until, stopped, fleet, host)
                    for _ in range(HELD)
                ]
                await curio.sleep(2.5)
                early.extend(arrivals_s)
                await released.set()
                await curio.sleep(0.5)
                await stopped.set()
                for caller in callers:
                    await caller.join()

        run_fleet(test)
        self.assertLessEqual(count_most(arrivals_s), MAX_PER_S)
        self.assertGreater(len(early), COLD_PER_S)


class HealthCheckTest(unittest.TestCase):
    """The health path of an endpoint that is taken back tells whether it is cold.

    No heartbeat tells it, and all hosts send.
    """

    def play(self, *health_headers, is_silent=False):
        """Return arrivals after the evacuation, in seconds, and the questions."""
        questions = []

        async def ignore_questions(endpoint, request, responder):
            if request.path == HEALTH_PATH:
                await curio.sleep(QUESTION_S)
            await endpoint.respond(request, responder)

        async def disturb(fleet, endpoint, arrivals_s):
            await fleet.send_evacuation(COORDINATOR, "PUT", DOMAIN)
            await endpoint.fall_silent()
            await curio.sleep(QUIET_S)
            endpoint.health_headers = list(health_headers)
            if is_silent:
                endpoint.script = ignore_questions
            arrivals_s.clear()
            endpoint.requests.clear()
            await fleet.send_evacuation(COORDINATOR, "DELETE", DOMAIN)
            await curio.sleep(QUESTION_S)
            questions.extend(
                each for each in endpoint.requests if each.path == HEALTH_PATH
            )

        # The end of an evacuation may be acknowledged late on a busy machine.
        with mock.patch.object(_fleet_view, "HEARTBEAT_TIMEOUT_S", HANG_TIMEOUT_S):
            return play_arrivals(disturb), questions

    def check_cold_rate(self, arrivals_s):
        self.assertLessEqual(count_most(arrivals_s), MAX_PER_S)
        self.assertGreater(len(arrivals_s), 0.5 * COLD_PER_S)

    def test_warm_endpoint_is_used_before_its_heartbeats(self):
        """Guards against warm endpoints at the cold rate until a heartbeat comes."""
        arrivals_s, questions = self.play((ENDPOINT, "e1"))
        self.assertEqual(len(questions), MAX_ASKING_HOSTS)
        self.assertGreater(len(arrivals_s), 2 * COLD_PER_S * QUESTION_S)

    def test_cold_endpoint_gets_few_questions_and_few_requests(self):
        """Guards against a question of each host to a cold endpoint (FAILBACK)."""
        arrivals_s, questions = self.play((ENDPOINT, "e1"), (COLD_MS, "4000"))
        self.assertEqual(len(questions), MAX_ASKING_HOSTS)
        self.check_cold_rate(arrivals_s)

    def test_another_endpoint_at_the_address_is_not_believed(self):
        """Guards against the answer of a new process behind the same address."""
        arrivals_s, questions = self.play((ENDPOINT, "e2"))
        self.assertEqual(len(questions), MAX_ASKING_HOSTS)
        self.check_cold_rate(arrivals_s)

    def test_malformed_cold_time_is_not_believed(self):
        """Guards against a cold time that is read as none at all."""
        arrivals_s, _ = self.play((ENDPOINT, "e1"), (COLD_MS, "-1"))
        self.check_cold_rate(arrivals_s)

    def test_endpoint_that_does_not_answer_is_asked_no_more_than_twice(self):
        """Guards against questions without end to an endpoint that hangs."""
        arrivals_s, questions = self.play((ENDPOINT, "e1"), is_silent=True)
        self.assertLessEqual(len(questions), MAX_CHECKS * MAX_ASKING_HOSTS)
        self.assertGreater(len(questions), 0)
        self.assertLessEqual(count_most(arrivals_s), MAX_PER_S)


if __name__ == "__main__":
    unittest.main()
