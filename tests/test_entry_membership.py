"""Tests of entry hosts that join, drain, fail and restart."""

import curio

from tests.system import System, SystemCase

DETECTION_LIMIT_S = 3.0


class EntryMembershipTest(SystemCase):
    """The directory follows the membership."""

    def test_dead_host_leaves_the_directory_of_the_others(self):
        """Guards against callers who are sent to a failed host."""

        async def scenario(system):
            await system.stop_host("e2")
            started_s = await curio.clock()
            await system.wait_for_hosts()
            return await curio.clock() - started_s

        # The target is about 3 s.
        self.assertLess(self.run_system(scenario), DETECTION_LIMIT_S + 0.5)

    def test_draining_host_is_announced_and_a_restarted_one_returns(self):
        """Guards against a draining host that is still listed.

        Also guards against a host that stays lost after its restart.
        """

        async def scenario(system):
            draining = system.hosts.pop("e2")
            task = await curio.spawn(draining.drain)
            started_s = await curio.clock()
            await system.wait_for_hosts()
            noticed_s = await curio.clock() - started_s
            await task.join()
            await draining.close()
            await system.start_host("e2")
            await system.wait_for_hosts()
            return noticed_s

        system = System(drain_notice_s=1.0)
        self.assertLess(self.run_system(scenario, system), 1.0)
