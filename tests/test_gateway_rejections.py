"""Tests of endpoints that fall over when they turn too many requests away."""

import time
import unittest

import curio

from tests.fleet_harness import REQUEST_ID, Fleet, create_configuration, run_fleet

HOSTS = ("10.1.0.7", "10.1.0.8", "10.1.0.9")
SLOTS = 4
WORK_S = 0.15
MAX_REJECTIONS_PER_S = 2
NOT_RUN = ("buckthorndeal-verdict", "not_run")
REJECTION_LIMIT = ("buckthorndeal-rejection-limit", str(MAX_REJECTIONS_PER_S))
# Time within which all hosts know how many rejections endpoints bear.
NOTICE_S = 2.0


class RejectingEndpoint:
    """Script of an endpoint that lets nobody wait."""

    def __init__(self):
        self.running = 0
        self.rejections_s = []

    async def answer(self, endpoint, request, responder):
        if self.running >= SLOTS:
            self.rejections_s.append(time.monotonic())
            headers = [REJECTION_LIMIT, NOT_RUN]
            await endpoint.respond(request, responder, 503, b"", headers)
            return
        self.running += 1
        try:
            await curio.sleep(WORK_S)
        finally:
            self.running -= 1
        await endpoint.respond(request, responder, headers=[REJECTION_LIMIT])

    def count_most(self, since_s):
        """Return the most rejections in one second."""
        times_s = [each for each in self.rejections_s if each >= since_s]
        return max(
            (sum(start <= each < start + 1.0 for each in times_s) for start in times_s),
            default=0,
        )


async def send_all(fleet, per_s, seconds):
    """Send requests to the hosts in turn; return how many are answered with 200."""
    async with curio.TaskGroup() as group:
        for number in range(int(per_s * seconds)):
            host = HOSTS[number % len(HOSTS)]
            headers = [(REQUEST_ID, f"q{number}")]
            target = "/non_idempotent/x"
            await group.spawn(fleet.send_request, host, target, headers)
            await curio.sleep(1 / per_s)
    return sum(status == 200 for status, _, _ in group.results)


async def start_rejecting_fleet(fleet, scripts):
    await fleet.start_coordinators()
    await fleet.put_configuration("10.1.0.1", create_configuration(1))
    for host in HOSTS:
        await fleet.start_gateway(host)
    for number, script in enumerate(scripts):
        await fleet.start_endpoint(f"e{number}", "a-1", script.answer, slots=SLOTS)
    for host in HOSTS:
        await fleet.wait_until_ready(host)
    await curio.sleep(0.6)


class RejectionLimitTest(unittest.TestCase):
    """All hosts together send an endpoint no more than it has slots for."""

    def test_endpoints_turn_no_more_away_than_they_bear(self):
        async def check():
            scripts = [RejectingEndpoint(), RejectingEndpoint()]
            async with Fleet() as fleet:
                await start_rejecting_fleet(fleet, scripts)
                await send_all(fleet, 20, NOTICE_S)
                since_s = time.monotonic()
                served = await send_all(fleet, 90, 4.0)
            for script in scripts:
                self.assertLessEqual(script.count_most(since_s), MAX_REJECTIONS_PER_S)
            # About as many as fit into the slots: 2 x 4 for 4 s.
            self.assertGreater(served, 0.6 * 2 * SLOTS * 4.0 / WORK_S)

        run_fleet(check)


if __name__ == "__main__":
    unittest.main()
