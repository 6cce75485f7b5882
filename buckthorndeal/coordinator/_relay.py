"""Relay of an endpoint's drain or leave to other hosts before acknowledging it."""

from dataclasses import dataclass
from functools import singledispatch

import curio

from buckthorndeal.coordinator._departure_store import Departure
from buckthorndeal.coordinator._departures import Departures
from buckthorndeal.errors import PeerError
from buckthorndeal.fleet import EndpointState, HostLinks, RelayEndpoint, RelayLeave
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Envelope
from buckthorndeal.peers import Channel

# Endpoints give up on a response after one second.
RELAY_TIMEOUT_S = 0.7


@dataclass(frozen=True)
class RelayPlan:
    """Receivers of a relayed record or leave.

    Parameters
    ----------
    message : RelayEndpoint or RelayLeave
        What is relayed.
    entry_channels : list of Channel
        Connections to the entry hosts that may use the endpoint.
    other_voters : list of str
        Other coordinators that vote in the replicated log.
    votes : bool
        Whether this host votes too.
    required : int
        Number of voters that must have it on disk: a majority, so every entry host that
        is not isolated receives the record from one of them. A host without a vote
        needs all voters.
    """

    message: RelayEndpoint | RelayLeave
    entry_channels: list[Channel]
    other_voters: list[str]
    votes: bool
    required: int


async def relay_departure(
    plan: RelayPlan, links: HostLinks, departures: Departures, envelope: Envelope
) -> None:
    """Relay a message to all receivers; reply whether enough voters have it on disk.

    Confirmations of entry hosts are only logged.

    Parameters
    ----------
    plan : RelayPlan
        Message and receivers.
    links : HostLinks
        Links to the other coordinators.
    departures : Departures
        Drains and leaves of this host, this one among them.
    envelope : Envelope
        Request that is answered with True or False.
    """
    confirmed_coordinators = 0
    confirmed_entry_hosts = 0
    async with curio.TaskGroup() as group:
        coordinator_tasks = {
            await group.spawn(_call_host, links, voter, plan.message)
            for voter in plan.other_voters
        }
        if plan.votes:
            coordinator_tasks.add(await group.spawn(departures.wait_saved))
        for channel in plan.entry_channels:
            await group.spawn(_call_channel, channel, plan.message)
        async for task in group:
            if not task.result:
                continue
            if task in coordinator_tasks:
                confirmed_coordinators += 1
            else:
                confirmed_entry_hosts += 1
    accepted = confirmed_coordinators >= plan.required
    departure = _create_departure(plan.message)
    if accepted and departure is not None:
        departures.record_confirmation(departure)
    log_event(
        "endpoint_spread",
        **_describe(plan.message),
        coordinators=confirmed_coordinators,
        needed=plan.required,
        entry_hosts=confirmed_entry_hosts,
        connected_entry_hosts=len(plan.entry_channels),
        accepted=accepted,
    )
    await envelope.reply(accepted)


async def relay_to_entry_hosts(
    message: RelayEndpoint | RelayLeave, channels: list[Channel]
) -> None:
    """Relay a message to entry hosts, whose confirmations are not waited for."""
    async with curio.TaskGroup() as group:
        for channel in channels:
            await group.spawn(_call_channel, channel, message)


@singledispatch
def _create_departure(message: object) -> Departure | None:
    """Return what a message says, or None if it names no incarnation."""
    raise TypeError(f"{type(message).__name__} is not relayed")


@_create_departure.register
def _(message: RelayEndpoint) -> Departure | None:
    record = message.record
    return Departure(record.endpoint, record.incarnation, record.state)


@_create_departure.register
def _(message: RelayLeave) -> Departure | None:
    if message.incarnation is None:
        return None
    return Departure(message.endpoint, message.incarnation, EndpointState.LEFT)


@singledispatch
def _describe(message: object) -> dict[str, str]:
    raise TypeError(f"{type(message).__name__} is not relayed")


@_describe.register
def _(message: RelayEndpoint) -> dict[str, str]:
    return {
        "endpoint": message.record.endpoint,
        "state": message.record.state.name,
    }


@_describe.register
def _(message: RelayLeave) -> dict[str, str]:
    return {"endpoint": message.endpoint, "state": EndpointState.LEFT.name}


async def _call_host(
    links: HostLinks, host: str, message: RelayEndpoint | RelayLeave
) -> bool:
    try:
        await links.call(host, message, RELAY_TIMEOUT_S)
    except PeerError:
        return False
    return True


async def _call_channel(channel: Channel, message: RelayEndpoint | RelayLeave) -> bool:
    try:
        await channel.call(message, RELAY_TIMEOUT_S)
    except PeerError:
        return False
    return True
