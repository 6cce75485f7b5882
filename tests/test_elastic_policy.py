"""Tests of `ElasticPolicy`, the policy for clusters without a fixed size."""

import unittest

from buckthorndeal.consensus import AddLearner, ElasticPolicy
from tests.consensus_cluster import Cluster


class ElasticPolicyTest(unittest.TestCase):
    """Promotion of new hosts and replacement of lost voters."""

    def create_cluster(self, voters="abc", planned_voters=0):
        policy = ElasticPolicy(
            replace_voter_after_s=2.0,
            remove_voter_after_s=20.0,
            planned_voters=planned_voters,
        )
        return Cluster(voters, policy)

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

    def test_new_leader_promotes_nobody_beside_a_voter_that_is_silent(self):
        """Guards against a dead voter that still counts beside its replacement.

        The loss of one more disk then leaves no majority.
        """
        cluster = self.create_cluster("abcde")
        self.assertTrue(cluster.propose(b"first"))
        leader = cluster.wait_for_leader()
        self.add(cluster, "f")
        cluster.down_hosts.add(leader)
        new_leader = cluster.wait_for_leader()
        self.assertNotEqual(new_leader, leader)
        largest = 0
        for _ in range(160):
            cluster.run(0.05)
            members = cluster.replicas[cluster.wait_for_leader()].membership
            largest = max(largest, len(members.voters))
        self.assertEqual(largest, 5)
        self.assertNotIn(leader, cluster.get_voters())
        self.assertIn("f", cluster.get_voters())

    def test_two_more_losses_after_two_replaced_leaders(self):
        """Guards against a loss of the quorum to two voters that are gone for good."""
        cluster = self.create_cluster("abcde")
        self.assertTrue(cluster.propose(b"first"))
        for host in "fg":
            leader = cluster.wait_for_leader()
            self.add(cluster, host)
            cluster.down_hosts.add(leader)
            cluster.wait_for_leader()
            cluster.run(0.3)
        cluster.run(8.0)
        alive = sorted(set("abcdefg") - cluster.down_hosts)
        cluster.down_hosts.update(alive[:2])
        self.assertTrue(cluster.propose(b"second"))

    def test_two_more_losses_after_two_voters_replaced_at_once(self):
        """Guards against voters that stop as their replacements start, and count on."""
        cluster = self.create_cluster("abcde")
        self.assertTrue(cluster.propose(b"first"))
        leader = cluster.wait_for_leader()
        cluster.run(0.05)
        followers = [host for host in "abcde" if host != leader]
        cluster.down_hosts.update(followers[:2])
        for host in "fg":
            cluster.create_store(host)
            cluster.start(host)
        cluster.run(8.0)
        cluster.down_hosts.update(followers[2:])
        self.assertTrue(cluster.propose(b"second"))

    def lose_two_of(self, cluster, hosts):
        """Empty the disks of two hosts, and let all others come back."""
        for host in hosts[:2]:
            cluster.create_store(host)
            cluster.start(host)
        cluster.down_hosts.clear()
        cluster.run(20.0)

    def test_change_made_while_two_are_cut_off_survives_two_disks(self):
        """Guards against fewer copies of a change after voters were removed."""
        cluster = self.create_cluster("abcde", 5)
        leader = cluster.wait_for_leader()
        followers = [host for host in "abcde" if host != leader]
        cluster.down_hosts.update(followers[:2])
        cluster.run(30.0)
        self.assertTrue(cluster.propose(b"change"))
        self.lose_two_of(cluster, [leader, followers[2]])
        self.assertIn(b"change", cluster.committed[cluster.wait_for_leader()])
        self.assertEqual(cluster.get_voters(), set("abcde"))

    def test_no_fewer_vote_while_a_voter_is_replaced(self):
        """Guards against one disk fewer than planned that holds an entry.

        The host that is replaced is only slow to return.
        """
        cluster = self.create_cluster("abcde", 5)
        leader = cluster.wait_for_leader()
        slow = next(host for host in "abcde" if host != leader)
        cluster.down_hosts.add(slow)
        self.add(cluster, "f")
        counts = set()
        for _ in range(100):
            cluster.run(0.05)
            counts.add(len(cluster.get_voters()))
        self.assertEqual(min(counts), 5)
        self.assertNotIn(slow, cluster.get_voters())
        self.assertIn("f", cluster.get_voters())

    def test_one_replacement_removes_one_voter(self):
        """Guards against several voters removed for one learner."""
        cluster = self.create_cluster("abcde", 5)
        leader = cluster.wait_for_leader()
        followers = [host for host in "abcde" if host != leader]
        cluster.down_hosts.update(followers[:2])
        cluster.run(1.5)
        self.add(cluster, "f")
        for _ in range(200):
            cluster.run(0.05)
            members = cluster.replicas[cluster.wait_for_leader()].membership
            self.assertGreaterEqual(len(members.voters), 4)
        self.assertIn("f", cluster.get_voters())
        self.assertEqual(len(cluster.get_voters()), 5)

    def test_emptied_host_beside_a_cut_lowers_no_majority(self):
        """Guards against a majority of two disks of five, with a disk lost."""
        cluster = self.create_cluster("abcde", 5)
        leader = cluster.wait_for_leader()
        followers = [host for host in "abcde" if host != leader]
        cluster.create_store(followers[0])
        cluster.start(followers[0])
        cluster.down_hosts.add(followers[1])
        for _ in range(200):
            cluster.run(0.05)
            members = cluster.replicas[cluster.wait_for_leader()].membership
            self.assertGreaterEqual(len(members.voters), 4)
        self.assertIn(cluster.get_replica_id(followers[0]), members.voters)

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
