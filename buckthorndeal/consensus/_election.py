"""Elections: pre-vote, vote, and the rules for granting either."""

from buckthorndeal.consensus._core import Core
from buckthorndeal.consensus._leader import Leadership
from buckthorndeal.consensus._messages import PreVote, PreVoteReply, Vote, VoteReply
from buckthorndeal.consensus._records import Ballot


def start_pre_vote(core: Core, now_s: float) -> None:
    """Ask the voters whether they would vote for this replica."""
    core.leader = None
    core.advance_role("time_out")
    core.reset_election_timer(now_s)
    core.votes = {core.identity}
    if _has_majority(core):
        _start_vote(core, now_s)
        return
    _ask_voters(core, PreVote, core.term + 1)


def _start_vote(core: Core, now_s: float) -> None:
    core.advance_role("win_pre_vote")
    core.ballot = Ballot(core.term + 1, core.identity)
    core.store.save_ballot(core.ballot)
    core.reset_election_timer(now_s)
    core.votes = {core.identity}
    if _has_majority(core):
        _start_leading(core, now_s)
        return
    _ask_voters(core, Vote, core.term)


def _start_leading(core: Core, now_s: float) -> None:
    core.leader = core.identity
    core.leadership = Leadership(core, now_s)
    core.advance_role("win_vote")
    core.leadership.start(now_s)


def _ask_voters(core: Core, kind: type, term: int) -> None:
    for voter in core.log.membership.voters:
        if voter != core.identity:
            core.send(
                kind,
                voter,
                term,
                last_index=core.log.last_index,
                last_term=core.log.last_term,
            )


def _has_majority(core: Core) -> bool:
    membership = core.log.membership
    return len(core.votes.intersection(membership.voters)) >= membership.quorum


def _may_grant(core: Core, request: PreVote | Vote, now_s: float) -> bool:
    """Return whether nothing but the ballot keeps this replica from a grant.

    A replica grants votes without regard to its own membership: the candidate
    may know a newer one in which this replica's vote is needed. A replica
    without a disk never votes, because it would forget its vote in a restart.
    """
    if not core.store.durable or core.leadership is not None:
        return False
    if now_s - core.leader_contact_s < core.options.election_timeout_s:
        return False
    own = (core.log.last_term, core.log.last_index)
    return (request.last_term, request.last_index) >= own


def handle_pre_vote(core: Core, request: PreVote, now_s: float) -> None:
    """Answer whether this replica would vote; nothing changes."""
    granted = request.term > core.term and _may_grant(core, request, now_s)
    term = request.term if granted else core.term
    core.send(PreVoteReply, request.source, term, granted=granted)


def handle_pre_vote_reply(core: Core, reply: PreVoteReply, now_s: float) -> None:
    """Count a pre-vote; a majority starts the vote."""
    if not reply.granted:
        core.adopt_term(reply.term, now_s)
        return
    if core.role != "pre_candidate" or reply.term != core.term + 1:
        return
    core.votes.add(reply.source)
    if _has_majority(core):
        _start_vote(core, now_s)


def handle_vote(core: Core, request: Vote, now_s: float) -> None:
    """Grant at most one vote per term.

    The term of a request that the leader's lease forbids is not adopted, so the
    candidate does not disturb a working leader.
    """
    if request.term < core.term:
        core.send(VoteReply, request.source, granted=False)
        return
    contact_age_s = now_s - core.leader_contact_s
    in_contact = contact_age_s < core.options.election_timeout_s
    if core.leadership is not None or in_contact:
        return
    core.adopt_term(request.term, now_s)
    free = core.ballot.voted_for in (None, request.source)
    granted = free and _may_grant(core, request, now_s)
    if granted and core.ballot.voted_for is None:
        core.ballot = Ballot(core.term, request.source)
        core.store.save_ballot(core.ballot)
    if granted:
        core.reset_election_timer(now_s)
    core.send(VoteReply, request.source, granted=granted)


def handle_vote_reply(core: Core, reply: VoteReply, now_s: float) -> None:
    """Count a vote; a majority makes this replica the leader."""
    core.adopt_term(reply.term, now_s)
    if core.role != "candidate" or reply.term != core.term or not reply.granted:
        return
    core.votes.add(reply.source)
    if _has_majority(core):
        _start_leading(core, now_s)
