"""Choice of the entry host that serves a request in place of this one; no I/O."""

from collections.abc import Collection

from buckthorndeal.gateway._messages import Dispatch, MoveReason
from buckthorndeal.gateway._relays import RelayHosts
from buckthorndeal.gateway._remote_choice import RemoteChooser
from buckthorndeal.gateway._scoring import RemoteChoice


class RelayChooser:
    """Chooses the entry hosts that serve requests in place of this one.

    Other hosts of the region have the same endpoints, and the request does not cross a
    border, so they come first while this one reaches no endpoint. A request that
    another host has passed on goes no further.

    Parameters
    ----------
    region : str
        Region of this host.
    relays : RelayHosts
        Hosts of the region that reach its endpoints.
    remote : RemoteChooser
        Chooses other regions.
    """

    def __init__(self, region: str, relays: RelayHosts, remote: RemoteChooser) -> None:
        self._region = region
        self._relays = relays
        self._remote = remote

    def choose(self, dispatch: Dispatch, now_s: float) -> RemoteChoice | None:
        """Return where a request is sent while no endpoint is reached, or None."""
        if dispatch.call.hops:
            return None
        remote = self._remote.find_fastest(dispatch, MoveReason.UNREACHABLE, now_s)
        # A host of the region that could not serve the request speaks for the others.
        if remote is not None and self._relays.was_tried(dispatch.excluded):
            return remote
        return self.choose_among(dispatch, now_s) or remote

    def choose_among(
        self, dispatch: Dispatch, now_s: float, hosts: Collection[str] | None = None
    ) -> RemoteChoice | None:
        """Return one of the hosts, by default of all of the region, or None."""
        host = self._relays.choose(dispatch.excluded, now_s, hosts)
        if host is None:
            return None
        return RemoteChoice(self._region, host, 0.0, is_relay=True)
