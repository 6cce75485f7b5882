"""Policy that repairs the membership after a voter is lost."""

from dataclasses import dataclass

from buckthorndeal.consensus._records import (
    AddLearner,
    MembershipChange,
    PromoteLearner,
    RemoveMember,
)
from buckthorndeal.consensus._replica import MemberStatus

# The fewest voters that bear the loss of one.
MIN_FAULT_TOLERANT_VOTERS = 3


@dataclass(frozen=True)
class FixedSizePolicy:
    """Chooses the next membership change of the leader.

    A learner gets its vote before the lost voter is removed, and the removal
    follows at once: from then on the loss of one more voter leaves a majority.

    Parameters
    ----------
    voter_count : int
        Wanted number of voters.
    promote_after_s : float
        Silence after which a voter is replaced.
    remove_learner_after_s : float
        Silence after which a learner is removed; it may join again.
    """

    voter_count: int = 3
    promote_after_s: float = 30.0
    remove_learner_after_s: float = 300.0

    def choose_change(self, members: list[MemberStatus]) -> MembershipChange | None:
        """Return the next change, or None if there is nothing to repair.

        Parameters
        ----------
        members : list of MemberStatus
            Result of `Replica.list_members`.
        """
        return (
            self._remove_lost_voter(members)
            or self._promote_learner(members)
            or self._add_joining_replica(members)
            or self._remove_silent_learner(members)
        )

    def _list_lost_voters(self, members: list[MemberStatus]) -> list[MemberStatus]:
        lost = [
            member
            for member in members
            if member.standing == "voter" and member.silent_s >= self.promote_after_s
        ]
        return sorted(lost, key=lambda member: -member.silent_s)

    def _remove_lost_voter(
        self, members: list[MemberStatus]
    ) -> MembershipChange | None:
        voters = [member for member in members if member.standing == "voter"]
        lost = self._list_lost_voters(members)
        if lost and len(voters) > self.voter_count:
            return RemoveMember(lost[0].replica)
        return None

    def _promote_learner(self, members: list[MemberStatus]) -> MembershipChange | None:
        voters = [member for member in members if member.standing == "voter"]
        lost = self._list_lost_voters(members)
        if not lost and len(voters) >= self.voter_count:
            return None
        active = sum(voter.active for voter in voters)
        quorum = (len(voters) + 1) // 2 + 1
        if active + 1 < quorum:
            # The promotion itself could not be committed.
            return None
        hosts = {voter.replica.host for voter in voters if voter not in lost}
        promotable = [
            member
            for member in members
            if member.standing == "learner"
            and member.durable
            and member.caught_up
            and member.replica.host not in hosts
        ]
        if not promotable:
            return None
        lost_hosts = {voter.replica.host for voter in lost}
        # A new incarnation of the lost host keeps the spread over regions.
        promotable.sort(key=lambda member: member.replica.host not in lost_hosts)
        return PromoteLearner(promotable[0].replica)

    def _add_joining_replica(
        self, members: list[MemberStatus]
    ) -> MembershipChange | None:
        for member in members:
            if member.standing == "candidate":
                return AddLearner(member.replica)
        return None

    def _remove_silent_learner(
        self, members: list[MemberStatus]
    ) -> MembershipChange | None:
        for member in members:
            silent = member.silent_s >= self.remove_learner_after_s
            if member.standing == "learner" and silent:
                return RemoveMember(member.replica)
        return None


@dataclass(frozen=True)
class ElasticPolicy:
    """Gives every durable host a vote, for clusters without a fixed size.

    A lost voter is removed when a spare can take its place, when the number of
    voters is even, or after a long silence. The removal comes before the promotion
    of the spare, so that the lost vote never counts beside that of its replacement.

    Parameters
    ----------
    replace_voter_after_s : float
        Silence after which a voter gives its place to a waiting learner.
    remove_voter_after_s : float
        Silence after which a voter is removed without a replacement.
    remove_learner_after_s : float
        Silence after which a learner is removed; it may join again.
    max_voters : int
        Most voters.
    """

    replace_voter_after_s: float = 2.0
    remove_voter_after_s: float = 20.0
    remove_learner_after_s: float = 10.0
    max_voters: int = 9

    def choose_change(self, members: list[MemberStatus]) -> MembershipChange | None:
        """Return the next change, or None if there is nothing to do.

        Parameters
        ----------
        members : list of MemberStatus
            Result of `Replica.list_members`.
        """
        voters = [member for member in members if member.standing == "voter"]
        promotable = [member for member in members if _is_promotable(member)]
        lost = self._list_lost_voters(voters, promotable)
        if lost and _keeps_majority_after_removal(voters):
            return RemoveMember(lost[0].replica)
        # A voter that has just fallen silent is replaced, not added to.
        settled = all(voter.active for voter in voters)
        if promotable and settled and len(voters) < self.max_voters:
            return PromoteLearner(promotable[0].replica)
        for member in members:
            if member.standing == "candidate":
                return AddLearner(member.replica)
            silent = member.silent_s >= self.remove_learner_after_s
            if member.standing == "learner" and silent:
                return RemoveMember(member.replica)
        return None

    def _list_lost_voters(
        self, voters: list[MemberStatus], promotable: list[MemberStatus]
    ) -> list[MemberStatus]:
        hosts = {learner.replica.host for learner in promotable}
        # Without one voter of an even number the rest bears as many losses or more.
        hasty = bool(promotable) or len(voters) % 2 == 0
        limit_s = self.replace_voter_after_s if hasty else self.remove_voter_after_s
        lost = [
            voter
            for voter in voters
            if voter.silent_s >= limit_s or voter.replica.host in hosts
        ]
        return sorted(lost, key=lambda voter: voter.replica.host not in hosts)


def choose_removal(host: str, members: list[MemberStatus]) -> MembershipChange | None:
    """Return the removal of a host that stops, or None if its vote is needed.

    The voters that remain must all be active and enough to bear the next loss.

    Parameters
    ----------
    host : str
        Host that stops.
    members : list of MemberStatus
        Result of `Replica.list_members`.
    """
    voters = [member for member in members if member.standing == "voter"]
    leaving = [voter for voter in voters if voter.replica.host == host]
    others = [voter for voter in voters if voter.replica.host != host]
    if len(others) < MIN_FAULT_TOLERANT_VOTERS or not all(
        voter.active for voter in others
    ):
        return None
    return RemoveMember(leaving[0].replica) if leaving else None


def _is_promotable(member: MemberStatus) -> bool:
    return member.standing == "learner" and member.durable and member.caught_up


def _keeps_majority_after_removal(voters: list[MemberStatus]) -> bool:
    """Return whether the active voters are a majority without one lost voter."""
    active = sum(voter.active for voter in voters)
    return active > (len(voters) - 1) // 2
