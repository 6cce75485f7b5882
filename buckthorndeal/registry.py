"""Registry of a region's endpoints, updated by their messages; does no I/O."""

from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta

from buckthorndeal.charts import load_chart
from buckthorndeal.policy.views import EndpointView

__all__ = [
    "Accepted",
    "Announcement",
    "CacheReport",
    "DrainNotice",
    "Heartbeat",
    "LeaveNotice",
    "PrefixReport",
    "Refused",
    "Registry",
    "create_registry",
]

EXPIRY_S = 3.0
# Longer intervals between two checks for silent endpoints count as this long. The
# process was stopped in between, and messages of endpoints may be waiting unread.
MAX_CHECK_INTERVAL_S = 1.0
# Records of endpoints that have left or expired are kept this long, so that a delayed
# announcement does not register an incarnation again that has left.
LEFT_RETENTION_S = 600.0

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
Incarnation = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """Message of an endpoint that registers itself and describes what it serves."""

    name: Name
    incarnation: Incarnation
    service: Name
    region: Name
    failure_domain: Name
    address: Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:]+$")]
    port: Annotated[int, Meta(ge=1, le=65535)]
    models: tuple[str, ...] = ()
    versions: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = "serve"
    slots: Annotated[int, Meta(ge=1, le=100_000)] = 1
    model_slots: Annotated[int, Meta(ge=1, le=1_000)] = 1
    checks_fencing: bool = False


class PrefixReport(msgspec.Struct, frozen=True, kw_only=True):
    """Share of a request's prompt that is in the prefix cache.

    Parameters
    ----------
    request_id : str
        Value of the request's ``Buckthorndeal-Request-Id`` header.
    kept : float
        Share of the prompt that is cached, counted from its start; 0 to 1.
    """

    request_id: Annotated[str, Meta(max_length=256)]
    kept: Annotated[float, Meta(ge=0, le=1)]


class CacheReport(msgspec.Struct, frozen=True, kw_only=True):
    """Changes in an endpoint's prefix cache.

    Prompts are identified by the request that contained them, because the hosts'
    prefix hashes are keyed with secrets that endpoints don't have.

    Parameters
    ----------
    sequence : int
        Increases by one with each report of the incarnation.
    age_s : float
        Seconds since the endpoint created the report.
    cleared : bool
        Whether the cache was cleared before these changes.
    """

    sequence: Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
    age_s: Annotated[float, Meta(ge=0, le=3600)] = 0.0
    cleared: bool = False
    prefixes: Annotated[tuple[PrefixReport, ...], Meta(max_length=256)] = ()


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """Periodic message of an endpoint that reports its load."""

    name: Name
    incarnation: Incarnation
    running: Count = 0
    queued: Count = 0
    models: tuple[str, ...] | None = None
    versions: tuple[str, ...] | None = None
    cache: Annotated[tuple[CacheReport, ...], Meta(max_length=16)] = ()


class DrainNotice(msgspec.Struct, frozen=True, kw_only=True):
    """Message of an endpoint that finishes its requests and accepts no new ones."""

    name: Name
    incarnation: Incarnation


class LeaveNotice(msgspec.Struct, frozen=True, kw_only=True):
    """Message of an endpoint that has stopped."""

    name: Name
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Accepted:
    """Result of a message that was applied.

    Parameters
    ----------
    state : str
        New state of the endpoint.
    """

    state: str


@dataclass(frozen=True, slots=True)
class Refused:
    """Result of a message that was refused and changed nothing.

    Parameters
    ----------
    reason : str
        Why it was refused.
    """

    reason: str


@dataclass(slots=True)
class _Record:
    view: EndpointView
    last_seen_s: float


