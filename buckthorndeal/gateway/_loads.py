"""What a gateway knows of one endpoint: load, speed, cache and limits."""

from dataclasses import dataclass, field

from buckthorndeal.configuration import ServiceDescription
from buckthorndeal.fleet import EndpointEntry, EndpointState
from buckthorndeal.gateway._engine import PrefillSpeed, PrefixCache
from buckthorndeal.gateway._limits import RequestSpacing
from buckthorndeal.gateway._messages import Call, LoadReport

# A report says little about the load after this time.
REPORT_LIFETIME_S = 2.0
INITIAL_SERVICE_TIME_S = 0.05
SERVICE_TIME_WEIGHT = 0.1
# Shares of an engine's places and memory that running requests may take. An engine
# that is full evicts the prompts of earlier requests and delays every token, and
# reports of it are never quite up to date.
ENGINE_SLOT_SHARE = 0.8
MEMORY_SHARE = 0.65
# Later time that a request at a full engine costs, as every token takes longer.
FULL_ENGINE_S = 1.0
DEFAULT_CAPACITY_TOKENS = 1_000_000
# Share of an engine's memory that is left for prompts of earlier requests.
CACHE_SHARE = 0.6


@dataclass(slots=True)
class Ticket:
    """An attempt that was granted an endpoint."""

    call: Call
    endpoint: str
    granted_s: float
    uncached_tokens: int
    queued_tokens: float
    memory_tokens: int
    started: bool = False


@dataclass(slots=True)
class EndpointLoad:
    """State of one incarnation of an endpoint on this host.

    Parameters
    ----------
    entry : EndpointEntry
        Last heartbeat.
    cache : PrefixCache
        Prompts that it is believed to keep.
    """

    entry: EndpointEntry
    cache: PrefixCache
    speed: PrefillSpeed = field(default_factory=PrefillSpeed)
    spacing: RequestSpacing = field(default_factory=RequestSpacing)
    tickets: dict[int, Ticket] = field(default_factory=dict)
    queued_tokens: int = 0
    queued_count: int = 0
    memory_tokens: int = 0
    service_time_s: float = INITIAL_SERVICE_TIME_S
    mean_tokens: float = 0.0
    mean_memory: float = 0.0
    report: LoadReport | None = None
    reported_s: float = 0.0
    own_at_report: int = 0

    @property
    def name(self) -> str:
        """Id of the endpoint."""
        return self.entry.record.endpoint

    @property
    def inflight(self) -> int:
        """Own requests that have not ended."""
        return len(self.tickets)

    def is_ready(self, now_s: float) -> bool:
        """Return whether the endpoint takes new requests."""
        if self.entry.record.state is not EndpointState.READY:
            return False
        leaves_at_s = self.entry.leaves_at_s
        return leaves_at_s is None or now_s < leaves_at_s

    def is_cold(self, now_s: float) -> bool:
        """Return whether the endpoint bears few requests now."""
        return now_s < self.entry.cold_until_s

    def count_others(self, now_s: float) -> int:
        """Return the requests of other hosts, as far as a fresh report tells."""
        if self.report is None or now_s - self.reported_s > REPORT_LIFETIME_S:
            return 0
        total = self.report.running + self.report.waiting
        return max(0, total - self.own_at_report)

    def count_others_queued(self, now_s: float) -> int:
        """Return the requests of other hosts that wait for their first token."""
        if self.report is None or now_s - self.reported_s > REPORT_LIFETIME_S:
            return 0
        return max(0, self.report.waiting - self.queued_count)

    def note_report(self, report: LoadReport, now_s: float) -> None:
        """Keep the load that an answer told."""
        self.report = report
        self.reported_s = now_s
        self.own_at_report = self.inflight

    def predict_first_s(self, call: Call, unread_tokens: int, now_s: float) -> float:
        """Return the expected time until the answer begins."""
        slots = self.entry.record.slots
        if call.prompt is None:
            waiting = self.inflight + self.count_others(now_s) + 1 - slots
            return self.service_time_s * (1 + max(0, waiting) / max(1, slots))
        return self.speed.predict(self.count_queued_tokens(now_s) + unread_tokens)

    def compute_crowding_s(self, now_s: float) -> float:
        """Return what the running requests of an engine cost one more request."""
        busy = self.inflight + self.count_others(now_s)
        return FULL_ENGINE_S * busy / max(1, self.entry.record.slots)

    def count_queued_tokens(self, now_s: float) -> float:
        """Return the prompt tokens that the engine has still to read."""
        others = self.count_others_queued(now_s) * self.mean_tokens
        return self.queued_tokens + others

    def has_room(self, call: Call, service: ServiceDescription, now_s: float) -> bool:
        """Return whether one more request gets a slot and memory soon."""
        slots = self.entry.record.slots
        others = self.count_others(now_s)
        busy = self.inflight + others
        if call.prompt is None:
            return busy < slots + max(1, slots // 3)
        if not busy:
            return True
        if busy >= slots * ENGINE_SLOT_SHARE:
            return False
        taken = self.memory_tokens + others * self.mean_memory
        need = call.prompt.tokens + call.prompt.max_output_tokens
        return taken + need <= get_capacity(service) * MEMORY_SHARE

    def add(self, number: int, ticket: Ticket) -> None:
        """Count an attempt that is about to be sent."""
        self.tickets[number] = ticket
        self.queued_tokens += ticket.uncached_tokens
        self.queued_count += 1
        self.memory_tokens += ticket.memory_tokens
        if ticket.call.prompt is not None:
            weight = SERVICE_TIME_WEIGHT
            self.mean_tokens += weight * (ticket.uncached_tokens - self.mean_tokens)
            self.mean_memory += weight * (ticket.memory_tokens - self.mean_memory)
            self.cache.record(ticket.call.prompt)

    def note_start(self, number: int, now_s: float) -> None:
        """Note that the answer to an attempt has begun."""
        ticket = self.tickets.get(number)
        if ticket is None or ticket.started:
            return
        ticket.started = True
        self.queued_tokens -= ticket.uncached_tokens
        self.queued_count -= 1
        latency_s = now_s - ticket.granted_s
        if ticket.call.prompt is None:
            gap_s = latency_s - self.service_time_s
            self.service_time_s += SERVICE_TIME_WEIGHT * gap_s
        else:
            work = ticket.queued_tokens + ticket.uncached_tokens
            self.speed.observe(work, latency_s)

    def remove(self, number: int) -> Ticket | None:
        """Forget an attempt that has ended."""
        ticket = self.tickets.pop(number, None)
        if ticket is None:
            return None
        if not ticket.started:
            self.queued_tokens -= ticket.uncached_tokens
            self.queued_count -= 1
        self.memory_tokens -= ticket.memory_tokens
        return ticket


def get_cache_tokens(service: ServiceDescription | None) -> int:
    """Return the tokens of earlier prompts that an endpoint is expected to keep."""
    return int(get_capacity(service) * CACHE_SHARE)


def get_capacity(service: ServiceDescription | None) -> int:
    """Return the tokens that fit into an endpoint's memory."""
    if service is None or service.engine is None:
        return DEFAULT_CAPACITY_TOKENS
    return service.engine.kv_capacity_tokens
