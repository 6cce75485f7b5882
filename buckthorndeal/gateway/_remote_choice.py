"""Choice between the endpoints of this region and another region; no I/O."""

from buckthorndeal.gateway._fleet_messages import (
    RegionUpdate,
)
from buckthorndeal.gateway._fleet_view import FleetView
from buckthorndeal.gateway._messages import (
    Dispatch,
)
from buckthorndeal.gateway._regions import RegionTable
from buckthorndeal.gateway._scoring import LocalChoice, RemoteChoice

# Minimum predicted gain of forwarding a request to another region; smaller gains
# would move work to endpoints whose cache is cold for it.
MIN_FORWARD_GAIN_S = 0.15
# Requests stay local if their local cost is below this share of the latency objective.
LOCAL_LATENCY_SHARE = 0.35


class RemoteChooser:
    """Chooses regions to which requests are forwarded.

    Parameters
    ----------
    view : FleetView
        Endpoints known to this host, for the time that a prompt takes.
    """

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._regions = RegionTable()

    def update(self, message: RegionUpdate, now_s: float) -> None:
        """Apply a newer load report of another region."""
        self._regions.update(message, now_s)

    def record_sent(self, choice: RemoteChoice, service: str) -> None:
        """Count a request that is sent to a region."""
        self._regions.record_sent(choice.region, service)

    def choose(
        self, dispatch: Dispatch, best: LocalChoice | None, now_s: float
    ) -> RemoteChoice | None:
        """Return a region if forwarding there is clearly faster than `best`."""
        call = dispatch.call
        if call.hops:
            return None
        local_cost_s = best.region_cost_s if best else None
        if local_cost_s is not None:
            if local_cost_s < LOCAL_LATENCY_SHARE * call.route.latency_objective_s:
                return None
        remote = self.find_fastest(dispatch, now_s)
        if remote is None:
            return None
        if (
            local_cost_s is None
            or remote.predicted_s + MIN_FORWARD_GAIN_S < local_cost_s
        ):
            return remote
        return None

    def find_fastest(self, dispatch: Dispatch, now_s: float) -> RemoteChoice | None:
        """Return the fastest region that can respond before the deadline, or None."""
        call = dispatch.call
        prefill_s = 0.0
        if call.prompt is not None:
            prefill_s = call.prompt.tokens / self._view.get_max_prefill_speed(
                call.service
            )
        choice = self._regions.choose(call, dispatch.excluded, now_s)
        if choice is None:
            return None
        predicted_s = choice.wait_s + prefill_s
        if now_s + predicted_s > call.deadline_s:
            return None
        return RemoteChoice(choice.region, choice.host, predicted_s)
