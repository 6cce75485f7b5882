"""Tests of the replicated log: elections, leases, and seeded random runs."""

import random
import unittest

from buckthorndeal.consensus import (
    Append,
    AppendReply,
    Membership,
    PreVote,
    Vote,
    create_replica,
)
from buckthorndeal.errors import NotLeaderError
from tests.consensus_cluster import OPTIONS, TIMEOUT_S, Cluster
from tests.consensus_harness import run_seeds

SEEDS_PER_TEST = 250


class ElectionTest(unittest.TestCase):
    """Pre-vote, votes and check-quorum."""

    def setUp(self):
        self.cluster = Cluster()
        self.leader = self.cluster.elect()
        self.others = sorted({"a", "b", "c"} - {self.leader})

    def test_isolated_replica_does_not_disturb(self):
        """Guards against a returning host whose higher term ends the leadership."""
        host = self.others[0]
        replica = self.cluster.replicas[host]
        self.cluster.down = {host}
        term = replica.term
        self.cluster.run(20)
        self.assertEqual(replica.role, "pre_candidate")
        self.assertEqual(replica.term, term)
        self.cluster.down = set()
        self.cluster.run(2)
        self.assertEqual(self.cluster.elect(), self.leader)
        self.assertEqual(self.cluster.replicas[self.leader].term, term)
        self.assertEqual(replica.role, "follower")

    def test_isolated_leader_steps_down(self):
        """Guards against an isolated leader that goes on accepting changes."""
        replica = self.cluster.replicas[self.leader]
        self.cluster.down = {self.leader}
        self.cluster.run(TIMEOUT_S + 0.3)
        self.assertNotEqual(replica.role, "leader")
        with self.assertRaises(NotLeaderError):
            replica.propose(b"x", self.cluster.now_s)

    def test_no_vote_while_a_leader_is_heard(self):
        """Guards against a candidate that ends a lease before it expires."""
        host, other = self.others
        replica = self.cluster.replicas[host]
        for kind in (PreVote, Vote):
            request = self.make_request(kind, other, host)
            output = self.cluster.receive(host, request)
            self.assertFalse(any(m.granted for _, m in output.messages))
            self.assertEqual(replica.term, request.term - 1)

    def test_restarted_replica_waits_before_it_votes(self):
        """Guards against a vote within a lease acknowledged before the restart."""
        host, other = self.others
        self.cluster.start(host)
        request = self.make_request(Vote, other, host)
        self.assertEqual(self.cluster.receive(host, request).messages, [])
        self.cluster.now_s += TIMEOUT_S + 0.01
        ((_, reply),) = self.cluster.receive(host, request).messages
        self.assertTrue(reply.granted)

    def test_vote_survives_a_restart(self):
        """Guards against two votes of one replica in one term."""
        host, other = self.others
        self.cluster.now_s += TIMEOUT_S + 0.01
        request = self.make_request(Vote, other, host)
        ((_, reply),) = self.cluster.receive(host, request).messages
        self.assertTrue(reply.granted)
        self.cluster.stores[host].crash()
        self.cluster.start(host)
        self.cluster.now_s += TIMEOUT_S + 0.01
        request = self.make_request(Vote, self.leader, host, request.term)
        ((_, reply),) = self.cluster.receive(host, request).messages
        self.assertFalse(reply.granted)

    def test_candidate_vote_for_itself_survives_a_restart(self):
        """Guards against a restarted candidate that votes for another one."""
        cluster = self.cluster
        cluster.down = {self.leader}
        voted = {}
        while not voted:
            cluster.run(0.05)
            voted = {m.source.host: m.term for m in cluster.log if type(m) is Vote}
            voted.pop(self.leader, None)
        for host, term in voted.items():
            ballot = cluster.stores[host].load().ballot
            self.assertEqual(ballot.term, term)
            self.assertEqual(ballot.voted_for, cluster.identify(host))

    def test_host_without_disk_never_votes(self):
        """Guards against a vote that is forgotten in a restart."""
        self.cluster.add_learner("d", durable=False)
        self.cluster.now_s += 10
        for kind in (PreVote, Vote):
            request = self.make_request(kind, self.others[0], "d")
            output = self.cluster.receive("d", request)
            self.assertFalse(any(m.granted for _, m in output.messages))
        with self.assertRaises(ValueError):
            voters = Membership((self.cluster.identify("d"),))
            store = self.cluster.stores["d"]
            rng = random.Random(1)
            create_replica(voters.voters[0], store, rng, OPTIONS, voters, 0.0)

    def make_request(self, kind, source, target, term=None):
        replica = self.cluster.replicas[target]
        return kind(
            source=self.cluster.identify(source),
            target=self.cluster.identify(target),
            term=replica.term + 1 if term is None else term,
            last_index=1000,
            last_term=1000,
        )


