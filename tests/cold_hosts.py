"""Gateways and coordinators of the plays of cold endpoints, without I/O.

Both run the code of the product; what its tasks do between messages and this code is
repeated here.
"""

import math
import random
from dataclasses import dataclass, field, replace
from functools import singledispatchmethod

from buckthorndeal.configuration import (
    RequestKind,
    Route,
    ServiceDescription,
    WeightedService,
)
from buckthorndeal.coordinator._endpoint_heartbeats import (
    create_initial_heartbeats,
    merge_heartbeat,
)
from buckthorndeal.coordinator._entry_notices import create_cluster_notice
from buckthorndeal.coordinator._heartbeat_batch import HeartbeatBatch, split_heartbeats
from buckthorndeal.coordinator._requests import ClusterState
from buckthorndeal.coordinator._taken_back import TakenBackDomains
from buckthorndeal.fleet import (
    ClusterNotice,
    EndpointHeartbeats,
    EntryHost,
    EntryHostChanges,
    EntryHosts,
    EntryState,
    create_endpoint_table,
)
from buckthorndeal.gateway._dispatch_task import ENDPOINT_EXPIRY_S
from buckthorndeal.gateway._endpoint_news import EndpointNews
from buckthorndeal.gateway._entry_hosts import EntryHostLists
from buckthorndeal.gateway._evacuations import NotedEvacuations
from buckthorndeal.gateway._fleet_messages import HeartbeatsReceived
from buckthorndeal.gateway._fleet_view import FleetView
from buckthorndeal.gateway._known_hosts import KnownEntryHosts, describe_fleet
from buckthorndeal.gateway._local_choice import LocalChooser
from buckthorndeal.gateway._messages import Call
from buckthorndeal.gateway._slot_shares import SlotShares
from buckthorndeal.metrics import Metrics
from buckthorndeal.policy.ejection import create_ejection
from tests.cold_endpoint import COLD_START_S, REGION, SERVICE_NAME

COLD_PER_S = 2.9
SERVICE = ServiceDescription(
    SERVICE_NAME, "/h", 4096, cold_start_s=COLD_START_S, cold_rate_per_s=COLD_PER_S
)
ROUTE = Route(
    "r",
    "x",
    "/",
    RequestKind.IDEMPOTENT,
    4.0,
    0.8,
    1,
    (WeightedService(SERVICE_NAME, 1),),
)
ENDPOINT_SILENCE_S = 6.0


class PlayGateway:
    """One gateway, with what it knows.

    Parameters
    ----------
    name : str
        Name of the host.
    coordinators : int
        Number of coordinators.
    """

    def __init__(self, name, coordinators):
        self.name = name
        self.own = EntryHost(name, REGION, "a-1", f"{name}:1", EntryState.READY)
        # A connection belongs to a generation, which ends when it is cut off.
        self.generation = 0
        self.process = 0
        self.is_running = True
        # Begins and ends of the times in which it did not run, or not know all hosts.
        self.absences = [(0.0, math.inf)]
        self.cut_until_s = 0.0
        self.frozen_until_s = 0.0
        # For how long the process was stopped, until it notices.
        self.stopped_s = None
        self.unread = []
        # Open connections, by coordinator, and since when each can have told all.
        self.connected = {}
        self.lost_s = 0.0
        self.reached_s = 0.0
        self.history = ["began"]
        self._coordinators = coordinators
        self.forget_all()

    def forget_all(self):
        """Begin without any knowledge, as a process that starts."""
        self.lists = EntryHostLists()
        self.known = KnownEntryHosts(self.lists)
        self.evacuations = NotedEvacuations()
        self.view = FleetView(self.name)
        self.view.set_services({SERVICE_NAME: SERVICE})
        self.news = EndpointNews(self.view, Metrics())
        shares = SlotShares(self.name, self.view)
        rng = random.Random(self.name)
        self._chooser = LocalChooser(self.view, create_ejection(), shares, rng)
        self._fleet = None
        self.unread.clear()
        self.connected.clear()

    def note(self, event):
        """Note what happens to the host."""
        self.history.append(event)

    @property
    def state(self):
        """What has happened to the host lately, in words."""
        return ", ".join(self.history[-3:])

    def is_frozen(self, now_s):
        """Return whether the process is stopped."""
        return now_s < self.frozen_until_s

    @singledispatchmethod
    def receive(self, message, coordinator, now_s):
        """Apply a message of a coordinator."""
        raise TypeError(f"unknown message {type(message).__name__}")

    @receive.register
    def _(self, message: ClusterNotice, coordinator, now_s):
        if self.evacuations.record(message, coordinator, self.connected.keys()):
            self.update(now_s)

    @receive.register
    def _(self, message: EntryHosts, coordinator, now_s):
        self.lists.replace(coordinator, message.entries, now_s)
        self.update(now_s)

    @receive.register
    def _(self, message: EntryHostChanges, coordinator, now_s):
        self.lists.apply(coordinator, message)
        self.update(now_s)

    @receive.register
    def _(self, message: EndpointHeartbeats, coordinator, now_s):
        heartbeats = HeartbeatsReceived(message.records, message.alive)
        self.notice_stop(now_s)
        self.news.apply(heartbeats, now_s)

    def notice_stop(self, now_s):
        """Notice that the process was stopped, before it does anything else."""
        if self.stopped_s is not None:
            stopped_s, self.stopped_s = self.stopped_s, None
            self.news.record_stop(stopped_s, now_s)

    def lose(self, coordinator, now_s):
        """Notice that a coordinator is gone."""
        if coordinator not in self.connected:
            self.lists.drop(coordinator)
            self.update(now_s)

    def update(self, now_s):
        """Apply what is known of hosts and evacuations."""
        self.known.update(self._coordinators, now_s)
        if self.known.is_confirmed and math.isinf(self.absences[-1][1]):
            self.absences[-1] = (self.absences[-1][0], now_s)
        fleet = replace(
            describe_fleet(self.known, self.own, self.evacuations.evacuated),
            taken_back=self.evacuations.taken_back,
        )
        if fleet != self._fleet:
            self._fleet = fleet
            self.news.apply_fleet(fleet, now_s)

    def expire(self, now_s):
        """Forget endpoints that are gone."""
        self.view.expire(ENDPOINT_EXPIRY_S, now_s)

    def choose_all(self, now_s):
        """Return all endpoints that this host sends a request to now."""
        self.notice_stop(now_s)
        call = Call("q", ROUTE, SERVICE_NAME, now_s, now_s + ROUTE.timeout_s)
        chosen = []
        for load in self.view.list_available(SERVICE_NAME, None, now_s):
            if self._chooser.find_obstacle(load, call, SERVICE, now_s) is not None:
                continue
            if load.is_cold(now_s):
                self.view.warm_ups.record_request(load.name, now_s)
            chosen.append(load)
        return chosen

    def count_records(self):
        """Return the size of all that is kept for endpoints."""
        return len(self.view.loads) + len(self.view.warm_ups._turns)


