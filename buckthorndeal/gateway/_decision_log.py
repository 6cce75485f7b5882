"""Log lines on decisions."""

from functools import singledispatch

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
from buckthorndeal.quarantine import QuarantineChange, list_part_keys


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
    }


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
