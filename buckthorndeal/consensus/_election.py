"""Leader election: pre-vote, vote, and the conditions for granting them."""

from buckthorndeal.consensus._leader import Leadership
from buckthorndeal.consensus._messages import PreVote, PreVoteReply, Vote, VoteReply
from buckthorndeal.consensus._records import Ballot
from buckthorndeal.consensus._state import ReplicaState


def start_pre_vote(state: ReplicaState, now_s: float) -> None:
    """Start an election with a pre-vote, which does not raise the term."""
    state.leader = None
    state.advance_role("time_out")
    state.reset_election_timer(now_s)
    state.pre_vote_started_s = now_s
    state.votes = {state.identity}
    if _has_majority(state):
        _start_vote(state, now_s)
        return
    _ask_voters(state, PreVote, state.term + 1)


def _start_vote(state: ReplicaState, now_s: float) -> None:
    state.advance_role("win_pre_vote")
    state.ballot = Ballot(state.term + 1, state.identity)
    state.store.save_ballot(state.ballot)
    state.reset_election_timer(now_s)
    state.votes = {state.identity}
    if _has_majority(state):
        _start_leading(state, now_s)
        return
    _ask_voters(state, Vote, state.term)


def _start_leading(state: ReplicaState, now_s: float) -> None:
    state.leader = state.identity
    state.leadership = Leadership(state, now_s)
    state.advance_role("win_vote")
    state.leadership.start(now_s)


def _ask_voters(state: ReplicaState, message_type: type, term: int) -> None:
    for voter in state.log.membership.voters:
        if voter not in state.votes:
            state.send(
                message_type,
                voter,
                term,
                last_index=state.log.last_index,
                last_term=state.log.last_term,
            )


def _has_majority(state: ReplicaState) -> bool:
    membership = state.log.membership
    return len(state.votes.intersection(membership.voters)) >= membership.quorum


def _may_grant_vote(state: ReplicaState, request: PreVote | Vote, now_s: float) -> bool:
    """Return whether this replica may grant a request, regardless of its ballot.

    A replica grants votes even if its own membership does not name it as a voter,
    because the candidate may know a newer membership that needs its vote. A
    replica without a disk never votes: a restart would erase its vote.
    """
    if not state.store.durable or state.leadership is not None:
        return False
    if now_s - state.last_leader_contact_s < state.options.election_timeout_s:
        return False
    own_position = (state.log.last_term, state.log.last_index)
    return (request.last_term, request.last_index) >= own_position


def handle_pre_vote(state: ReplicaState, request: PreVote, now_s: float) -> None:
    """Reply whether this replica would grant its vote.

    Of replicas that ask at the same time, only the one of the highest rank goes on to
    the vote: if all of them did, each would vote for itself and the votes be split.
    """
    granted = request.term > state.term and _may_grant_vote(state, request, now_s)
    if granted and _runs_pre_vote(state, now_s):
        if _outranks(state, request):
            # The source has been refused by this replica's earlier question, or has
            # not received it.
            _ask_voters(state, PreVote, state.term + 1)
            granted = False
        else:
            state.step_down(now_s)
    if granted:
        state.defer_election(now_s)
    term = request.term if granted else state.term
    state.send(PreVoteReply, request.source, term, granted=granted)


def _runs_pre_vote(state: ReplicaState, now_s: float) -> bool:
    """Return whether a pre-vote of this replica may still succeed.

    Its replies arrive within the defer time, or never; one that never succeeds keeps
    others from winning for that time only.
    """
    if state.role != "pre_candidate" or not state.may_campaign:
        return False
    return now_s < state.pre_vote_started_s + state.options.election_defer_s


def _outranks(state: ReplicaState, request: PreVote) -> bool:
    """Return whether this replica goes before the source, by log and then by id."""
    own_position = (state.log.last_term, state.log.last_index)
    position = (request.last_term, request.last_index)
    return (own_position, state.identity) > (position, request.source)


def handle_pre_vote_reply(
    state: ReplicaState, reply: PreVoteReply, now_s: float
) -> None:
    """Count a granted pre-vote; a majority starts the vote in the next term."""
    if not reply.granted:
        state.adopt_term(reply.term, now_s)
        return
    if state.role != "pre_candidate" or reply.term != state.term + 1:
        return
    state.votes.add(reply.source)
    if _has_majority(state):
        _start_vote(state, now_s)


def handle_vote(state: ReplicaState, request: Vote, now_s: float) -> None:
    """Grant a vote to at most one candidate per term.

    A request that arrives while the leader's lease may be valid is ignored and its
    term is not adopted, so a candidate cannot depose a working leader.
    """
    if request.term < state.term:
        state.send(VoteReply, request.source, granted=False)
        return
    contact_age_s = now_s - state.last_leader_contact_s
    in_contact = contact_age_s < state.options.election_timeout_s
    if state.leadership is not None or in_contact:
        return
    state.adopt_term(request.term, now_s)
    vote_available = state.ballot.voted_for in (None, request.source)
    granted = vote_available and _may_grant_vote(state, request, now_s)
    if granted and state.ballot.voted_for is None:
        state.ballot = Ballot(state.term, request.source)
        state.store.save_ballot(state.ballot)
    if granted:
        state.reset_election_timer(now_s)
    state.send(VoteReply, request.source, granted=granted)


def handle_vote_reply(state: ReplicaState, reply: VoteReply, now_s: float) -> None:
    """Count a granted vote; a majority makes this replica the leader."""
    state.adopt_term(reply.term, now_s)
    if state.role != "candidate" or reply.term != state.term or not reply.granted:
        return
    state.votes.add(reply.source)
    if _has_majority(state):
        _start_leading(state, now_s)
