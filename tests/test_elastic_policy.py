"""Tests of `ElasticPolicy`, the policy for clusters without a fixed size."""

import unittest

from buckthorndeal.consensus import AddLearner, ElasticPolicy
from tests.consensus_cluster import Cluster


class ElasticPolicyTest(unittest.TestCase):
    """Promotion of new hosts and replacement of lost voters."""

    def create_cluster(self, voters="abc"):
        return Cluster(
            voters, ElasticPolicy(replace_voter_after_s=2.0, remove_voter_after_s=20.0)
        )

    def add(self, cluster, host):
        cluster.create_store(host)
        cluster.start(host)
        cluster.propose_change(AddLearner(cluster.get_replica_id(host)))

    def test_new_hosts_get_votes(self):
        """Guards against learners that are never promoted."""
        cluster = self.create_cluster()
        for host in "de":
            self.add(cluster, host)
            cluster.run(4.0)
        self.assertEqual(cluster.get_voters(), set("abcde"))

    def test_second_loss_after_a_replacement(self):
        """Guards against loss of the quorum when another host fails."""
        cluster = self.create_cluster()
        self.assertTrue(cluster.propose(b"first"))
        cluster.down_hosts.add("b")
        self.add(cluster, "d")
        cluster.run(8.0)
        self.assertNotIn("b", cluster.get_voters())
        self.assertIn("d", cluster.get_voters())
        cluster.down_hosts.add("c")
        cluster.run(5.0)
        self.assertTrue(cluster.propose(b"second"))

    def test_wiped_host_does_not_vote_twice(self):
        """Guards against two incarnations of one host that both are voters."""
        cluster = self.create_cluster()
        self.assertTrue(cluster.propose(b"first"))
        leader = cluster.wait_for_leader()
        host = next(each for each in "abc" if each != leader)
        cluster.create_store(host)
        cluster.start(host)
        cluster.run(8.0)
        members = cluster.replicas[cluster.wait_for_leader()].membership
        self.assertEqual(len(members.voters), 3)
        self.assertIn(cluster.get_replica_id(host), members.voters)

    def test_lost_voter_stays_without_a_replacement(self):
        """Guards against a removal that lowers the number of tolerable losses."""
        cluster = self.create_cluster()
        cluster.down_hosts.add("c")
        cluster.run(10.0)
        self.assertEqual(cluster.get_voters(), set("abc"))