class LeaseTest(unittest.TestCase):
    """Reads by lease and by read index."""

    def setUp(self):
        self.cluster = Cluster()
        self.leader = self.cluster.elect()
        self.replica = self.cluster.replicas[self.leader]
        self.cluster.propose(b"x")

    def test_lease_ends_before_another_replica_can_lead(self):
        """Guards against a stale read under the largest allowed clock drift."""
        now_s = self.cluster.now_s
        drift = OPTIONS.clock_drift_bound
        self.assertTrue(self.replica.has_lease(now_s))
        # The follower's clock runs fast, the leader's slow.
        real_s = TIMEOUT_S / (1 + drift)
        self.assertFalse(self.replica.has_lease(now_s + real_s * (1 - drift)))
        self.assertTrue(self.replica.has_lease(now_s + real_s * (1 - drift) - 0.001))

    def test_late_refusal_does_not_extend_the_lease(self):
        """Guards against rounds of an earlier term counted in this one."""
        follower = min({"a", "b", "c"} - {self.leader})
        late = Append(
            source=self.cluster.identify(self.leader),
            target=self.cluster.identify(follower),
            term=self.replica.term - 1,
            round=10_000,
            prev_index=0,
            prev_term=0,
            commit_index=0,
        )
        ((_, reply),) = self.cluster.receive(follower, late).messages
        self.assertIsInstance(reply, AppendReply)
        self.assertEqual((reply.success, reply.round), (False, 0))

    def test_read_waits_for_a_later_round(self):
        """Guards against a read confirmed by an answer sent before it."""
        cluster = self.cluster
        cluster.down = {"a", "b", "c"} - {self.leader}
        read_id, output = self.replica.start_read(cluster.now_s)
        cluster.apply(self.leader, output)
        self.assertEqual(cluster.reads, [])
        cluster.down = set()
        cluster.run(0.3)
        (read,) = cluster.reads
        self.assertEqual(read.read_id, read_id)
        self.assertEqual(read.index, self.replica.commit_index)


class RandomRunTest(unittest.TestCase):
    """Random faults; a failing seed names the command that repeats it."""

    def test_seeds_first(self):
        """Guards against lost or reverted entries, two leaders, and no progress."""
        run_seeds(0, SEEDS_PER_TEST)

    def test_seeds_second(self):
        """Guards against the same with further seeds."""
        run_seeds(SEEDS_PER_TEST, SEEDS_PER_TEST)

    def test_seeds_third(self):
        """Guards against the same with further seeds."""
        run_seeds(2 * SEEDS_PER_TEST, SEEDS_PER_TEST)

    def test_seeds_fourth(self):
        """Guards against the same with further seeds."""
        run_seeds(3 * SEEDS_PER_TEST, SEEDS_PER_TEST)

    def test_seeds_that_found_faults(self):
        """Guards against the faults that these seeds found.

        2140 and 101286 had no progress when the vote of a replica was needed
        that had the longest log but no vote under its own membership;
        101053 and 300605 extended a lease by a refusal of an earlier term.
        """
        for seed in (2140, 101286, 101053, 300605):
            run_seeds(seed, 1)


if __name__ == "__main__":
    unittest.main()
