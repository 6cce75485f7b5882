"""Tests of a deployment whose processes fail while bookings are running.

A booking is a non-idempotent request with an idempotency key.
"""

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
from tests.process_load import LoadGenerator

FREEZE_S = 6.0
SLOW_LOOKUPS = 4
RESENDERS = 8


class ProcessTest(unittest.TestCase):
    """Bookings run at most once, and verdicts are correct, while processes fail.

    The tests share one deployment. All of its hosts serve when a test starts.
    """

    @classmethod
    def setUpClass(cls):
        logger = absl_logging.get_absl_logger()
        cls.addClassCleanup(logger.setLevel, logger.level)
        # The stand-ins log each heartbeat that a stopped host does not answer.
        logger.setLevel(logging.WARNING)
        directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(directory.cleanup)
        cls.kernel = curio.Kernel()
        cls.addClassCleanup(cls.kernel.run, shutdown=True)
        cls.deployment = Deployment(directory.name)
        cls.addClassCleanup(cls.kernel.run, cls.deployment.close)
        cls.kernel.run(cls.deployment.start)

    def run_scenario(self, scenario, seed):
        self.kernel.run(self.deployment.restart_stopped_hosts)
        load = LoadGenerator(self.deployment, seed)
        try:
            self.kernel.run(scenario, self.deployment, load)
        finally:
            self.kernel.run(load.cancel)

    async def check_bookings(self, deployment, load):
        """Check how often each booking ran, also after the answered ones are resent."""
        executions = deployment.executions
        repeated = [key for key, count in executions.items() if count > 1]
        self.assertEqual(repeated, [])
        for booking in load.bookings:
            if booking.is_not_run:
                self.assertEqual(executions[booking.key], 0, booking)
            if booking.answer is not None:
                self.assertEqual(executions[booking.key], 1, booking)
        await self.check_resends(deployment, load)
        repeated = [key for key, count in executions.items() if count > 1]
        self.assertEqual(repeated, [])

    async def check_resends(self, deployment, load):
        """Check that a booking gets its first answer again through any host."""
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
        """Guards against a new primary that runs a booking again."""

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
            # The endpoints ran them, but the responses went to the killed primary.
            self.assertEqual([each for each in slow if each.answer is not None], [])
            await self.check_bookings(deployment, load)

        self.run_scenario(scenario, seed=1)

    def test_frozen_primary_returns(self):
        """Guards against a former primary that runs bookings after it resumes."""

        async def scenario(deployment, load):
            await load.start()
            await load.wait_for_answers()
            primary, backup = await deployment.wait_for_full_view()
            await load.start_slow_everywhere()
            deployment.signal(primary, signal.SIGSTOP)
            await load.start_slow(primary)
            # The failure under test is a freeze of this length.
            await curio.sleep(FREEZE_S)
            deployment.signal(primary, signal.SIGCONT)
            await deployment.wait_until_served(ENTRY_REGIONS)
            self.assertEqual(await deployment.wait_for_full_view(), (backup, primary))
            await load.wait_for_answers()
            await load.stop()
            await self.check_bookings(deployment, load)

        self.run_scenario(scenario, seed=2)

    def test_backup_returns_with_an_empty_disk(self):
        """Guards against a backup that is relied on for claims that it has lost."""

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
            # From here on, the only claims are those that the backup has copied.
            deployment.kill(primary)
            load.hosts.remove(primary)
            await deployment.wait_until_served(load.hosts)
            await load.stop()
            await self.check_bookings(deployment, load)

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
            await self.check_bookings(deployment, load)
            retried = [each for each in load.bookings if each.failed_attempts]
            self.assertEqual(retried, [])
            self.assertEqual({status for _, status in load.lookups}, {200})

        self.run_scenario(scenario, seed=4)

    def test_drained_host_aborts_no_request(self):
        """Guards against a running request that is aborted by a restart."""

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
            await self.wait_until_not_ready(deployment, primary)
            load.hosts.remove(primary)
            for task in lookups:
                self.assertEqual((await task.join())[0], 200)
            self.assertEqual(await deployment.wait_for_exit(primary), 0)
            await deployment.wait_until_served(load.hosts)
            await load.wait_for_answers()
            await load.stop()
            await self.check_bookings(deployment, load)
            outcomes = {
                outcome
                for booking in load.bookings
                for host, outcome in booking.failed_attempts
                if host == primary
            }
            self.assertLessEqual(outcomes, {"not_run"})

        self.run_scenario(scenario, seed=5)

    async def wait_until_not_ready(self, deployment, host):
        """Wait until a host reports that it is not ready; callers then avoid it."""

        async def is_draining():
            try:
                return (await deployment.fetch(host, "GET", "/readyz"))[0] == 503
            except RequestError:
                return True

        await deployment.wait_until(is_draining, f"{host} is draining")


if __name__ == "__main__":
    unittest.main()
