"""Tests that an election after a restart of many voters ends in one term."""

import unittest

from buckthorndeal.consensus import PreVote, PreVoteReply
from tests.consensus_cluster import TIMEOUT_S, Cluster
from tests.election_play import measure

SEEDS = range(300)
MAX_SPLIT_ONE_WAY = 3


def count_split(outcomes):
    """Return how many elections needed more than one term."""
    return sum(each.terms > 1 for each in outcomes)


class SplitVoteTest(unittest.TestCase):
    """Voters start again at nearly the same time, with equal or shorter logs."""

    def test_votes_of_the_last_majority_are_not_split(self):
        """Guards against candidates that vote for themselves where all are needed."""
        self.assertEqual(count_split(measure(SEEDS, running=3)), 0)

    def test_votes_of_any_majority_are_not_split(self):
        """Guards against split votes of three to five voters."""
        self.assertEqual(count_split(measure(SEEDS)), 0)

    def test_candidate_that_nobody_answers_does_not_keep_others_from_winning(self):
        """Guards against voters that defer for ever to a candidate that cannot win."""
        outcomes = measure(SEEDS, running=4, one_way=True)
        self.assertLessEqual(count_split(outcomes), MAX_SPLIT_ONE_WAY)


class PreVoteRankTest(unittest.TestCase):
    """What a replica replies to pre-votes while its own one is under way."""

    def setUp(self):
        self.cluster = Cluster("abcde")
        self.cluster.down_hosts = set("acde")
        self.replica = self.cluster.replicas["b"]
        while self.replica.role != "pre_candidate":
            self.cluster.run(0.05)

    def ask(self, source):
        """Return the messages of b to a pre-vote of `source` with an equal log."""
        request = PreVote(
            source=self.cluster.get_replica_id(source),
            target=self.replica.identity,
            term=self.replica.term + 1,
            last_index=self.replica.last_index,
            last_term=self.replica.term,
        )
        output = self.cluster.receive("b", request)
        return [message for _, message in output.messages]

    def test_lower_rank_is_refused_and_asked(self):
        """Guards against two candidates, and against a lost earlier question."""
        *questions, reply = self.ask("a")
        self.assertEqual({type(each) for each in questions}, {PreVote})
        self.assertIn("a", {each.target.host for each in questions})
        self.assertIsInstance(reply, PreVoteReply)
        self.assertFalse(reply.granted)

    def test_higher_rank_is_supported(self):
        """Guards against a replica that supports another and goes on itself."""
        (reply,) = self.ask("c")
        self.assertTrue(reply.granted)
        self.assertEqual(self.replica.role, "follower")
        late = PreVoteReply(
            source=self.cluster.get_replica_id("d"),
            target=self.replica.identity,
            term=self.replica.term + 1,
            granted=True,
        )
        self.cluster.receive("b", late)
        self.cluster.receive("b", late)
        self.assertEqual(self.replica.role, "follower")

    def test_lower_rank_is_granted_once_the_own_question_is_old(self):
        """Guards against a replica that wins no votes itself and grants none."""
        self.cluster.now_s += TIMEOUT_S / 2
        (reply,) = self.ask("a")
        self.assertTrue(reply.granted)


if __name__ == "__main__":
    unittest.main()
