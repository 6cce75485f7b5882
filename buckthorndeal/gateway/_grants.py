"""Attempts and decisions that follow from a choice; no I/O."""

from buckthorndeal.gateway._fleet_view import FleetView
from buckthorndeal.gateway._granted_attempt import GrantedAttempt
from buckthorndeal.gateway._messages import Call, Forward, Grant
from buckthorndeal.gateway._queue import count_tokens
from buckthorndeal.gateway._scoring import LocalChoice, RemoteChoice
from buckthorndeal.gateway._urgency import compute_urgency


def create_attempt(
    view: FleetView, call: Call, choice: LocalChoice, now_s: float
) -> GrantedAttempt:
    """Return the attempt that begins with a grant."""
    return GrantedAttempt(
        call,
        choice.load.entry.record,
        now_s,
        choice.uncached_tokens,
        choice.load.count_queued_tokens(now_s),
        count_tokens(call),
        view.get_version(choice.load, now_s),
    )


def create_grant(
    view: FleetView, attempt: GrantedAttempt, choice: LocalChoice, now_s: float
) -> Grant:
    """Return the decision to send an attempt to the chosen endpoint."""
    record, source = attempt.record, choice.cache_source
    return Grant(
        record,
        compute_urgency(attempt.call, choice.load),
        choice.predicted_s,
        view.get_connection_limit(view.get_service(attempt.call.service)),
        now_s - choice.load.entry.last_heartbeat_s,
        source.entry.record.address if source is not None else None,
        view.rate_shares.get_limit(record),
        view.rate_shares.get_rejection_limit(record),
        attempt.version,
        choice.load.get_cold_s(now_s),
    )


def create_forward(choice: RemoteChoice) -> Forward:
    """Return the decision to send a request to the chosen region or host."""
    return Forward(
        choice.region,
        choice.host,
        choice.predicted_s,
        choice.is_relay,
        choice.reason,
    )
