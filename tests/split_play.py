"""Play of streams on a route whose services change, without a network.

Hosts apply each change at moments of their own. Some are killed, and callers take the
streams up at others, which look the origins up as gateways do.
"""

import heapq
import random
from dataclasses import dataclass, field, replace

from buckthorndeal.configuration import (
    RequestKind,
    Route,
    WeightedService,
    choose_service,
)
from buckthorndeal.coordinator._quarantine_store import create_memory_quarantine_store
from buckthorndeal.coordinator._shared_requests import (
    OriginRequested,
    handle_shared_request,
)
from buckthorndeal.coordinator._shared_state import SharedState
from buckthorndeal.fleet import ServiceVersion, digest_stream
from buckthorndeal.gateway._coordinator_reach import CoordinatorReach
from buckthorndeal.gateway._messages import Call
from buckthorndeal.gateway._origin_holders import (
    REPEAT_DELAY_S,
    REPEAT_INTERVAL_S,
    OriginHolders,
    choose_holders,
    split_turns,
)
from buckthorndeal.gateway._origins import ASK_AGAIN_LIMIT_S, ASK_AGAIN_S
from buckthorndeal.gateway._shared_messages import FindStreamOrigin
from buckthorndeal.gateway._stream_versions import StreamVersions

SERVICES = ("a", "b", "c")
ROUTE = Route(
    "r",
    "x.example",
    "/r/",
    RequestKind.STREAM,
    15.0,
    1.5,
    0,
    (WeightedService("a", 90), WeightedService("b", 10)),
    resumable=True,
)
SECONDS = 40.0
STATUS_S = 0.75
# From the acknowledgement of a change until a host applies it.
APPLY_S = (0.1, 3.5)
DELAY_S = (0.002, 0.1)
LENGTH_S = (6.0, 14.0)
RETRY_S = (0.02, 0.4)
# A coordinator's process starts again after this time.
DOWN_S = (0.3, 2.5)
# Time after a kill of a coordinator in which hosts do not count as in touch.
STABLE_S = 6.0


@dataclass(eq=False)
class SplitHost:
    """A gateway: what it knows of streams, and the route that it goes by."""

    name: str
    versions: StreamVersions
    reach: CoordinatorReach
    holders: OriginHolders
    route: Route = ROUTE
    is_up: bool = True
    running: set = field(default_factory=set)


@dataclass(eq=False)
class SplitStream:
    """A stream, the service and version that began it, and how it was taken up."""

    request_id: str
    service: str
    version: str
    end_s: float
    # Results of the look-ups that count, True if the stream goes on where it began.
    continued: list = field(default_factory=list)


