"""Tests of quotas over many hosts in a simulation; more by tests.quota_play."""

import unittest

from tests.quota_play import FAULTS, QuotaWorld

HOT = {"ws-0000": 2.5, "ws-0003": 12.0}


def play(hosts, workspaces, until_s, faults=(), hot=HOT, **options):
    world = QuotaWorld(hosts, workspaces, 1, **options)
    world.factors.update(hot)
    limits = dict(world.workspaces)
    world.run(until_s, faults)
    return world, limits


class QuotaPlayTest(unittest.TestCase):
    def check_bound(self, world, limits):
        part, name = world.find_largest_excess(limits)
        self.assertGreater(part, 0.0)
        self.assertLessEqual(part, 1.0, name)

    def test_calm_use(self):
        """Guards against use beyond the bound, and against shares that lie idle."""
        for hosts, workspaces, until_s in ((4, 16, 20), (24, 16, 20), (76, 16, 20)):
            with self.subTest(hosts=hosts, workspaces=workspaces):
                world, limits = play(hosts, workspaces, until_s)
                self.check_bound(world, limits)
                for name in HOT:
                    used = world.count_used(name, 3.0, until_s)
                    self.assertGreaterEqual(used, 0.95, name)
                calm = [name for name in world.usual if name not in HOT]
                self.assertLess(world.count_refused(calm, 2.0), 0.005)

    def test_large_fleet(self):
        """Guards against control traffic that grows with the number of workspaces."""
        world, limits = play(330, 2000, 11.0)
        self.check_bound(world, limits)
        for name in HOT:
            self.assertGreaterEqual(world.count_used(name, 3.0, 11.0), 0.95, name)
        self.assertLessEqual(world.get_bytes_per_s(), 2000)

    def test_bound_holds_through_faults(self):
        """Guards against units that are granted again while a host may use them."""
        for name in ("cut", "freeze", "restart", "leader", "loss", "lower"):
            with self.subTest(fault=name):
                world, limits = play(24, 16, 19.0, FAULTS[name])
                self.check_bound(world, limits)

    def test_bound_holds_through_partitions(self):
        """Guards against units that both sides of a partition use."""
        faults = {
            "cut-all": 26.0,
            "cut-all-long": 40.0,
            "cut-all-leader": 26.0,
            "cut-replies": 30.0,
            "cut-often": 25.0,
        }
        for name, until_s in faults.items():
            with self.subTest(fault=name):
                world, limits = play(24, 16, until_s, FAULTS[name], {})
                self.check_bound(world, limits)

    def test_lost_region_leaves_the_quota_to_the_others(self):
        world, limits = play(24, 16, 20.0, FAULTS["kill"], {"ws-0003": 12.0})
        self.check_bound(world, limits)
        self.assertGreaterEqual(world.count_used("ws-0003", 10.0, 20.0), 0.85)

    def test_lower_limit_binds(self):
        """Guards against grants of the former limit, 4 s after the change."""
        world, _ = play(24, 16, 25.0, FAULTS["lower"])
        part, name = world.find_largest_excess(world.workspaces, 16.0)
        self.assertGreater(part, 0.0)
        self.assertLessEqual(part, 1.0, name)

    def test_new_leader_takes_over(self):
        """Guards against a long time without service after a change of the leader."""
        world, limits = play(24, 16, 18.0, FAULTS["calm-leader"], {})
        self.check_bound(world, limits)
        self.assertLess(world.count_refused(world.usual, 14.0), 0.01)


if __name__ == "__main__":
    unittest.main()
