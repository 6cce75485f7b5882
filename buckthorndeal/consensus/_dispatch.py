"""Dispatch of received messages to the handler of their type."""

import functools

from buckthorndeal.consensus import _election as election
from buckthorndeal.consensus import _follower as follower
from buckthorndeal.consensus import _messages as messages
from buckthorndeal.consensus._messages import ConsensusMessage
from buckthorndeal.consensus._state import ReplicaState


@functools.singledispatch
def handle_message(
    message: ConsensusMessage, state: ReplicaState, now_s: float
) -> None:
    """Handle a message that is addressed to this replica.

    Raises
    ------
    TypeError
        If no handler is registered for the type of the message.
    """
    raise TypeError(f"no handler for consensus message {message!r}")


@handle_message.register
def _(message: messages.PreVote, state: ReplicaState, now_s: float) -> None:
    election.handle_pre_vote(state, message, now_s)


@handle_message.register
def _(message: messages.PreVoteReply, state: ReplicaState, now_s: float) -> None:
    election.handle_pre_vote_reply(state, message, now_s)


@handle_message.register
def _(message: messages.Vote, state: ReplicaState, now_s: float) -> None:
    election.handle_vote(state, message, now_s)


@handle_message.register
def _(message: messages.VoteReply, state: ReplicaState, now_s: float) -> None:
    election.handle_vote_reply(state, message, now_s)


@handle_message.register
def _(message: messages.Append, state: ReplicaState, now_s: float) -> None:
    follower.handle_append(state, message, now_s)


@handle_message.register
def _(message: messages.InstallSnapshot, state: ReplicaState, now_s: float) -> None:
    follower.handle_install_snapshot(state, message, now_s)


@handle_message.register
def _(message: messages.AppendReply, state: ReplicaState, now_s: float) -> None:
    state.adopt_term(message.term, now_s)
    if state.leadership is not None and message.term == state.term:
        state.leadership.handle_append_reply(message, now_s)


@handle_message.register
def _(
    message: messages.InstallSnapshotReply, state: ReplicaState, now_s: float
) -> None:
    state.adopt_term(message.term, now_s)
    if state.leadership is not None and message.term == state.term:
        state.leadership.handle_snapshot_reply(message, now_s)


@handle_message.register
def _(message: messages.Join, state: ReplicaState, now_s: float) -> None:
    if state.leadership is not None:
        state.leadership.handle_join(message, now_s)
