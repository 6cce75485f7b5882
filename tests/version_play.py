"""Play of streams while software versions change, without a network."""

import math
import random
from collections import Counter
from dataclasses import dataclass, field, replace

from buckthorndeal.configuration import RequestKind
from buckthorndeal.coordinator._quarantine_store import (
    create_memory_quarantine_store,
)
from buckthorndeal.coordinator._shared_requests import (
    OriginRequested,
    handle_shared_request,
)
from buckthorndeal.coordinator._shared_state import SharedState
from buckthorndeal.coordinator._version_store import create_memory_version_store
from buckthorndeal.fleet import (
    EndpointRecord,
    EndpointState,
    ServiceVersion,
    digest_stream,
)
from buckthorndeal.gateway._coordinator_reach import CoordinatorReach
from buckthorndeal.gateway._origin_holders import (
    REPEAT_DELAY_S,
    REPEAT_INTERVAL_S,
    OriginHolders,
    choose_holders,
    split_turns,
)
from buckthorndeal.gateway._origins import ASK_AGAIN_LIMIT_S, ASK_AGAIN_S
from buckthorndeal.gateway._shared_messages import FindStreamOrigin
from buckthorndeal.policy.views import AttemptOutcome
from tests.crash_play import FLUSH_S, POLL_S
from tests.repeat_play import (
    LOOKUP,
    Leg,
    RepeatPlay,
    compute_delay_s,
    create_content,
)

COORDINATORS = 5
STATUS_S = 1.0
# Time without a change of the coordinators after which they count as stable.
STABLE_S = 6.0
SILENCE_S = 2.0
EVENTS = 12
EVENT_S = 0.12
PREFILL_S = (0.04, 0.15)
ASK_S = (0.003, 0.17)
# From a connection to a coordinator until it has told what it knows.
INITIAL_STATE_S = (0.002, 0.1)
# Interval at which callers look for a host while all are down.
ALL_DOWN_RETRY_S = 0.2
RETRY_S = (0.02, 0.4)
# Share of the streams that break by themselves.
BREAK_SHARE = 0.3
DRAIN_S = 2.5
CHANGE_S = (0.3, 3.0)
SERVICE = "desk"
MAX_TRIES = 3
STREAM = replace(
    LOOKUP, kind=RequestKind.STREAM, resumable=True, timeout_s=6.0, max_attempts=2
)


@dataclass(eq=False)
class PlayStream:
    """Stream of a caller, who takes it up again when it breaks.

    Parameters
    ----------
    versions : dict of str to int
        Events received from endpoints of each version.
    first_id : str or None
        Id of the request that brought the first event.
    """

    sent_s: float
    route: object = STREAM
    content: object = None
    crashing: bool = False
    events: int = 0
    versions: Counter = field(default_factory=Counter)
    first_id: str | None = None
    tries: int = 0
    complete: bool = False


@dataclass(eq=False)
class StreamLeg(Leg):
    """A stream at one entry host.

    Parameters
    ----------
    version : str or None
        Version at which it has to continue.
    after : int
        Number of the last event that its caller has.
    resumes : str or None
        Request that began the stream, if its caller takes it up.
    ask_until_s : float
        Time until which coordinators are asked again.
    """

    version: str | None = None
    after: int = 0
    resumes: str | None = None
    ask_until_s: float = 0.0


@dataclass(eq=False)
class TakenUp:
    """A stream that a caller takes up again, and whether the rule counts it."""

    stream: PlayStream
    counts: bool
    events_before: int

    @property
    def went_on(self):
        # Of a stream with all its events only the end was missing.
        return self.stream.events > self.events_before or self.stream.complete


