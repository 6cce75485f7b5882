"""Claims at the primary: grants, resends, answers and refusals."""

import functools
import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from buckthorndeal.ledger._claim_records import ClaimEntry, ClaimSnapshot
from buckthorndeal.ledger._messages import (
    Abandon,
    AnswerRecorded,
    Claim,
    ClaimReply,
    Effect,
    Grant,
    HandOver,
    HostLost,
    MarkDispatched,
    Outcome,
    Persisted,
    RecordAnswer,
    Release,
    ViewLearned,
    get_replica_host,
)
from buckthorndeal.ledger._options import LedgerOptions
from buckthorndeal.ledger._replica import Replica
from buckthorndeal.wire import Message


@dataclass(slots=True)
class _PendingClaim:
    claim: Claim
    refuse_at_s: float


@dataclass(slots=True)
class _GrantedClaim:
    grant: Grant
    dispatched: bool = False


class Ledger(Replica):
    """Grants claims so that the request of each key runs at most once.

    Dispatches are not recorded durably, which would cost a second fsync before each
    of them. Instead, a claim that was made by a former process, or at a former
    primary, is treated as possibly dispatched unless its holder releases it.

    Parameters
    ----------
    wall_offset_s : float
        Wall-clock time minus monotonic time, in seconds.
    replica, region, get_region, snapshot, rng, now_s, options
        See `Replica`.
    """

    def __init__(
        self,
        replica: str,
        region: str,
        get_region: Callable[[str], str | None],
        snapshot: ClaimSnapshot,
        rng: random.Random,
        now_s: float,
        wall_offset_s: float,
        options: LedgerOptions,
    ) -> None:
        self._wall_offset_s = wall_offset_s
        self._pending_claims: dict[bytes, _PendingClaim] = {}
        self._granted_claims: dict[bytes, _GrantedClaim] = {}
        self._waiting_claims: dict[bytes, list[Claim]] = {}
        self._answer_tickets: dict[bytes, list[int]] = {}
        self._last_expiry_s = float("-inf")
        super().__init__(replica, region, get_region, snapshot, rng, now_s, options)

    def handle(self, message: object, now_s: float) -> list[Effect]:
        """Handle a message from the service and return the effects."""
        self._handle(message, now_s)
        return self._finish_step(now_s)

    def handle_peer(self, message: Message, host: str, now_s: float) -> list[Effect]:
        """Handle a message from the authenticated `host` and return the effects."""
        self.handle_message(message, host, now_s)
        return self._finish_step(now_s)

    def tick(self, now_s: float) -> list[Effect]:
        """Handle timeouts and return the effects; to be called about every 0.1 s."""
        self._refuse_overdue(now_s)
        self._end_overdue_waits(now_s)
        self.run_view_timers(now_s)
        self._offer_handover_if_idle(now_s)
        if now_s - self._last_expiry_s >= self._options.expiry_interval_s:
            self._last_expiry_s = now_s
            self._expire_entries(now_s)
        return self._finish_step(now_s)

    def may_have_run(self, fingerprint: bytes) -> bool:
        """Return whether a request with the key may have run."""
        entry = self._snapshot.entries.get(fingerprint)
        if entry is None:
            return fingerprint in self._snapshot.expired
        return entry.state != "released"

    def take_snapshot(self) -> ClaimSnapshot:
        """Return a copy of the content, for the compaction of the store."""
        snapshot = self._snapshot
        record = type(snapshot.record)(self.view, self.proposed_view)
        expired = snapshot.expired.freeze()
        return ClaimSnapshot(dict(snapshot.entries), expired, record)

    def _finish_step(self, now_s: float) -> list[Effect]:
        self.propose_joined_backup(self._pending_claims, now_s)
        return self.take_effects(now_s)

    def _expire_entries(self, now_s: float) -> None:
        wall_s = now_s + self._wall_offset_s
        self._snapshot.expire_entries(wall_s - self._options.answer_retention_s)
        for fingerprint in list(self._granted_claims):
            if fingerprint not in self._snapshot.entries:
                del self._granted_claims[fingerprint]

    def _reply(self, claim: Claim, outcome: Outcome, **fields: object) -> None:
        self._effects.append(ClaimReply(claim.ticket, outcome, **fields))

    @functools.singledispatchmethod
    def _handle(self, message: object, now_s: float) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register
    def _(self, message: ViewLearned, now_s: float) -> None:
        self.handle_view(message, now_s)

    @_handle.register
    def _(self, message: HostLost, now_s: float) -> None:
        self.handle_lost_host(message, now_s)

    @_handle.register
    def _(self, message: HandOver, now_s: float) -> None:
        self.start_handover(now_s)
        self._offer_handover_if_idle(now_s)

    def _offer_handover_if_idle(self, now_s: float) -> None:
        """Offer the handover once no grant or answer is outstanding."""
        is_idle = not (
            self._pending_claims or self._granted_claims or self._answer_tickets
        )
        if is_idle and self.is_handing_over(now_s):
            self.offer_handover(now_s)

    @_handle.register
    def _(self, message: Persisted, now_s: float) -> None:
        synced, effects = self._writer.complete_batch(message.batch)
        self._effects += effects
        self.process_committed(synced, now_s)

    @_handle.register
    def _(self, claim: Claim, now_s: float) -> None:
        entry = self._snapshot.entries.get(claim.fingerprint)
        if not self.is_primary:
            self._redirect_to_primary(claim)
        elif claim.fingerprint in self._snapshot.expired:
            self._reply(claim, Outcome.MAY_HAVE_RUN)
        elif entry is None:
            self._start_attempt(claim, 1, now_s)
        elif entry.digest != claim.digest:
            self._reply(claim, Outcome.KEY_REUSED)
        else:
            self._handle_resend(claim, entry, now_s)

    def _redirect_to_primary(self, claim: Claim) -> None:
        self._reply(claim, Outcome.NOT_OWNER, primary=self.view.primary)

    def _handle_resend(self, claim: Claim, entry: ClaimEntry, now_s: float) -> None:
        fingerprint = claim.fingerprint
        is_answered = entry.state == "answered"
        is_open = (
            fingerprint in self._pending_claims or fingerprint in self._granted_claims
        )
        if is_answered and self.is_committed(fingerprint):
            self._reply_answer(claim, entry)
        elif is_answered or is_open:
            self._waiting_claims.setdefault(fingerprint, []).append(claim)
        elif entry.state == "released":
            self._start_attempt(claim, entry.attempt + 1, now_s)
        else:
            self._reply(claim, Outcome.MAY_HAVE_RUN)

    def _reply_answer(self, claim: Claim, entry: ClaimEntry) -> None:
        self._reply(claim, Outcome.ANSWERED, status=entry.status, body=entry.body)

    def _start_attempt(self, claim: Claim, attempt: int, now_s: float) -> None:
        if self.is_handing_over(now_s):
            self._redirect_to_primary(claim)
            return
        if len(self._pending_claims) >= self._options.max_pending:
            self._reply(claim, self._choose_refusal(now_s))
            return
        wall_s = now_s + self._wall_offset_s
        entry = ClaimEntry(
            claim.fingerprint,
            self.view.epoch,
            attempt,
            "claimed",
            claim.digest,
            claim.request_id,
            wall_s,
        )
        refuse_at_s = min(claim.deadline_s, now_s + self._options.grant_timeout_s)
        self._pending_claims[claim.fingerprint] = _PendingClaim(claim, refuse_at_s)
        self.store_entry(entry)

    def _choose_refusal(self, now_s: float) -> Outcome:
        """Return the outcome for a key whose request was not dispatched from here.

        A primary that may have been replaced cannot tell whether the new primary has
        granted the key.
        """
        return Outcome.NOT_RUN if self.is_confirmed(now_s) else Outcome.MAY_HAVE_RUN

    def process_committed(self, fingerprints: list[bytes] | None, now_s: float) -> None:
        """Grant committed claims and deliver committed answers."""
        if not self.is_primary:
            return
        if fingerprints is None:
            fingerprints = [
                *self._pending_claims,
                *self._answer_tickets,
                *self._waiting_claims,
            ]
        for fingerprint in fingerprints:
            entry = self._snapshot.entries.get(fingerprint)
            if entry is None or not self.is_committed(fingerprint):
                continue
            if fingerprint in self._pending_claims:
                self._grant(fingerprint, entry)
            elif entry.state == "answered":
                self._publish(fingerprint, entry)

    def _grant(self, fingerprint: bytes, entry: ClaimEntry) -> None:
        claim = self._pending_claims.pop(fingerprint).claim
        grant = Grant(fingerprint, entry.epoch, entry.attempt)
        self._granted_claims[fingerprint] = _GrantedClaim(grant)
        self._reply(claim, Outcome.GRANTED, grant=grant)

    def _publish(self, fingerprint: bytes, entry: ClaimEntry) -> None:
        self._granted_claims.pop(fingerprint, None)
        for ticket in self._answer_tickets.pop(fingerprint, ()):
            self._effects.append(AnswerRecorded(ticket, True))
        for claim in self._waiting_claims.pop(fingerprint, ()):
            self._reply_answer(claim, entry)

    @_handle.register
    def _(self, message: MarkDispatched, now_s: float) -> None:
        granted = self._granted_claims.get(message.grant.fingerprint)
        if granted is not None and granted.grant == message.grant:
            granted.dispatched = True

    @_handle.register
    def _(self, message: Release, now_s: float) -> None:
        granted = self._granted_claims.get(message.grant.fingerprint)
        state = "abandoned" if granted and granted.dispatched else "released"
        self._end_attempt(message.grant, state, now_s)

    @_handle.register
    def _(self, message: Abandon, now_s: float) -> None:
        self._end_attempt(message.grant, "abandoned", now_s)

    def _end_attempt(self, grant: Grant, state: str, now_s: float) -> None:
        entry = self._find_entry(grant)
        if not self.is_primary or entry is None or entry.state != "claimed":
            return
        if grant.fingerprint in self._pending_claims:
            return
        self._granted_claims.pop(grant.fingerprint, None)
        self.store_entry(msgspec.structs.replace(entry, state=state))
        outcome = Outcome.MAY_HAVE_RUN
        if state == "released":
            outcome = self._choose_refusal(now_s)
        self._refuse_waiting(grant.fingerprint, outcome)

    def _find_entry(self, grant: Grant) -> ClaimEntry | None:
        entry = self._snapshot.entries.get(grant.fingerprint)
        if entry is None or (entry.epoch, entry.attempt) != (
            grant.epoch,
            grant.attempt,
        ):
            return None
        return entry

    @_handle.register
    def _(self, message: RecordAnswer, now_s: float) -> None:
        fingerprint = message.grant.fingerprint
        entry = self._find_entry(message.grant)
        is_known = entry is not None and fingerprint not in self._pending_claims
        if not self.is_primary or not is_known or entry.state == "released":
            answer = AnswerRecorded(message.ticket, False, self.view.primary)
            self._effects.append(answer)
            return
        self._answer_tickets.setdefault(fingerprint, []).append(message.ticket)
        if entry.state != "answered":
            answered = msgspec.structs.replace(
                entry, state="answered", status=message.status, body=message.body
            )
            self.store_entry(answered)
        self.process_committed([fingerprint], now_s)

    def _refuse_overdue(self, now_s: float) -> None:
        """Refuse overdue pending claims, or all of them shortly before the lease ends.

        While the lease is valid, the primary can still reply that the request has not
        run.
        """
        options = self._options
        lease_end_s = self._lease_end_s if self.required_backup else float("inf")
        is_lease_ending = (
            lease_end_s - options.refuse_before_lease_end_s <= now_s < lease_end_s
        )
        for fingerprint, pending in list(self._pending_claims.items()):
            if is_lease_ending or now_s >= pending.refuse_at_s:
                self._refuse(fingerprint, now_s)

    def _refuse(self, fingerprint: bytes, now_s: float) -> None:
        pending = self._pending_claims.pop(fingerprint)
        outcome = self._choose_refusal(now_s)
        self._mark_released(fingerprint)
        self._reply(pending.claim, outcome)
        self._refuse_waiting(fingerprint, outcome)

    def _mark_released(self, fingerprint: bytes) -> None:
        entry = self._snapshot.entries[fingerprint]
        self.store_entry(msgspec.structs.replace(entry, state="released"))

    def _refuse_waiting(self, fingerprint: bytes, outcome: Outcome) -> None:
        for claim in self._waiting_claims.pop(fingerprint, ()):
            self._reply(claim, outcome)

    def _end_overdue_waits(self, now_s: float) -> None:
        for fingerprint, claims in list(self._waiting_claims.items()):
            for claim in claims:
                if now_s >= claim.deadline_s:
                    self._end_wait(claim)
            kept = [claim for claim in claims if now_s < claim.deadline_s]
            self._waiting_claims[fingerprint] = kept
            if not kept:
                del self._waiting_claims[fingerprint]

    def _end_wait(self, claim: Claim) -> None:
        """Reply at the deadline, with the answer even if it is not committed.

        The answer is correct, but if this host is lost, a later resend may get
        "may have run" instead.
        """
        entry = self._snapshot.entries.get(claim.fingerprint)
        if entry is not None and entry.state == "answered":
            self._reply_answer(claim, entry)
        else:
            self._reply(claim, Outcome.MAY_HAVE_RUN)

    def step_down(self) -> None:
        """Redirect all callers that wait for a reply to the new primary."""
        for fingerprint, pending in list(self._pending_claims.items()):
            self._mark_released(fingerprint)
            self._redirect_to_primary(pending.claim)
        for claims in self._waiting_claims.values():
            for claim in claims:
                self._redirect_to_primary(claim)
        for tickets in self._answer_tickets.values():
            for ticket in tickets:
                self._effects.append(AnswerRecorded(ticket, False, self.view.primary))
        for table in (
            self._pending_claims,
            self._waiting_claims,
            self._answer_tickets,
            self._granted_claims,
        ):
            table.clear()

    def describe(self) -> dict[str, object]:
        """Return the state for the status page and the metrics."""
        return {
            "epoch": self.view.epoch,
            "primary": self.view.primary and get_replica_host(self.view.primary),
            "backup": self.view.backup and get_replica_host(self.view.backup),
            "entries": len(self._snapshot.entries),
            "expired": len(self._snapshot.expired),
            "pending": len(self._pending_claims),
        }
