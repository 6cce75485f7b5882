"""Keeps requests that crash endpoints away from them; no I/O."""

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from buckthorndeal.fleet import EndpointRecord
from buckthorndeal.gateway._endpoint_ends import EndpointEnds
from buckthorndeal.gateway._endpoint_path import EndpointPath
from buckthorndeal.gateway._fleet_view import FleetView
from buckthorndeal.gateway._granted_attempt import GrantedAttempt
from buckthorndeal.gateway._messages import (
    Dispatch,
)
from buckthorndeal.policy.views import AttemptOutcome
from buckthorndeal.quarantine import (
    EndpointEnd,
    Evidence,
    QuarantineChange,
    create_quarantine,
)

# A heartbeat that arrives so long after a supposed end was sent after it: coordinators
# pass them on within this time.
MAX_HEARTBEAT_DELAY_S = 1.0
# Time after a rejection within which an endpoint that bears few ends because of it.
REJECTION_EFFECT_S = 1.5
# Without such a heartbeat by then the endpoint has ended.
MAX_HOLD_S = 2.5


@dataclass(frozen=True, slots=True)
class _HeldEnd:
    """End of an endpoint that may be a loss of this host's own path.

    Parameters
    ----------
    held_s : float
        Clock reading since when it is held.
    ended_s : float
        Clock reading of the end.
    """

    end: EndpointEnd
    held_s: float
    ended_s: float


@dataclass(frozen=True, slots=True)
class Objection:
    """Reason against sending a request to any endpoint.

    Parameters
    ----------
    key : str or None
        Quarantined or suspect key; None for a repeat that might crash another endpoint.
    wait_s : float
        Seconds until a request with a quarantined key may be tried.
    is_quarantined : bool
        Whether the key is quarantined.
    """

    key: str | None
    wait_s: float = 0.0
    is_quarantined: bool = False


@dataclass(frozen=True, slots=True)
class CrashNews:
    """What follows from the evidence since the last call.

    Parameters
    ----------
    evidence : Evidence
        What other hosts have to learn.
    changes : list of QuarantineChange
        Decisions of this host.
    ends : list of EndpointEnd
        Ends that this host has observed.
    probes : list of EndpointRecord
        Endpoints to which a connection should be opened.
    """

    evidence: Evidence
    changes: list[QuarantineChange]
    ends: list[EndpointEnd]
    probes: list[EndpointRecord]


