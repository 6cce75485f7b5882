"""Policies that choose membership changes, for example after the loss of a voter."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from buckthorndeal.consensus._losses import (
    Location,
    ToleratedLosses,
    list_borne_groups,
)
from buckthorndeal.consensus._member_status import MemberStatus
from buckthorndeal.consensus._records import (
    AddLearner,
    MembershipChange,
    PromoteLearner,
    RemoveMember,
)

# Smallest number of voters that tolerates the loss of one.
MIN_FAULT_TOLERANT_VOTERS = 3


@dataclass(frozen=True)
class VoteKept:
    """Why a host that stops keeps its vote.

    Parameters
    ----------
    reason : str
        "too_few_voters"; "failure_domains" or "regions" if the other voters would not
        bear the loss of some; "voter_out_of_contact" if one of them may be lost
        already; "membership_changes" or "no_vote" if there is nothing to remove.
    voters : int
        Number of voters, this one among them.
    """

    reason: str
    voters: int = 0


@dataclass(frozen=True)
class FixedSizePolicy:
    """Keeps a fixed number of voters and replaces lost ones.

    A learner is promoted first and the lost voter is removed directly afterwards.
    After the removal, the loss of one more voter still leaves a majority.

    Parameters
    ----------
    voter_count : int
        Target number of voters.
    promote_after_s : float
        Seconds without contact after which a voter is replaced.
    remove_learner_after_s : float
        Seconds without contact after which a learner is removed; it may join again.
    """

    voter_count: int = 3
    promote_after_s: float = 30.0
    remove_learner_after_s: float = 300.0

    def choose_change(self, members: list[MemberStatus]) -> MembershipChange | None:
        """Return the next change, or None if no change is needed.

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
        lost_voters = [
            member
            for member in members
            if member.standing == "voter" and member.silent_s >= self.promote_after_s
        ]
        return sorted(lost_voters, key=lambda member: -member.silent_s)

    def _remove_lost_voter(
        self, members: list[MemberStatus]
    ) -> MembershipChange | None:
        voters = [member for member in members if member.standing == "voter"]
        lost_voters = self._list_lost_voters(members)
        if lost_voters and len(voters) > self.voter_count:
            return RemoveMember(lost_voters[0].replica)
        return None

    def _promote_learner(self, members: list[MemberStatus]) -> MembershipChange | None:
        voters = [member for member in members if member.standing == "voter"]
        lost_voters = self._list_lost_voters(members)
        if not lost_voters and len(voters) >= self.voter_count:
            return None
        active_count = sum(voter.active for voter in voters)
        quorum = (len(voters) + 1) // 2 + 1
        if active_count + 1 < quorum:
            # Too few voters are active to commit the promotion.
            return None
        healthy_hosts = {
            voter.replica.host for voter in voters if voter not in lost_voters
        }
        promotable = [
            member
            for member in members
            if member.standing == "learner"
            and member.durable
            and member.caught_up
            and member.replica.host not in healthy_hosts
        ]
        if not promotable:
            return None
        lost_hosts = {voter.replica.host for voter in lost_voters}
        # A new incarnation of the lost host is preferred, because it keeps the
        # distribution of the voters over regions.
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
    """Makes every durable host a voter, for clusters without a fixed size.

    A lost voter is removed when a learner can replace it, when the number of voters
    is even, or after a longer time without contact. Above the planned number it is
    removed before its replacement is promoted, so that the two never count as voters
    together; at the planned number the replacement is promoted first, so that no fewer
    disks hold an entry meanwhile.

    Parameters
    ----------
    replace_voter_after_s : float
        Seconds without contact after which a voter is removed if a learner can
        replace it or the number of voters is even.
    remove_voter_after_s : float
        Seconds without contact after which a voter is removed without a replacement.
    remove_learner_after_s : float
        Seconds without contact after which a learner is removed; it may join again.
    max_voters : int
        Maximum number of voters.
    planned_voters : int
        Number of voters that the deployment is made for. With this number or fewer, a
        voter that stops or is out of contact keeps its vote until a learner can replace
        it: its disk may be one of the last that hold an entry.
    losses : ToleratedLosses
        Failure domains and regions whose loss the voters have to bear.
    """

    replace_voter_after_s: float = 2.0
    remove_voter_after_s: float = 20.0
    remove_learner_after_s: float = 10.0
    max_voters: int = 9
    planned_voters: int = 0
    losses: ToleratedLosses = field(default_factory=ToleratedLosses)

    def choose_change(self, members: list[MemberStatus]) -> MembershipChange | None:
        """Return the next change, or None if no change is needed.

        Parameters
        ----------
        members : list of MemberStatus
            Result of `Replica.list_members`.
        """
        voters = [member for member in members if member.standing == "voter"]
        promotable = [member for member in members if _is_promotable(member)]
        replacement = self._find_replacement(voters, promotable)
        if replacement is not None:
            return PromoteLearner(replacement.replica)
        lost_voters = self._list_lost_voters(voters, promotable)
        if lost_voters and _keeps_majority_after_removal(voters):
            return RemoveMember(lost_voters[0].replica)
        # While a voter is out of contact, no voter is added: the learner is kept as
        # its replacement. A voter that has stopped as the learner was added counts as
        # active for a while, but does not learn of it.
        all_active = all(voter.active and voter.informed for voter in voters)
        if promotable and all_active and len(voters) < self.max_voters:
            return PromoteLearner(promotable[0].replica)
        for member in members:
            if member.standing == "candidate":
                return AddLearner(member.replica)
            silent = member.silent_s >= self.remove_learner_after_s
            if member.standing == "learner" and silent:
                return RemoveMember(member.replica)
        return None

    def _find_replacement(
        self, voters: list[MemberStatus], promotable: list[MemberStatus]
    ) -> MemberStatus | None:
        """Return a learner to promote although other voters are out of contact.

        Up to the planned number a second lost voter must not wait for the replacement
        of the first one, if the active voters are a majority with the learner.
        """
        count = len(voters)
        has_lost_voter = any(
            voter.silent_s >= self.replace_voter_after_s for voter in voters
        )
        # Added to an even number, a voter does not raise the majority.
        wanted = count < self.planned_voters or (
            count == self.planned_voters and (count % 2 == 0 or has_lost_voter)
        )
        active_count = sum(voter.active for voter in voters) + 1
        if not wanted or count >= self.max_voters or active_count <= (count + 1) // 2:
            return None
        hosts = {voter.replica.host for voter in voters}
        others = [each for each in promotable if each.replica.host not in hosts]
        return others[0] if others else None

    def _list_lost_voters(
        self, voters: list[MemberStatus], promotable: list[MemberStatus]
    ) -> list[MemberStatus]:
        promotable_hosts = {learner.replica.host for learner in promotable}
        if len(voters) <= self.planned_voters:
            # Only an earlier incarnation, whose disk is gone, makes room.
            return [each for each in voters if each.replica.host in promotable_hosts]
        # Removing one of an even number of voters does not lower the number of
        # further losses that the cluster tolerates. A voter whose host has a
        # promotable learner is an earlier incarnation and counts as lost at once.
        remove_early = bool(promotable) or len(voters) % 2 == 0
        removal_delay_s = (
            self.replace_voter_after_s if remove_early else self.remove_voter_after_s
        )
        lost_voters = [
            voter
            for voter in voters
            if voter.silent_s >= removal_delay_s
            or voter.replica.host in promotable_hosts
        ]
        return sorted(
            lost_voters, key=lambda voter: voter.replica.host not in promotable_hosts
        )

    def choose_removal(
        self,
        host: str,
        members: list[MemberStatus],
        locations: Mapping[str, Location],
    ) -> MembershipChange | VoteKept:
        """Return the removal of a voter whose host stops, or why it keeps its vote.

        Parameters
        ----------
        host : str
            Host that is about to stop.
        members : list of MemberStatus
            Result of `Replica.list_members`.
        locations : mapping of str to Location
            Locations of the hosts, as far as they are known.
        """
        voters = [member for member in members if member.standing == "voter"]
        leaving = [voter for voter in voters if voter.replica.host == host]
        if not leaving:
            return VoteKept("membership_changes" if not members else "no_vote")
        others = [voter for voter in voters if voter.replica.host != host]
        kept = self.find_reason_to_vote(
            host, [voter.replica.host for voter in voters], locations
        )
        if kept is None and not all(voter.active for voter in others):
            kept = VoteKept("voter_out_of_contact", len(voters))
        return kept or RemoveMember(leaving[0].replica)

    def find_reason_to_vote(
        self, host: str, voters: Collection[str], locations: Mapping[str, Location]
    ) -> VoteKept | None:
        """Return why a host that stops has to keep its vote, or None.

        The others must be as many as the deployment is made for, and must bear the loss
        of each group of hosts that all voters together bear.

        Parameters
        ----------
        host : str
            Host that is about to stop.
        voters : collection of str
            Hosts that vote.
        locations : mapping of str to Location
            Locations of the hosts, as far as they are known.
        """
        others = [voter for voter in voters if voter != host]
        if len(others) < max(self.planned_voters, MIN_FAULT_TOLERANT_VOTERS):
            return VoteKept("too_few_voters", len(voters))
        borne_before = list_borne_groups(voters, self.losses, locations)
        lost = borne_before - list_borne_groups(others, self.losses, locations)
        return VoteKept(min(lost), len(voters)) if lost else None


def _is_promotable(member: MemberStatus) -> bool:
    return member.standing == "learner" and member.durable and member.caught_up


def _keeps_majority_after_removal(voters: list[MemberStatus]) -> bool:
    """Return whether the active voters are a majority after a lost one is removed."""
    active_count = sum(voter.active for voter in voters)
    return active_count > (len(voters) - 1) // 2


def create_elastic_policy(seed_count: int, losses: ToleratedLosses) -> ElasticPolicy:
    """Return the policy of a deployment with seeds and losses that it has to bear."""
    planned_voters = max(seed_count, losses.min_voters)
    return ElasticPolicy(planned_voters=planned_voters, losses=losses)
