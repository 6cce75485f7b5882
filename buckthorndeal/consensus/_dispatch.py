"""Handlers by message type."""

import functools

from buckthorndeal.consensus import _election as election
from buckthorndeal.consensus import _follower as follower
from buckthorndeal.consensus import _messages as messages
from buckthorndeal.consensus._core import Core
from buckthorndeal.consensus._messages import ConsensusMessage


@functools.singledispatch
def handle_message(message: ConsensusMessage, core: Core, now_s: float) -> None:
    """Apply a message that is meant for this replica."""
    raise TypeError(f"unknown message {message!r}")


@handle_message.register
def _(message: messages.PreVote, core: Core, now_s: float) -> None:
    election.handle_pre_vote(core, message, now_s)


@handle_message.register
def _(message: messages.PreVoteReply, core: Core, now_s: float) -> None:
    election.handle_pre_vote_reply(core, message, now_s)


@handle_message.register
def _(message: messages.Vote, core: Core, now_s: float) -> None:
    election.handle_vote(core, message, now_s)


@handle_message.register
def _(message: messages.VoteReply, core: Core, now_s: float) -> None:
    election.handle_vote_reply(core, message, now_s)


@handle_message.register
def _(message: messages.Append, core: Core, now_s: float) -> None:
    follower.handle_append(core, message, now_s)


@handle_message.register
def _(message: messages.InstallSnapshot, core: Core, now_s: float) -> None:
    follower.handle_install_snapshot(core, message, now_s)


@handle_message.register
def _(message: messages.AppendReply, core: Core, now_s: float) -> None:
    core.adopt_term(message.term, now_s)
    if core.leadership is not None and message.term == core.term:
        core.leadership.handle_append_reply(message, now_s)


@handle_message.register
def _(message: messages.InstallSnapshotReply, core: Core, now_s: float) -> None:
    core.adopt_term(message.term, now_s)
    if core.leadership is not None and message.term == core.term:
        core.leadership.handle_snapshot_reply(message, now_s)


@handle_message.register
def _(message: messages.Join, core: Core, now_s: float) -> None:
    if core.leadership is not None:
        core.leadership.handle_join(message, now_s)