class VersionPlay(RepeatPlay):
    """Plays streams at endpoints whose software changes, and hosts that are lost.

    Parameters
    ----------
    hosts, endpoints : int
        Numbers of entry hosts and endpoints; both are spread over three regions.
    seed : int
        Seed of all draws.
    coordinators : int
        Number of coordinators; they keep versions on disk, and origins in memory.
    """

    events = EVENTS
    event_s = EVENT_S
    break_share = BREAK_SHARE
    slots = 6
    route = STREAM

    def __init__(self, hosts=24, endpoints=9, seed=1, coordinators=COORDINATORS):
        super().__init__(hosts, endpoints, seed)
        self.coordinator_count = coordinators
        self._repeat_rng = random.Random(seed)
        self.versions = dict.fromkeys(range(endpoints), "v1")
        self.draining = set()
        self.streams = []
        self.taken_up = []
        self.version_stores = [
            create_memory_version_store() for _ in range(coordinators)
        ]
        self.shared = [self._create_shared(n) for n in range(coordinators)]
        self.lost_coordinators = {}
        # Coordinators whose processes are down, and how often each was started.
        self.down_coordinators = set()
        self.coordinator_starts = [0] * coordinators
        self.core_disturbed_s = -math.inf
        self.repeated_origins = 0
        self._holders = {host.name: OriginHolders(host.name) for host in self.hosts}
        self.initial_state_s = INITIAL_STATE_S
        # Number of the connection to each coordinator, by host.
        self._connected = {host.name: {} for host in self.hosts}
        self._reaches = {host.name: CoordinatorReach() for host in self.hosts}

    def play_streams(self, seconds, per_s):
        """Play streams and all that was planned."""
        start_s = self.now_s
        at_s = start_s
        while (at_s := at_s + self.rng.expovariate(per_s)) < start_s + seconds:
            content = create_content("POST", f"/{next(self._numbers)}")
            stream = PlayStream(at_s, content=content)
            self._schedule(at_s, self._begin_stream, stream)
        for step in range(int(seconds / POLL_S)):
            at_s = start_s + step * POLL_S
            for host in self.hosts:
                self._schedule(at_s, self._connect, host)
            if step % round(FLUSH_S / POLL_S) == 0:
                for number in range(self.coordinator_count):
                    self._schedule(at_s, self._flush_shared, number)
            if step % round(STATUS_S / POLL_S) == 0:
                for number in range(self.coordinator_count):
                    self._schedule(at_s, self._send_status, number)
        self.play_calls(seconds, 0.01, [])

    def release(self, version, from_s, share=1.0, gap_s=1.0):
        """Plan endpoints that drain and start again with another version."""
        at_s = self.now_s + from_s
        for engine in self.engines[: round(len(self.engines) * share)]:
            self._schedule(at_s, self._drain, engine, version)
            at_s += gap_s

    def kill_all_hosts(self, from_s, for_s):
        """Plan that all hosts are killed at once, and start again together."""
        at_s = self.now_s + from_s
        for host in self.hosts:
            host.kills.append((at_s, at_s + for_s))

    def lose_coordinators(self, count, after_s):
        for number in range(count):
            self.lost_coordinators[number] = self.now_s + after_s

    def count_mixed(self):
        """Return the streams that hold events of two versions."""
        return sum(len(stream.versions) > 1 for stream in self.streams)

    def measure_begun_streams(self):
        """Return the share of new streams that bring an event."""
        return sum(each.events > 0 for each in self.streams) / len(self.streams)

    def measure_went_on(self):
        """Return the share of the streams that go on, and how many count."""
        counted = [each for each in self.taken_up if each.counts]
        went_on = sum(each.went_on for each in counted)
        return went_on / max(1, len(counted)), len(counted)

    def _begin_stream(self, stream):
        up = self._list_open_hosts()
        if not up:
            at_s = self.now_s + ALL_DOWN_RETRY_S
            self._schedule(at_s, self._begin_stream, stream)
            return
        if not stream.tries:
            self.streams.append(stream)
        stream.tries += 1
        host = self.rng.choice(up)
        request_id = f"{next(self._numbers)}"
        leg = StreamLeg(host, stream, host.generation, request_id, after=stream.events)
        leg.resumes = stream.first_id
        leg.ask_until_s = self.now_s + ASK_AGAIN_LIMIT_S - ASK_AGAIN_S
        if not stream.events:
            self._deliver_request(host, self._offer, leg)
            return
        version = next(iter(stream.versions))
        serving = sum(
            engine.up and self.versions[engine.number] == version
            for engine in self.engines
            if engine.number not in self.draining
        )
        counts = host.is_in_touch(self.now_s) and serving >= 2 and self.is_core_stable()
        self.taken_up.append(TakenUp(stream, counts, stream.events))
        self._deliver_request(host, self._find_version, leg)

    def _list_open_hosts(self):
        """Return the hosts to which callers may send."""
        return [
            host
            for host in self.hosts
            if host.find_thaw_s(self.now_s) is None and not host.is_down(self.now_s)
        ]

    def _deliver_request(self, host, action, leg):
        action(leg)

    def _find_version(self, leg):
        """Look the version of a stream up as an exchange does."""
        stream_versions = leg.host.harness.view.stream_versions
        query = FindStreamOrigin(SERVICE, leg.call.first_id)
        leg.version = get_version(stream_versions.find_origin(query, self.now_s))
        if leg.version is not None:
            self._offer(leg)
            return
        at_s = self.now_s + self.rng.uniform(*ASK_S)
        self._schedule(at_s, self._ask_coordinators, leg, query)

    def _ask_coordinators(self, leg, query):
        request = OriginRequested(digest_stream(query.resumes), query.service)
        replies = {
            number: handle_shared_request(request, self.shared[number], self.now_s)
            for number in self._connected[leg.host.name]
            if not self._is_lost(number) and not leg.host.is_cut(self.now_s)
        }
        search = self._reaches[leg.host.name].conclude(replies, self.coordinator_count)
        self._deliver(leg.host, self._end_search, leg, query, search)

    def _end_search(self, leg, query, search):
        if leg.is_lost:
            return
        if search.origin is not None:
            leg.version = get_version(search.origin)
        elif search.majority:
            query = replace(query, told=search.versions)
            stream_versions = leg.host.harness.view.stream_versions
            leg.version = get_version(stream_versions.find_origin(query, self.now_s))
        if leg.version is not None:
            self._offer(leg)
        elif self._may_ask_again(leg):
            self._schedule(self.now_s + ASK_AGAIN_S, self._find_version, leg)
        else:
            self._end_leg(leg, "refused")

    def _may_ask_again(self, leg):
        is_settled = self._reaches[leg.host.name].is_settled(self.now_s)
        return not is_settled and self.now_s < leg.ask_until_s

    def _offer(self, leg):
        if not isinstance(leg.call, PlayStream):
            super()._offer(leg)
            return
        if leg.is_lost:
            return
        harness = leg.host.harness
        harness.now_s = self.now_s
        decision = harness.submit(
            None,
            self.route,
            hops=(leg.origin.host.name,) if leg.origin else (),
            content=leg.call.content,
            request_id=leg.request_id,
            call_fields={
                "version": leg.version,
                "resume_after": leg.after or None,
                "resumes": leg.resumes,
            },
            is_retry=leg.runs > 0,
            excluded=leg.excluded,
        )
        if decision is None:
            self._waiting[leg.host.name, harness.attempt_id] = leg
        else:
            self._act(leg, harness.attempt_id, decision)

    def _arrive_leg(self, leg):
        if isinstance(leg.call, PlayStream):
            leg.version = leg.origin.version
            leg.after = leg.origin.after
            leg.resumes = leg.origin.resumes
        super()._arrive_leg(leg)

    def _send_to_endpoint(self, leg, attempt_id, record):
        if not isinstance(leg.call, PlayStream):
            super()._send_to_endpoint(leg, attempt_id, record)
            return
        # An endpoint that has started again under its name does not notice it.
        engine = self._find_named(record)
        if engine is None or not engine.up:
            self._finish(leg.host, attempt_id, AttemptOutcome.CONNECT_FAILED)
            self._fail_attempt(leg, ran=False)
            return
        key = (leg.host.name, leg.generation, attempt_id)
        engine.running[key] = (leg, attempt_id)
        at_s = self.now_s + self.rng.uniform(*PREFILL_S)
        breaks_at = None
        if self.rng.random() < self.break_share:
            breaks_at = self.rng.randrange(self.events)
        generation = engine.generation
        self._schedule(at_s, self._emit, engine, generation, key, leg.after, breaks_at)

    def _find_named(self, record):
        named = (each for each in self.engines if each.name == record.endpoint)
        return next(named, None)

    def _emit(self, engine, generation, key, after, breaks_at):
        if engine.generation != generation or key not in engine.running:
            return
        leg, attempt_id = engine.running[key]
        if leg.is_lost:
            del engine.running[key]
            return
        if after == self.events:
            del engine.running[key]
            self._deliver(leg.host, self._complete_stream, leg, attempt_id)
            return
        if after == breaks_at:
            del engine.running[key]
            self._deliver(leg.host, self._break_attempt, leg, attempt_id)
            return
        version = self.versions[engine.number]
        self._deliver(leg.host, self._relay_event, leg, attempt_id, after + 1, version)
        at_s = self.now_s + self.event_s
        self._schedule(at_s, self._emit, engine, generation, key, after + 1, breaks_at)

    def _relay_event(self, leg, attempt_id, number, version):
        if leg.is_lost or leg.ended:
            return
        self._record_start(leg.host, attempt_id)
        leg.host.harness.dispatcher.record_first_event(attempt_id, self.now_s)
        self._share_origins(leg.host)
        leg.version = version
        leg.after = number
        if leg.origin is None:
            self._receive_event(leg, number, version)
        else:
            at_s = self.now_s + compute_delay_s(leg.host, leg.origin.host)
            self._schedule(at_s, self._receive_event, leg.origin, number, version)

    def _receive_event(self, leg, number, version):
        stream = leg.call
        if leg.is_lost or leg.ended or number != stream.events + 1:
            return
        leg.version = version
        leg.after = number
        stream.events = number
        stream.versions[version] += 1
        if stream.first_id is None:
            stream.first_id = leg.request_id

    def _complete_stream(self, leg, attempt_id):
        if not leg.is_lost:
            self._finish(leg.host, attempt_id, AttemptOutcome.SUCCEEDED)
            self._end_leg(leg, "served")

    def _break_attempt(self, leg, attempt_id):
        # The endpoint goes on, so the connection counts as reset on the way.
        if not leg.is_lost:
            self._finish(leg.host, attempt_id, AttemptOutcome.BROKEN, False)
            self._fail_attempt(leg, ran=True)

    def _end_call(self, call, outcome):
        if not isinstance(call, PlayStream):
            super()._end_call(call, outcome)
            return
        if outcome == "served":
            call.complete = True
        elif call.tries < MAX_TRIES:
            at_s = self.now_s + self.rng.uniform(*RETRY_S)
            self._schedule(at_s, self._begin_stream, call)

    def _share_origins(self, host):
        origins = host.harness.view.stream_versions.take_outgoing(self.now_s)
        connected = list(self._connected[host.name])
        if not origins:
            return
        for number in choose_holders(host.name, [str(each) for each in connected]):
            at_s = self.now_s + self.rng.uniform(0.002, 0.1)
            self._schedule(at_s, self._keep_origins, int(number), origins)

    def _update_holders(self, host):
        """Tell the origins of open streams to coordinators that may lack them."""
        connections = {str(n): start for n, start in self._connected[host.name].items()}
        self._reaches[host.name].record_connections(connections, self.now_s)
        for number in self._holders[host.name].update(connections, list(connections)):
            at_s = self.now_s + self._repeat_rng.uniform(0.5, 1.0) * REPEAT_DELAY_S
            args = (host, host.generation, int(number))
            self._schedule(at_s, self._tell_again, *args)

    def _tell_again(self, host, generation, number):
        if host.generation != generation or host.is_down(self.now_s):
            return
        origins = host.harness.view.stream_versions.list_open_origins(self.now_s)
        self.repeated_origins += len(origins)
        at_s = self.now_s
        for batch in split_turns(origins):
            at_s += self._repeat_rng.uniform(0.5, 1.0) * REPEAT_INTERVAL_S
            self._schedule(at_s, self._tell_batch, host, generation, number, batch)

    def _tell_batch(self, host, generation, number, batch):
        if host.generation == generation and not host.is_down(self.now_s):
            self._keep_origins(number, batch)

    def _keep_origins(self, number, origins):
        if not self._is_lost(number):
            self.shared[number].receive_origins(origins, self.now_s)

    def _is_lost(self, number):
        if number in self.down_coordinators:
            return True
        return self.now_s >= self.lost_coordinators.get(number, math.inf)

    def is_core_stable(self):
        """Return whether no coordinator was killed or started of late."""
        return self.now_s >= self.core_disturbed_s + STABLE_S

    def kill_coordinator(self, number, from_s, for_s, disk_lost=False):
        """Plan that the process of a coordinator is killed and started again."""
        at_s = self.now_s + from_s
        self._schedule(at_s, self._kill_coordinator, number)
        self._schedule(at_s + for_s, self._restart_coordinator, number, disk_lost)

    def _kill_coordinator(self, number):
        self.down_coordinators.add(number)
        self.core_disturbed_s = self.now_s

    def _restart_coordinator(self, number, disk_lost):
        if disk_lost:
            self.version_stores[number] = create_memory_version_store()
        self.shared[number] = self._create_shared(number)
        self.coordinator_starts[number] += 1
        self.down_coordinators.discard(number)
        self.core_disturbed_s = self.now_s

    def _save_versions(self, number):
        if not self._is_lost(number):
            known = self.shared[number].export_versions(self.now_s)
            names = tuple(drop_age(each) for each in known)
            self.version_stores[number].save(names)

    def _create_shared(self, number):
        store = create_memory_quarantine_store()
        return SharedState(store, self.now_s, self.version_stores[number])

    def _connect(self, host):
        """Update which coordinators a host reaches; new ones tell all they know."""
        if host.is_down(self.now_s) or host.find_thaw_s(self.now_s) is not None:
            return
        reached = {}
        if not host.is_cut(self.now_s):
            reached = {
                number: start
                for number, start in enumerate(self.coordinator_starts)
                if not self._is_lost(number)
            }
        elif not host.is_cut(self.now_s - SILENCE_S):
            # The loss of a link is noticed by its silence.
            return
        before = self._connected[host.name]
        for number, start in reached.items():
            if before.get(number) == start:
                continue
            versions = self.shared[number].export(self.now_s).versions
            at_s = self.now_s + self.rng.uniform(*self.initial_state_s)
            args = (host, host.generation, number, versions)
            self._schedule(at_s, self._receive_initial_state, *args)
        self._connected[host.name] = reached
        self._reaches[host.name].keep(reached)
        self._update_holders(host)
        self._report_reach(host)

    def _receive_initial_state(self, host, generation, number, versions):
        def receive():
            if host.generation != generation:
                return
            host.harness.view.stream_versions.receive(versions, self.now_s)
            if number in self._connected[host.name]:
                self._reaches[host.name].record_told(number)
                self._report_reach(host)

        self._deliver(host, receive)

    def _report_reach(self, host):
        majority = self._reaches[host.name].has_majority(self.coordinator_count)
        stream_versions = host.harness.view.stream_versions
        stream_versions.set_reach(majority, self.now_s)
        self._share_origins(host)

    def _kill(self, host):
        super()._kill(host)
        self._connected[host.name] = {}
        self._holders[host.name] = OriginHolders(host.name)
        self._reaches[host.name] = CoordinatorReach()

    def _flush_shared(self, number):
        self._save_versions(number)
        news = self.shared[number].take_new(self.now_s)
        if not news.versions or self._is_lost(number):
            return
        for host in self.hosts:
            if number in self._connected[host.name] and not host.is_cut(self.now_s):
                self._schedule_versions(host, news.versions)

    def _send_status(self, number):
        """Tell the other coordinators which versions serve."""
        if self._is_lost(number):
            return
        versions = self.shared[number].export_versions(self.now_s)
        for other in range(self.coordinator_count):
            if other != number and not self._is_lost(other):
                at_s = self.now_s + self.rng.uniform(0.002, 0.1)
                self._schedule(at_s, self._receive_status, other, versions)

    def _receive_status(self, number, versions):
        if not self._is_lost(number):
            self.shared[number].receive_versions(versions, self.now_s)

    def _schedule_versions(self, host, versions):
        at_s = self.now_s + self.rng.uniform(0.002, 0.1)
        self._schedule(at_s, self._receive_versions, host, versions)

    def _receive_versions(self, host, versions):
        def receive():
            host.harness.view.stream_versions.receive(versions, self.now_s)

        self._deliver(host, receive)

    def _drain(self, engine, version):
        self.draining.add(engine.number)
        self._send_heartbeat(engine)
        self._schedule(self.now_s + DRAIN_S, self._change, engine, version)

    def _change(self, engine, version):
        self._crash_without_restart(engine)
        self.draining.discard(engine.number)
        self.versions[engine.number] = version
        at_s = self.now_s + self.rng.uniform(*CHANGE_S)
        self._schedule(at_s, self._restart, engine)

    def _crash_without_restart(self, engine):
        engine.up = False
        broken = list(engine.running.values())
        engine.running.clear()
        for leg, attempt_id in broken:
            if not leg.is_lost:
                self._deliver(leg.host, self._break_attempt, leg, attempt_id)

    def _send_heartbeat(self, engine):
        engine.sequence += 1
        state = EndpointState.READY
        if engine.number in self.draining:
            state = EndpointState.DRAINING
        record = EndpointRecord(
            engine.name,
            engine.generation,
            engine.sequence,
            "desk",
            "a",
            "a-1",
            engine.address,
            self.slots,
            state,
            version=self.versions[engine.number],
        )
        serving = [n for n in range(self.coordinator_count) if not self._is_lost(n)]
        if not serving:
            return
        registrar = serving[engine.number % len(serving)]
        self.shared[registrar].record_heartbeat(record, self.now_s)
        for host in self.hosts:
            if host.region == engine.region and not host.is_cut(self.now_s):
                delay_s = self.rng.uniform(0.01, 0.2)
                at_s = self.now_s + delay_s
                self._schedule(at_s, self._receive_heartbeat, host, record)

    def _receive_heartbeat(self, host, record):
        if not host.is_down(self.now_s):
            receive = host.harness.view.record_heartbeat
            self._deliver(host, lambda: receive(record, self.now_s))


def get_version(origin):
    """Return the version that an origin tells, if there is one."""
    return origin.version if origin is not None else None


def drop_age(version):
    """Return a version without its age, as it is kept on disk."""
    return ServiceVersion(version.service, version.version)


def disturb_all(play, seed):
    """Plan hosts that freeze, are cut off and killed, and the loss of a coordinator."""
    play.disturb(seed)
    play.kill_hosts(seed)
    play.lose_coordinators(1, random.Random(seed).uniform(5, 25))
