"""Tests of the membership policy for clusters without a fixed size."""

import unittest

from buckthorndeal.consensus import AddLearner, ElasticPolicy
from tests.consensus_cluster import Cluster


class ElasticPolicyTest(unittest.TestCase):
    """Every durable host votes, and a replaced one loses its vote."""

    def create_cluster(self, voters="abc"):
        return Cluster(
            voters, ElasticPolicy(replace_voter_after_s=2.0, remove_voter_after_s=20.0)
        )

    def add(self, cluster, host):
        cluster.create_store(host)
        cluster.start(host)
        cluster.change(AddLearner(cluster.identify(host)))

    def test_new_hosts_get_votes(self):
        cluster = self.create_cluster()
        for host in "de":
            self.add(cluster, host)
            cluster.run(4.0)
        self.assertEqual(cluster.get_voters(), set("abcde"))

    def test_second_loss_after_a_replacement(self):
        cluster = self.create_cluster()
        self.assertTrue(cluster.propose(b"first"))
        cluster.down.add("b")
        self.add(cluster, "d")
        cluster.run(8.0)
        self.assertNotIn("b", cluster.get_voters())
        self.assertIn("d", cluster.get_voters())
        cluster.down.add("c")
        cluster.run(5.0)
        self.assertTrue(cluster.propose(b"second"))

    def test_wiped_host_does_not_vote_twice(self):
        cluster = self.create_cluster()
        self.assertTrue(cluster.propose(b"first"))
        leader = cluster.elect()
        host = next(each for each in "abc" if each != leader)
        cluster.create_store(host)
        cluster.start(host)
        cluster.run(8.0)
        members = cluster.replicas[cluster.elect()].membership
        self.assertEqual(len(members.voters), 3)
        self.assertIn(cluster.identify(host), members.voters)

    def test_lost_voter_stays_without_a_spare(self):
        cluster = self.create_cluster()
        cluster.down.add("c")
        cluster.run(10.0)
        self.assertEqual(cluster.get_voters(), set("abc"))
