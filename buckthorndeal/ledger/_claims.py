"""Claims of a primary: grants, resends, answers and refusals."""

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
class _Pending:
    claim: Claim
    refuse_s: float


@dataclass(slots=True)
class _Running:
    grant: Grant
    dispatched: bool = False


class Ledger(Replica):
    """Grants each key at most once.

    There is no durable record of a dispatch, which would cost a second fsync
    before each one. Instead, a claim of a former process, or of a former primary,
    counts as possibly dispatched unless its holder releases it.

    Parameters
    ----------
    wall_offset_s : float
        Seconds since the epoch minus monotonic seconds.
    **others : object
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
        self._pending: dict[bytes, _Pending] = {}
        self._running: dict[bytes, _Running] = {}
        self._waiting: dict[bytes, list[Claim]] = {}
        self._recording: dict[bytes, list[int]] = {}
        self._expired_s = float("-inf")
        super().__init__(replica, region, get_region, snapshot, rng, now_s, options)

    def handle(self, message: object, now_s: float) -> list[Effect]:
        """Handle a message of the owner task and return the effects."""
        self._handle(message, now_s)
        return self._finish(now_s)

    def handle_peer(self, message: Message, host: str, now_s: float) -> list[Effect]:
        """Handle a message of the authenticated `host` and return the effects."""
        self.receive(message, host, now_s)
        return self._finish(now_s)

    def tick(self, now_s: float) -> list[Effect]:
        """Do what is due; to be called about every 0.1 s."""
        self._refuse_due(now_s)
        self._end_waits(now_s)
        self.tick_view(now_s)
        self._hand_over(now_s)
        if now_s - self._expired_s >= self._options.expire_every_s:
            self._expired_s = now_s
            self._drop_old(now_s)
        return self._finish(now_s)

    def may_have_run(self, fingerprint: bytes) -> bool:
        """Return whether a request with the key may have run."""
        entry = self._snapshot.entries.get(fingerprint)
        if entry is None:
            return fingerprint in self._snapshot.expired
        return entry.state != "released"

    def take_snapshot(self) -> ClaimSnapshot:
        """Return the content for a compaction of the store."""
        snapshot = self._snapshot
        record = type(snapshot.record)(self.view, self.asked)
        expired = snapshot.expired.freeze()
        return ClaimSnapshot(dict(snapshot.entries), expired, record)

    def _finish(self, now_s: float) -> list[Effect]:
        self.finish_join(self._pending, now_s)
        return self.emit(now_s)

    def _drop_old(self, now_s: float) -> None:
        wall_s = now_s + self._wall_offset_s
        self._snapshot.expire_entries(wall_s - self._options.answer_retention_s)
        for fingerprint in list(self._running):
            if fingerprint not in self._snapshot.entries:
                del self._running[fingerprint]

    def _reply(self, claim: Claim, outcome: Outcome, **fields: object) -> None:
        self._out.append(ClaimReply(claim.ticket, outcome, **fields))

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
        self._hand_over(now_s)

    def _hand_over(self, now_s: float) -> None:
        """Hand over once no answer of a granted claim is outstanding."""
        is_idle = not (self._pending or self._running or self._recording)
        if is_idle and self.is_handing_over(now_s):
            self.tick_handover(now_s)

    @_handle.register
    def _(self, message: Persisted, now_s: float) -> None:
        synced, effects = self._writer.finish(message.batch)
        self._out += effects
        self.settle(synced, now_s)

    @_handle.register
    def _(self, claim: Claim, now_s: float) -> None:
        entry = self._snapshot.entries.get(claim.fingerprint)
        if not self.is_primary:
            self._redirect(claim)
        elif claim.fingerprint in self._snapshot.expired:
            self._reply(claim, Outcome.MAY_HAVE_RUN)
        elif entry is None:
            self._start_attempt(claim, 1, now_s)
        elif entry.digest != claim.digest:
            self._reply(claim, Outcome.KEY_REUSED)
        else:
            self._resend(claim, entry, now_s)

    def _redirect(self, claim: Claim) -> None:
        self._reply(claim, Outcome.NOT_OWNER, primary=self.view.primary)

    def _resend(self, claim: Claim, entry: ClaimEntry, now_s: float) -> None:
        fingerprint = claim.fingerprint
        is_answered = entry.state == "answered"
        is_held = fingerprint in self._pending or fingerprint in self._running
        if is_answered and self.is_committed(fingerprint):
            self._reply_answer(claim, entry)
        elif is_answered or is_held:
            self._waiting.setdefault(fingerprint, []).append(claim)
        elif entry.state == "released":
            self._start_attempt(claim, entry.attempt + 1, now_s)
        else:
            self._reply(claim, Outcome.MAY_HAVE_RUN)

    def _reply_answer(self, claim: Claim, entry: ClaimEntry) -> None:
        self._reply(claim, Outcome.ANSWERED, status=entry.status, body=entry.body)

    def _start_attempt(self, claim: Claim, attempt: int, now_s: float) -> None:
        if self.is_handing_over(now_s):
            self._redirect(claim)
            return
        if len(self._pending) >= self._options.max_pending:
            self._reply(claim, self._get_refusal(now_s))
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
        refuse_s = min(claim.deadline_s, now_s + self._options.grant_timeout_s)
        self._pending[claim.fingerprint] = _Pending(claim, refuse_s)
        self.store(entry)

    def _get_refusal(self, now_s: float) -> Outcome:
        """Return the verdict for a key without a dispatch known here.

        A primary that may have been replaced cannot tell what the other one did.
        """
        return Outcome.NOT_RUN if self.is_confirmed(now_s) else Outcome.MAY_HAVE_RUN

    def settle(self, fingerprints: list[bytes] | None, now_s: float) -> None:
        """Grant claims and hand out answers that are committed."""
        if not self.is_primary:
            return
        if fingerprints is None:
            fingerprints = [*self._pending, *self._recording, *self._waiting]
        for fingerprint in fingerprints:
            entry = self._snapshot.entries.get(fingerprint)
            if entry is None or not self.is_committed(fingerprint):
                continue
            if fingerprint in self._pending:
                self._grant(fingerprint, entry)
            elif entry.state == "answered":
                self._publish(fingerprint, entry)

    def _grant(self, fingerprint: bytes, entry: ClaimEntry) -> None:
        claim = self._pending.pop(fingerprint).claim
        grant = Grant(fingerprint, entry.epoch, entry.attempt)
        self._running[fingerprint] = _Running(grant)
        self._reply(claim, Outcome.GRANTED, grant=grant)

    def _publish(self, fingerprint: bytes, entry: ClaimEntry) -> None:
        self._running.pop(fingerprint, None)
        for ticket in self._recording.pop(fingerprint, ()):
            self._out.append(AnswerRecorded(ticket, True))
        for claim in self._waiting.pop(fingerprint, ()):
            self._reply_answer(claim, entry)

    @_handle.register
    def _(self, message: MarkDispatched, now_s: float) -> None:
        running = self._running.get(message.grant.fingerprint)
        if running is not None and running.grant == message.grant:
            running.dispatched = True

    @_handle.register
    def _(self, message: Release, now_s: float) -> None:
        running = self._running.get(message.grant.fingerprint)
        state = "abandoned" if running and running.dispatched else "released"
        self._end_attempt(message.grant, state, now_s)

    @_handle.register
    def _(self, message: Abandon, now_s: float) -> None:
        self._end_attempt(message.grant, "abandoned", now_s)

    def _end_attempt(self, grant: Grant, state: str, now_s: float) -> None:
        entry = self._find_entry(grant)
        if not self.is_primary or entry is None or entry.state != "claimed":
            return
        if grant.fingerprint in self._pending:
            return
        self._running.pop(grant.fingerprint, None)
        self.store(msgspec.structs.replace(entry, state=state))
        outcome = Outcome.MAY_HAVE_RUN
        if state == "released":
            outcome = self._get_refusal(now_s)
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
        is_known = entry is not None and fingerprint not in self._pending
        if not self.is_primary or not is_known or entry.state == "released":
            answer = AnswerRecorded(message.ticket, False, self.view.primary)
            self._out.append(answer)
            return
        self._recording.setdefault(fingerprint, []).append(message.ticket)
        if entry.state != "answered":
            answered = msgspec.structs.replace(
                entry, state="answered", status=message.status, body=message.body
            )
            self.store(answered)
        self.settle([fingerprint], now_s)

    def _refuse_due(self, now_s: float) -> None:
        options = self._options
        ends_s = self._lease_end_s if self.required else float("inf")
        is_ending = ends_s - options.refuse_before_s <= now_s < ends_s
        for fingerprint, pending in list(self._pending.items()):
            if is_ending or now_s >= pending.refuse_s:
                self._refuse(fingerprint, now_s)

    def _refuse(self, fingerprint: bytes, now_s: float) -> None:
        pending = self._pending.pop(fingerprint)
        outcome = self._get_refusal(now_s)
        self._withdraw(fingerprint)
        self._reply(pending.claim, outcome)
        self._refuse_waiting(fingerprint, outcome)

    def _withdraw(self, fingerprint: bytes) -> None:
        entry = self._snapshot.entries[fingerprint]
        self.store(msgspec.structs.replace(entry, state="released"))

    def _refuse_waiting(self, fingerprint: bytes, outcome: Outcome) -> None:
        for claim in self._waiting.pop(fingerprint, ()):
            self._reply(claim, outcome)

    def _end_waits(self, now_s: float) -> None:
        for fingerprint, claims in list(self._waiting.items()):
            for claim in claims:
                if now_s >= claim.deadline_s:
                    self._end_wait(claim)
            kept = [claim for claim in claims if now_s < claim.deadline_s]
            self._waiting[fingerprint] = kept
            if not kept:
                del self._waiting[fingerprint]

    def _end_wait(self, claim: Claim) -> None:
        """Reply at the deadline, with an answer that is not committed if need be.

        The answer is true; after a loss of this host a later resend may be told
        "may have run" in its place.
        """
        entry = self._snapshot.entries.get(claim.fingerprint)
        if entry is not None and entry.state == "answered":
            self._reply_answer(claim, entry)
        else:
            self._reply(claim, Outcome.MAY_HAVE_RUN)

    def step_down(self) -> None:
        """Send everybody who waits to the new primary."""
        for fingerprint, pending in list(self._pending.items()):
            self._withdraw(fingerprint)
            self._redirect(pending.claim)
        for claims in self._waiting.values():
            for claim in claims:
                self._redirect(claim)
        for tickets in self._recording.values():
            for ticket in tickets:
                self._out.append(AnswerRecorded(ticket, False, self.view.primary))
        for held in (self._pending, self._waiting, self._recording, self._running):
            held.clear()

    def describe(self) -> dict[str, object]:
        """Return figures for the status and the metrics."""
        return {
            "epoch": self.view.epoch,
            "primary": self.view.primary and get_replica_host(self.view.primary),
            "backup": self.view.backup and get_replica_host(self.view.backup),
            "entries": len(self._snapshot.entries),
            "expired": len(self._snapshot.expired),
            "pending": len(self._pending),
        }
