"""Tests of a whole deployment as processes, with failures during bookings."""

import logging
import random
import shutil
import signal
import tempfile
import unittest

import curio
import msgspec
from absl import logging as absl_logging

from buckthorndeal.errors import RequestError
from tests.process_harness import ENTRY_REGIONS, Deployment, raise_failure
from tests.process_load import Load

FREEZE_S = 6.0
SLOW_LOOKUPS = 4
RESENDERS = 8


class ProcessTest(unittest.TestCase):
    """Bookings stay at most once and verdicts true while processes fail.

    The tests share one deployment, and each starts with all of its hosts serving.
    """

    @classmethod
    def setUpClass(cls):
        logger = absl_logging.get_absl_logger()
        cls.addClassCleanup(logger.setLevel, logger.level)
        # The stand-ins log each report that a stopped host does not answer.
        logger.setLevel(logging.WARNING)
        directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(directory.cleanup)
        cls.kernel = curio.Kernel()
        cls.addClassCleanup(cls.kernel.run, shutdown=True)
        cls.deployment = Deployment(directory.name)
        cls.addClassCleanup(cls.kernel.run, cls.deployment.close)
        cls.kernel.run(cls.deployment.start)

    def run_scenario(self, scenario, seed):
        self.kernel.run(self.deployment.restore)
        load = Load(self.deployment, seed)
        try:
            self.kernel.run(scenario, self.deployment, load)
        finally:
            self.kernel.run(load.cancel)

    async def check(self, deployment, load):
        """Check the executions under all keys, and resend what was answered."""
        executions = deployment.executions
        twice = [key for key, count in executions.items() if count > 1]
        self.assertEqual(twice, [])
        for booking in load.bookings:
            if booking.is_not_run:
                self.assertEqual(executions[booking.key], 0, booking)
            if booking.answer is not None:
                self.assertEqual(executions[booking.key], 1, booking)
        await self.check_resends(deployment, load)
        twice = [key for key, count in executions.items() if count > 1]
        self.assertEqual(twice, [])

    async def check_resends(self, deployment, load):
        rng = random.Random(len(load.bookings))
        different = []

        async def resend(bookings):
            for booking in bookings:
                host = rng.choice(load.hosts)
                status, body = await deployment.book(
                    host, booking.workspace, booking.key, booking.path
                )
                answer = (status, msgspec.json.decode(body))
                if answer != booking.answer:
                    different.append((host, booking, answer))

        async with curio.TaskGroup() as group:
            for number in range(RESENDERS):
                await group.spawn(resend, load.answered[number::RESENDERS])
        raise_failure(group)
        self.assertEqual(different, [])

    def test_primary_is_killed_and_returns(self):
        """Guards against a booking run again by the host that takes over."""

        async def scenario(deployment, load):
            await load.start()
            await load.wait_for_answers()
            primary, backup = await deployment.wait_for_full_view()
            slow = await load.start_slow_everywhere()
            deployment.kill(primary)
            others = [host for host in ENTRY_REGIONS if host != primary]
            await deployment.wait_until_served(others)
            await load.wait_for_answers()
            deployment.start_process(primary)
            await deployment.wait_until_ready(primary)
            self.assertEqual(await deployment.wait_for_full_view(), (backup, primary))
            await deployment.wait_until_served(ENTRY_REGIONS)
            await load.wait_for_answers()
            await load.stop()
            # Their endpoints ran them and the answers went to the lost host.
            self.assertEqual([each for each in slow if each.answer is not None], [])
            await self.check(deployment, load)

        self.run_scenario(scenario, seed=1)

    def test_frozen_primary_returns(self):
        """Guards against a booking run by a host that believes it is primary."""

        async def scenario(deployment, load):
            await load.start()
            await load.wait_for_answers()
            primary, backup = await deployment.wait_for_full_view()
            await load.start_slow_everywhere()
            deployment.signal(primary, signal.SIGSTOP)
            await load.start_slow(primary)
            # The time of the freeze is a part of the failure.
            await curio.sleep(FREEZE_S)
            deployment.signal(primary, signal.SIGCONT)
            await deployment.wait_until_served(ENTRY_REGIONS)
            self.assertEqual(await deployment.wait_for_full_view(), (backup, primary))
            await load.wait_for_answers()
            await load.stop()
            await self.check(deployment, load)

        self.run_scenario(scenario, seed=2)

    def test_backup_returns_with_an_empty_disk(self):
        """Guards against a backup that vouches for claims that it has lost."""

        async def scenario(deployment, load):
            await load.start()
            await load.wait_for_answers()
            primary, backup = await deployment.wait_for_full_view()
            await load.start_slow_everywhere()
            deployment.kill(backup)
            shutil.rmtree(deployment.directory / backup)
            deployment.start_process(backup)
            await deployment.wait_until_ready(backup)
            await deployment.wait_until_served(ENTRY_REGIONS)
            self.assertEqual(await deployment.wait_for_full_view(), (primary, backup))
            await load.wait_for_answers()
            # From here on the claims are those that the returned host has copied.
            deployment.kill(primary)
            load.hosts.remove(primary)
            await deployment.wait_until_served(load.hosts)
            await load.stop()
            await self.check(deployment, load)

        self.run_scenario(scenario, seed=3)

    def test_control_leader_is_killed(self):
        """Guards against bookings that depend on the control leader."""

        async def scenario(deployment, load):
            await load.start()
            await load.wait_for_answers()
            view = await deployment.wait_for_full_view()
            leader = await deployment.find_leader()
            await load.start_slow_everywhere()
            deployment.kill(leader)
            await load.wait_for_answers()
            self.assertNotEqual(await deployment.find_leader(), leader)
            self.assertEqual(await deployment.wait_for_full_view(), view)
            deployment.start_process(leader)
            await deployment.wait_until_served(ENTRY_REGIONS)
            await load.stop()
            await self.check(deployment, load)
            refused = [each for each in load.bookings if each.attempts]
            self.assertEqual(refused, [])
            self.assertEqual({status for _, status in load.lookups}, {200})

        self.run_scenario(scenario, seed=4)

    def test_drained_host_cuts_off_no_request(self):
        """Guards against a request in progress that a restart cuts off."""

        async def scenario(deployment, load):
            await load.start()
            await load.wait_for_answers()
            primary, _ = await deployment.wait_for_full_view()
            await load.start_slow_everywhere()
            lookups = [
                await curio.spawn(deployment.look_up, primary, "w1", "slow")
                for _ in range(SLOW_LOOKUPS)
            ]
            await deployment.wait_until(
                lambda: deployment.slow_lookups >= SLOW_LOOKUPS, "slow lookups"
            )
            deployment.signal(primary, signal.SIGTERM)
            await self.follow_readiness(deployment, primary)
            load.hosts.remove(primary)
            for task in lookups:
                self.assertEqual((await task.join())[0], 200)
            self.assertEqual(await deployment.wait_for_exit(primary), 0)
            await deployment.wait_until_served(load.hosts)
            await load.wait_for_answers()
            await load.stop()
            await self.check(deployment, load)
            outcomes = {
                outcome
                for booking in load.bookings
                for host, outcome in booking.attempts
                if host == primary
            }
            self.assertLessEqual(outcomes, {"not_run"})

        self.run_scenario(scenario, seed=5)

    async def follow_readiness(self, deployment, host):
        """Wait until a host tells that it is not ready, as its callers do."""

        async def is_draining():
            try:
                return (await deployment.fetch(host, "GET", "/readyz"))[0] == 503
            except RequestError:
                return True

        await deployment.wait_until(is_draining, f"{host} is draining")


if __name__ == "__main__":
    unittest.main()
