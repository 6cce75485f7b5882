"""Calls of a gateway to coordinators, each to as many as it takes."""

from collections.abc import Collection

import curio

from buckthorndeal.errors import PeerError
from buckthorndeal.fleet import (
    ConfigurationContent,
    EndpointRecord,
    FetchConfiguration,
    FindOrigin,
    HostLinks,
    OriginReply,
    RelayEndpoint,
)
from buckthorndeal.gateway._origin_holders import HOLDERS
from buckthorndeal.logs import log_event

FETCH_TIMEOUT_S = 1.0
RELAY_TIMEOUT_S = 0.7
# Three round trips between regions.
FIND_TIMEOUT_S = 0.5


async def ask_for_origin(
    links: HostLinks, hosts: list[str], message: FindOrigin
) -> dict[str, OriginReply]:
    """Return the replies by coordinator, up to those that decide.

    One that knows the origin does. So do replies that all name the same version, once
    they are so many that they include a part of each majority and of each set of
    holders of an origin.
    """
    replies: dict[str, OriginReply] = {}
    known = len(links.hosts)
    enough = max(known // 2 + 1, known - HOLDERS + 1)
    async with curio.TaskGroup() as group:
        for host in hosts:
            await group.spawn(_ask, links, host, message)
        while (task := await group.next_done()) is not None:
            if task.result is None:
                continue
            host, reply = task.result
            replies[host] = reply
            is_decided = len(replies) >= enough and _name_one_version(replies.values())
            if reply.origin is not None or is_decided:
                await group.cancel_remaining()
                break
    return replies


def _name_one_version(replies: Collection[OriginReply]) -> bool:
    if any(each.versions is None for each in replies):
        return False
    names = {each.version for reply in replies for each in reply.versions}
    return len(names) == 1


async def _ask(
    links: HostLinks, host: str, message: FindOrigin
) -> tuple[str, OriginReply] | None:
    try:
        reply = await links.call(host, message, FIND_TIMEOUT_S)
    except PeerError as error:
        log_event("origin_not_asked", peer=host, reason=str(error))
        return None
    return (host, reply) if isinstance(reply, OriginReply) else None


async def announce_drain(
    links: HostLinks, hosts: list[str], record: EndpointRecord
) -> None:
    """Pass the record of a draining endpoint to the first coordinator possible.

    It tells the other entry hosts of the region.
    """
    for host in hosts:
        try:
            await links.call(host, RelayEndpoint(record), RELAY_TIMEOUT_S)
        except PeerError as error:
            log_event("drain_not_announced", peer=host, reason=str(error))
            continue
        log_event("drain_announced", endpoint=record.endpoint, peer=host)
        return


async def fetch_configuration(
    links: HostLinks, hosts: list[str], version: int
) -> ConfigurationContent:
    """Return a configuration from the first coordinator that answers.

    It has no version if none does.
    """
    for host in hosts:
        try:
            reply = await links.call(host, FetchConfiguration(version), FETCH_TIMEOUT_S)
        except PeerError as error:
            log_event("configuration_fetch_failed", peer=host, reason=str(error))
            continue
        if isinstance(reply, ConfigurationContent):
            return reply
    return ConfigurationContent(None, b"")