class SplitPlay:
    """Play of one seed.

    Parameters
    ----------
    coordinators, hosts : int
        Numbers of coordinators and gateways.
    seed : int
        Seed of all draws.
    versions : tuple of str
        Software versions that serve in each service.
    """

    def __init__(self, coordinators, hosts, seed, versions=("v1",)):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.versions = versions
        self.shared = [self._create_coordinator() for _ in range(coordinators)]
        self.starts = [0] * coordinators
        self.down = set()
        self.core_disturbed_s = -STABLE_S
        self.hosts = [self._create_host(f"h{number}") for number in range(hosts)]
        # Hosts whose loss is not planned yet.
        self._spared = list(self.hosts)
        self.streams = []
        self.wrong = 0
        self.shared_origins = 0
        self._queue = []
        self._numbers = iter(range(10**9))

    def plan_change(self, at_s, *weights):
        """Plan a change of the weights, by the order of `SERVICES`."""
        targets = zip(SERVICES, weights, strict=False)
        services = tuple(WeightedService(name, weight) for name, weight in targets)
        route = replace(ROUTE, services=services)
        for host in self.hosts:
            delay_s = self.rng.uniform(*APPLY_S)
            self._schedule(at_s + delay_s, self._apply, host, route)

    def plan_kill(self, at_s, share):
        """Plan the loss of a share of the hosts."""
        count = max(1, round(share * len(self.hosts)))
        for host in self.rng.sample(self._spared, count):
            self._spared.remove(host)
            self._schedule(at_s + self.rng.uniform(0.0, 0.3), self._kill, host)

    def plan_core_kill(self, at_s):
        """Plan that all coordinators are killed and start again."""
        for number in range(len(self.shared)):
            self._schedule(at_s, self._kill_coordinator, number)

    def play(self, per_s):
        """Play streams and all that was planned."""
        at_s = 0.0
        while (at_s := at_s + self.rng.expovariate(per_s)) < SECONDS - 15.0:
            self._schedule(at_s, self._begin)
        for host in self.hosts:
            host.versions.set_routes([ROUTE], 0.0)
            for step in range(int(SECONDS / STATUS_S)):
                self._schedule(step * STATUS_S, self._tick, host)
        while self._queue:
            self.now_s, _, action, arguments = heapq.heappop(self._queue)
            action(*arguments)

    def measure_continued(self):
        """Return the share of look-ups that found the origin, and their number."""
        results = [result for stream in self.streams for result in stream.continued]
        return sum(results) / max(1, len(results)), len(results)

    def _schedule(self, at_s, action, *arguments):
        item = (at_s, next(self._numbers), action, arguments)
        heapq.heappush(self._queue, item)

    def _create_host(self, name):
        host = SplitHost(
            name, StreamVersions(), CoordinatorReach(), OriginHolders(name)
        )
        host.versions.receive(self._list_versions(), 0.0)
        return host

    def _create_coordinator(self):
        shared = SharedState(create_memory_quarantine_store(), self.now_s)
        shared.receive_versions(self._list_versions(), self.now_s)
        return shared

    def _list_versions(self):
        return tuple(
            ServiceVersion(service, version)
            for service in SERVICES
            for version in self.versions
        )

    def _apply(self, host, route):
        host.route = route
        host.versions.set_routes([route], self.now_s)
        self._share(host)

    def _kill(self, host):
        host.is_up = False
        broken, host.running = host.running, set()
        for stream in sorted(broken, key=lambda each: each.request_id):
            at_s = self.now_s + self.rng.uniform(*RETRY_S)
            self._schedule(at_s, self._take_up, stream)

    def _kill_coordinator(self, number):
        self.down.add(number)
        self.core_disturbed_s = self.now_s
        at_s = self.now_s + self.rng.uniform(*DOWN_S)
        self._schedule(at_s, self._restart_coordinator, number)

    def _restart_coordinator(self, number):
        self.shared[number] = self._create_coordinator()
        self.starts[number] += 1
        self.down.discard(number)
        self.core_disturbed_s = self.now_s

    def _tick(self, host):
        """Report which coordinators are reached, and tell holders what they lack."""
        if not host.is_up:
            return
        connections = self._list_connections()
        host.reach.keep(connections)
        for number in connections:
            host.reach.record_told(number)
        host.reach.record_connections(connections, self.now_s)
        majority = host.reach.has_majority(len(self.shared))
        host.versions.set_reach(majority, self.now_s)
        host.versions.receive(self._list_versions(), self.now_s)
        for number in host.holders.update(connections, list(connections)):
            at_s = self.now_s + self.rng.uniform(0.5, 1.0) * REPEAT_DELAY_S
            self._schedule(at_s, self._tell_again, host, number)
        self._share(host)

    def _list_connections(self):
        return {
            str(number): start
            for number, start in enumerate(self.starts)
            if number not in self.down
        }

    def _tell_again(self, host, number):
        if not host.is_up:
            return
        at_s = self.now_s
        for batch in split_turns(host.versions.list_open_origins(self.now_s)):
            self._schedule(at_s, self._keep, int(number), batch)
            at_s += REPEAT_INTERVAL_S

    def _share(self, host):
        origins = host.versions.take_outgoing(self.now_s)
        self.shared_origins += len(origins)
        if origins:
            for number in choose_holders(host.name, list(self._list_connections())):
                at_s = self.now_s + self.rng.uniform(*DELAY_S)
                self._schedule(at_s, self._keep, int(number), origins)

    def _keep(self, number, origins):
        if number not in self.down:
            self.shared[number].receive_origins(origins, self.now_s)

    def _begin(self):
        host = self._choose_host()
        request_id = f"q{next(self._numbers)}"
        service = choose_service(host.route, request_id)
        end_s = self.now_s + self.rng.uniform(*LENGTH_S)
        version = self.rng.choice(self.versions)
        stream = SplitStream(request_id, service, version, end_s)
        self.streams.append(stream)
        self._serve(host, stream, None)

    def _choose_host(self):
        return self.rng.choice([each for each in self.hosts if each.is_up])

    def _create_call(self, host, stream, resumes):
        return Call(
            request_id=stream.request_id if resumes is None else f"{resumes}-again",
            route=host.route,
            service=stream.service,
            arrived_s=self.now_s,
            deadline_s=stream.end_s + 1.0,
            resume_after=None if resumes is None else 1,
            resumes=resumes,
        )

    def _serve(self, host, stream, resumes):
        call = self._create_call(host, stream, resumes)
        host.versions.record_start(call, stream.version, self.now_s)
        self._share(host)
        host.running.add(stream)
        self._schedule(stream.end_s, self._complete, host, stream, call)

    def _complete(self, host, stream, call):
        if stream in host.running:
            host.running.discard(stream)
            host.versions.record_end(call)

    def _take_up(self, stream):
        if self.now_s < stream.end_s:
            host = self._choose_host()
            until_s = self.now_s + ASK_AGAIN_LIMIT_S - ASK_AGAIN_S
            self._look_up(host, stream, until_s)

    def _look_up(self, host, stream, until_s):
        splits = host.versions.recent_splits
        service = splits.find_service(host.route, stream.request_id, self.now_s)
        query = FindStreamOrigin(service, stream.request_id)
        origin = host.versions.find_origin(query, self.now_s)
        if origin is not None:
            self._end_look_up(host, stream, origin)
            return
        at_s = self.now_s + self.rng.uniform(*DELAY_S)
        self._schedule(at_s, self._ask, host, stream, query, until_s)

    def _ask(self, host, stream, query, until_s):
        request = OriginRequested(digest_stream(query.resumes), query.service)
        replies = {
            number: handle_shared_request(request, self.shared[int(number)], self.now_s)
            for number in self._list_connections()
        }
        search = host.reach.conclude(replies, len(self.shared))
        origin = search.origin
        if origin is None and search.majority:
            query = replace(query, told=search.versions)
            origin = host.versions.find_origin(query, self.now_s)
        is_settled = host.reach.is_settled(self.now_s)
        if origin is None and not is_settled and self.now_s < until_s:
            at_s = self.now_s + ASK_AGAIN_S
            self._schedule(at_s, self._look_up, host, stream, until_s)
            return
        self._end_look_up(host, stream, origin)

    def _end_look_up(self, host, stream, origin):
        if origin is not None and not host.route.allows_service(origin.service):
            # The route has left the service that began the stream.
            self.wrong += origin.service != stream.service
            return
        if self.now_s >= self.core_disturbed_s + STABLE_S:
            stream.continued.append(origin is not None)
        if origin is None:
            return
        found = (origin.service, origin.version)
        self.wrong += found != (stream.service, stream.version)
        if host.is_up:
            self._serve(host, stream, stream.request_id)
