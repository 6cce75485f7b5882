"""Claims of non-idempotent calls: the interface and its in-memory form.

The in-memory form keeps claims of one process only. The durable ledger takes its
place behind `ClaimPort`.
"""

import abc
import collections
import hashlib
from collections.abc import Callable
from dataclasses import dataclass

import curio

from buckthorndeal._entry_messages import Answer, Call
from buckthorndeal.errors import RequestError, Verdict

ClaimKey = tuple[str, str]


def get_claim_key(call: Call) -> ClaimKey:
    return call.identity.name, call.idempotency_key


def compute_fingerprint(call: Call) -> bytes:
    digest = hashlib.sha256()
    for part in (call.method.encode(), call.target.encode("latin-1"), call.body):
        digest.update(hashlib.sha256(part).digest())
    return digest.digest()


class ClaimPort(abc.ABC):
    """At-most-once claims by (workspace, idempotency key)."""

    @abc.abstractmethod
    async def claim(self, key: ClaimKey, fingerprint: bytes) -> Answer | None:
        """Claim a key, or return the answer recorded under it.

        Waits while another request holds the claim. Raises RequestError with
        status 422 if the key was used with another fingerprint, and with verdict
        ``MAY_HAVE_RUN`` if a dispatch under the key has no known outcome.
        """

    @abc.abstractmethod
    async def record_dispatch(self, key: ClaimKey) -> None:
        """Record that a byte may be handed to an endpoint from now on."""

    @abc.abstractmethod
    async def record_answer(self, key: ClaimKey, answer: Answer) -> None:
        """Record the answer and release waiting requests."""

    @abc.abstractmethod
    async def record_not_run(self, key: ClaimKey) -> None:
        """Give up a claim of which it is proved that nothing was dispatched."""

    @abc.abstractmethod
    async def record_unknown(self, key: ClaimKey) -> None:
        """Record that a dispatch ended without a known outcome."""

    @abc.abstractmethod
    def record_forward(self, key: ClaimKey) -> None:
        """Record that a request under the key was sent to the claim's owner."""

    @abc.abstractmethod
    def withdraw_forward(self, key: ClaimKey) -> None:
        """Record that the owner proved a forwarded request not run."""

    @abc.abstractmethod
    def knows(self, key: ClaimKey) -> bool:
        """Return whether a request under the key may have run before."""


@dataclass(slots=True)
class _Claim:
    fingerprint: bytes
    ended: curio.Event
    state: str = "claimed"
    answer: Answer | None = None
    answered_s: float = 0.0


class MemoryClaims(ClaimPort):
    """Claims of one process.

    Parameters
    ----------
    retention_s : float
        Time for which answers are kept; fingerprints are kept for good.
    now : callable
        Monotonic clock in seconds.
    """

    def __init__(self, retention_s: float, now: Callable[[], float]) -> None:
        self._retention_s = retention_s
        self._now = now
        self._claims: dict[ClaimKey, _Claim] = {}
        self._forwarded: collections.Counter[ClaimKey] = collections.Counter()

    async def claim(self, key: ClaimKey, fingerprint: bytes) -> Answer | None:
        while (claim := self._claims.get(key)) is not None:
            if claim.fingerprint != fingerprint:
                raise RequestError(
                    "idempotency_key_reused",
                    422,
                    "the idempotency key was used with another request",
                )
            if claim.state == "answered":
                return self._get_answer(claim)
            if claim.state == "unknown":
                raise create_may_have_run("an earlier attempt has no known outcome")
            await claim.ended.wait()
        self._claims[key] = _Claim(fingerprint, curio.Event())
        return None

    def _get_answer(self, claim: _Claim) -> Answer:
        if self._now() - claim.answered_s > self._retention_s:
            claim.answer = None
        if claim.answer is None:
            raise create_may_have_run("the recorded answer is no longer kept")
        return claim.answer

    async def record_dispatch(self, key: ClaimKey) -> None:
        self._claims[key].state = "dispatched"

    async def record_answer(self, key: ClaimKey, answer: Answer) -> None:
        claim = self._claims[key]
        claim.state = "answered"
        claim.answer = answer
        claim.answered_s = self._now()
        await claim.ended.set()

    async def record_not_run(self, key: ClaimKey) -> None:
        await self._claims.pop(key).ended.set()

    async def record_unknown(self, key: ClaimKey) -> None:
        claim = self._claims[key]
        claim.state = "unknown"
        await claim.ended.set()

    def record_forward(self, key: ClaimKey) -> None:
        self._forwarded[key] += 1

    def withdraw_forward(self, key: ClaimKey) -> None:
        self._forwarded[key] -= 1
        if self._forwarded[key] <= 0:
            del self._forwarded[key]

    def knows(self, key: ClaimKey) -> bool:
        return key in self._claims or key in self._forwarded


def create_may_have_run(reason: str) -> RequestError:
    return RequestError("outcome_unknown", 409, reason, Verdict.MAY_HAVE_RUN)


def create_memory_claims(retention_s: float, now: Callable[[], float]) -> MemoryClaims:
    return MemoryClaims(retention_s, now)
