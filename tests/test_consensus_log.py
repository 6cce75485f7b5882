"""Tests of the consensus package: entries, snapshots and membership changes."""

import os
import random
import unittest

from buckthorndeal.consensus import (
    AddLearner,
    Append,
    AppendReply,
    Entry,
    EntryKind,
    Membership,
    PromoteLearner,
    RemoveMember,
    ReplicaId,
    Vote,
    VoteReply,
    create_replica,
)
from buckthorndeal.consensus.logstore import create_disk_log_store
from buckthorndeal.errors import MembershipChangeError, StoreError
from tests.consensus_cluster import OPTIONS, POLICY, REPLIES, TIMEOUT_S, Cluster
from tests.consensus_harness import SimulatedDisk
from tests.temporary_directories import create_durable_directory


class LogTest(unittest.TestCase):
    """Commit, snapshots and compaction."""

    def test_entry_of_an_earlier_term_does_not_commit_by_counting(self):
        """Guards against a committed entry that a later leader can overwrite."""
        store = SimulatedDisk(1, random.Random(1))
        ids = tuple(ReplicaId(host, 1) for host in "abc")
        replica = create_replica(
            ids[0], store, random.Random(1), OPTIONS, Membership(ids), 0.0
        )

        def receive(kind, **fields):
            message = kind(source=ids[1], target=ids[0], **fields)
            return replica.receive(message, ids[1], 0.0)

        entries = (Entry(2, 2, EntryKind.DATA, b"old"),)
        receive(
            Append,
            term=2,
            round=1,
            prev_index=1,
            prev_term=1,
            commit_index=1,
            entries=entries,
        )
        output = replica.tick(5.0)
        for _ in range(2):
            answers = []
            for target, request in output.messages:
                if target == ids[1]:
                    kind = type(request).__name__ + "Reply"
                    answers.append((kind, request.term))
            name, term = answers[0]
            output = receive(REPLIES[name], term=term, granted=True)
        self.assertEqual(replica.role, "leader")
        reply = {"term": replica.term, "round": 1, "success": True}
        self.assertEqual(receive(AppendReply, match_index=2, **reply).committed, [])
        output = receive(AppendReply, match_index=3, **reply)
        self.assertEqual([entry.index for entry in output.committed], [2, 3])

    def test_overwritten_membership_is_forgotten(self):
        """Guards against votes counted under a membership that was overwritten."""
        cluster = Cluster()
        leader = cluster.wait_for_leader()
        cluster.propose(b"x")
        everyone = set("abc")
        cluster.down_hosts = everyone - {leader}
        cluster.propose_change(RemoveMember(cluster.get_replica_id(leader)))
        replica = cluster.replicas[leader]
        self.assertEqual(len(replica.membership.voters), 2)
        cluster.down_hosts = {leader}
        cluster.run(TIMEOUT_S + 0.3)
        self.assertTrue(cluster.propose(b"y"))
        cluster.down_hosts = set()
        cluster.run(1)
        self.assertEqual(replica.membership, cluster.bootstrap)
        self.assertEqual(replica.role, "follower")
        self.assertEqual(cluster.committed[leader], [b"x", b"y"])

    def test_replies_of_an_earlier_term_are_not_counted(self):
        """Guards against replies of an earlier term that commit entries or elect."""
        cluster = Cluster()
        leader = cluster.wait_for_leader()
        replica = cluster.replicas[leader]
        cluster.down_hosts = set("abc") - {leader}
        follower = min(cluster.down_hosts)
        cluster.propose(b"x")
        names = {
            "source": cluster.get_replica_id(follower),
            "target": cluster.get_replica_id(leader),
        }
        term = replica.term - 1
        commit_index = replica.commit_index
        reply = AppendReply(
            **names, term=term, round=1, success=True, match_index=replica.last_index
        )
        cluster.receive(leader, reply)
        self.assertEqual(replica.commit_index, commit_index)
        state = cluster.replicas[leader]._state
        state.step_down(cluster.now_s)
        state.advance_role("time_out")
        state.advance_role("win_pre_vote")
        state.votes = {state.identity}
        cluster.receive(leader, VoteReply(**names, term=term, granted=True))
        self.assertEqual(replica.role, "candidate")

    def test_snapshot_reaches_a_new_learner_in_chunks(self):
        """Guards against a learner that installs an incomplete snapshot."""
        cluster = Cluster()
        for number in range(5):
            self.assertTrue(cluster.propose(b"%d" % number))
        replica = cluster.replicas[cluster.wait_for_leader()]
        replica.compact(replica.commit_index, b"state of five")
        cluster.add_learner("d")
        cluster.propose(b"after")
        cluster.run(1)
        self.assertEqual(cluster.committed["d"], [b"state of five", b"after"])
        state = cluster.stores["d"].load()
        self.assertEqual(state.snapshot.data, b"state of five")
        self.assertEqual(state.snapshot.membership, cluster.bootstrap)
        self.assertEqual(cluster.replicas["d"].membership, replica.membership)

    def test_snapshot_transfer_survives_a_restart_of_the_learner(self):
        """Guards against a transfer that stalls after the loss of received chunks."""
        cluster = Cluster()
        cluster.propose(b"x")
        replica = cluster.replicas[cluster.wait_for_leader()]
        replica.compact(replica.commit_index, b"a longer state")
        cluster.create_store("d")
        cluster.start("d")
        cluster.should_drop = lambda message: getattr(message, "offset", 0) >= 8
        cluster.propose_change(AddLearner(cluster.get_replica_id("d")))
        cluster.run(0.5)
        self.assertEqual(cluster.committed["d"], [])
        cluster.start("d")
        cluster.should_drop = lambda message: False
        cluster.run(1)
        self.assertEqual(cluster.committed["d"], [b"a longer state"])

    def test_snapshot_holds_the_membership_of_its_index(self):
        """Guards against a snapshot that contains the membership of a later entry."""
        cluster = Cluster()
        cluster.propose(b"x")
        replica = cluster.replicas[cluster.wait_for_leader()]
        index = replica.commit_index
        cluster.add_learner("d")
        replica.compact(index, b"state")
        self.assertEqual(replica.snapshot.membership, cluster.bootstrap)
        self.assertEqual(len(replica.membership.learners), 1)
        with self.assertRaises(ValueError):
            replica.compact(replica.last_index + 1, b"state")

    def test_restart_keeps_committed_entries(self):
        """Guards against loss of entries or the snapshot when all replicas restart."""
        cluster = Cluster()
        cluster.propose(b"x")
        replica = cluster.replicas["a"]
        cluster.run(0.5)
        replica.compact(replica.commit_index, b"state")
        for host in "abc":
            cluster.stores[host].crash()
            cluster.start(host)
        self.assertEqual(cluster.replicas["a"].snapshot.data, b"state")
        self.assertTrue(cluster.propose(b"y"))
        cluster.run(0.5)
        self.assertEqual(cluster.committed["a"], [b"y"])

    def test_restart_from_disk(self):
        """Guards against a disk store from which the replicas cannot continue."""
        with create_durable_directory() as directory:
            cluster = Cluster("")
            for restart in range(3):
                for host in "abc":
                    path = os.path.join(directory, host)
                    store = create_disk_log_store(path, random.Random(host))
                    cluster.stores[host] = store
                voters = Membership(
                    tuple(cluster.get_replica_id(host) for host in "abc")
                )
                for host in "abc":
                    cluster.start(host, voters)
                self.assertTrue(cluster.propose(b"%d" % restart))
                cluster.run(0.5)
                for host in "abc":
                    # The first entry is compacted before the first restart.
                    expected = [b"1", b"2"][:restart] or [b"0"]
                    self.assertEqual(cluster.committed[host], expected)
                    replica = cluster.replicas[host]
                    if restart == 0:
                        replica.compact(replica.commit_index, b"state")
                    self.assertEqual(replica.snapshot.data, b"state")
                    cluster.stores[host].close()
                for host in "abc":
                    del cluster.replicas[host]

    def test_store_of_another_incarnation_is_refused(self):
        """Guards against a replica that uses the disk of another identity."""
        store = SimulatedDisk(2, random.Random(1))
        with self.assertRaises(StoreError):
            create_replica(
                ReplicaId("a", 1), store, random.Random(1), OPTIONS, None, 0.0
            )