class CrashGuard:
    """Observes ends of endpoints, and refuses the requests that cause them.

    Parameters
    ----------
    host : str
        Name of this host.
    path : EndpointPath
        Whether this host reaches endpoints; if not, it sees no end of them.
    view : FleetView
        Heartbeats of endpoints, and requests that they have turned away.
    """

    def __init__(self, host: str, path: EndpointPath, view: FleetView) -> None:
        self._ends = EndpointEnds()
        self._path = path
        self._view = view
        self._held: list[_HeldEnd] = []
        self._new_ends: list[EndpointEnd] = []
        self.quarantine = create_quarantine(host)

    def is_open(self, now_s: float) -> bool:
        """Return whether something may follow from the passage of time."""
        is_open = self._ends.is_open or bool(self._held)
        return is_open or self.quarantine.is_open(now_s)

    def find_objection(
        self, dispatch: Dispatch, hosts: Sequence[str], now_s: float
    ) -> Objection | None:
        """Return why a request must not be sent to any endpoint now, or None.

        Parameters
        ----------
        dispatch : Dispatch
            The attempt.
        hosts : sequence of str
            All entry hosts.
        now_s : float
            Clock reading.
        """
        if self.quarantine.is_empty and not dispatch.is_retry:
            return None
        keys = self.quarantine.list_known_keys(dispatch.call)
        open_suspects = self._list_open_suspects()
        for key in self.quarantine.find_quarantined(keys):
            may_try = self.quarantine.may_try(key, hosts, now_s)
            if dispatch.is_retry or not may_try:
                wait_s = self.quarantine.get_wait_s(key, now_s)
                return Objection(key, wait_s, is_quarantined=True)
        if dispatch.is_retry:
            if not self.quarantine.may_repeat(keys, open_suspects, now_s):
                return Objection(None)
            return None
        key = self.quarantine.find_under_review(keys, open_suspects, hosts, now_s)
        return Objection(key) if key is not None else None

    def is_trial(self, dispatch: Dispatch, now_s: float) -> bool:
        """Return whether a request is one that only one host at a time may send."""
        if self.quarantine.is_empty:
            return False
        keys = self.quarantine.list_known_keys(dispatch.call)
        if self.quarantine.find_quarantined(keys):
            return True
        return self.quarantine.is_in_doubt(keys, now_s)

    def record_grant(self, dispatch: Dispatch, now_s: float) -> None:
        """Record that a request is sent to an endpoint."""
        if not self.quarantine.is_empty:
            keys = self.quarantine.list_known_keys(dispatch.call)
            self.quarantine.record_sent(keys, now_s)

    def record_attempt(
        self,
        attempt: GrantedAttempt,
        outcome: AttemptOutcome | None,
        closed: bool,
        now_s: float,
    ) -> None:
        """Record how an attempt has ended.

        Parameters
        ----------
        attempt : GrantedAttempt
            The attempt.
        outcome : AttemptOutcome or None
            None for an attempt that was not made.
        closed : bool
            Whether the endpoint has closed the connection during the response, or as
            its end.
        now_s : float
            Clock reading.
        """
        if outcome is AttemptOutcome.CONNECT_FAILED:
            end = self._ends.record_connect_failure(attempt.record, now_s)
            self._record_end(end, now_s)
        elif outcome is AttemptOutcome.SUCCEEDED and closed:
            self._ends.record_open_end(attempt, now_s)
        elif outcome in (AttemptOutcome.SUCCEEDED, AttemptOutcome.REFUSED):
            self._record_answers(self._ends.record_response(attempt), now_s)
        elif outcome is AttemptOutcome.BROKEN and closed:
            self._ends.record_break(attempt, now_s)
        succeeded = outcome is AttemptOutcome.SUCCEEDED and not closed
        if succeeded or attempt.has_run_long(now_s):
            self._record_answers([attempt], now_s)

    def record_probe(
        self, record: EndpointRecord, accepted: bool, now_s: float
    ) -> None:
        """Record whether an endpoint has accepted a connection."""
        end, answered = self._ends.record_probe(record, accepted, now_s)
        self._record_end(end, now_s)
        self._record_answers(answered, now_s)

    def take_news(self, now_s: float) -> CrashNews:
        """Return what follows from the evidence since the last call."""
        self._settle_held(now_s)
        self.quarantine.update(now_s)
        ends, self._new_ends = self._new_ends, []
        return CrashNews(
            self.quarantine.take_outgoing(),
            self.quarantine.take_changes(),
            ends,
            self._ends.take_probes(now_s),
        )

    def _list_open_suspects(self) -> set[str]:
        suspects = self._ends.list_suspects()
        for held in self._held:
            suspects.update(suspect.key for suspect in held.end.suspects)
        return suspects

    def _record_end(self, end: EndpointEnd | None, now_s: float) -> None:
        """Hold an end until it is known that this host has not lost its path."""
        if end is None:
            return
        self._held.append(_HeldEnd(end, now_s, now_s - end.age_s))
        self._settle_held(now_s)

    def _settle_held(self, now_s: float) -> None:
        held, self._held = self._held, []
        for each in held:
            if self._path.confirmed_s < each.held_s:
                self._path.request_check(each.end.endpoint, now_s)
            has_ended = self._has_ended(each, now_s)
            if has_ended is None:
                self._held.append(each)
            elif has_ended:
                age_s = now_s - each.ended_s
                end = msgspec.structs.replace(each.end, age_s=age_s)
                if self._had_too_many(end, each.ended_s):
                    end = msgspec.structs.replace(end, suspects=())
                self._accept_end(end, now_s)

    def _has_ended(self, held: _HeldEnd, now_s: float) -> bool | None:
        """Return whether an endpoint has ended; None if that is not known yet."""
        was_lost = self._path.lost_s >= held.ended_s
        if self._path.confirmed_s >= held.held_s and not was_lost:
            return True
        end = held.end
        heartbeat_s = self._view.get_heartbeat_s(end.endpoint, end.incarnation)
        if heartbeat_s is not None:
            if heartbeat_s > held.ended_s + MAX_HEARTBEAT_DELAY_S:
                return False
        return True if now_s - held.ended_s > MAX_HOLD_S else None

    def _had_too_many(self, end: EndpointEnd, ended_s: float) -> bool:
        """Return whether an endpoint has ended because it turned requests away."""
        rejected_s = self._view.get_rejection_s(end.endpoint, end.incarnation)
        return rejected_s is not None and ended_s - rejected_s < REJECTION_EFFECT_S

    def _accept_end(self, end: EndpointEnd, now_s: float) -> None:
        self._new_ends.append(end)
        if end.suspects:
            self.quarantine.record_end(end, now_s)

    def _record_answers(self, attempts: list[GrantedAttempt], now_s: float) -> None:
        for attempt in attempts:
            keys = self.quarantine.list_known_keys(attempt.call)
            self.quarantine.record_answer(keys, attempt.granted_s, now_s)
