"""Log lines on decisions."""

from functools import singledispatch

from buckthorndeal.gateway._admission import AdmissionControl
from buckthorndeal.gateway._attempt import AttemptError
from buckthorndeal.gateway._context import GatewayContext
from buckthorndeal.gateway._messages import (
    Call,
    Decision,
    Forward,
    Grant,
    Refusal,
)
from buckthorndeal.logs import log_event
from buckthorndeal.metrics import Metrics
from buckthorndeal.quarantine import QuarantineChange, list_part_keys

# Workspaces of which a log line tells the share: those that get most of theirs.
LOGGED_WORKSPACES = 5


@singledispatch
def describe_decision(decision: Decision) -> dict[str, object]:
    """Return the fields that tell a decision and what it rests on."""
    raise TypeError(f"unknown decision {decision!r}")


@describe_decision.register
def _(decision: Grant) -> dict[str, object]:
    record = decision.record
    return {
        "chosen": record.endpoint,
        "address": record.address,
        "version": decision.version,
        "heartbeat": record.sequence,
        "heartbeat_age_ms": round(decision.heartbeat_age_s * 1000),
        "cold_ms": round(decision.cold_s * 1000),
        "predicted_ms": round(decision.predicted_s * 1000),
    }


@describe_decision.register
def _(decision: Forward) -> dict[str, object]:
    return {
        "chosen": decision.host,
        "region": decision.region,
        "relay": decision.is_relay,
        "why": decision.reason.value if decision.reason is not None else None,
        "predicted_ms": round(decision.predicted_s * 1000),
    }


@describe_decision.register
def _(decision: Refusal) -> dict[str, object]:
    return {
        "chosen": None,
        "reason": decision.reason.value,
        "retry_after_ms": round(decision.retry_after_s * 1000),
        "candidates": decision.candidates,
        "predicted_ms": _round_ms(decision.predicted_s),
        "key": decision.key,
        "cause": decision.cause.value if decision.cause is not None else None,
    }


def count_decision(metrics: Metrics, call: Call, decision: Decision) -> None:
    """Count a decision, by workspace and by what was lacking.

    Workspaces come from the configuration, and `Metrics` bounds their number.
    """
    kind = type(decision).__name__.lower()
    metrics.count("decisions", kind=kind)
    if call.workspace is not None:
        metrics.count("workspace_decisions", workspace=call.workspace.name, kind=kind)
    if isinstance(decision, Grant) and decision.cold_s > 0:
        metrics.count("cold_requests", service=call.service)
    if isinstance(decision, Refusal) and decision.cause is not None:
        cause = decision.cause.value
        metrics.count("overload_refusals", service=call.service, cause=cause)


def record_admission(
    metrics: Metrics, admission: AdmissionControl, service: str, now_s: float
) -> None:
    """Set the gauges of a service, and log who gets what while room is short."""
    factor, is_contended = admission.describe(service, now_s)
    metrics.set_gauge("prediction_factor", factor, service=service)
    metrics.set_gauge("contended", int(is_contended), service=service)
    if not is_contended:
        return
    excesses = admission.shares.list_excesses(now_s, LOGGED_WORKSPACES)
    log_event(
        "room_contended",
        service=service,
        prediction_factor=round(factor, 2),
        waiting=len(admission.get(service).queue),
        shares={name: round(excess, 2) for name, excess in excesses},
    )


def log_failed_attempt(
    context: GatewayContext,
    call: Call,
    target: str,
    decision: Decision,
    error: AttemptError,
    events: int,
) -> None:
    """Log and count a failed attempt of a request that has relayed `events`."""
    log_event(
        "attempt_failed",
        request_id=call.request_id,
        target=target,
        reason=error.reason,
        verdict=error.verdict.value,
        arrived=error.request_sent,
        lasted_ms=round(error.lasted_s * 1000),
        heartbeat_age_ms=_get_heartbeat_age_ms(decision, error),
        silence_ms=context.contact.get_silence_ms(context.clock()),
        events=events,
        closed=error.closed,
        head=error.head_received,
        parts=list_part_keys(call),
        content=call.content.digest if call.content else None,
    )
    context.metrics.count(
        "attempts_failed",
        outcome=error.outcome.value,
        closed=str(error.closed).lower(),
    )


def log_quarantine_change(change: QuarantineChange) -> None:
    """Log that requests with a key are kept from endpoints, or no longer."""
    decision = change.decision
    log_event(
        "key_quarantined" if decision.active else "key_released",
        key=decision.key,
        revision=decision.revision,
        ends=change.ends,
        answers=change.answers,
        wait_ms=round(decision.wait_s * 1000),
    )


def _get_heartbeat_age_ms(decision: Decision, error: AttemptError) -> int | None:
    """Return the age of the endpoint's last heartbeat at the failure."""
    if isinstance(decision, Forward):
        return None
    return round((decision.heartbeat_age_s + error.lasted_s) * 1000)


def _round_ms(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * 1000)