class MembershipTest(unittest.TestCase):
    """Membership changes, replacement of voters and returning hosts."""

    def setUp(self):
        self.cluster = Cluster(policy=POLICY)
        self.cluster.create_store("d")
        self.cluster.start("d")
        self.cluster.run(4)

    def lose(self, host):
        self.cluster.down_hosts.add(host)
        self.cluster.run(POLICY.promote_after_s + 3)

    def test_second_loss_after_repair_leaves_a_majority(self):
        """Guards against loss of the quorum when another host fails after a repair."""
        for first in "abc":
            with self.subTest(first):
                self.setUp()
                cluster = self.cluster
                self.assertEqual(cluster.get_voters(), {"a", "b", "c"})
                self.lose(first)
                self.assertEqual(cluster.get_voters(), set("abcd") - {first})
                cluster.down_hosts.add(cluster.wait_for_leader())
                self.assertTrue(cluster.propose(b"after second loss"))

    def test_old_disk_returns_as_learner(self):
        """Guards against a replaced voter that still votes or forces an election."""
        cluster = self.cluster
        self.lose("a")
        term = cluster.replicas[cluster.wait_for_leader()].term
        cluster.stores["a"].crash()
        cluster.start("a")
        cluster.down_hosts = set()
        cluster.run(4)
        self.assertEqual(cluster.replicas["a"].role, "learner")
        self.assertIn(
            cluster.get_replica_id("a"), cluster.replicas["b"].membership.learners
        )
        self.assertEqual(cluster.replicas[cluster.wait_for_leader()].term, term)

    def test_empty_disk_returns_as_learner_and_is_promoted(self):
        """Guards against a host with a new disk that votes under its old identity."""
        cluster = self.cluster
        old = cluster.get_replica_id("a")
        cluster.create_store("a")
        cluster.start("a")
        cluster.run(0.3)
        request = Vote(
            source=cluster.get_replica_id("b"),
            target=old,
            term=99,
            last_index=0,
            last_term=0,
        )
        cluster.now_s += 2
        self.assertEqual(cluster.receive("a", request).messages, [])
        self.assertLess(cluster.replicas["a"].term, 99)
        cluster.run(POLICY.promote_after_s + 4)
        membership = cluster.replicas[cluster.wait_for_leader()].membership
        self.assertNotIn(old, membership.members)
        self.assertIn(cluster.get_replica_id("a"), membership.members)
        self.assertEqual(len(membership.voters), 3)
        self.assertTrue(cluster.propose(b"x"))

    def test_only_one_change_at_a_time(self):
        """Guards against concurrent changes whose majorities do not overlap."""
        cluster = self.cluster
        leader = cluster.wait_for_leader()
        replica = cluster.replicas[leader]
        removed_voter = min(replica.membership.voters)
        cluster.down_hosts = set("abcd") - {leader}
        cluster.policy = None
        promotion = PromoteLearner(cluster.get_replica_id("d"))
        replica.propose_membership(promotion, cluster.now_s)
        with self.assertRaises(MembershipChangeError):
            replica.propose_membership(RemoveMember(removed_voter), cluster.now_s)

    def test_no_change_before_an_entry_of_the_term_is_committed(self):
        """Guards against a change beside an uncommitted one of an earlier leader."""
        cluster = Cluster()
        old = cluster.wait_for_leader()
        cluster.propose(b"x")
        cluster.run(0.5)
        cluster.down_hosts = {old}
        cluster.should_drop = lambda message: type(message) is AppendReply
        cluster.run(TIMEOUT_S + 0.3)
        new = cluster.replicas[cluster.wait_for_leader()]
        self.assertGreater(new.commit_index, 1)
        change = AddLearner(ReplicaId("d", 9))
        with self.assertRaises(MembershipChangeError):
            cluster.propose_change(change)
        cluster.should_drop = lambda message: False
        cluster.run(0.5)
        cluster.propose_change(change)

    def test_learner_is_promoted_only_after_it_has_caught_up(self):
        """Guards against a quorum that depends on an empty or diskless voter."""
        cluster = Cluster()
        for number in range(50):
            cluster.propose(b"%d" % number)
        cluster.add_learner("d", durable=False)
        with self.assertRaises(MembershipChangeError):
            cluster.propose_change(PromoteLearner(cluster.get_replica_id("d")))
        cluster.down_hosts = {"d"}
        cluster.create_store("d")
        cluster.start("d")
        cluster.propose_change(AddLearner(cluster.get_replica_id("d")))
        with self.assertRaises(MembershipChangeError):
            cluster.propose_change(PromoteLearner(cluster.get_replica_id("d")))
        cluster.down_hosts = set()
        cluster.run(1)
        cluster.propose_change(PromoteLearner(cluster.get_replica_id("d")))
        self.assertEqual(cluster.get_voters(), {"a", "b", "c", "d"})

    def test_removed_leader_steps_down(self):
        """Guards against a leader that continues to lead after its own removal."""
        cluster = Cluster()
        leader = cluster.wait_for_leader()
        cluster.propose_change(RemoveMember(cluster.get_replica_id(leader)))
        self.assertEqual(cluster.replicas[leader].role, "learner")
        cluster.run(4)
        self.assertNotEqual(cluster.wait_for_leader(), leader)
        self.assertTrue(cluster.propose(b"x"))


if __name__ == "__main__":
    unittest.main()
