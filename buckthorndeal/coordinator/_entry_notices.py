"""Messages of a coordinator to the entry hosts that are connected to it."""

from collections.abc import Iterable

from buckthorndeal.coordinator._entry_table import KnownEntryHost
from buckthorndeal.coordinator._heartbeat_batch import split_heartbeats
from buckthorndeal.coordinator._requests import ClusterState
from buckthorndeal.coordinator._shared_state import SharedNews
from buckthorndeal.errors import PeerError
from buckthorndeal.fleet import (
    ClusterNotice,
    ControlHost,
    ControlStatus,
    EndpointHeartbeats,
    EntryHostChanges,
    HostLinks,
    TakenBackDomain,
)
from buckthorndeal.logs import log_event
from buckthorndeal.supervision import spawn_job
from buckthorndeal.wire import Message


def create_cluster_notice(
    state: ClusterState | None, taken_back: tuple[TakenBackDomain, ...]
) -> ClusterNotice:
    """Return what entry hosts learn of the state of the cluster."""
    if state is None:
        return ClusterNotice(0, None, ())
    return ClusterNotice(
        state.index,
        state.version,
        tuple(state.evacuated),
        tuple(state.pending),
        taken_back,
    )


async def send_notice(entry: KnownEntryHost, message: Message) -> None:
    """Send a message to an entry host if it is connected.

    Changes build on each other, so after a failure the host is sent everything again.
    """
    if not entry.channel.connected:
        return
    try:
        await entry.channel.send(message)
    except PeerError as error:
        log_event("notice_lost", peer=entry.host.host, reason=str(error))
        entry.initialized_channel = None


async def send_heartbeats(
    entry: KnownEntryHost, heartbeats: EndpointHeartbeats
) -> None:
    """Send heartbeats of endpoints to an entry host, in messages of bounded size."""
    for message in split_heartbeats(heartbeats):
        await send_notice(entry, message)


async def send_shared_state(entry: KnownEntryHost, news: SharedNews) -> None:
    """Send an entry host what concerns its region."""
    for message in news.create_messages(entry.host.region):
        await send_notice(entry, message)


async def send_shared_news(
    entries: Iterable[KnownEntryHost], links: HostLinks, news: SharedNews
) -> None:
    """Send what is new to the entry hosts concerned and all coordinators."""
    for entry in entries:
        if entry.initialized_channel is not None:
            await send_shared_state(entry, news)
    for host in links.list_connected():
        for message in news.create_messages():
            await spawn_job(links.deliver, host, message)


async def send_host_changes(
    entries: Iterable[KnownEntryHost],
    changes: EntryHostChanges | None,
    coordinators: tuple[ControlHost, ...],
) -> None:
    """Send all entry hosts the changes in the live hosts, and changed coordinators."""
    for entry in entries:
        if entry.initialized_channel is None:
            continue
        if changes is not None:
            await send_notice(entry, changes)
        if entry.sent_coordinators != coordinators:
            entry.sent_coordinators = coordinators
            await send_notice(entry, ControlStatus(coordinators))