@dataclass(eq=False)
class PlayCoordinator:
    """One coordinator: its endpoints, and the gateways connected to it.

    Parameters
    ----------
    name : str
        Name of the host.
    now_s : float
        Clock reading.
    """

    name: str
    now_s: float
    generation: int = 0
    is_running: bool = True
    gateways: dict = field(default_factory=dict)
    published: dict = field(default_factory=dict)
    index: int = 1
    evacuated: frozenset = frozenset()
    pending: frozenset = frozenset()

    def __post_init__(self):
        self.forget_all(self.now_s)

    def forget_all(self, now_s):
        """Begin with what is on the disk, as a process that starts."""
        self.endpoints = create_endpoint_table()
        self.batch = HeartbeatBatch(now_s)
        self.taken_back = TakenBackDomains()
        self.gateways, self.published = {}, {}

    def set_evacuated(self, evacuated, now_s, pending=frozenset()):
        """Apply what is evacuated, and what may be."""
        before = self.evacuated
        self.evacuated, self.pending = frozenset(evacuated), frozenset(pending)
        self.taken_back.update(before, self.evacuated, self.index, now_s)

    def receive_heartbeat(self, record, now_s):
        """Merge a heartbeat of an endpoint."""
        merge_heartbeat(record, self.endpoints, self.batch, now_s)

    def knows_cold_time(self, endpoint, time):
        """Return whether a heartbeat of a cold time has arrived here."""
        entry = self.endpoints.get(endpoint.name)
        if entry is None or entry.record.incarnation != endpoint.incarnation:
            return False
        return entry.cold_until_s >= time.end_s - 0.001

    def create_notice(self, now_s):
        """Return what gateways learn of evacuations."""
        state = ClusterState(
            index=self.index,
            version=1,
            evacuated=self.evacuated,
            leader=None,
            voters=(),
            members=(),
            pending=self.pending,
        )
        return create_cluster_notice(state, self.taken_back.list_recent(now_s))

    def connect(self, gateway, now_s):
        """Return what a gateway is sent that has connected."""
        self.gateways[gateway.name] = gateway
        heartbeats = create_initial_heartbeats(self.endpoints, REGION, now_s)
        published = EntryHosts(tuple(self.published.values()))
        return [self.create_notice(now_s), published, *split_heartbeats(heartbeats)]

    def flush(self, now_s):
        """Return what all connected gateways are sent now."""
        self.endpoints.expire(ENDPOINT_SILENCE_S, now_s)
        messages = []
        heartbeats = self.batch.take(now_s).get(REGION)
        if heartbeats is not None:
            messages += split_heartbeats(heartbeats)
        before = self.published
        alive = {name: gateway.own for name, gateway in self.gateways.items()}
        changed = tuple(alive[name] for name in alive if name not in before)
        removed = tuple(name for name in before if name not in alive)
        self.published = alive
        if changed or removed:
            messages.append(EntryHostChanges(changed, removed))
        return messages
