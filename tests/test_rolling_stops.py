"""Tests of coordinators that stop or are killed in series before disks are lost."""

import unittest
from unittest import mock

import curio

from buckthorndeal.consensus import (
    Location,
    MemberStatus,
    RemoveMember,
    ReplicaId,
    ToleratedLosses,
    VoteKept,
    create_elastic_policy,
)
from buckthorndeal.consensus._policy import ElasticPolicy
from buckthorndeal.settings import FaultToleranceSettings
from tests.fleet_harness import Fleet, run_fleet
from tests.rolling_stop_play import (
    HOSTS,
    SEEDS,
    RollingStopPlay,
    play_lost_region,
    run_seed,
)

SEEDS_OF_A_SIZE = 12
REGION_SEEDS = 5
OLDER_BUILD_SEEDS = 6
MAX_SEEDS_OF_A_PLANT = 60
JOINING_HOSTS = ("10.1.0.2", "10.2.0.2")


def create_voters(count, silent=()):
    """Return the status of voters h0, h1 and so on; `silent` ones are not heard."""
    return [
        MemberStatus(
            ReplicaId(f"h{number}", 1),
            "voter",
            silent_s=5.0 if number in silent else 0.0,
            active=number not in silent,
            caught_up=True,
            durable=True,
            match_index=9,
            informed=True,
        )
        for number in range(count)
    ]


def locate(regions):
    """Return locations in which host number n is in the n-th of the regions."""
    return {
        f"h{n}": Location(f"{region}-1", region) for n, region in enumerate(regions)
    }


class ChosenRemovalTest(unittest.TestCase):
    """Which voters are removed as their hosts stop."""

    def choose(self, voters, tolerated, locations=None, host="h0"):
        losses = ToleratedLosses(tolerated, 1, 1)
        policy = create_elastic_policy(SEEDS, losses)
        return policy.choose_removal(host, voters, locations or {})

    def test_as_many_voters_are_left_as_survive_the_lost_disks(self):
        """Guards against 3 voters, of which two may lose their disks."""
        for tolerated, smallest in ((1, 3), (2, 5), (3, 7)):
            removed = self.choose(create_voters(smallest + 1), tolerated)
            self.assertEqual(removed, RemoveMember(ReplicaId("h0", 1)))
            kept = self.choose(create_voters(smallest), tolerated)
            self.assertEqual(kept, VoteKept("too_few_voters", smallest))

    def test_three_voters_are_left_without_tolerated_losses(self):
        """Guards against fewer voters than survive the loss of one."""
        self.assertIsInstance(self.choose(create_voters(4), 0), RemoveMember)
        kept = self.choose(create_voters(3), 0)
        self.assertEqual(kept, VoteKept("too_few_voters", 3))

    def test_no_voter_is_removed_beside_one_out_of_contact(self):
        """Guards against a majority that depends on a host that is lost."""
        kept = self.choose(create_voters(9, silent=(4,)), 2)
        self.assertEqual(kept, VoteKept("voter_out_of_contact", 9))

    def test_others_survive_the_loss_of_a_region(self):
        """Guards against a region that holds half of the voters that are left."""
        locations = locate("abbbcc")
        kept = self.choose(create_voters(6), 2, locations, host="h4")
        self.assertIsInstance(kept, RemoveMember)
        locations = locate("abbbccaac")
        removed = self.choose(create_voters(9), 2, locations, host="h1")
        self.assertIsInstance(removed, RemoveMember)
        locations = locate("aabbc")
        kept = self.choose(create_voters(5), 1, locations, host="h4")
        self.assertEqual(kept, VoteKept("failure_domains", 5))

    def test_region_that_all_voters_do_not_survive_keeps_no_vote(self):
        """Guards against hosts of one region that never leave."""
        removed = self.choose(create_voters(6), 2, locate("aaaaaa"))
        self.assertIsInstance(removed, RemoveMember)


class SeriesTest(unittest.TestCase):
    """What was acknowledged outlives the tolerated disks after any series of stops."""

    def test_acknowledged_orders_are_kept(self):
        """Guards against too few voters after hosts have stopped or been killed."""
        for hosts in HOSTS:
            for seed in range(SEEDS_OF_A_SIZE):
                with self.subTest(hosts=hosts, seed=seed):
                    run_seed(seed, hosts)

    def test_series_beside_older_builds(self):
        """Guards against few voters for good after a leader of an older build."""
        for hosts in HOSTS:
            for seed in range(100, 100 + OLDER_BUILD_SEEDS):
                with self.subTest(hosts=hosts, seed=seed):
                    run_seed(seed, hosts, has_older_builds=True)

    def test_region_is_lost_after_a_series(self):
        """Guards against voters that gather in one region."""
        for hosts in HOSTS:
            for seed in range(REGION_SEEDS):
                with self.subTest(hosts=hosts, seed=seed):
                    play_lost_region(seed, hosts)


class DrainTest(unittest.TestCase):
    """Whole coordinators that stop in turn."""

    def test_stopped_host_keeps_its_vote_below_the_planned_number(self):
        """Guards against settings or a stop that ignore the tolerated losses."""
        run_fleet(self._test_stopped_host_keeps_its_vote)

    async def _test_stopped_host_keeps_its_vote(self):
        tolerance = FaultToleranceSettings(hosts=1)
        async with Fleet(fault_tolerance=tolerance) as fleet:
            await fleet.start_coordinators()
            for host in JOINING_HOSTS:
                await fleet.start_coordinator(host)
            for voters in (5, 4, 3, 3):
                leader = await self.wait_for_voters(fleet, voters)
                stopped = next(host for host in fleet.coordinators if host != leader)
                daemon = fleet.coordinators.pop(stopped)
                await daemon.drain()
                kept = daemon.metrics.get_value("votes_kept", reason="too_few_voters")
                self.assertEqual(kept, voters == 3)
                await daemon.close()
                if voters == 3:
                    await fleet.start_coordinator(stopped)

    async def wait_for_voters(self, fleet, count):
        """Return the leader once it has so many voters, all in contact."""
        while True:
            for host, daemon in fleet.coordinators.items():
                leads = daemon.metrics.get_value("leads") == 1
                if leads and daemon.metrics.get_value("voters") == count:
                    await curio.sleep(1.0)
                    return host
            await curio.sleep(0.05)


class PlantedFaultTest(unittest.TestCase):
    """The play finds removals that leave too few voters."""

    def test_removal_down_to_the_seeds_is_found(self):
        """Guards against a play that cannot see that too few vote."""

        def create_policy(play, coordinator):
            return ElasticPolicy(planned_voters=SEEDS)

        with (
            mock.patch.object(RollingStopPlay, "create_policy", create_policy),
            self.assertRaisesRegex(AssertionError, "BrokenPromiseError"),
        ):
            for seed in range(MAX_SEEDS_OF_A_PLANT):
                run_seed(seed, 5)


if __name__ == "__main__":
    unittest.main()
