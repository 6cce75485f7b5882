"""Policy that repairs the membership after a voter is lost."""

from dataclasses import dataclass

from buckthorndeal.consensus._records import (
    AddLearner,
    MembershipChange,
    PromoteLearner,
    RemoveMember,
)
from buckthorndeal.consensus._replica import MemberStatus


@dataclass(frozen=True)
class MembershipPolicy:
    """Chooses the next membership change of the leader.

    A learner gets its vote before the lost voter is removed, and the removal
    follows at once: from then on the loss of one more voter leaves a majority.

    Parameters
    ----------
    voter_count : int
        Wanted number of voters.
    promote_after_s : float
        Silence after which a voter is replaced.
    forget_after_s : float
        Silence after which a learner is removed; it may join again.
    """

    voter_count: int = 3
    promote_after_s: float = 30.0
    forget_after_s: float = 300.0

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
            or self._add_candidate(members)
            or self._forget_learner(members)
        )

    def _list_lost(self, members: list[MemberStatus]) -> list[MemberStatus]:
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
        lost = self._list_lost(members)
        if lost and len(voters) > self.voter_count:
            return RemoveMember(lost[0].replica)
        return None

    def _promote_learner(self, members: list[MemberStatus]) -> MembershipChange | None:
        voters = [member for member in members if member.standing == "voter"]
        lost = self._list_lost(members)
        if not lost and len(voters) >= self.voter_count:
            return None
        active = sum(voter.active for voter in voters)
        quorum = (len(voters) + 1) // 2 + 1
        if active + 1 < quorum:
            # The promotion itself could not be committed.
            return None
        hosts = {voter.replica.host for voter in voters if voter not in lost}
        spares = [
            member
            for member in members
            if member.standing == "learner"
            and member.durable
            and member.caught_up
            and member.replica.host not in hosts
        ]
        if not spares:
            return None
        lost_hosts = {voter.replica.host for voter in lost}
        # A new incarnation of the lost host keeps the spread over regions.
        spares.sort(key=lambda member: member.replica.host not in lost_hosts)
        return PromoteLearner(spares[0].replica)

    def _add_candidate(self, members: list[MemberStatus]) -> MembershipChange | None:
        for member in members:
            if member.standing == "candidate":
                return AddLearner(member.replica)
        return None

    def _forget_learner(self, members: list[MemberStatus]) -> MembershipChange | None:
        for member in members:
            silent = member.silent_s >= self.forget_after_s
            if member.standing == "learner" and silent:
                return RemoveMember(member.replica)
        return None