class Registry:
    """Table of endpoints by name, each with its newest incarnation only.

    Parameters
    ----------
    expiry_s : float, optional
        Seconds without a message after which an endpoint expires.
    """

    def __init__(self, expiry_s: float = EXPIRY_S) -> None:
        self._expiry_s = expiry_s
        self._records: dict[str, _Record] = {}
        self._chart = load_chart("endpoint")
        self._checked_s: float | None = None

    def announce(self, message: Announcement, now_s: float) -> Accepted | Refused:
        """Register an endpoint or update its description."""
        record = self._records.get(message.name)
        if record is not None and record.view.incarnation > message.incarnation:
            return Refused(
                f"incarnation {message.incarnation} is older than "
                f"{record.view.incarnation}"
            )
        state = self._chart.initial
        if record is not None and record.view.incarnation == message.incarnation:
            state = record.view.state
        if not self._chart.allows(state, "announce"):
            return Refused(f"the endpoint is {state}")
        if self._checked_s is None:
            self._checked_s = now_s
        view = _create_view(message, self._chart.advance(state, "announce"), now_s)
        if state == "ready":
            _copy_load(record.view, view)
        self._records[message.name] = _Record(view, now_s)
        return Accepted(view.state)

    def heartbeat(self, message: Heartbeat, now_s: float) -> Accepted | Refused:
        """Update the load of an endpoint and when it was last seen."""
        result = self._apply(message, "heartbeat", now_s)
        if isinstance(result, Accepted):
            view = self._records[message.name].view
            view.running = message.running
            view.queued = message.queued
            view.own_since_report = 0
            if message.models is not None:
                view.models = message.models
            if message.versions is not None:
                view.versions = message.versions
        return result

    def drain(self, message: DrainNotice, now_s: float) -> Accepted | Refused:
        """Stop sending new requests to an endpoint."""
        if self._is_unknown(message):
            # There is nothing to drain. The record of the leave keeps a delayed
            # announcement of this incarnation from making the endpoint ready.
            return self.leave(message, now_s)
        return self._apply(message, "drain", now_s)

    def leave(
        self, message: LeaveNotice | DrainNotice, now_s: float
    ) -> Accepted | Refused:
        """Mark an endpoint as left; this incarnation cannot register again."""
        if self._is_unknown(message):
            view = EndpointView(message.name, message.incarnation, "", "", "", "", 0)
            view.state = self._chart.initial
            self._records[message.name] = _Record(view, now_s)
        return self._apply(message, "leave", now_s)

    def expire(self, now_s: float) -> list[str]:
        """Expire endpoints that have sent nothing for too long; return their names."""
        self._extend_deadlines(now_s)
        expired = []
        for name, record in list(self._records.items()):
            silent_s = now_s - record.last_seen_s
            state = record.view.state
            if silent_s > LEFT_RETENTION_S and state in ("left", "expired"):
                del self._records[name]
            elif silent_s > self._expiry_s and self._chart.allows(state, "expire"):
                record.view.state = self._chart.advance(state, "expire")
                expired.append(name)
        return expired

    def _extend_deadlines(self, now_s: float) -> None:
        """Give endpoints the time in which their messages could not be read."""
        interval_s = 0.0 if self._checked_s is None else now_s - self._checked_s
        self._checked_s = now_s
        late_s = interval_s - MAX_CHECK_INTERVAL_S
        if late_s <= 0:
            return
        for record in self._records.values():
            record.last_seen_s = min(now_s, record.last_seen_s + late_s)

    def list_candidates(
        self, service: str, model: str | None, now_s: float
    ) -> list[EndpointView]:
        """Return the ready endpoints of a service that serve `model`.

        If `model` is None, endpoints with any models are returned.
        """
        self._extend_deadlines(now_s)
        found = []
        for record in self._records.values():
            view = record.view
            if view.state != "ready" or view.service != service:
                continue
            if now_s - record.last_seen_s > self._expiry_s:
                continue
            if model is not None and model not in view.models:
                continue
            view.load_age_s = now_s - record.last_seen_s
            found.append(view)
        return found

    def list_endpoints(self) -> list[EndpointView]:
        """Return every endpoint that has neither left nor expired."""
        return [
            record.view
            for record in self._records.values()
            if record.view.state not in ("left", "expired")
        ]

    def is_live(self, name: str, incarnation: int) -> bool:
        """Return whether this incarnation is ready or draining."""
        record = self._records.get(name)
        if record is None or record.view.incarnation != incarnation:
            return False
        return record.view.state in ("ready", "draining")

    def record_start(self, name: str, incarnation: int) -> None:
        """Count a request that this host sends to an endpoint."""
        record = self._records.get(name)
        if record is not None and record.view.incarnation == incarnation:
            record.view.own_inflight += 1
            record.view.own_since_report += 1

    def record_end(self, name: str, incarnation: int) -> None:
        """Count the end of a request that this host sent to an endpoint."""
        record = self._records.get(name)
        if record is not None and record.view.incarnation == incarnation:
            record.view.own_inflight = max(0, record.view.own_inflight - 1)
            # A request that has ended no longer counts as load, whether the last
            # report included it or not. Otherwise, with requests much shorter than
            # the report interval, all requests of the interval would count as load.
            record.view.own_since_report -= 1

    def _is_unknown(self, message: LeaveNotice | DrainNotice) -> bool:
        record = self._records.get(message.name)
        return record is None or record.view.incarnation < message.incarnation

    def _apply(
        self,
        message: Heartbeat | DrainNotice | LeaveNotice,
        event: str,
        now_s: float,
    ) -> Accepted | Refused:
        record = self._records.get(message.name)
        if record is None or record.view.incarnation != message.incarnation:
            return Refused(f"incarnation {message.incarnation} is not announced")
        if not self._chart.allows(record.view.state, event):
            return Refused(f"the endpoint is {record.view.state}")
        record.view.state = self._chart.advance(record.view.state, event)
        record.last_seen_s = now_s
        return Accepted(record.view.state)


def _create_view(message: Announcement, state: str, now_s: float) -> EndpointView:
    fields = msgspec.structs.asdict(message)
    return EndpointView(**fields, ready_since_s=now_s, state=state)


def _copy_load(old: EndpointView, new: EndpointView) -> None:
    new.running = old.running
    new.queued = old.queued
    new.own_inflight = old.own_inflight
    new.own_since_report = old.own_since_report
    new.ready_since_s = old.ready_since_s


def create_registry(expiry_s: float = EXPIRY_S) -> Registry:
    """Return an empty registry."""
    return Registry(expiry_s)
