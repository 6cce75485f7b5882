"""Calls of other hosts that the fleet task answers."""

from functools import singledispatch

from buckthorndeal.coordinator._fleet_messages import (
    RelayedLeaveReceived,
    RelayedRecordReceived,
)
from buckthorndeal.coordinator._shared_requests import (
    EvidenceReceived,
    OriginRequested,
    OriginsReceived,
    RateLimitsReceived,
)
from buckthorndeal.fleet import (
    Acknowledged,
    EvidenceUpdate,
    FindOrigin,
    OriginUpdate,
    RateLimitUpdate,
    RelayEndpoint,
    RelayLeave,
    check_incarnation,
    check_record,
)
from buckthorndeal.mailbox import Mailbox
from buckthorndeal.wire import Message


@singledispatch
async def call_fleet(message: Message, fleet: Mailbox) -> Message | None:
    """Return the reply of the fleet task, or None if the call is not for it.

    Parameters
    ----------
    message : Message
        Call of another host.
    fleet : Mailbox
        Mailbox of the fleet task.
    """
    del message, fleet


@call_fleet.register
async def _(message: RelayEndpoint, fleet: Mailbox) -> Message:
    check_record(message.record)
    await fleet.ask(RelayedRecordReceived(message.record))
    return Acknowledged()


@call_fleet.register
async def _(message: RelayLeave, fleet: Mailbox) -> Message:
    if message.incarnation is not None:
        check_incarnation(message.incarnation)
    await fleet.ask(RelayedLeaveReceived(message.endpoint, message.incarnation))
    return Acknowledged()


@call_fleet.register
async def _(message: EvidenceUpdate, fleet: Mailbox) -> Message:
    await fleet.ask(EvidenceReceived(message.evidence))
    return Acknowledged()


@call_fleet.register
async def _(message: RateLimitUpdate, fleet: Mailbox) -> Message:
    await fleet.ask(RateLimitsReceived(message.limits))
    return Acknowledged()


@call_fleet.register
async def _(message: OriginUpdate, fleet: Mailbox) -> Message:
    await fleet.ask(OriginsReceived(message.origins))
    return Acknowledged()


@call_fleet.register
async def _(message: FindOrigin, fleet: Mailbox) -> Message:
    return await fleet.ask(OriginRequested(message.stream, message.service))
