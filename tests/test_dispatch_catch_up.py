"""Tests of a host that goes on after its process was stopped for some seconds."""

import unittest
from unittest import mock

import curio

from buckthorndeal.fleet import EndpointRecord, EndpointState
from buckthorndeal.gateway._backlog import MIN_STOP_S, Backlog
from buckthorndeal.gateway._contact import EndpointContact
from buckthorndeal.gateway._dispatch_task import DispatchTask
from buckthorndeal.gateway._fleet_messages import HeartbeatsReceived
from buckthorndeal.gateway._messages import AttemptEnded, Call, Dispatch, Grant
from buckthorndeal.mailbox import create_mailbox
from buckthorndeal.metrics import Metrics
from tests.dispatcher_harness import ROUTE, DispatcherHarness

REQUESTS = 8
STOPPED_S = 2.5


class DispatchCatchUpTest(unittest.TestCase):
    """News that arrived while the process was stopped comes before requests."""

    def setUp(self):
        self.harness = DispatcherHarness(endpoints=1)
        effects = mock.AsyncMock()
        self.task = DispatchTask(
            self.harness.dispatcher,
            Metrics(),
            lambda: self.harness.now_s,
            EndpointContact(),
            effects,
        )

    def create_dispatch(self, number):
        now_s = self.harness.now_s
        call = Call(f"q{number}", ROUTE, "llm", now_s, now_s + ROUTE.timeout_s, None)
        return Dispatch(number, call)

    async def play(self):
        """Return the decisions on requests that were unread with a heartbeat."""
        decisions = []

        async def ask(number):
            decisions.append(await self.task.mailbox.ask(self.create_dispatch(number)))

        runner = await curio.spawn(self.task.run, daemon=True)
        await curio.sleep(0.05)
        self.harness.now_s += STOPPED_S
        for number in range(REQUESTS):
            await curio.spawn(ask, number, daemon=True)
        await curio.sleep(0)
        fields = ("llm", "a", "a-1", "10.0.0.0:80", 64, EndpointState.READY)
        record = EndpointRecord("e0", 1, 9, *fields, cold_s=3.0)
        await self.task.mailbox.send(HeartbeatsReceived((record,)))
        await curio.sleep(0.5)
        await runner.cancel()
        return decisions

    def test_endpoint_that_has_become_cold_is_not_flooded(self):
        """Guards against requests sent by what was known before the stop (FAILBACK)."""
        decisions = curio.run(self.play)
        grants = [each for each in decisions if isinstance(each, Grant)]
        self.assertLessEqual(len(grants), 1)
        self.assertTrue(all(each.cold_s > 0 for each in grants))

    def test_request_that_is_withdrawn_leaves_no_attempt(self):
        """Guards against an end that is handled before the request that has ended."""

        async def play():
            runner = await curio.spawn(self.task.run, daemon=True)
            await curio.sleep(0.05)
            self.harness.now_s += STOPPED_S
            await self.task.mailbox.send(self.create_dispatch(1))
            await self.task.mailbox.send(AttemptEnded(1, None))
            await curio.sleep(0.5)
            await runner.cancel()

        curio.run(play)
        self.assertEqual(self.harness.view.loads["e0"].inflight, 0)


class BacklogTest(unittest.TestCase):
    """Only a process that did not run counts as stopped."""

    def setUp(self):
        self.now_s = 10.0
        self.stops_s = []
        self.backlog = Backlog(
            create_mailbox(),
            lambda: self.now_s,
            lambda *args: self.stops_s.append(args),
        )

    def receive(self, *moments_s):
        """Let the task wait for messages; each wait ends at a moment."""

        async def wait_until(moment_s):
            waiting = await curio.spawn(self.backlog.receive, 0.01)
            await curio.sleep(0)
            self.now_s = moment_s
            await waiting.join()

        async def play():
            for moment_s in moments_s:
                await wait_until(moment_s)

        curio.run(play)
        return len(self.stops_s)

    def test_first_wait_is_no_stop(self):
        """Guards against a host that doubts all it knows when it starts."""
        self.assertEqual(self.receive(10.01), 0)

    def test_idle_task_is_not_stopped(self):
        """Guards against an idle host that sends at the cold rate."""
        late_s = 0.9 * MIN_STOP_S
        self.assertEqual(self.receive(*(10.0 + late_s * n for n in range(1, 9))), 0)

    def test_long_time_without_a_turn_is_one_stop(self):
        self.assertEqual(self.receive(10.01, 10.1 + MIN_STOP_S, 10.2 + MIN_STOP_S), 1)


if __name__ == "__main__":
    unittest.main()
