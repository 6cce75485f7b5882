"""Decisions of the dispatcher on the attempts of one request."""

import curio

from buckthorndeal.errors import Verdict
from buckthorndeal.gateway._context import GatewayContext
from buckthorndeal.gateway._fleet_messages import RegionUpdate, RelayUnreachable
from buckthorndeal.gateway._messages import (
    AttemptEnded,
    Decision,
    Dispatch,
    Forward,
    Grant,
)
from buckthorndeal.gateway._response_check import AttemptError
from buckthorndeal.policy.views import AttemptOutcome


async def request_decision(context: GatewayContext, dispatch: Dispatch) -> Decision:
    """Return the decision on an attempt, which may take a while.

    Raises
    ------
    MailboxError
        If the dispatcher fails.
    """
    decided = False
    try:
        decision = await context.dispatch_mailbox.ask(dispatch)
        decided = True
        return decision
    finally:
        if not decided:
            # Releases what the dispatcher may still grant to this attempt.
            await withdraw_attempt(context, dispatch.attempt_id)


async def withdraw_attempt(context: GatewayContext, attempt_id: int) -> None:
    """Give back what the dispatcher has granted to an attempt that is not sent."""
    async with curio.disable_cancellation():
        await context.dispatch_mailbox.send(
            AttemptEnded(attempt_id, None, was_sent=False)
        )


def get_target(decision: Grant | Forward) -> str:
    """Return the name by which a target that has failed is excluded."""
    return decision.record.endpoint if isinstance(decision, Grant) else decision.target


async def report_unserved(
    context: GatewayContext, decision: Decision, error: AttemptError
) -> None:
    """Keep other requests from an entry host that has not run one."""
    if not isinstance(decision, Forward) or error.verdict is not Verdict.NOT_RUN:
        return
    if error.outcome is AttemptOutcome.CANCELLED:
        # A shortage of this host says nothing about the other one.
        return
    if not decision.is_relay:
        # Until the next report of the region.
        lost = RegionUpdate(decision.region, None)
        await context.dispatch_mailbox.send(lost)
    elif not error.request_sent:
        unreachable = RelayUnreachable(decision.host)
        await context.dispatch_mailbox.send(unreachable)
