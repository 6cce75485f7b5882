"""Options of the dispatcher."""

from dataclasses import dataclass

from buckthorndeal.settings import GatewaySettings


@dataclass(frozen=True, slots=True)
class DispatchOptions:
    """Options of the dispatcher.

    Parameters
    ----------
    retry_ratio, retry_slack, retry_window_s : float
        Retry budget that all hosts share; see `RetryBudgetShare`.
    heartbeat_interval_s : float
        Seconds between the heartbeats of an endpoint.
    predicts_always : bool
        Whether requests are admitted by predictions also where neither the endpoints
        report a slowdown nor the caller has a workspace.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    heartbeat_interval_s: float = 1.0
    predicts_always: bool = False


def create_dispatch_options(settings: GatewaySettings) -> DispatchOptions:
    """Return the options that the settings of a host name."""
    budget = settings.retry_budget
    return DispatchOptions(
        budget.share, budget.slack, budget.window_s, settings.heartbeat_interval_s
    )
