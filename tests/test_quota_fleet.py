"""Tests of quotas over coordinators and gateways in one process."""

import json
import time
import unittest
from unittest import mock

import curio

from buckthorndeal.coordinator import Coordinator
from buckthorndeal.errors import PeerError, Verdict
from buckthorndeal.fleet import QuotaRequest
from buckthorndeal.settings import QuotaSettings
from tests.fleet_harness import REQUEST_ID, Fleet, create_configuration, run_fleet
from tests.workspace_harness import KEY

HOSTS = ("10.1.0.7", "10.1.0.8", "10.2.0.9")
QUOTA = QuotaSettings(window_s=4.0, overage=0.1, slack=0.0)
RATE = 40.0
WORKSPACE = "w"
WORKSPACE_KEY = "k-w"


def create_limited_configuration(version=1, rate_per_s=RATE):
    body = json.loads(create_configuration(version))
    for route in body["routes"]:
        route["allows_anonymous"] = True
    body["workspaces"] = [
        {"name": WORKSPACE, "keys": [WORKSPACE_KEY], "rate_per_s": rate_per_s}
    ]
    return json.dumps(body).encode()


class Callers:
    """Callers that send steadily to all gateways, and what came of it."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.sent = 0
        self.responses = []

    async def send_for(self, seconds, per_s=150.0):
        end_s = time.monotonic() + seconds
        async with curio.TaskGroup() as group:
            while time.monotonic() < end_s:
                await group.spawn(self.send, HOSTS[self.sent % len(HOSTS)])
                await curio.sleep(1 / per_s)

    async def send(self, host):
        self.sent += 1
        headers = [(REQUEST_ID, f"q{self.sent}"), (KEY, WORKSPACE_KEY)]
        response = await self.fleet.send_request(host, "/non_idempotent/x", headers)
        self.responses.append((time.monotonic(), *response))

    def count(self, status, since_s=0.0):
        return sum(each[1] == status for each in self.responses if each[0] >= since_s)


def count_most(times_s, window_s, since_s=0.0):
    """Return the most arrivals in any window that starts at `since_s` or later."""
    times_s = [each for each in times_s if each >= since_s]
    return max(
        (
            sum(start <= each <= start + window_s for each in times_s[first:])
            for first, start in enumerate(times_s)
        ),
        default=0,
    )


async def start_limited_fleet(fleet, arrivals_s):
    async def answer(endpoint, request, responder):
        arrivals_s.append(time.monotonic())
        await endpoint.respond(request, responder)

    await fleet.start_coordinators()
    await fleet.put_configuration("10.1.0.1", create_limited_configuration())
    for host in HOSTS:
        await fleet.start_gateway(host, quota=QUOTA)
    await fleet.start_endpoint("e0", "a-1", answer, slots=64)
    await fleet.start_endpoint("e1", "b-1", answer, slots=64)
    for host in HOSTS:
        await fleet.wait_until_ready(host)
    await curio.sleep(2.0)


def find_leader(fleet):
    for host, coordinator in fleet.coordinators.items():
        if coordinator._get_leadership()[0] is not None:
            return host
    return None


async def wait_for_leader(fleet):
    while find_leader(fleet) is None:
        await curio.sleep(0.05)
    return find_leader(fleet)


class QuotaFleetTest(unittest.TestCase):
    def check_refusals(self, callers, arrivals_s):
        """Check that what was refused was not run, and says when to return."""
        self.assertEqual(len(arrivals_s), callers.count(200))
        refused = [each for each in callers.responses if each[1] == 429]
        self.assertTrue(refused)
        for _, _, headers, _ in refused:
            self.assertGreater(float(headers["retry-after"]), 0)
        statuses = {each[1] for each in callers.responses}
        self.assertLessEqual(statuses, {200, 429})

    def test_limit_holds_while_the_leader_is_killed(self):
        """Guards against two leaders that grant a quota twice, and against none."""

        async def main():
            arrivals_s = []
            async with Fleet(quota=QUOTA) as fleet:
                await start_limited_fleet(fleet, arrivals_s)
                leader = await wait_for_leader(fleet)
                callers = Callers(fleet)
                task = await curio.spawn(callers.send_for, 12.0)
                await curio.sleep(4.0)
                await fleet.stop_coordinator(leader)
                await task.join()
                end_s = time.monotonic()
                bound = RATE * QUOTA.window_s * (1 + QUOTA.overage)
                self.assertLessEqual(count_most(arrivals_s, QUOTA.window_s), bound)
                self.check_refusals(callers, arrivals_s)
                self.assertGreater(callers.count(200, end_s - 3.0), RATE)

        run_fleet(main)

    def test_lower_limit_binds_within_four_seconds(self):
        """Guards against grants and fallback shares of the former limit."""

        async def main():
            arrivals_s = []
            async with Fleet(quota=QUOTA) as fleet:
                await start_limited_fleet(fleet, arrivals_s)
                await wait_for_leader(fleet)
                callers = Callers(fleet)
                task = await curio.spawn(callers.send_for, 12.0)
                await curio.sleep(2.0)
                content = create_limited_configuration(2, RATE / 4)
                status, _ = await fleet.put_configuration("10.1.0.1", content)
                self.assertEqual(status, 200)
                since_s = time.monotonic() + 4.0
                await task.join()
                bound = RATE / 4 * QUOTA.window_s * (1 + QUOTA.overage)
                most = count_most(arrivals_s, QUOTA.window_s, since_s)
                self.assertLessEqual(most, bound)
                self.assertGreater(most, 0)
                self.check_refusals(callers, arrivals_s)

        run_fleet(main)

    def test_coordinators_of_an_older_build_cost_only_the_grants(self):
        """Guards against links that break over messages that a build does not know."""

        async def main():
            arrivals_s = []
            handle_call = Coordinator._handle_call

            async def refuse(self, message, *args):
                if isinstance(message, QuotaRequest):
                    raise PeerError("malformed payload", Verdict.NOT_RUN)
                return await handle_call(self, message, *args)

            async with Fleet(quota=QUOTA) as fleet:
                with mock.patch.object(Coordinator, "_handle_call", refuse):
                    await start_limited_fleet(fleet, arrivals_s)
                    callers = Callers(fleet)
                    await callers.send_for(2.0)
                    self.check_refusals(callers, arrivals_s)
                    status, _, _ = await fleet.send_request(HOSTS[0], "/idempotent/x")
                    self.assertEqual(status, 200)
                callers = Callers(fleet)
                await callers.send_for(4.0)
                self.assertGreater(callers.count(200), RATE)

        run_fleet(main)


if __name__ == "__main__":
    unittest.main()
