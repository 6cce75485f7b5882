"""Passing an endpoint's drain or leave on before it is acknowledged."""

from dataclasses import dataclass

import curio

from buckthorndeal.errors import PeerError
from buckthorndeal.fleet import EndpointRecord, HostLinks, RelayEndpoint
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Envelope
from buckthorndeal.peers import Channel

# The endpoint gives up on an answer after a second.
SPREAD_TIMEOUT_S = 0.7


@dataclass(frozen=True)
class Spread:
    """What has to hear of a record.

    Parameters
    ----------
    record : EndpointRecord
        The record.
    channels : list of Channel
        Connected entry hosts of the endpoint's region.
    voters : list of str
        The other coordinators with a vote.
    needed : int
        Coordinators among `voters` that have to confirm. With this host they are
        a majority, and every entry host that is not cut off hears one of them.
    """

    record: EndpointRecord
    channels: list[Channel]
    voters: list[str]
    needed: int


async def spread_record(plan: Spread, links: HostLinks, envelope: Envelope) -> None:
    """Tell all, and reply whether a majority of the coordinators has confirmed."""
    message = RelayEndpoint(plan.record)
    confirmed = 0
    entries = 0
    async with curio.TaskGroup() as group:
        hosts = {
            await group.spawn(_call_host, links, voter, message)
            for voter in plan.voters
        }
        for channel in plan.channels:
            await group.spawn(_call_channel, channel, message)
        async for task in group:
            if not task.result:
                continue
            if task in hosts:
                confirmed += 1
            else:
                entries += 1
    accepted = confirmed >= plan.needed
    log_event(
        "endpoint_spread",
        endpoint=plan.record.endpoint,
        state=plan.record.state.name,
        coordinators=confirmed,
        needed=plan.needed,
        entry_hosts=entries,
        of=len(plan.channels),
        accepted=accepted,
    )
    await envelope.reply(accepted)


async def _call_host(links: HostLinks, host: str, message: RelayEndpoint) -> bool:
    try:
        await links.call(host, message, SPREAD_TIMEOUT_S)
    except PeerError:
        return False
    return True


async def _call_channel(channel: Channel, message: RelayEndpoint) -> bool:
    try:
        await channel.call(message, SPREAD_TIMEOUT_S)
    except PeerError:
        return False
    return True
