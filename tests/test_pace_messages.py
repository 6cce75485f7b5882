"""Tests of what a gateway tells its dispatcher about responses."""

import inspect
import unittest
from unittest import mock

import curio

from buckthorndeal.gateway._dispatcher import Dispatcher
from tests.fleet_harness import (
    GATEWAY,
    Fleet,
    create_stream_events,
    run_fleet,
    start_serving,
)


class ObservationTest(unittest.TestCase):
    """Responses tell whether they count for the speed, and for how many events."""

    def observe(self, script, target):
        """Return the calls of the dispatcher that a request leads to."""
        started, ended = [], []
        record_start = Dispatcher.record_response_start
        finish = Dispatcher.finish_attempt
        signature = inspect.signature(finish)

        def watch_start(self, attempt_id, report, now_s, is_failure=False, age_s=0.0):
            started.append((is_failure, age_s))
            record_start(self, attempt_id, report, now_s, is_failure, age_s)

        def watch_end(self, *arguments, **fields):
            call = signature.bind(self, *arguments, **fields)
            ended.append(call.arguments["events"])
            finish(self, *arguments, **fields)

        async def test():
            async with Fleet() as fleet:
                await start_serving(fleet, script)
                with (
                    mock.patch.object(Dispatcher, "record_response_start", watch_start),
                    mock.patch.object(Dispatcher, "finish_attempt", watch_end),
                ):
                    await fleet.send_request(GATEWAY, target)
                    while not ended:
                        await curio.sleep(0.05)

        run_fleet(test)
        return started, ended

    def test_error_is_reported_as_a_failure(self):
        """Guards against a quick 500 or 404 that counts as a quick response."""
        for status, is_failure in ((500, True), (404, True), (200, False)):

            async def script(endpoint, request, responder, status=status):
                await endpoint.respond(request, responder, status)

            started, _ = self.observe(script, "/non_idempotent/")
            self.assertEqual([each for each, _ in started], [is_failure], status)

    def test_events_of_a_stream_are_counted(self):
        """Guards against a pace that is never learned."""

        async def script(endpoint, request, responder):
            await endpoint.start_stream(request, responder)
            for number in range(6):
                await responder.send(create_stream_events(number, number))
                # Longer than the caller takes for an event on a busy machine.
                await curio.sleep(0.2)
            await responder.finish()

        started, ended = self.observe(script, "/stream/")
        self.assertEqual([each for each, _ in started], [False])
        self.assertTrue(all(age_s >= 0 for _, age_s in started))
        self.assertEqual(ended, [6])


if __name__ == "__main__":
    unittest.main()
