"""Messages to the task that tracks coordinators and configuration."""

from dataclasses import dataclass

from buckthorndeal.fleet import (
    EndpointRecord,
    EntryState,
    FindOrigin,
    QuotaRequest,
    StreamOrigin,
)
from buckthorndeal.settings import Address
from buckthorndeal.wire import Message


@dataclass(frozen=True)
class NoticeReceived:
    """Notification: a coordinator tells of the coordinators or entry hosts."""

    host: str
    notice: Message


@dataclass(frozen=True)
class InitialStateReceived:
    """Notification: a coordinator has sent all that it knows."""

    host: str


@dataclass(frozen=True)
class SetState:
    """Notification: sets the state that this host reports to the coordinators."""

    state: EntryState


@dataclass(frozen=True)
class SetEndpointReach:
    """Notification: sets whether this host reaches the endpoints of its region."""

    reaches_endpoints: bool


@dataclass(frozen=True)
class AddSeeds:
    """Notification: adds coordinators from reloaded settings."""

    seeds: tuple[Address, ...]


@dataclass(frozen=True)
class AnnounceDrain:
    """Notification: tells a coordinator that an endpoint drains."""

    record: EndpointRecord


@dataclass(frozen=True)
class TellCoordinators:
    """Notification: sends a message to all coordinators until they confirm it."""

    message: Message


@dataclass(frozen=True)
class AskForQuota:
    """Notification: asks the leader for units; the dispatch task gets its reply."""

    request: QuotaRequest


@dataclass(frozen=True)
class ShareOrigins:
    """Notification: gives the origins of streams to a few coordinators."""

    origins: tuple[StreamOrigin, ...]


@dataclass(frozen=True)
class AskForOrigin:
    """Query: `OriginSearch` at all coordinators."""

    query: FindOrigin


@dataclass(frozen=True)
class ListEntryHosts:
    """Query: entry hosts of all regions."""


@dataclass(frozen=True)
class ListEntryHostsByCoordinator:
    """Query: entry hosts as known to each connected coordinator, one tuple for each."""
