"""Connects the entry host to the membership protocol: records and their changes."""

import random
import time
from collections.abc import Awaitable, Callable

import curio

from buckthorndeal.directory import HostRecord
from buckthorndeal.entry._messages import HostUpdate
from buckthorndeal.mailbox import Mailbox
from buckthorndeal.membership import HostRecord as MemberRecord
from buckthorndeal.membership import (
    MembershipService,
    create_membership,
    create_membership_service,
)
from buckthorndeal.membership._service import format_address, parse_address
from buckthorndeal.settings import EntrySettings
from buckthorndeal.transport import DatagramPort
from buckthorndeal.wire import derive_keys

HostListener = Callable[[HostUpdate], Awaitable[None]]

HTTP_PURPOSE = "http"
PEER_PURPOSE = "peer"
# A suspected host gets no new requests, but its running requests are not abandoned.
DIRECTORY_STATES = {
    "alive": "alive",
    "draining": "draining",
    "suspect": "suspect",
    "dead": "lost",
    "left": "lost",
}


def create_member_record(
    settings: EntrySettings, peer_port: int, http_port: int
) -> MemberRecord:
    """Return the record of this host.

    Its incarnation is the time in milliseconds, so it replaces the record of the
    host's previous process.
    """
    peer = format_address(settings.peer_listen.address, peer_port)
    http = format_address(settings.listen.address, http_port)
    return MemberRecord(
        settings.host,
        settings.region,
        settings.failure_domain,
        {"membership": peer, PEER_PURPOSE: peer, HTTP_PURPOSE: http},
        time.time_ns() // 1_000_000,
    )


def create_entry_membership(
    settings: EntrySettings,
    record: MemberRecord,
    port: DatagramPort,
    changes: Mailbox,
    rng: random.Random,
) -> MembershipService:
    """Return a membership service that is not started."""
    seeds = tuple(format_address(seed.address, seed.port) for seed in settings.seeds)
    member = create_membership(record, seeds, rng, time.monotonic())
    keys = derive_keys(settings.peer_keys)
    return create_membership_service(member, port, keys, changes)


async def forward_changes(
    changes: Mailbox, listeners: tuple[HostListener, ...]
) -> None:
    """Send changed records of entry hosts to the listeners as `HostUpdate`."""
    async for envelope in changes:
        record = convert_record(envelope.message)
        if record is not None:
            for listener in listeners:
                await listener(HostUpdate(record))


def convert_record(member: MemberRecord) -> HostRecord | None:
    """Convert a membership record for the directory; None if not an entry host."""
    addresses = member.addresses
    if HTTP_PURPOSE not in addresses or PEER_PURPOSE not in addresses:
        return None
    address, port = parse_address(addresses[HTTP_PURPOSE])
    state = DIRECTORY_STATES[member.state]
    return HostRecord(
        member.host,
        member.region,
        address,
        port,
        state,
        addresses[PEER_PURPOSE],
        member.failure_domain,
    )


async def wait_for_other_hosts(service: MembershipService, timeout_s: float) -> None:
    """Return once another member is known, or after `timeout_s` seconds."""
    async with curio.ignore_after(timeout_s):
        while len(service.list_records(tuple(DIRECTORY_STATES))) < 2:
            await curio.sleep(0.01)
