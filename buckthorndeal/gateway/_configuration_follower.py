"""Follows the versions of the configuration that coordinators announce."""

from collections.abc import Awaitable, Callable, Set

from buckthorndeal._configuration_content import decompress_content
from buckthorndeal.configuration import (
    Configuration,
    ConfigurationCodec,
    ConfigurationError,
)
from buckthorndeal.fleet import ConfigurationContent, HostLinks
from buckthorndeal.gateway._coordinator_calls import fetch_configuration
from buckthorndeal.gateway._known_coordinators import KnownCoordinators
from buckthorndeal.gateway._versions import AnnouncedVersions
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Mailbox
from buckthorndeal.supervision import spawn_job

ApplyConfiguration = Callable[[Configuration], Awaitable[None]]


class ConfigurationFollower:
    """Fetches the newest announced configuration once, and applies it.

    Parameters
    ----------
    links : HostLinks
        Links to the coordinators.
    coordinators : KnownCoordinators
        Where the coordinators are.
    codec : ConfigurationCodec
        Decodes the operator's configuration.
    apply : callable
        Activates a newer configuration on this host.
    mailbox : Mailbox
        Receives the `ConfigurationContent` that was fetched, which has no version if
        the fetch has failed.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        links: HostLinks,
        coordinators: KnownCoordinators,
        codec: ConfigurationCodec,
        apply: ApplyConfiguration,
        mailbox: Mailbox,
        clock: Callable[[], float],
    ) -> None:
        self._links = links
        self._coordinators = coordinators
        self._codec = codec
        self._apply = apply
        self._mailbox = mailbox
        self._clock = clock
        self._versions = AnnouncedVersions()
        self.version: int | None = None

    def announce(self, host: str, version: int) -> None:
        """Record the version that a coordinator has announced."""
        self._versions.announce(host, version)

    async def fetch_if_newer(self, connected: Set[str]) -> None:
        """Start fetching the newest announced configuration, unless it is known.

        The coordinators that have announced it are tried in turn, nearest first.
        """
        fetch = self._versions.start_fetch(connected, self._clock())
        if fetch is not None:
            version, hosts = fetch
            hosts.sort(key=self._coordinators.get_distance)
            await spawn_job(
                self._fetch, hosts, version, on_failure=self._end_failed_fetch
            )

    async def apply_content(self, content: ConfigurationContent) -> None:
        """Apply what was fetched, if it is newer and can be read."""
        if not self._versions.end_fetch(content.version, self._clock()):
            return
        try:
            configuration = self._codec.decode(decompress_content(content.content))
        except ConfigurationError as error:
            log_event(
                "configuration_unreadable", version=content.version, reason=str(error)
            )
            return
        before, self.version = self.version, content.version
        await self._apply(configuration)
        log_event(
            "configuration_in_force",
            version=content.version,
            before=before,
            routes=len(configuration.routes),
        )

    async def _fetch(self, hosts: list[str], version: int) -> None:
        await self._mailbox.send(await fetch_configuration(self._links, hosts, version))

    async def _end_failed_fetch(self, error: BaseException) -> None:
        await self._mailbox.send(ConfigurationContent(None, b""))
