"""Tests of endpoints that name a rate limit, over coordinators and gateways."""

import time
import unittest

import curio

from tests.fleet_harness import REQUEST_ID, Fleet, create_configuration, run_fleet

HOSTS = ("10.1.0.7", "10.1.0.8", "10.1.0.9")
LIMIT = ("buckthorndeal-rate-limit", "1")
# An endpoint may get one and a half times its limit in this window, and some more.
WINDOW_S = 4.0
SLACK = 5
# Time within which all hosts keep a limit.
NOTICE_S = 2.0


class LimitedEndpoint:
    """Script of an endpoint that names a limit of one request per second."""

    def __init__(self):
        self.arrivals_s = []
        self.limited = True

    async def answer(self, endpoint, request, responder):
        self.arrivals_s.append(time.monotonic())
        headers = [LIMIT] if self.limited else []
        await endpoint.respond(request, responder, headers=headers)

    def count_most(self, since_s):
        """Return the most arrivals in one window."""
        times_s = [each for each in self.arrivals_s if each >= since_s]
        return max(
            (
                sum(start <= each < start + WINDOW_S for each in times_s)
                for start in times_s
            ),
            default=0,
        )


async def respond(endpoint, request, responder):
    await endpoint.respond(request, responder)


async def send_steadily(fleet, seconds):
    """Send 20 requests per second to all hosts in turn; return how many succeed."""
    started_s = time.monotonic()
    sent = served = 0
    while time.monotonic() - started_s < seconds:
        host = HOSTS[sent % len(HOSTS)]
        headers = [(REQUEST_ID, f"q{sent}")]
        sent += 1
        status, _, _ = await fleet.send_request(host, "/idempotent/x", headers)
        served += status == 200
        await curio.sleep(0.05)
    return served, sent


async def start_limited_fleet(fleet, limited):
    """Start three gateways, a limited endpoint and one that is not."""
    await fleet.start_coordinators()
    await fleet.put_configuration("10.1.0.1", create_configuration(1))
    for host in HOSTS:
        await fleet.start_gateway(host)
    await fleet.start_endpoint("e0", "a-1", limited.answer)
    await fleet.start_endpoint("e1", "a-1", respond)
    for host in HOSTS:
        await fleet.wait_until_ready(host)
    await curio.sleep(0.6)


class RateLimitTest(unittest.TestCase):
    """A limit that an endpoint names holds for all hosts together."""

    def test_limited_endpoint_gets_no_more_than_it_takes_from_all_hosts(self):
        async def check():
            limited = LimitedEndpoint()
            async with Fleet() as fleet:
                await start_limited_fleet(fleet, limited)
                await send_steadily(fleet, NOTICE_S)
                since_s = time.monotonic()
                served, sent = await send_steadily(fleet, WINDOW_S + 1.0)
            self.assertLessEqual(limited.count_most(since_s), 1.5 * WINDOW_S + SLACK)
            self.assertGreater(limited.count_most(since_s), 0)
            self.assertEqual(served, sent)

        run_fleet(check)

    def test_endpoint_whose_limit_is_gone_is_used_by_all_hosts(self):
        async def check():
            limited = LimitedEndpoint()
            async with Fleet() as fleet:
                await start_limited_fleet(fleet, limited)
                await send_steadily(fleet, NOTICE_S)
                limited.limited = False
                await send_steadily(fleet, NOTICE_S + 2.0)
                before = len(limited.arrivals_s)
                await send_steadily(fleet, 2.0)
            self.assertGreater(len(limited.arrivals_s) - before, 5)

        run_fleet(check)

    def test_host_that_starts_later_keeps_a_limit_that_it_was_not_told(self):
        async def check():
            limited = LimitedEndpoint()
            async with Fleet() as fleet:
                await start_limited_fleet(fleet, limited)
                await send_steadily(fleet, NOTICE_S)
                await fleet.start_gateway("10.1.0.6")
                await fleet.wait_until_ready("10.1.0.6")
                await curio.sleep(0.5)
                dispatcher = fleet.gateways["10.1.0.6"]._dispatch._dispatcher
                record = dispatcher.view.loads["e0"].entry.record
                self.assertEqual(dispatcher.view.rate_shares.get_limit(record), 1.0)

        run_fleet(check)


if __name__ == "__main__":
    unittest.main()
